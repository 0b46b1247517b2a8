"""The platform's machines, on which workers run, and their upkeep."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.types import InstanceName, ZoneName


class MachineState(enum.StrEnum):
    """State of a machine as the platform reports it."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine; it gets a new worker each time it comes up.

    Attributes:
        machine_id: Its identifier.
        pool: Service that it is assigned to.
        state: Its state.
        availability_zone: Its zone.
        labels: Labels for its kind and its rack.
        cpu_millis: Processor capacity, in thousandths of a core.
        memory_mb: Memory capacity.
        accelerators: Number of accelerators.
        worker: Name of its present worker; empty for none.
    """

    machine_id: str
    pool: str
    state: MachineState
    availability_zone: ZoneName
    labels: tuple[str, ...] = ()
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    worker: str = ""


@dataclass(frozen=True, slots=True)
class UpkeepWave:
    """An operator's request for the upkeep of a set of machines.

    Attributes:
        number: Number that identifies the wave.
        machines: Identifiers of the machines.
        duration_s: Seconds within which all must have begun their upkeep.
        at_once: Largest number of them that may be down at the same time.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    at_once: int


class UpkeepWaveState(enum.StrEnum):
    """State of a wave as operators see it."""

    RUNNING = "running"
    COMPLETED = "completed"


class MachineRefusalReason(enum.StrEnum):
    """Why the platform refused an order to a machine; nothing was done."""

    BUSY = "busy"
    NOT_CONCERNED = "not_concerned"


class MachineOrderRefusedError(Exception):
    """The platform refused an order to a machine.

    Args:
        reason: Reason of the refusal.
    """

    def __init__(self, reason: MachineRefusalReason):
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class TermHolder:
    """The active scheduler, as orders to machines identify it.

    Attributes:
        instance: Name of the instance.
        token: Its term as fencing token; machines refuse lower ones.
    """

    instance: InstanceName
    token: int


class MachineService(ABC):
    """Client of the platform's machine service.

    Orders are idempotent. All methods raise
    `UnavailableError` if the service does not answer; an order may then have
    been carried out or may still be.
    """

    @abstractmethod
    async def list_machines(self) -> dict[str, Machine]:
        """Returns all machines by identifier."""

    @abstractmethod
    async def begin_upkeep(
        self, machine_id: str, wave: int, holder: TermHolder
    ) -> None:
        """Takes a machine down for upkeep; runs on it end.

        Raises:
            MachineOrderRefusedError: If the order was refused.
            FencedError: If the machine has seen a higher token.
        """

    @abstractmethod
    async def move_to_pool(
        self, machine_id: str, pool: str, holder: TermHolder
    ) -> None:
        """Moves a machine to another pool; runs on it end.

        Raises:
            MachineOrderRefusedError: If the order was refused.
            FencedError: If the machine has seen a higher token.
        """


class WaveRegistry(ABC):
    """Store of the waves that operators requested and of their states."""

    @abstractmethod
    def get_waves(self) -> list[UpkeepWave]:
        """Returns the requested waves as last read, ordered by number."""

    @abstractmethod
    async def set_state(self, number: int, state: UpkeepWaveState) -> None:
        """Stores the state of a wave, for operators to read.

        Raises:
            UnavailableError: If the state may not have been stored.
        """
