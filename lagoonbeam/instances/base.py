"""What an adapter for the platform's list of instances must do."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Literal

import msgspec

from lagoonbeam.core.registry import Registry
from lagoonbeam.core.settings import InstancesSettings
from lagoonbeam.types import ZoneName


class InstanceEntry(msgspec.Struct, frozen=True):
    """One instance of the list; a hint that may be late or wrong.

    Attributes:
        name: Its name.
        role: A scheduler of this system, or a worker.
        availability_zone: Its zone.
        state: Whether it is live or leaving.
        host: IP number of a scheduler.
        port: TCP port of a scheduler.
        url: Base URL of a worker.
        rack: Rack of a worker.
        position: Place of a worker in its rack, from 0.
        slots: Tasks that a worker runs at a time.
        accelerators: Accelerators of a worker.
        cores: Processor cores of a worker.
        memory_bytes: Memory of a worker.
    """

    name: str
    role: Literal["scheduler", "worker"]
    availability_zone: ZoneName
    state: Literal["live", "leaving"] = "live"
    host: str = "127.0.0.1"
    port: int = 0
    url: str = ""
    rack: str = ""
    position: int = 0
    slots: int = 8
    accelerators: int = 8
    cores: float = 128.0
    memory_bytes: int = 512 << 30


class InstanceDirectory(ABC):
    """Lists instances.

    Args:
        settings: Where the list is.
    """

    def __init__(self, settings: InstancesSettings):
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Prepares the adapter."""

    async def close(self) -> None:  # noqa: B027
        """Ends its connections."""

    @abstractmethod
    async def list_instances(self) -> list[InstanceEntry]:
        """Returns the list as the platform has it.

        Raises:
            UnavailableError: If it does not answer.
        """


INSTANCE_DIRECTORIES: Registry[type[InstanceDirectory]] = Registry(
    "instances adapter"
)
