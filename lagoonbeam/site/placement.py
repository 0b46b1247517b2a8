"""Where a unit's tasks go: free room, near its data, in one rack."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable

from lagoonbeam.site.jobs import SchedulingUnit, Task
from lagoonbeam.site.model import WorkerReport
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.rooms import Room, Rooms, is_suited, make_room

Assignment = list[tuple[Task, str]]


def place_unit(
    unit: SchedulingUnit,
    rooms: Rooms,
    *,
    allow_far: bool,
    packing: PackingPolicy,
) -> Assignment | None:
    """Finds room for all tasks of a unit.

    Args:
        unit: What is to start.
        rooms: Usable workers of its service.
        allow_far: Whether it may run where it is slower: away from its
            data, or over several racks.
        packing: Sorts workers.

    Returns:
        A worker for each task, or None if they do not fit.
    """
    step = unit.spec
    suited = [r for r in rooms.values() if is_suited(r.report, step)]
    racks: dict[str, list[Room]] = defaultdict(list)
    for room in suited:
        racks[room.report.rack].append(room)
    if step.data_rack in racks:
        found = pack_unit(unit, racks[step.data_rack], packing)
        if found is not None or not allow_far:
            return found
    if len(unit.tasks) == 1 or not step.is_one_rack:
        return pack_unit(unit, suited, packing)
    found_in = (pack_unit(unit, rack, packing) for rack in racks.values())
    whole = [assignment for assignment in found_in if assignment]
    if whole and packing.weighs_racks:
        return min(whole, key=lambda each: _leftover(each, rooms))
    if whole:
        return whole[0]
    return pack_unit(unit, suited, packing) if allow_far else None


def could_be_near(
    unit: SchedulingUnit, reports: Iterable[WorkerReport]
) -> bool:
    """Whether an empty fleet could run a unit at full speed."""
    step = unit.spec
    racks: dict[str, int] = defaultdict(int)
    for report in reports:
        if is_suited(report, step):
            racks[report.rack] += make_room(report).count_fitting(
                unit, len(unit.tasks)
            )
    if step.data_rack:
        return racks.get(step.data_rack, 0) >= len(unit.tasks)
    if step.is_one_rack and len(unit.tasks) > 1:
        return any(count >= len(unit.tasks) for count in racks.values())
    return True


def pack_unit(
    unit: SchedulingUnit, rooms: Iterable[Room], packing: PackingPolicy
) -> Assignment | None:
    """Returns a worker for each task, or None if they do not all fit."""
    waiting = list(unit.tasks)
    assignment: Assignment = []
    for room in packing.sort(unit, rooms):
        count = room.count_fitting(unit, len(waiting))
        assignment += [(task, room.report.worker) for task in waiting[:count]]
        waiting = waiting[count:]
        if not waiting:
            return assignment
    return None


def _leftover(assignment: Assignment, rooms: Rooms) -> int:
    """Accelerators that stay free on the workers that are used."""
    used: dict[str, int] = defaultdict(int)
    for task, worker in assignment:
        used[worker] += task.unit.spec.accelerators
    return sum(rooms[w].accelerators - count for w, count in used.items())
