"""Eviction policies: which units are stopped so that another one fits."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.placement import Assignment, pack_unit
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    has_required_label,
)

MAX_SEARCHED_WORKERS = 120
"""Most workers that one search looks at, so that it stays within some
milliseconds at any size; the emptiest come first."""

CostFunction = Callable[[UnitState], float]


class EvictionPolicy(ABC):
    """Sorts units that may be stopped."""

    @abstractmethod
    def sort_victims(
        self, units: Iterable[UnitState], get_cost_core_s: CostFunction
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped.

        Args:
            units: Those that may be stopped.
            get_cost_core_s: Core-seconds thrown away by stopping a unit.
        """


EVICTION_POLICIES: Registry[type[EvictionPolicy]] = Registry("eviction policy")


@EVICTION_POLICIES.register("least_lost")
class LeastLostWorkFirst(EvictionPolicy):
    """Stops the unit that throws least work away first."""

    def sort_victims(
        self, units: Iterable[UnitState], get_cost_core_s: CostFunction
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped."""
        return sorted(units, key=get_cost_core_s)


@EVICTION_POLICIES.register("youngest_job")
class YoungestJobFirst(EvictionPolicy):
    """Stops units of the job that came last first; a baseline."""

    def sort_victims(
        self, units: Iterable[UnitState], get_cost_core_s: CostFunction
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped."""
        del get_cost_core_s
        return sorted(units, key=lambda u: -u.job.request.accepted_at_s)


@EVICTION_POLICIES.register("never")
class NoEviction(EvictionPolicy):
    """Stops nothing; a baseline that honours no guarantee."""

    def sort_victims(
        self, units: Iterable[UnitState], get_cost_core_s: CostFunction
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped."""
        del units, get_cost_core_s
        return []


@dataclass(slots=True)
class Eviction:
    """Units to stop so that another one can be placed.

    Attributes:
        assignment: Where its tasks go then.
        victims: What has to be stopped.
        cost_core_s: Core-seconds that are thrown away.
    """

    assignment: Assignment
    victims: list[UnitState]
    cost_core_s: float


def find_eviction(
    unit: UnitState,
    capacities: CapacityMap,
    evictable_units: Mapping[str, list[UnitState]],
    get_cost_core_s: CostFunction,
    *,
    allow_nonlocal: bool,
    policy: EvictionPolicy,
    packing: PackingPolicy,
) -> Eviction | None:
    """Finds the cheapest units to stop so that a unit fits.

    Args:
        unit: What is to start.
        capacities: Usable workers of its service.
        evictable_units: Units that may be stopped, by worker.
        get_cost_core_s: Core-seconds thrown away by stopping a unit.
        allow_nonlocal: See `place_unit`.
        policy: Sorts what may be stopped.
        packing: Sorts workers.
    """
    racks: dict[str, CapacityMap] = defaultdict(dict)
    for worker, capacity in capacities.items():
        if has_required_label(capacity.report, unit.spec):
            racks[capacity.report.rack][worker] = capacity
    step = unit.spec
    if step.data_rack in racks and not allow_nonlocal:
        worker_groups = [racks[step.data_rack]]
    elif step.is_one_rack and len(unit.tasks) > 1 and not allow_nonlocal:
        worker_groups = _select_emptiest_racks(list(racks.values()))
    else:
        eligible = [
            capacity for rack in racks.values() for capacity in rack.values()
        ]
        eligible.sort(key=_count_used_accelerators)
        worker_groups = [
            {
                candidate.report.worker: candidate
                for candidate in eligible[:MAX_SEARCHED_WORKERS]
            }
        ]
    searches = (
        _EvictionSearch(
            unit, worker_group, evictable_units, get_cost_core_s, policy
        )
        for worker_group in worker_groups
    )
    evictions = [search.run(packing) for search in searches]
    return min(
        (eviction for eviction in evictions if eviction is not None),
        key=lambda eviction: eviction.cost_core_s,
        default=None,
    )


def _select_emptiest_racks(
    racks: list[CapacityMap],
) -> list[CapacityMap]:
    """Returns the emptiest racks, within the bound of a search."""
    racks.sort(
        key=lambda rack: sum(map(_count_used_accelerators, rack.values()))
    )
    cumulative_counts = itertools.accumulate(map(len, racks))
    return [
        rack
        for rack, cumulative_count in zip(racks, cumulative_counts, strict=True)
        if cumulative_count <= MAX_SEARCHED_WORKERS or rack is racks[0]
    ]


def _count_used_accelerators(capacity: WorkerCapacity) -> int:
    return capacity.report.accelerators - capacity.accelerators


@dataclass(slots=True)
class _WorkerEviction:
    """What to stop on one worker so that more tasks fit there.

    Attributes:
        victims: The units.
        cost_core_s: Core-seconds that are thrown away.
        additional_tasks: Tasks more that fit.
    """

    victims: list[UnitState]
    cost_core_s: float
    additional_tasks: int


class _EvictionSearch:
    """The search for units to stop in one group of workers.

    The worker where one more task costs least is opened first, until all
    tasks fit; a unit on several workers opens all of them.

    Args:
        unit: What is to start.
        worker_group: The workers.
        evictable_units: Units that may be stopped, by worker.
        get_cost_core_s: Core-seconds thrown away by stopping a unit.
        policy: Sorts what may be stopped.
    """

    def __init__(
        self,
        unit: UnitState,
        worker_group: CapacityMap,
        evictable_units: Mapping[str, list[UnitState]],
        get_cost_core_s: CostFunction,
        policy: EvictionPolicy,
    ):
        self._unit = unit
        self._task_count = len(unit.tasks)
        self._capacities = {
            worker: capacity.copy() for worker, capacity in worker_group.items()
        }
        self._evictable_units = evictable_units
        self._get_cost_core_s = get_cost_core_s
        self._policy = policy
        self._fitting_tasks = {
            w: self._count_fitting_tasks(candidate)
            for w, candidate in self._capacities.items()
        }
        self._total_fitting_tasks = sum(self._fitting_tasks.values())
        self._worker_evictions: dict[str, _WorkerEviction | None] = {}
        self._victims: dict[str, UnitState] = {}

    def run(self, packing: PackingPolicy) -> Eviction | None:
        """Returns what to stop, if that is enough."""
        while self._total_fitting_tasks < self._task_count:
            worker_eviction = self._find_cheapest_worker_eviction()
            if worker_eviction is None:
                return None
            for victim in worker_eviction.victims:
                self._add_victim(victim)
        self._remove_unneeded_victims()
        capacities = self._capacities.values()
        assignment = pack_unit(self._unit, capacities, packing)
        if assignment is None:
            return None
        cost_core_s = sum(map(self._get_cost_core_s, self._victims.values()))
        return Eviction(assignment, list(self._victims.values()), cost_core_s)

    def _count_fitting_tasks(self, capacity: WorkerCapacity) -> int:
        return capacity.count_fitting(self._unit, self._task_count)

    def _find_cheapest_worker_eviction(self) -> _WorkerEviction | None:
        for worker in self._capacities:
            if worker not in self._worker_evictions:
                self._worker_evictions[worker] = self._find_worker_eviction(
                    worker
                )
        worker_evictions = (
            candidate
            for candidate in self._worker_evictions.values()
            if candidate
        )
        return min(
            worker_evictions,
            key=lambda worker_eviction: (
                worker_eviction.cost_core_s / worker_eviction.additional_tasks
            ),
            default=None,
        )

    def _find_worker_eviction(self, worker: str) -> _WorkerEviction | None:
        """Returns the units of one worker whose end lets more tasks fit."""
        capacity = self._capacities[worker].copy()
        fitting_before = self._fitting_tasks[worker]
        candidates = [
            unit
            for unit in self._evictable_units.get(worker, ())
            if unit.key not in self._victims
        ]
        victims: list[UnitState] = []
        for victim in self._policy.sort_victims(
            candidates, self._get_cost_core_s
        ):
            victims.append(victim)
            capacity.allocate(victim, -_count_tasks_on(victim, worker))
            if self._count_fitting_tasks(capacity) > fitting_before:
                break
        else:
            return None
        additional_tasks = self._count_fitting_tasks(capacity) - fitting_before
        for victim in list(victims):
            capacity.allocate(victim, _count_tasks_on(victim, worker))
            if (
                self._count_fitting_tasks(capacity) - fitting_before
                >= additional_tasks
            ):
                victims.remove(victim)
            else:
                capacity.allocate(victim, -_count_tasks_on(victim, worker))
        cost_core_s = sum(map(self._get_cost_core_s, victims))
        return _WorkerEviction(victims, cost_core_s, additional_tasks)

    def _add_victim(self, victim: UnitState) -> None:
        self._victims[victim.key] = victim
        self._update_capacity(victim, -1)

    def _remove_unneeded_victims(self) -> None:
        """Leaves out units that need not be stopped, the dearest first."""
        victims_by_cost = sorted(
            self._victims.values(), key=self._get_cost_core_s
        )
        for victim in reversed(victims_by_cost):
            self._update_capacity(victim, 1)
            if self._total_fitting_tasks >= self._task_count:
                del self._victims[victim.key]
            else:
                self._update_capacity(victim, -1)

    def _update_capacity(self, victim: UnitState, sign: int) -> None:
        """Frees a unit's room, or takes it again."""
        for task in victim.tasks:
            location = task.placement
            if location is None or location.worker not in self._capacities:
                continue
            capacity = self._capacities[location.worker]
            capacity.allocate(victim, sign)
            fitting_tasks = self._count_fitting_tasks(capacity)
            self._total_fitting_tasks += (
                fitting_tasks - self._fitting_tasks[location.worker]
            )
            self._fitting_tasks[location.worker] = fitting_tasks
            self._worker_evictions.pop(location.worker, None)


def _count_tasks_on(unit: UnitState, worker: str) -> int:
    return sum(
        task.placement is not None and task.placement.worker == worker
        for task in unit.tasks
    )
