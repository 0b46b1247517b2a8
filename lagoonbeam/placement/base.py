"""What a placement policy must do."""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Iterable

from lagoonbeam.core.cells import Cell, CellSpace
from lagoonbeam.core.planned import Placement, PlannedJob
from lagoonbeam.core.pool import Pool
from lagoonbeam.core.registry import Registry
from lagoonbeam.preemption.base import PreemptionPolicy


class GuaranteeReach(enum.Enum):
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
        pool: Pool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: GuaranteeReach,
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
        self, pool: Pool, planned: PlannedJob, free_list: CellSpace
    ) -> Placement | None:
        """Returns free cells, or None.

        Args:
            pool: Where to look.
            planned: The job.
            free_list: The free slots that it may use.
        """


PLACEMENT_POLICIES: Registry[type[PlacementPolicy]] = Registry(
    "placement policy"
)


def exclude_workers(
    pool: Pool, cells: Iterable[Cell], excluded: set[str]
) -> Iterable[Cell]:
    """Drops cells on workers that a job has failed on."""
    if not excluded:
        return cells
    return (
        cell
        for cell in cells
        if pool.get_worker(cell).shape.worker not in excluded
    )
