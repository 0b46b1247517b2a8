"""What a placement policy must do."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterable

from lagoonbeam.core.cells import BuddyFreeList, Cell
from lagoonbeam.core.planned_job import Placement, PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.preemption.base import PreemptionPolicy


class Reach(enum.Enum):
    """How far a job may reach for cells of its guarantee.

    BOUND: idle cells that its organisation has bound already. IDLE: also bind
    idle ones. ANY: also bind cells with lent work, which is then stopped.
    """

    BOUND = "bound"
    IDLE = "idle"
    ANY = "any"


class PlacementPolicy(ABC):
    """Chooses cells for a gang; fill the two methods.

    Attributes:
        honours_guarantees: Whether work runs on its guarantee where it can.
    """

    honours_guarantees = True

    @abstractmethod
    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: Reach,
    ) -> Placement | None:
        """Returns cells in the organisation's own guarantee, or None.

        Args:
            pool: Where to look.
            planned: The job.
            preemption: Weighs the work that would have to leave.
            reach: Which cells may be used.
        """

    @abstractmethod
    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, space: BuddyFreeList
    ) -> Placement | None:
        """Returns free cells, or None.

        Args:
            pool: Where to look.
            planned: The job.
            space: The free slots that it may use.
        """


PLACEMENTS: PluginRegistry[type[PlacementPolicy]] = PluginRegistry(
    "placement policy"
)


def exclude_workers(
    pool: WorkerPool, cells: Iterable[Cell], excluded: set[str]
) -> Iterable[Cell]:
    """Drops cells on workers that a job has failed on."""
    if not excluded:
        return cells
    return (
        cell
        for cell in cells
        if pool.get_worker(cell).shape.worker not in excluded
    )
