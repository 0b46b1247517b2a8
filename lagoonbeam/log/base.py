"""What an adapter for the platform's log must do."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass, field

from lagoonbeam.core.messages import LogEntry
from lagoonbeam.core.registry import Registry
from lagoonbeam.core.settings import LogSettings
from lagoonbeam.types import Offset


@dataclass(frozen=True)
class LogPage:
    """Part of a stream.

    Attributes:
        entries: Entries in order.
        oldest_offset: Oldest entry that is kept.
        next_offset: Offset that the next entry will get.
    """

    entries: list[LogEntry] = field(default_factory=list)
    oldest_offset: Offset = 0
    next_offset: Offset = 0


class LogStore(ABC):
    """An append-only stream with offsets.

    Args:
        settings: Where it is.
    """

    def __init__(self, settings: LogSettings):
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Prepares the adapter."""

    async def close(self) -> None:  # noqa: B027
        """Ends its connections."""

    @abstractmethod
    async def append(self, data: bytes) -> Offset:
        """Appends one entry.

        Returns:
            Its offset.

        Raises:
            LogUnavailableError: If it may not have been appended. It may
                have been, too: the answer can be lost.
        """

    @abstractmethod
    async def read(
        self, first_offset: Offset, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Reads entries.

        Args:
            first_offset: Offset of the first entry wanted.
            limit: Most entries to return.
            wait_s: How long to wait for an entry if there is none.

        Raises:
            LogTruncatedError: If `first_offset` is no longer kept.
            LogUnavailableError: If the log does not answer.
        """


LOG_STORES: Registry[type[LogStore]] = Registry("log adapter")
