"""A reservation: cells set aside for the oldest gang that does not fit."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass
from itertools import chain

from lagoonbeam.core.cells import (
    RACK_SPAN,
    WORKER_SPAN,
    Cell,
    round_up,
)
from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.core.pool import Pool
from lagoonbeam.placement.cells import split_cell
from lagoonbeam.types import JobId


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
