"""Checks whether the workers of a zone could run a job when idle."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lagoonbeam.core.cells import WORKER_SPAN_SLOTS, round_up_to_power_of_two
from lagoonbeam.core.claims import acquire_claims, release_claims
from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.placement_chooser import PlacementChooser
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.worker_pool import WorkerPool, WorkerShape
from lagoonbeam.errors import ImpossibleShapeError, InvariantError
from lagoonbeam.placement import GuaranteeReach
from lagoonbeam.types import ZoneName


def check_shape_fits(
    zone: ZoneName, pools: Iterable[WorkerPool], job: Job
) -> None:
    """Checks that the workers of an idle zone have the capacity for a gang.

    Raises:
        ImpossibleShapeError: If the gang does not fit in any pool.
    """
    problems = [explain_infeasible_shape(pool, job.shape) for pool in pools]
    if all(problems):
        raise ImpossibleShapeError(f"zone {zone!r}: {problems[0]}")


def check_claims_fit(
    zone: ZoneName,
    pools: Iterable[WorkerPool],
    planned: PlannedJob,
    placement_chooser: PlacementChooser,
) -> None:
    """Checks that a job that cannot be stopped can acquire its claims.

    Args:
        zone: Name of the zone.
        pools: The pools to try.
        planned: The job; its claims are acquired and released again.
        placement_chooser: Chooses the cells.

    Raises:
        ImpossibleShapeError: If the guarantees leave too few cells.
    """
    organisation = planned.job.organisation
    for pool in pools:
        for placement in (
            placement_chooser.reach(pool, planned, GuaranteeReach.IDLE),
            placement_chooser.placement.place_free(pool, planned, pool.free),
        ):
            if placement is None:
                continue
            try:
                acquire_claims(pool, organisation, placement)
            except InvariantError:
                continue
            release_claims(pool, organisation, placement)
            return
    raise ImpossibleShapeError(
        f"zone {zone!r}: a job that can be neither stopped nor repeated may"
        " use its organisation's guarantee and slots that no organisation is"
        f" guaranteed; {planned.job.shape.members} members do not fit there"
    )


def explain_infeasible_shape(pool: WorkerPool, shape: GangShape) -> str:
    """Returns why a gang can never fit in a pool, or an empty string.

    Args:
        pool: The pool; its running jobs are ignored.
        shape: Shape of the gang.
    """
    if shape.accelerators and not pool.accelerated:
        return "it has no accelerators"
    if not pool.workers:
        return "it has no workers"
    member_slots = pool.count_member_slots(shape)
    if member_slots > WORKER_SPAN_SLOTS:
        return (
            f"a member needs {member_slots} slots (accelerators, cores and"
            f" memory), expected at most {WORKER_SPAN_SLOTS}"
        )
    slots = round_up_to_power_of_two(member_slots)
    max_members = _count_max_members(pool, shape, slots)
    if max_members >= shape.members:
        return ""
    return (
        f"{shape.members} members of {slots} slots with adjacency"
        f" {shape.adjacency!r}, expected at most {max_members} members"
    )


def _count_max_members(pool: WorkerPool, shape: GangShape, slots: int) -> int:
    """Returns the largest number of such members that fits."""
    workers = [pooled_worker.shape for pooled_worker in pool.workers.values()]
    if shape.members > 1 and shape.adjacency == "worker":
        largest_worker_slots = max(map(_count_worker_slots, workers))
        gang_slots = round_up_to_power_of_two(slots * shape.members)
        return (
            shape.members
            if gang_slots <= largest_worker_slots
            else largest_worker_slots // slots
        )
    if shape.adjacency == "rack":
        members_by_rack: collections.Counter[str] = collections.Counter()
        for worker in workers:
            members_by_rack[worker.rack] += _count_worker_slots(worker) // slots
        return max(members_by_rack.values())
    return sum(_count_worker_slots(worker) // slots for worker in workers)


def _count_worker_slots(worker: WorkerShape) -> int:
    return min(worker.slots, worker.accelerators or worker.slots)
