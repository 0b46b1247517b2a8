"""Whether the workers of a zone could run a job when they are idle."""

from __future__ import annotations

import collections
from collections.abc import Iterable

from lagoonbeam.core.cells import WORKER_SPAN, round_up
from lagoonbeam.core.choosing import PlaceChooser
from lagoonbeam.core.claims import release_claims, take_claims
from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.core.pool import Pool, WorkerShape
from lagoonbeam.errors import ImpossibleShapeError, InvariantError
from lagoonbeam.placement import GuaranteeReach
from lagoonbeam.types import ZoneName


def check_shape(zone: ZoneName, pools: Iterable[Pool], job: Job) -> None:
    """Checks that the workers of an idle zone could hold a gang.

    Raises:
        ImpossibleShapeError: If they could not, even when empty.
    """
    faults = [find_fault(pool, job.shape) for pool in pools]
    if all(faults):
        raise ImpossibleShapeError(f"zone {zone!r}: {faults[0]}")


def check_claims(
    zone: ZoneName,
    pools: Iterable[Pool],
    planned: PlannedJob,
    chooser: PlaceChooser,
) -> None:
    """Checks that work that cannot be stopped has cells to run on.

    Args:
        zone: The zone.
        pools: The pools to try.
        planned: The job; its claims are taken and released again.
        chooser: Chooses cells.

    Raises:
        ImpossibleShapeError: If the guarantees leave too few.
    """
    organisation = planned.job.organisation
    for pool in pools:
        for placement in (
            chooser.reach(pool, planned, GuaranteeReach.IDLE),
            chooser.placement.place_free(pool, planned, pool.free),
        ):
            if placement is None:
                continue
            try:
                take_claims(pool, organisation, placement)
            except InvariantError:
                continue
            release_claims(pool, organisation, placement)
            return
    raise ImpossibleShapeError(
        f"zone {zone!r}: a job that can be neither stopped nor repeated may"
        " use its organisation's guarantee and slots that no organisation is"
        f" guaranteed; {planned.job.shape.members} members do not fit there"
    )


def find_fault(pool: Pool, shape: GangShape) -> str:
    """Returns why a pool could never hold a gang, or an empty text.

    Args:
        pool: The pool; what runs in it does not matter.
        shape: The gang's shape.
    """
    if shape.accelerators and not pool.accelerated:
        return "it has no accelerators"
    if not pool.workers:
        return "it has no workers"
    exact = pool.count_member_slots(shape)
    if exact > WORKER_SPAN:
        return (
            f"a member needs {exact} slots (accelerators, cores and memory),"
            f" expected at most {WORKER_SPAN}"
        )
    slots = round_up(exact)
    room = _count_room(pool, shape, slots)
    if room >= shape.members:
        return ""
    return (
        f"{shape.members} members of {slots} slots with adjacency"
        f" {shape.adjacency!r}, expected at most {room} members"
    )


def _count_room(pool: Pool, shape: GangShape, slots: int) -> int:
    """Returns the largest gang of such members that fits."""
    workers = [place.shape for place in pool.workers.values()]
    if shape.members > 1 and shape.adjacency == "worker":
        largest = max(map(_count_slots, workers))
        whole = round_up(slots * shape.members)
        return shape.members if whole <= largest else largest // slots
    if shape.adjacency == "rack":
        per_rack: collections.Counter[str] = collections.Counter()
        for worker in workers:
            per_rack[worker.rack] += _count_slots(worker) // slots
        return max(per_rack.values())
    return sum(_count_slots(worker) // slots for worker in workers)


def _count_slots(worker: WorkerShape) -> int:
    return min(worker.slots, worker.accelerators or worker.slots)
