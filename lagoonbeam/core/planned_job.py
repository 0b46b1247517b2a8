"""A job as the planner of its zone sees it."""

from __future__ import annotations

import enum
import functools
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonbeam.core.cells import Cell
from lagoonbeam.core.jobs import URGENCY_RANKS, GangShape, Job
from lagoonbeam.types import JobId


class Standing(enum.StrEnum):
    """On whose cells a job runs.

    GUARANTEED work uses its organisation's guarantee. LENT work uses what
    others leave and can be stopped. EXCLUSIVE work can be neither stopped nor
    repeated and uses cells that nobody is guaranteed.
    """

    GUARANTEED = "guaranteed"
    LENT = "lent"
    EXCLUSIVE = "exclusive"


@dataclass(frozen=True)
class ShapeKey:
    """Jobs with equal keys fit in the same places.

    `intern_shape_key` returns the same object for equal keys, so that looking
    them up costs little.

    Attributes:
        shape: The gang's shape.
        stoppable: Whether it may be stopped.
        urgent: Whether it is urgent.
        excluded_workers: Workers on which it has failed.
    """

    shape: GangShape
    stoppable: bool
    urgent: bool
    excluded_workers: frozenset[str] = frozenset()

    def __hash__(self) -> int:
        return self._hash

    @functools.cached_property
    def _hash(self) -> int:
        return hash(
            (self.shape, self.stoppable, self.urgent, self.excluded_workers)
        )


@functools.lru_cache(maxsize=4_096)
def intern_shape_key(
    shape: GangShape,
    *,
    stoppable: bool,
    urgent: bool,
    excluded_workers: frozenset[str],
) -> ShapeKey:
    """Returns the one key object of these values."""
    return ShapeKey(shape, stoppable, urgent, excluded_workers)


@dataclass(frozen=True)
class Placement:
    """Where a gang goes.

    Attributes:
        accelerated: Which pool.
        cells: The cell of each member, in member order.
        standing: On whose cells; of a gang that is partly guaranteed, the
            standing of the other members.
        bound: The bound cell of its organisation's guarantee that holds each
            member; None for members outside it. Empty if all are outside.
    """

    accelerated: bool
    cells: tuple[Cell, ...]
    standing: Standing
    bound: tuple[Cell | None, ...] = ()

    @property
    def members(self) -> list[tuple[Cell, Cell | None]]:
        """Each member's cell and bound cell."""
        bound = self.bound or (None,) * len(self.cells)
        return list(zip(self.cells, bound, strict=True))

    @property
    def slots(self) -> int:
        """Slots of all members."""
        return sum(cell.slots for cell in self.cells)


@dataclass
class PlannedJob:
    """A job in a zone's planner.

    Attributes:
        job: The job.
        queued_at_s: When it joined the queue (for the first time).
        estimated_run_s: Corrected run time.
        placement: Its cells, once chosen.
        blocking_jobs: Jobs that must leave its cells first.
        started_at_s: When it was started; 0 before.
        checkpointed_s: Run time that a checkpoint preserved.
        stop_requested: Whether it has been told to stop.
        excluded_workers: Workers on which it has failed.
    """

    job: Job
    queued_at_s: float
    estimated_run_s: float = 0.0
    placement: Placement | None = None
    blocking_jobs: set[JobId] = field(default_factory=set)
    started_at_s: float = 0.0
    checkpointed_s: float = 0.0
    stop_requested: bool = False
    excluded_workers: set[str] = field(default_factory=set)

    @functools.cached_property
    def key(self) -> ShapeKey:
        """What decides where it fits; see `exclude`."""
        return intern_shape_key(
            self.job.shape,
            stoppable=self.job.stoppable,
            urgent=self.job.urgency == "urgent",
            excluded_workers=frozenset(self.excluded_workers),
        )

    def add_excluded_workers(self, workers: Iterable[str]) -> None:
        """Keeps the job away from workers; it must not be queued."""
        self.excluded_workers.update(workers)
        self.__dict__.pop("key", None)

    def clear_excluded_workers(self) -> None:
        """Lets the job run anywhere again; it must not be queued."""
        self.excluded_workers.clear()
        self.__dict__.pop("key", None)

    @property
    def urgency_rank(self) -> int:
        """Rank of its urgency; lower goes first."""
        return URGENCY_RANKS[self.job.urgency]

    def estimate_end_s(self, now_s: float) -> float:
        """Returns when it is expected to end.

        A job that has outrun its estimate is expected to take as long again.
        """
        end_s = self.started_at_s + self.estimated_run_s - self.checkpointed_s
        if end_s > now_s or not self.started_at_s:
            return end_s
        return now_s + (now_s - self.started_at_s)
