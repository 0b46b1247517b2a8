"""Machines under the workers: waves of upkeep, and pools that lend them."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.types import InstanceName, ZoneName


class MachineState(enum.StrEnum):
    """Where a machine stands."""

    UP = "up"
    MOVING = "moving"
    UPKEEP = "upkeep"
    DOWN = "down"


@dataclass(frozen=True, slots=True)
class Machine:
    """A machine; workers are its lives.

    Attributes:
        machine_id: Its identifier.
        pool: Service that it works for.
        state: Where it stands.
        availability_zone: Its zone.
        labels: Its kind and its rack.
        cpu_millis: Processor capacity, in thousandths of a core.
        memory_mb: Memory capacity.
        accelerators: Accelerators.
        worker: Its present worker; empty for none.
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
    """An operator's request for the upkeep of some machines.

    Attributes:
        number: Its number.
        machines: Identifiers of the machines.
        duration_s: Seconds in which all must have begun their upkeep.
        at_once: Most of them that may be down for it at once.
    """

    number: int
    machines: tuple[str, ...]
    duration_s: float
    at_once: int


class UpkeepWaveState(enum.StrEnum):
    """What operators are told of a wave."""

    RUNNING = "running"
    COMPLETED = "completed"


class MachineRefusalReason(enum.StrEnum):
    """Why a machine's order was refused; nothing was done."""

    BUSY = "busy"
    NOT_CONCERNED = "not_concerned"


class MachineOrderRefusedError(Exception):
    """An order to a machine was refused.

    Args:
        reason: Why.
    """

    def __init__(self, reason: MachineRefusalReason):
        super().__init__(reason.value)
        self.reason = reason


@dataclass(frozen=True, slots=True)
class TermHolder:
    """Who gives orders to machines.

    Attributes:
        instance: The instance.
        token: Its term; machines refuse lower ones.
    """

    instance: InstanceName
    token: int


class MachineService(ABC):
    """The platform's machines.

    Orders may be repeated without a second effect. All methods raise
    `UnavailableError` if the service does not answer; an order may then have
    been or may yet be carried out.
    """

    @abstractmethod
    async def list_machines(self) -> dict[str, Machine]:
        """Returns all machines by identifier."""

    @abstractmethod
    async def begin_upkeep(
        self, machine_id: str, wave: int, holder: TermHolder
    ) -> None:
        """Takes a machine down for upkeep; what runs on it ends.

        Raises:
            MachineRefusal: If it was refused.
            FencedError: If a higher token was used on the machine.
        """

    @abstractmethod
    async def move_to_pool(
        self, machine_id: str, pool: str, holder: TermHolder
    ) -> None:
        """Moves a machine to another pool; what runs on it ends.

        Raises:
            MachineRefusal: If it was refused.
            FencedError: If a higher token was used on the machine.
        """


class WaveRegistry(ABC):
    """Where operators ask for waves and read how far they are."""

    @abstractmethod
    def get_waves(self) -> list[UpkeepWave]:
        """Returns the waves asked for, as last read, by number."""

    @abstractmethod
    async def set_state(self, number: int, state: UpkeepWaveState) -> None:
        """Tells the operators how far a wave is.

        Raises:
            UnavailableError: If it may not have been stored.
        """
