"""Interface of placement policies."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterable

from lagoonbeam.core.cells import BuddyFreeList, Cell
from lagoonbeam.core.planned_job import Placement, PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.preemption.base import PreemptionPolicy


class GuaranteeReach(enum.Enum):
    """Which cells a job may use for its organisation's guarantee.

    BOUND: free slots of cells that are bound to the guarantee already. IDLE:
    also unclaimed idle cells, which are then bound. ANY: also cells with lent
    work, which is then preempted.
    """

    BOUND = "bound"
    IDLE = "idle"
    ANY = "any"


class PlacementPolicy(ABC):
    """Chooses the cells of a gang.

    Attributes:
        honours_guarantees: Whether jobs are placed on guarantees.
    """

    honours_guarantees = True

    @abstractmethod
    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: GuaranteeReach,
    ) -> Placement | None:
        """Returns cells in the organisation's own guarantee, or None.

        Args:
            pool: Workers to place the gang on.
            planned: The job.
            preemption: Computes the cost of preempting jobs on a cell.
            reach: Which cells may be used.
        """

    @abstractmethod
    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, free_list: BuddyFreeList
    ) -> Placement | None:
        """Returns free cells, or None.

        Args:
            pool: Workers to place the gang on.
            planned: The job.
            free_list: Free slots that the gang may use.
        """


PLACEMENT_POLICIES: PluginRegistry[type[PlacementPolicy]] = PluginRegistry(
    "placement policy"
)


def exclude_workers(
    pool: WorkerPool, cells: Iterable[Cell], excluded: set[str]
) -> Iterable[Cell]:
    """Filters out cells on excluded workers, where the job failed before."""
    if not excluded:
        return cells
    return (
        cell
        for cell in cells
        if pool.get_worker(cell).shape.worker not in excluded
    )
