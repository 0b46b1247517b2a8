"""Placement of a unit's tasks on workers, with rack and data locality."""

from __future__ import annotations

from collections import defaultdict, deque
from collections.abc import Iterable

from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.model import WorkerReport
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    has_required_label,
    make_empty_capacity,
)

Assignment = list[tuple[Task, str]]


def place_unit(
    unit: PlacementUnit,
    capacities: CapacityMap,
    *,
    allow_nonlocal: bool,
    packing: PackingPolicy,
) -> Assignment | None:
    """Assigns all tasks of a unit to workers.

    Args:
        unit: The unit to place.
        capacities: Free capacity of usable workers of its service.
        allow_nonlocal: Whether it may run outside the rack of its data, or in
            several racks although it needs one; both make it slower.
        packing: Orders the workers.

    Returns:
        A worker for each task, or None if they do not all fit.
    """
    step = unit.spec
    eligible = [
        candidate
        for candidate in capacities.values()
        if has_required_label(candidate.report, step)
    ]
    racks: dict[str, list[WorkerCapacity]] = defaultdict(list)
    for capacity in eligible:
        racks[capacity.report.rack].append(capacity)
    if step.data_rack in racks:
        data_rack_assignment = pack_unit(unit, racks[step.data_rack], packing)
        if data_rack_assignment is not None or not allow_nonlocal:
            return data_rack_assignment
    if len(unit.tasks) == 1 or not step.is_one_rack:
        return pack_unit(unit, eligible, packing)
    rack_assignments = (
        pack_unit(unit, rack, packing) for rack in racks.values()
    )
    complete_assignments = [
        assignment for assignment in rack_assignments if assignment
    ]
    if complete_assignments and packing.chooses_best_fit_rack:
        return min(
            complete_assignments,
            key=lambda each: _count_leftover_accelerators(each, capacities),
        )
    if complete_assignments:
        return complete_assignments[0]
    return pack_unit(unit, eligible, packing) if allow_nonlocal else None


class PackingCursor:
    """Places equal single tasks one after the other in one packing order.

    Sorting all workers for each of hundreds of equal tasks would take most of
    a plan. It is valid as long as nothing else is placed in between.

    Args:
        first_unit: The first of the units, which consist of one task each.
        capacities: Free capacity of the workers that they may use.
        packing: Orders the workers.
    """

    def __init__(
        self,
        first_unit: PlacementUnit,
        capacities: CapacityMap,
        packing: PackingPolicy,
    ):
        eligible = (
            capacity
            for capacity in capacities.values()
            if has_required_label(capacity.report, first_unit.spec)
        )
        self._remaining = deque(packing.sort_workers(first_unit, eligible))

    def place(self, unit: PlacementUnit) -> Assignment | None:
        """Returns a worker for a unit's task, or None if it fits on none."""
        while self._remaining:
            capacity = self._remaining[0]
            if capacity.count_fitting(unit, 1):
                return [(unit.tasks[0], capacity.report.worker)]
            self._remaining.popleft()
        return None


def fits_locally_when_empty(
    unit: PlacementUnit, reports: Iterable[WorkerReport]
) -> bool:
    """Whether a unit would have a local placement on empty workers."""
    step = unit.spec
    racks: dict[str, int] = defaultdict(int)
    for report in reports:
        if has_required_label(report, step):
            racks[report.rack] += make_empty_capacity(report).count_fitting(
                unit, len(unit.tasks)
            )
    if step.data_rack:
        return racks.get(step.data_rack, 0) >= len(unit.tasks)
    if step.is_one_rack and len(unit.tasks) > 1:
        return any(count >= len(unit.tasks) for count in racks.values())
    return True


def pack_unit(
    unit: PlacementUnit,
    capacities: Iterable[WorkerCapacity],
    packing: PackingPolicy,
) -> Assignment | None:
    """Returns a worker for each task, or None if they do not all fit."""
    unassigned_tasks = list(unit.tasks)
    assignment: Assignment = []
    for capacity in packing.sort_workers(unit, capacities):
        count = capacity.count_fitting(unit, len(unassigned_tasks))
        assignment += [
            (task, capacity.report.worker) for task in unassigned_tasks[:count]
        ]
        unassigned_tasks = unassigned_tasks[count:]
        if not unassigned_tasks:
            return assignment
    return None


def _count_leftover_accelerators(
    assignment: Assignment, capacities: CapacityMap
) -> int:
    """Returns the accelerators left free on the workers of an assignment."""
    used_by_worker: dict[str, int] = defaultdict(int)
    for task, worker in assignment:
        used_by_worker[worker] += task.unit.spec.accelerators
    return sum(
        capacities[name].accelerators - count
        for name, count in used_by_worker.items()
    )
