"""Reservations: cells set aside for the gang whose turn it is."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from itertools import chain

from lagoonbeam.core.cells import (
    RACK_SPAN,
    WORKER_SPAN,
    Cell,
    round_up,
)
from lagoonbeam.core.planned import PlannedJob, ShapeKey
from lagoonbeam.core.pool import Pool
from lagoonbeam.placement.cells import split_cell
from lagoonbeam.types import JobId

RESERVE_AFTER_S = 1.0
"""Wait after which a gang that does not fit gets a reservation."""
REPLAN_AFTER_S = 30.0
"""Age at which a reservation is planned anew."""


@dataclass(frozen=True)
class Reservation:
    """Cells that a waiting gang will get.

    Attributes:
        planned: The gang.
        pool: Where the cells are.
        cells: One cell for each member.
        start_s: When all of them are expected to be free.
        made_s: When the reservation was made.
    """

    planned: PlannedJob
    pool: Pool
    cells: tuple[Cell, ...]
    start_s: float
    made_s: float


def plan_reservation(
    pool: Pool,
    planned: PlannedJob,
    *,
    now_s: float,
    get_end_s: Callable[[JobId], float],
) -> Reservation | None:
    """Chooses the cells that are expected to be free first.

    Args:
        pool: Where to look.
        planned: The gang.
        now_s: The time now.
        get_end_s: Returns when a job is expected to leave its cells.

    Returns:
        The reservation, or None if the pool could never hold the gang.
    """
    shape = planned.job.shape
    slots = round_up(pool.count_member_slots(shape))
    members = shape.members
    wanted = slots
    if shape.adjacency == "worker" and members > 1:
        wanted, members = round_up(slots * members), 1
    if wanted > WORKER_SPAN:
        return None
    by_rack = [
        sorted(
            (_get_free_s(pool, cell, now_s, get_end_s), cell)
            for cell in _list_cells(
                pool, rack, wanted, stoppable=planned.job.stoppable
            )
        )
        for rack in pool.racks.values()
    ]
    choices = [timed[:members] for timed in by_rack if len(timed) >= members]
    if shape.adjacency == "none" and not choices:
        everywhere = sorted(chain.from_iterable(by_rack))
        choices = [everywhere[:members]] if len(everywhere) >= members else []
    if not choices:
        return None
    best = min(choices, key=lambda timed: timed[-1][0])
    cells = [cell for _, cell in best]
    if wanted != slots:
        cells = split_cell(cells[0], slots, shape.members)
    return Reservation(planned, pool, tuple(cells), best[-1][0], now_s)


def _list_cells(
    pool: Pool, rack: int, slots: int, *, stoppable: bool
) -> list[Cell]:
    first = rack * RACK_SPAN
    cells = (Cell(s, slots) for s in range(first, first + RACK_SPAN, slots))
    return [
        cell
        for cell in cells
        if pool.is_open(cell)
        and (stoppable or pool.book.unclaimed.is_free(cell))
    ]


def _get_free_s(
    pool: Pool,
    cell: Cell,
    now_s: float,
    get_end_s: Callable[[JobId], float],
) -> float:
    ends = (get_end_s(job_id) for job_id in pool.list_occupants(cell))
    return max(ends, default=now_s)


class Reservations:
    """Keeps at most one reservation of a zone.

    Attributes:
        current: The reservation, if there is one.
    """

    def __init__(self) -> None:
        self.current: Reservation | None = None
        self._blocked: dict[ShapeKey, PlannedJob] = {}
        self._refused: set[JobId] = set()

    def is_old(self, now_s: float) -> bool:
        """Whether the reservation is to be planned anew."""
        made_s = self.current.made_s if self.current else now_s
        return now_s >= made_s + REPLAN_AFTER_S

    def note_blocked(self, planned: PlannedJob) -> None:
        """Takes note of a job that did not fit, if it may starve."""
        shape = planned.job.shape
        is_large = shape.members * shape.accelerators > 1
        if is_large and not planned.key.urgent:
            self._blocked[planned.key] = planned

    def choose(
        self,
        waiting: Container[JobId],
        *,
        now_s: float,
        compute_order_key: Callable[[PlannedJob], tuple[float, ...]],
    ) -> PlannedJob | None:
        """Returns the gang that does not fit and whose turn is first.

        Args:
            waiting: The queued jobs.
            now_s: The time now.
            compute_order_key: Returns a job's sort key; the lowest goes first.
        """
        self._blocked = {
            key: planned
            for key, planned in self._blocked.items()
            if planned.job.job_id in waiting
        }
        found = (
            planned
            for planned in self._blocked.values()
            if planned.queued_at_s <= now_s - RESERVE_AFTER_S
            and planned.job.job_id not in self._refused
        )
        return min(found, key=compute_order_key, default=None)

    def make(
        self,
        pool: Pool,
        planned: PlannedJob,
        *,
        now_s: float,
        get_end_s: Callable[[JobId], float],
    ) -> bool:
        """Sets cells aside; returns whether the pool could hold the gang."""
        self.current = plan_reservation(
            pool, planned, now_s=now_s, get_end_s=get_end_s
        )
        if self.current is None:
            return False
        pool.hold(list(self.current.cells))
        return True

    def drop(self) -> None:
        """Ends the reservation."""
        if self.current is not None:
            self.current.pool.unhold()
            self.current = None

    def drop_for(self, job_id: JobId) -> None:
        """Ends the reservation if it is this job's."""
        if self.current and self.current.planned.job.job_id == job_id:
            self.drop()

    def refuse(self, planned: PlannedJob) -> None:
        """Reserves nothing for a job whose claim was refused."""
        self._refused.add(planned.job.job_id)

    def forget_refusals(self) -> None:
        """Allows reservations for all jobs again."""
        self._refused.clear()
