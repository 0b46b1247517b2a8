"""Workers grouped by their speed."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable
from itertools import chain

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import Step
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    has_required_label,
)

PLENTIFUL_FRACTION = 0.5
"""Fraction of a group's capacity that must be free for urgent work to use it
without needing its speed; the rest is left for work that does."""


def group_by_speed(
    capacities: CapacityMap,
    step: Step,
    get_speed: Callable[[str], float],
) -> dict[float, CapacityMap]:
    """Returns the workers that have a step's label by speed, slowest first."""
    groups: dict[float, CapacityMap] = defaultdict(dict)
    for name, capacity in capacities.items():
        if has_required_label(capacity.report, step):
            groups[get_speed(name)][name] = capacity
    return dict(sorted(groups.items()))


class SpeedGroups:
    """The workers that a unit may use, by their speed.

    Args:
        unit: The unit to place.
        groups: Free capacity of the workers, by speed, slowest first.
    """

    def __init__(self, unit: PlacementUnit, groups: dict[float, CapacityMap]):
        self.speeds = list(groups)
        self._unit = unit
        self._groups = groups
        self._fitting_tasks: dict[float, int] = {}

    def get_group(self, speed: float) -> CapacityMap | None:
        """Returns the workers of a speed; None if the unit does not fit."""
        if self._count_fitting_tasks(speed) < len(self._unit.tasks):
            return None
        return self._groups[speed]

    def get_from_speed(self, min_speed: float) -> CapacityMap | None:
        """Returns the workers of at least a speed; None if it does not fit."""
        speeds = [speed for speed in self.speeds if speed >= min_speed]
        fitting = sum(map(self._count_fitting_tasks, speeds))
        if fitting < len(self._unit.tasks):
            return None
        return dict(
            chain.from_iterable(self._groups[speed].items() for speed in speeds)
        )

    def _count_fitting_tasks(self, speed: float) -> int:
        """Returns how many tasks fit on the workers of a speed.

        Counting stops as soon as the whole unit fits.
        """
        fitting = self._fitting_tasks.get(speed)
        if fitting is None:
            limit = len(self._unit.tasks)
            fitting = 0
            for capacity in self._groups[speed].values():
                fitting += capacity.count_fitting(self._unit, limit)
                if fitting >= limit:
                    break
            self._fitting_tasks[speed] = fitting
        return fitting

    def is_plentiful(self, speed: float) -> bool:
        """Whether most of a group's capacity is free."""
        capacities = self._groups[speed].values()
        if self._unit.spec.accelerators:
            free = sum(capacity.accelerators for capacity in capacities)
            total = sum(capacity.report.accelerators for capacity in capacities)
        else:
            free = sum(capacity.cpu_millis for capacity in capacities)
            total = sum(capacity.report.cpu_millis for capacity in capacities)
        return free > PLENTIFUL_FRACTION * total


class SlowestWorkerFirst(PackingPolicy):
    """Fills slow workers first, in another policy's order for each speed.

    Args:
        packing: Orders the workers of one speed.
        get_speed: Returns a worker's speed.
    """

    def __init__(
        self, packing: PackingPolicy, get_speed: Callable[[str], float]
    ):
        self.chooses_best_fit_rack = packing.chooses_best_fit_rack
        self._packing = packing
        self._get_speed = get_speed

    def sort_workers(
        self, unit: PlacementUnit, capacities: Iterable[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns workers in the order in which they are filled."""
        return sorted(
            self._packing.sort_workers(unit, capacities),
            key=lambda capacity: self._get_speed(capacity.report.worker),
        )
