"""Interface of adapters for the platform's instance directory."""

from __future__ import annotations

from abc import ABC, abstractmethod
from typing import Literal

import msgspec

from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.settings import InstancesSettings
from lagoonbeam.types import ZoneName


class InstanceEntry(msgspec.Struct, frozen=True):
    """An instance in the directory; the data may be outdated or wrong.

    Attributes:
        name: Name of the instance.
        role: Whether it is a scheduler of this system or a worker.
        availability_zone: Availability zone of the instance.
        state: Whether it is live, or leaving and to get no new work.
        host: IP address of a scheduler.
        port: TCP port of a scheduler.
        url: Base URL of a worker.
        rack: Rack of a worker.
        position: Index of a worker in its rack, from 0.
        slots: Slots of a worker, each for one task at a time.
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
    """Reads the list of instances.

    Args:
        settings: Adapter and URL of the directory.
    """

    def __init__(self, settings: InstancesSettings):
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Opens the adapter's connections."""

    async def close(self) -> None:  # noqa: B027
        """Closes the adapter's connections."""

    @abstractmethod
    async def list_instances(self) -> list[InstanceEntry]:
        """Returns all instances in the directory.

        Raises:
            UnavailableError: If the directory gives no valid reply.
        """


INSTANCE_DIRECTORIES: PluginRegistry[type[InstanceDirectory]] = PluginRegistry(
    "instances adapter"
)
