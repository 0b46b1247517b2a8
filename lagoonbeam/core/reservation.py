"""Reservations: cells held back for a gang that does not fit yet."""

from __future__ import annotations

from collections.abc import Callable, Container
from dataclasses import dataclass
from itertools import chain

from lagoonbeam.core.cells import (
    RACK_SPAN_SLOTS,
    WORKER_SPAN_SLOTS,
    Cell,
    round_up_to_power_of_two,
)
from lagoonbeam.core.planned_job import PlannedJob, ShapeKey
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.placement.cells import split_cell
from lagoonbeam.types import JobId

MIN_RESERVATION_WAIT_S = 1.0
"""Queueing time after which a gang that does not fit may get a reservation."""
MAX_RESERVATION_AGE_S = 30.0
"""Age at which a reservation is cancelled and planned again."""


@dataclass(frozen=True)
class Reservation:
    """Cells reserved for a queued gang.

    Attributes:
        planned: The job of the gang.
        pool: The pool of the cells.
        cells: One cell for each member.
        expected_start_s: Time at which all cells are expected to be free.
        created_at_s: Time at which the reservation was made.
    """

    planned: PlannedJob
    pool: WorkerPool
    cells: tuple[Cell, ...]
    expected_start_s: float
    created_at_s: float


def plan_reservation(
    pool: WorkerPool,
    planned: PlannedJob,
    *,
    now_s: float,
    estimate_end_s: Callable[[JobId], float],
) -> Reservation | None:
    """Chooses the cells that are expected to become free the earliest.

    Args:
        pool: The pool to search.
        planned: The job of the gang.
        now_s: The current time.
        estimate_end_s: Returns when a job is expected to leave its cells.

    Returns:
        The reservation, or None if the pool has too few cells for the gang.
    """
    shape = planned.job.shape
    slots = round_up_to_power_of_two(pool.count_member_slots(shape))
    members = shape.members
    cell_slots = slots
    if shape.adjacency == "worker" and members > 1:
        cell_slots, members = round_up_to_power_of_two(slots * members), 1
    if cell_slots > WORKER_SPAN_SLOTS:
        return None
    timed_cells_by_rack = [
        sorted(
            (_estimate_vacated_at_s(pool, cell, now_s, estimate_end_s), cell)
            for cell in _list_reservable_cells(
                pool, rack_index, cell_slots, stoppable=planned.job.stoppable
            )
        )
        for rack_index in pool.rack_indices.values()
    ]
    candidates = [
        timed_cells[:members]
        for timed_cells in timed_cells_by_rack
        if len(timed_cells) >= members
    ]
    if shape.adjacency == "none" and not candidates:
        all_timed_cells = sorted(chain.from_iterable(timed_cells_by_rack))
        candidates = (
            [all_timed_cells[:members]]
            if len(all_timed_cells) >= members
            else []
        )
    if not candidates:
        return None
    earliest = min(candidates, key=lambda timed_cells: timed_cells[-1][0])
    cells = [cell for _, cell in earliest]
    if cell_slots != slots:
        cells = split_cell(cells[0], slots, shape.members)
    return Reservation(planned, pool, tuple(cells), earliest[-1][0], now_s)


def _list_reservable_cells(
    pool: WorkerPool, rack_index: int, slots: int, *, stoppable: bool
) -> list[Cell]:
    first_slot = rack_index * RACK_SPAN_SLOTS
    cells = (
        Cell(start, slots)
        for start in range(first_slot, first_slot + RACK_SPAN_SLOTS, slots)
    )
    return [
        cell
        for cell in cells
        if pool.is_schedulable(cell)
        and (stoppable or pool.guarantee_tracker.unclaimed.is_free(cell))
    ]


def _estimate_vacated_at_s(
    pool: WorkerPool,
    cell: Cell,
    now_s: float,
    estimate_end_s: Callable[[JobId], float],
) -> float:
    end_times = (estimate_end_s(job_id) for job_id in pool.list_occupants(cell))
    return max(end_times, default=now_s)


class ReservationManager:
    """Holds the only reservation of a zone and the gangs that may get one.

    Attributes:
        current: The reservation, or None.
    """

    def __init__(self) -> None:
        self.current: Reservation | None = None
        self._blocked_gangs: dict[ShapeKey, PlannedJob] = {}
        self._rejected_job_ids: set[JobId] = set()

    def is_expired(self, now_s: float) -> bool:
        """Whether the reservation has reached its maximum age."""
        created_at_s = self.current.created_at_s if self.current else now_s
        return now_s >= created_at_s + MAX_RESERVATION_AGE_S

    def record_blocked_gang(self, planned: PlannedJob) -> None:
        """Records a job that did not fit, if it could starve.

        Urgent jobs and jobs with at most one accelerator in total are not
        recorded.
        """
        shape = planned.job.shape
        is_large = shape.members * shape.accelerators > 1
        if is_large and not planned.key.urgent:
            self._blocked_gangs[planned.key] = planned

    def choose_blocked_gang(
        self,
        queued_jobs: Container[JobId],
        *,
        now_s: float,
        compute_order_key: Callable[[PlannedJob], tuple[float, ...]],
    ) -> PlannedJob | None:
        """Returns the blocked gang that comes first in the queue order.

        Args:
            queued_jobs: The queued jobs.
            now_s: The current time.
            compute_order_key: Returns the sort key of a job; the lowest goes
                first.
        """
        self._blocked_gangs = {
            key: planned
            for key, planned in self._blocked_gangs.items()
            if planned.job.job_id in queued_jobs
        }
        eligible = (
            planned
            for planned in self._blocked_gangs.values()
            if planned.queued_at_s <= now_s - MIN_RESERVATION_WAIT_S
            and planned.job.job_id not in self._rejected_job_ids
        )
        return min(eligible, key=compute_order_key, default=None)

    def try_reserve(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        *,
        now_s: float,
        estimate_end_s: Callable[[JobId], float],
    ) -> bool:
        """Reserves cells for a gang; returns whether the pool has enough."""
        self.current = plan_reservation(
            pool, planned, now_s=now_s, estimate_end_s=estimate_end_s
        )
        if self.current is None:
            return False
        pool.reserve(list(self.current.cells))
        return True

    def cancel(self) -> None:
        """Cancels the reservation, if there is one."""
        if self.current is not None:
            self.current.pool.unreserve()
            self.current = None

    def cancel_for_job(self, job_id: JobId) -> None:
        """Cancels the reservation if it belongs to the job."""
        if self.current and self.current.planned.job.job_id == job_id:
            self.cancel()

    def reject_job(self, planned: PlannedJob) -> None:
        """Excludes a job whose claims could not be acquired."""
        self._rejected_job_ids.add(planned.job.job_id)

    def clear_rejections(self) -> None:
        """Readmits all jobs that were excluded by `reject_job`."""
        self._rejected_job_ids.clear()
