"""Which running work makes room for urgent work."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from lagoonbeam.core.cells import WORKER_SPAN, Cell, round_up
from lagoonbeam.core.planned import Placement, PlannedJob, Standing
from lagoonbeam.core.pool import Pool
from lagoonbeam.preemption.base import PreemptionPolicy


def place_over_lent(
    pool: Pool,
    planned: PlannedJob,
    running: Iterable[PlannedJob],
    preemption: PreemptionPolicy,
) -> Placement | None:
    """Places a single urgent task over lent work that is less urgent.

    Args:
        pool: Where to look.
        planned: The urgent job.
        running: Jobs that run.
        preemption: Says which may be stopped and what that costs.

    Returns:
        The placement whose victim loses the least, or None.
    """
    slots = round_up(pool.count_member_slots(planned.job.shape))
    if planned.job.shape.members > 1 or slots > WORKER_SPAN:
        return None
    victims = (
        other
        for other in running
        if other.placement is not None
        and other.placement.accelerated == pool.accelerated
        and preemption.may_preempt(planned, other.job.job_id)
    )
    choices = (
        (preemption.compute_cost([victim.job.job_id]), cell)
        for victim in victims
        for cell in _list_cells(pool, planned, victim, slots)
    )
    best = min(choices, default=None)
    if best is None:
        return None
    stoppable = planned.job.stoppable
    standing = Standing.LENT if stoppable else Standing.EXCLUSIVE
    return Placement(pool.accelerated, (best[1],), standing)


def find_own_victim(
    pool: Pool,
    planned: PlannedJob,
    running: Iterable[PlannedJob],
    preemption: PreemptionPolicy,
) -> PlannedJob | None:
    """Finds less urgent work on the same organisation's guarantee.

    Args:
        pool: Where the urgent job is to run.
        planned: The urgent job.
        running: Jobs that run.
        preemption: Says what stopping costs.

    Returns:
        The job that loses the least, or None.
    """
    if not preemption.allows_preemption_within_organisation:
        return None
    slots = round_up(pool.count_member_slots(planned.job.shape))
    wanted = slots * planned.job.shape.members
    victims = (
        other
        for other in running
        if other.job.organisation == planned.job.organisation
        and other.rank > planned.rank
        and other.job.stoppable
        and other.placement is not None
        and other.placement.standing is Standing.GUARANTEED
        and other.placement.slots >= wanted
    )
    return min(
        victims,
        key=lambda each: preemption.compute_cost([each.job.job_id]),
        default=None,
    )


def _list_cells(
    pool: Pool, planned: PlannedJob, victim: PlannedJob, slots: int
) -> Iterator[Cell]:
    """Yields the cells of a victim that an urgent job could take."""
    assert victim.placement is not None
    cells = (
        Cell(cell.start, slots)
        for cell in victim.placement.cells
        if cell.slots >= slots and not pool.is_closed(cell)
    )
    if planned.job.stoppable:
        return cells
    return (cell for cell in cells if pool.book.unclaimed.is_free(cell))
