"""Interface of adapters for the platform's log."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from lagoonbeam.core.messages import LogEntry
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.settings import LogSettings
from lagoonbeam.types import Offset


@dataclass(frozen=True)
class LogPage:
    """Consecutive entries of a stream.

    Attributes:
        entries: Entries by ascending offset.
        oldest_offset: Offset of the oldest entry that the log retains.
        next_offset: Offset that the next entry will get.
    """

    entries: list[LogEntry] = field(default_factory=list)
    oldest_offset: Offset = 0
    next_offset: Offset = 0


class LogStore(ABC):
    """An append-only stream in which each entry has an offset.

    Args:
        settings: Adapter, URL and name of the stream.
    """

    def __init__(self, settings: LogSettings):
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Opens the adapter's connections."""

    async def close(self) -> None:  # noqa: B027
        """Closes the adapter's connections."""

    @abstractmethod
    async def append(self, data: bytes) -> Offset:
        """Appends one entry.

        Returns:
            The offset of the entry.

        Raises:
            LogUnavailableError: If there is no valid reply. The entry may
                have been appended all the same, if only the reply was lost.
        """

    @abstractmethod
    async def read(
        self, first_offset: Offset, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Reads entries.

        Args:
            first_offset: Offset of the first entry to return.
            limit: Maximum number of entries.
            wait_s: How long the log waits for an entry if there is none yet.

        Raises:
            LogTruncatedError: If `first_offset` is no longer retained.
            LogUnavailableError: If there is no valid reply.
        """


LOG_STORES: PluginRegistry[type[LogStore]] = PluginRegistry("log adapter")
