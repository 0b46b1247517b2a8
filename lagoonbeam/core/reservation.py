"""Reservations: cells set aside for the gang whose turn it is."""

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
"""Wait after which a gang that does not fit gets a reservation."""
MAX_RESERVATION_AGE_S = 30.0
"""Age at which a reservation is planned anew."""


@dataclass(frozen=True)
class Reservation:
    """Cells that a waiting gang will get.

    Attributes:
        planned: The gang.
        pool: Where the cells are.
        cells: One cell for each member.
        expected_start_s: When all of them are expected to be free.
        created_at_s: When the reservation was made.
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
    """Chooses the cells that are expected to be free first.

    Args:
        pool: Where to look.
        planned: The gang.
        now_s: The time now.
        estimate_end_s: Returns when a job is expected to leave its cells.

    Returns:
        The reservation, or None if the pool could never hold the gang.
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
    """Keeps at most one reservation of a zone.

    Attributes:
        current: The reservation, if there is one.
    """

    def __init__(self) -> None:
        self.current: Reservation | None = None
        self._blocked_gangs: dict[ShapeKey, PlannedJob] = {}
        self._rejected_job_ids: set[JobId] = set()

    def is_expired(self, now_s: float) -> bool:
        """Whether the reservation is to be planned anew."""
        created_at_s = self.current.created_at_s if self.current else now_s
        return now_s >= created_at_s + MAX_RESERVATION_AGE_S

    def record_blocked_gang(self, planned: PlannedJob) -> None:
        """Takes note of a job that did not fit, if it may starve."""
        shape = planned.job.shape
        is_large = shape.members * shape.accelerators > 1
        if is_large and not planned.key.urgent:
            self._blocked_gangs[planned.key] = planned

    def choose_blocked_gang(
        self,
        queued_jobs: Container[JobId],
        *,
        now_s: float,
        rate: Callable[[PlannedJob], tuple[float, ...]],
    ) -> PlannedJob | None:
        """Returns the gang that does not fit and whose turn is first.

        Args:
            queued_jobs: The queued jobs.
            now_s: The time now.
            rate: How late a job's turn is.
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
        return min(eligible, key=rate, default=None)

    def try_reserve(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        *,
        now_s: float,
        estimate_end_s: Callable[[JobId], float],
    ) -> bool:
        """Sets cells aside; returns whether the pool could hold the gang."""
        self.current = plan_reservation(
            pool, planned, now_s=now_s, estimate_end_s=estimate_end_s
        )
        if self.current is None:
            return False
        pool.reserve(list(self.current.cells))
        return True

    def cancel(self) -> None:
        """Ends the reservation."""
        if self.current is not None:
            self.current.pool.unreserve()
            self.current = None

    def cancel_for_job(self, job_id: JobId) -> None:
        """Ends the reservation if it is this job's."""
        if self.current and self.current.planned.job.job_id == job_id:
            self.cancel()

    def reject_job(self, planned: PlannedJob) -> None:
        """Reserves nothing for a job whose claim was refused."""
        self._rejected_job_ids.add(planned.job.job_id)

    def clear_rejections(self) -> None:
        """Allows reservations for all jobs again."""
        self._rejected_job_ids.clear()
