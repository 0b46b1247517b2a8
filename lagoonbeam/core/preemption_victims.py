"""Selection of the running jobs to preempt for urgent work."""

from __future__ import annotations

from collections.abc import Iterable, Iterator

from lagoonbeam.core.cells import (
    WORKER_SPAN_SLOTS,
    Cell,
    round_up_to_power_of_two,
)
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.preemption.base import PreemptionPolicy


def place_by_preempting_lent(
    pool: WorkerPool,
    planned: PlannedJob,
    running_jobs: Iterable[PlannedJob],
    preemption: PreemptionPolicy,
) -> Placement | None:
    """Places an urgent job of one member on the cells of lent work.

    Args:
        pool: The pool to search.
        planned: The urgent job.
        running_jobs: The running jobs.
        preemption: Decides which jobs may be preempted, and at what cost.

    Returns:
        The placement with the lowest preemption cost, or None.
    """
    slots = round_up_to_power_of_two(pool.count_member_slots(planned.job.shape))
    if planned.job.shape.members > 1 or slots > WORKER_SPAN_SLOTS:
        return None
    victims = (
        running_job
        for running_job in running_jobs
        if running_job.placement is not None
        and running_job.placement.accelerated == pool.accelerated
        and preemption.may_preempt(planned, running_job.job.job_id)
    )
    options = (
        (preemption.compute_cost([victim.job.job_id]), cell)
        for victim in victims
        for cell in _iterate_preemptible_cells(pool, planned, victim, slots)
    )
    cheapest = min(options, default=None)
    if cheapest is None:
        return None
    stoppable = planned.job.stoppable
    standing = Standing.LENT if stoppable else Standing.EXCLUSIVE
    return Placement(pool.accelerated, (cheapest[1],), standing)


def find_victim_in_own_guarantee(
    pool: WorkerPool,
    planned: PlannedJob,
    running_jobs: Iterable[PlannedJob],
    preemption: PreemptionPolicy,
) -> PlannedJob | None:
    """Finds less urgent work on the same organisation's guarantee.

    Args:
        pool: The pool in which the urgent job is to run.
        planned: The urgent job.
        running_jobs: The running jobs.
        preemption: Determines the cost of preemption.

    Returns:
        The job with the lowest preemption cost, or None.
    """
    if not preemption.allows_preemption_within_organisation:
        return None
    slots = round_up_to_power_of_two(pool.count_member_slots(planned.job.shape))
    required_slots = slots * planned.job.shape.members
    victims = (
        running_job
        for running_job in running_jobs
        if running_job.job.organisation == planned.job.organisation
        and running_job.urgency_rank > planned.urgency_rank
        and running_job.job.stoppable
        and running_job.placement is not None
        and running_job.placement.standing is Standing.GUARANTEED
        and running_job.placement.slots >= required_slots
    )
    return min(
        victims,
        key=lambda victim: preemption.compute_cost([victim.job.job_id]),
        default=None,
    )


def _iterate_preemptible_cells(
    pool: WorkerPool, planned: PlannedJob, victim: PlannedJob, slots: int
) -> Iterator[Cell]:
    """Yields the cells of a victim that an urgent job could use."""
    assert victim.placement is not None
    cells = (
        Cell(cell.start, slots)
        for cell in victim.placement.cells
        if cell.slots >= slots and not pool.has_unhealthy_worker(cell)
    )
    if planned.job.stoppable:
        return cells
    return (
        cell for cell in cells if pool.guarantee_tracker.unclaimed.is_free(cell)
    )
