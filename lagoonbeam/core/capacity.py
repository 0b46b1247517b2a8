"""Whether the workers of a pool could hold a gang when they are idle."""

from __future__ import annotations

import collections

from lagoonbeam.core.cells import WORKER_SPAN, round_up
from lagoonbeam.core.jobs import GangShape
from lagoonbeam.core.pool import Pool, WorkerShape


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
