"""Eviction policies, and the search for units to evict for another one."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.placement import Assignment, pack_unit
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    count_core_equivalents,
    has_required_label,
)

MAX_SEARCHED_WORKERS = 120
"""Most workers that one search considers, the emptiest first. It keeps a
search within a few milliseconds on a fleet of any size."""

CostFunction = Callable[[PlacementUnit], float]


class EvictionPolicy(ABC):
    """Orders the units that may be evicted.

    Attributes:
        weighs_caller_cost: Whether evictions depend on what the callers of the
            urgent unit keep and those of the victims lose by them.
    """

    weighs_caller_cost = False

    @abstractmethod
    def sort_victims(
        self, units: Iterable[PlacementUnit], get_cost_core_s: CostFunction
    ) -> list[PlacementUnit]:
        """Returns units in the order in which they are evicted.

        Args:
            units: Evictable units.
            get_cost_core_s: Returns the cost of stopping a unit, as lost
                core-seconds.
        """


EVICTION_POLICIES: PluginRegistry[type[EvictionPolicy]] = PluginRegistry(
    "eviction policy"
)


@EVICTION_POLICIES.register("least_lost")
class LeastLostWorkFirst(EvictionPolicy):
    """Evicts the unit that loses the least work first."""

    def sort_victims(
        self, units: Iterable[PlacementUnit], get_cost_core_s: CostFunction
    ) -> list[PlacementUnit]:
        """Returns units in the order in which they are evicted."""
        return sorted(units, key=get_cost_core_s)


@EVICTION_POLICIES.register("caller_cost")
class LeastCallerCostFirst(LeastLostWorkFirst):
    """Evicts first what costs callers the least, and only if it pays."""

    weighs_caller_cost = True


@EVICTION_POLICIES.register("youngest_job")
class YoungestJobFirst(EvictionPolicy):
    """Evicts units of the newest job first; a baseline for comparison."""

    def sort_victims(
        self, units: Iterable[PlacementUnit], get_cost_core_s: CostFunction
    ) -> list[PlacementUnit]:
        """Returns units in the order in which they are evicted."""
        del get_cost_core_s
        return sorted(units, key=lambda u: -u.job.request.accepted_at_s)


@EVICTION_POLICIES.register("never")
class NoEviction(EvictionPolicy):
    """Evicts nothing; a baseline, which cannot honour guarantees."""

    def sort_victims(
        self, units: Iterable[PlacementUnit], get_cost_core_s: CostFunction
    ) -> list[PlacementUnit]:
        """Returns units in the order in which they are evicted."""
        del units, get_cost_core_s
        return []


@dataclass(slots=True)
class Eviction:
    """Units to evict so that another one can be placed.

    Attributes:
        assignment: Workers for the tasks of the unit to place.
        victims: Units to evict.
        cost_core_s: Core-seconds of work lost.
    """

    assignment: Assignment
    victims: list[PlacementUnit]
    cost_core_s: float


def make_lost_work_function(
    sessions: Mapping[str, WorkerSession],
) -> CostFunction:
    """Returns a function for the core-seconds lost if a unit stops now."""
    costs: dict[str, float] = {}

    def get_cost_core_s(unit: PlacementUnit) -> float:
        if unit.key not in costs:
            lost_s = sum(
                session.dispatcher.get_lost_work_s(task)
                for task in unit.tasks
                if task.placement is not None
                and (session := sessions.get(task.placement.worker))
            )
            costs[unit.key] = count_core_equivalents(unit.spec) * lost_s
        return costs[unit.key]

    return get_cost_core_s


def find_eviction(
    unit: PlacementUnit,
    capacities: CapacityMap,
    evictable_units: Mapping[str, list[PlacementUnit]],
    get_cost_core_s: CostFunction,
    *,
    allow_nonlocal: bool,
    policy: EvictionPolicy,
    packing: PackingPolicy,
) -> Eviction | None:
    """Finds the cheapest units to evict so that a unit fits.

    Args:
        unit: The unit to place.
        capacities: Free capacity of usable workers of its service.
        evictable_units: Units that may be evicted, by worker.
        get_cost_core_s: Returns the core-seconds lost if a unit stops.
        allow_nonlocal: See `place_unit`.
        policy: Orders the evictable units.
        packing: Orders the workers.
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
    """Returns the emptiest racks that a search may consider; at least one."""
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
    """Units to evict from one worker so that more tasks fit there.

    Attributes:
        victims: Units to evict.
        cost_core_s: Core-seconds of work lost.
        additional_tasks: How many more tasks fit.
    """

    victims: list[PlacementUnit]
    cost_core_s: float
    additional_tasks: int


class _EvictionSearch:
    """Greedy search for units to evict in one group of workers.

    Evicts on the worker with the least cost per additional task, until all
    tasks fit. A victim with tasks on several workers frees capacity on each.

    Args:
        unit: The unit to place.
        worker_group: Free capacity of the workers.
        evictable_units: Units that may be evicted, by worker.
        get_cost_core_s: Returns the core-seconds lost if a unit stops.
        policy: Orders the evictable units.
    """

    def __init__(
        self,
        unit: PlacementUnit,
        worker_group: CapacityMap,
        evictable_units: Mapping[str, list[PlacementUnit]],
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
        self._victims: dict[str, PlacementUnit] = {}

    def run(self, packing: PackingPolicy) -> Eviction | None:
        """Returns an eviction after which the unit fits, or None."""
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
        """Returns units to evict from one worker so that more tasks fit."""
        capacity = self._capacities[worker].copy()
        fitting_before = self._fitting_tasks[worker]
        candidates = [
            unit
            for unit in self._evictable_units.get(worker, ())
            if unit.key not in self._victims
        ]
        victims: list[PlacementUnit] = []
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

    def _add_victim(self, victim: PlacementUnit) -> None:
        self._victims[victim.key] = victim
        self._update_capacity(victim, -1)

    def _remove_unneeded_victims(self) -> None:
        """Drops victims that are not needed, the most expensive first."""
        victims_by_cost = sorted(
            self._victims.values(), key=self._get_cost_core_s
        )
        for victim in reversed(victims_by_cost):
            self._update_capacity(victim, 1)
            if self._total_fitting_tasks >= self._task_count:
                del self._victims[victim.key]
            else:
                self._update_capacity(victim, -1)

    def _update_capacity(self, victim: PlacementUnit, sign: int) -> None:
        """Releases a victim's capacity (`sign` -1) or takes it back (1)."""
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


def _count_tasks_on(unit: PlacementUnit, worker: str) -> int:
    return sum(
        task.placement is not None and task.placement.worker == worker
        for task in unit.tasks
    )
