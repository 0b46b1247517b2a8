"""The planner's state of a job and the placement of its gang."""

from __future__ import annotations

import enum
import functools
from collections.abc import Iterable
from dataclasses import dataclass, field

from lagoonbeam.core.cells import Cell
from lagoonbeam.core.jobs import URGENCY_RANKS, GangShape, Job
from lagoonbeam.types import JobId


class Standing(enum.StrEnum):
    """By which right a job uses its cells.

    GUARANTEED work uses its organisation's guarantee. LENT work uses slots
    that others leave idle, and can be preempted. EXCLUSIVE work can be neither
    stopped nor repeated, and uses cells that no organisation is guaranteed.
    """

    GUARANTEED = "guaranteed"
    LENT = "lent"
    EXCLUSIVE = "exclusive"


@dataclass(frozen=True)
class ShapeKey:
    """The properties that decide where a job fits.

    Jobs with equal keys fit on the same cells. `intern_shape_key` returns the
    same object for equal keys, which makes dictionary lookups cheap.

    Attributes:
        shape: Shape of the gang.
        stoppable: Whether the job may be stopped.
        urgent: Whether the job is urgent.
        excluded_workers: Workers on which the job has failed.
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
    """Returns the shared key object for these values."""
    return ShapeKey(shape, stoppable, urgent, excluded_workers)


@dataclass(frozen=True)
class Placement:
    """The cells chosen for a gang.

    Attributes:
        accelerated: Whether they are in the pool with accelerators.
        cells: The cell of each member, in member order.
        standing: By which right the cells are used; for a gang that is partly
            guaranteed, the standing of the other members.
        bound: For each member, the bound cell of the organisation's guarantee
            that contains it, or None outside the guarantee. Empty if all
            members are outside.
    """

    accelerated: bool
    cells: tuple[Cell, ...]
    standing: Standing
    bound: tuple[Cell | None, ...] = ()

    @property
    def members(self) -> list[tuple[Cell, Cell | None]]:
        """The cell and the bound cell of each member."""
        bound = self.bound or (None,) * len(self.cells)
        return list(zip(self.cells, bound, strict=True))

    @property
    def slots(self) -> int:
        """Total slots of all members."""
        return sum(cell.slots for cell in self.cells)


@dataclass
class PlannedJob:
    """A job of a zone's planner, queued or placed.

    Attributes:
        job: The job.
        queued_at_s: Time at which it was first queued.
        estimated_run_s: Declared run time, corrected by past observations.
        placement: Its cells; None while it is queued.
        blocking_jobs: Jobs that still have to leave its cells.
        started_at_s: Time of its latest start; 0 before the first.
        checkpointed_s: Run time preserved by a checkpoint.
        stop_requested: Whether it has been asked to stop.
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
        """The properties that decide where the job fits."""
        return intern_shape_key(
            self.job.shape,
            stoppable=self.job.stoppable,
            urgent=self.job.urgency == "urgent",
            excluded_workers=frozenset(self.excluded_workers),
        )

    def add_excluded_workers(self, workers: Iterable[str]) -> None:
        """Excludes workers for the job.

        The job must not be queued: ordering policies group queued jobs by key.
        """
        self.excluded_workers.update(workers)
        self.__dict__.pop("key", None)

    def clear_excluded_workers(self) -> None:
        """Allows all workers for the job again; it must not be queued."""
        self.excluded_workers.clear()
        self.__dict__.pop("key", None)

    @property
    def urgency_rank(self) -> int:
        """Rank of the job's urgency; lower ranks go first."""
        return URGENCY_RANKS[self.job.urgency]

    def estimate_end_s(self, now_s: float) -> float:
        """Returns the time at which the job is expected to end.

        A job that has exceeded its estimate is expected to run for as long
        again as it has run since its start.
        """
        end_s = self.started_at_s + self.estimated_run_s - self.checkpointed_s
        if end_s > now_s or not self.started_at_s:
            return end_s
        return now_s + (now_s - self.started_at_s)
