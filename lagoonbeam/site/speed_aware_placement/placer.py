"""Places units where their slowest worker lets them end in time."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Iterator
from itertools import chain

from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.placement import Assignment, place_unit
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.speed_aware_placement.needed_speed import (
    compute_needed_speed,
)
from lagoonbeam.site.speed_aware_placement.speed_groups import (
    SlowestWorkerFirst,
    SpeedGroups,
    group_by_speed,
)
from lagoonbeam.site.worker_capacity import CapacityMap

NONLOCAL_SLOWDOWN = 3.0
"""Factor for the run time outside the rack of the data, or over racks."""


class SpeedAwarePlacer:
    """Places the units of one plan by the speed that they need.

    A run lasts as long as its slowest task, so a gang is placed on workers of
    one speed where possible. Of the speeds that let a unit end in time, the
    slowest one is used, which leaves fast workers for work that needs them.
    An urgent unit with little time to spare uses the fastest one of which
    much is free. If no speed suffices, the fastest slowest worker is chosen.

    With workers of equal speed, placements are those of `place_unit`.

    Args:
        planner_state: Holds the worker speeds and run time estimates.
        workers: Names of the usable workers.
        get_policy: Returns the current policy of a job's queue.
        now_s: Wall clock time.
    """

    def __init__(
        self,
        planner_state: PlannerState,
        workers: Iterable[str],
        get_policy: Callable[[SiteJob], QueuePolicy],
        now_s: float,
    ):
        self._is_uneven = planner_state.worker_speeds.is_uneven
        self._estimator = planner_state.estimator
        self._decisions = planner_state.decisions
        self._packing = planner_state.policies.packing
        self._slow_first_packing = SlowestWorkerFirst(
            self._packing, self._get_speed
        )
        self._get_policy = get_policy
        self._now_s = now_s
        get_speed = planner_state.worker_speeds.get_speed
        self._speed_by_worker = (
            {worker: get_speed(worker) for worker in workers}
            if self._is_uneven
            else {}
        )
        self._groups: dict[
            tuple[int, str], tuple[CapacityMap, dict[float, CapacityMap]]
        ] = {}
        self._speeds = frozenset(self._speed_by_worker.values())

    def place(
        self,
        unit: PlacementUnit,
        capacities: CapacityMap,
        *,
        allow_nonlocal: bool,
    ) -> tuple[Assignment | None, CapacityMap | None]:
        """Assigns all tasks of a unit to workers.

        Args:
            unit: The unit to place.
            capacities: Free capacity of the workers that it may use.
            allow_nonlocal: See `place_unit`.

        Returns:
            A worker for each task, and the workers that an equal unit may be
            placed on next; None for both if the tasks do not all fit.
        """
        if not self._is_uneven or unit.spec.is_long_running:
            assignment = self._place_at_any_speed(
                unit, capacities, allow_nonlocal
            )
            return assignment, capacities if assignment else None
        violations = 0
        if unit.spec.data_rack or unit.spec.is_one_rack:
            assignment = self._place_at_any_speed(
                unit, capacities, allow_nonlocal
            )
            if assignment is None:
                return None, None
            violations = _count_locality_violations(
                unit, assignment, capacities
            )
        needed_speed = self._compute_needed_speed(unit)
        if violations:
            needed_speed *= NONLOCAL_SLOWDOWN
        is_urgent = self._get_policy(unit.job).priority == 0
        groups = SpeedGroups(unit, self._group_by_speed(unit, capacities))
        for subset, packing in self._list_candidates(
            groups, needed_speed, is_urgent=is_urgent
        ):
            assignment = place_unit(
                unit, subset, allow_nonlocal=allow_nonlocal, packing=packing
            )
            # A subset without workers in the data's rack would run elsewhere.
            if (
                assignment is not None
                and _count_locality_violations(unit, assignment, capacities)
                <= violations
            ):
                return assignment, subset
        assignment = self._place_at_any_speed(unit, capacities, allow_nonlocal)
        return assignment, capacities if assignment else None

    def get_needed_level(self, unit: PlacementUnit) -> int:
        """Returns how many of the speeds are too slow for a unit."""
        if not self._is_uneven or unit.spec.is_long_running:
            return 0
        needed_speed = self._compute_needed_speed(unit)
        return sum(speed < needed_speed for speed in self._speeds)

    def record_start(self, unit: PlacementUnit, assignment: Assignment) -> None:
        """Counts a start by whether its workers are fast enough."""
        if not self._is_uneven or unit.spec.is_long_running:
            return
        slowest_speed = min(self._get_speed(worker) for _, worker in assignment)
        needed_speed = self._compute_needed_speed(unit)
        is_fast_enough = slowest_speed >= needed_speed
        self._decisions.metrics.speed_placements.labels(
            "fast_enough" if is_fast_enough else "too_slow"
        ).inc()
        if not is_fast_enough:
            self._decisions.emit(
                Event.UNIT_PLACED_SLOWLY,
                task=unit.key,
                run=unit.next_run,
                priority=self._get_policy(unit.job).priority,
                needed_speed=round(needed_speed, 2),
                slowest_speed=slowest_speed,
            )

    def _get_speed(self, worker: str) -> float:
        return self._speed_by_worker[worker]

    def _place_at_any_speed(
        self, unit: PlacementUnit, capacities: CapacityMap, allow_nonlocal: bool
    ) -> Assignment | None:
        return place_unit(
            unit,
            capacities,
            allow_nonlocal=allow_nonlocal,
            packing=self._packing,
        )

    def _group_by_speed(
        self, unit: PlacementUnit, capacities: CapacityMap
    ) -> dict[float, CapacityMap]:
        key = (id(capacities), unit.spec.required_label)
        cached = self._groups.get(key)
        if cached is None:
            # Keeps `capacities`, so that its id is not used again.
            cached = self._groups[key] = (
                capacities,
                group_by_speed(capacities, unit.spec, self._get_speed),
            )
        return cached[1]

    def _compute_needed_speed(self, unit: PlacementUnit) -> float:
        return compute_needed_speed(
            unit, self._get_policy(unit.job), self._estimator, self._now_s
        )

    def _list_candidates(
        self, groups: SpeedGroups, needed_speed: float, *, is_urgent: bool
    ) -> Iterator[tuple[CapacityMap, PackingPolicy]]:
        """Yields workers to try with their packing, the preferred ones first.

        A gang over workers of several speeds wastes the faster ones, so that
        comes after workers of one speed.
        """
        sufficient = [speed for speed in groups.speeds if speed >= needed_speed]
        insufficient = [
            speed for speed in groups.speeds if speed < needed_speed
        ]
        preferred: Iterable[float] = sufficient
        if is_urgent and insufficient:
            preferred = chain(
                filter(groups.is_plentiful, reversed(sufficient)), sufficient
            )
        for speed in preferred:
            group = groups.get_group(speed)
            if group is not None:
                yield group, self._packing
        for speed in chain(sufficient, reversed(insufficient)):
            subset = groups.get_from_speed(speed)
            if subset is not None:
                yield subset, self._slow_first_packing


def _count_locality_violations(
    unit: PlacementUnit, assignment: Assignment, capacities: CapacityMap
) -> int:
    """Returns how many of the unit's locality needs a placement violates."""
    step = unit.spec
    if not step.data_rack and not step.is_one_rack:
        return 0
    racks = {capacities[worker].report.rack for _, worker in assignment}
    is_far_from_data = bool(step.data_rack) and racks != {step.data_rack}
    return is_far_from_data + (step.is_one_rack and len(racks) > 1)
