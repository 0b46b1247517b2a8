"""Capacity that is held for waiting gangs, and what may be backfilled into it.

A gang needs all of its workers at the same time, while narrower work takes each
piece of capacity as soon as it is released. Under a queue of narrow work, a
gang would never find its workers. Each waiting gang therefore holds the
capacity that is expected to be free for it the earliest. Less urgent work may
use that capacity only if it is expected to end before the gang can start. Gangs
of the same priority leave it only to the oldest one whose job is late already.
Holds bind neither more urgent work nor guarantees, which may evict others.
"""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from dataclasses import dataclass
from itertools import chain

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.release_times import Release
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    has_required_label,
)

MAX_HOLD_AGE_S = 0.5
"""Age after which a hold is planned again."""
HOLD_EXPIRY_S = 3.0
"""Age at which a hold ends that no plan has renewed."""
MAX_HOLDS = 40
"""Most gangs that hold capacity at the same time; bounds the planning time."""
RUN_TIME_MARGIN = 1.3
"""Factor on the expected run time of work that is to end before a gang starts;
run times vary."""


@dataclass(frozen=True, slots=True)
class CapacityHold:
    """Capacity held for a waiting gang.

    Attributes:
        unit: The gang.
        policy: Policy of its queue.
        is_late: Whether its job would miss its objective if it started now.
        tasks_by_worker: Number of its tasks that each worker is held for.
        start_s: Monotonic time at which all of it is expected to be free.
        planned_at_s: Monotonic time at which the hold was planned.
    """

    unit: PlacementUnit
    policy: QueuePolicy
    is_late: bool
    tasks_by_worker: dict[str, int]
    start_s: float
    planned_at_s: float

    @property
    def precedence(self) -> tuple[int, bool, float]:
        """Sort key: more urgent gangs first, then late ones, then by age."""
        accepted_at_s = self.unit.job.request.accepted_at_s
        return (self.policy.priority, not self.is_late, accepted_at_s)


def list_held_workers(holds: Iterable[CapacityHold]) -> set[str]:
    """Returns the workers on which gangs hold capacity."""
    return set(chain.from_iterable(hold.tasks_by_worker for hold in holds))


ReleaseLookup = Callable[[str], Sequence[Release]]


def plan_hold(
    unit: PlacementUnit,
    policy: QueuePolicy,
    capacities: CapacityMap,
    get_releases: ReleaseLookup,
    *,
    is_late: bool,
    allow_nonlocal: bool,
    now_s: float,
) -> CapacityHold | None:
    """Chooses the workers that can run a gang the earliest.

    Args:
        unit: The gang.
        policy: Policy of its queue.
        capacities: Free capacity, less what is held for other gangs.
        get_releases: Returns the expected ends on a worker, earliest first.
        is_late: Whether its job would miss its objective if it started now.
        allow_nonlocal: See `place_unit`.
        now_s: Monotonic time.

    Returns:
        The hold, or None if the workers have too little capacity.
    """
    step = unit.spec
    openings_by_rack: dict[str, list[tuple[float, str, int]]] = defaultdict(
        list
    )
    for worker, capacity in capacities.items():
        if not has_required_label(capacity.report, step):
            continue
        opening = _find_opening(unit, capacity, get_releases(worker), now_s)
        if opening is not None:
            openings_by_rack[capacity.report.rack].append(
                (opening[0], worker, opening[1])
            )
    if step.data_rack in openings_by_rack and not allow_nonlocal:
        groups = [openings_by_rack[step.data_rack]]
    elif step.is_one_rack and len(unit.tasks) > 1 and not allow_nonlocal:
        groups = list(openings_by_rack.values())
    else:
        groups = [list(chain.from_iterable(openings_by_rack.values()))]
    candidates = [
        _choose_earliest(openings, len(unit.tasks)) for openings in groups
    ]
    complete = [candidate for candidate in candidates if candidate]
    if not complete:
        return None
    start_s, tasks_by_worker = min(complete, key=lambda each: each[0])
    return CapacityHold(unit, policy, is_late, tasks_by_worker, start_s, now_s)


def _find_opening(
    unit: PlacementUnit,
    capacity: WorkerCapacity,
    releases: Iterable[Release],
    now_s: float,
) -> tuple[float, int] | None:
    """Returns when tasks of a unit first fit on a worker, and how many."""
    limit = len(unit.tasks)
    fitting = capacity.count_fitting(unit, limit)
    if fitting:
        return now_s, fitting
    future = capacity.copy()
    for release_s, released_unit in releases:
        future.allocate(released_unit, -1)
        fitting = future.count_fitting(unit, limit)
        if fitting:
            return release_s, fitting
    return None


def _choose_earliest(
    openings: list[tuple[float, str, int]], task_count: int
) -> tuple[float, dict[str, int]] | None:
    tasks_by_worker: dict[str, int] = {}
    for opening_s, worker, fitting in sorted(openings):
        count = min(fitting, task_count - sum(tasks_by_worker.values()))
        tasks_by_worker[worker] = count
        if sum(tasks_by_worker.values()) == task_count:
            return opening_s, tasks_by_worker
    return None


class BackfillLimits:
    """Applies the holds of waiting gangs in one plan.

    Args:
        holds: Holds of earlier plans, by key of their gang; updated.
        capacities: Free capacity of all usable workers; the planner updates
            it as it places units.
        get_releases: Returns the expected ends on a worker, earliest first.
        now_s: Monotonic time.
    """

    def __init__(
        self,
        holds: dict[str, CapacityHold],
        capacities: CapacityMap,
        get_releases: ReleaseLookup,
        now_s: float,
    ):
        self._holds = holds
        self._capacities = capacities
        self._get_releases = get_releases
        self._now_s = now_s
        self._views: dict[tuple[str, float, bool], CapacityMap] = {}
        for key, hold in list(holds.items()):
            if (
                now_s - hold.planned_at_s > HOLD_EXPIRY_S
                or not hold.tasks_by_worker.keys() <= capacities.keys()
            ):
                del holds[key]

    def hold_for(
        self,
        unit: PlacementUnit,
        policy: QueuePolicy,
        allowed: CapacityMap,
        *,
        is_late: bool,
        allow_nonlocal: bool,
    ) -> None:
        """Holds capacity for a gang that could not be placed.

        Args:
            unit: The gang.
            policy: Policy of its queue.
            allowed: Free capacity that its priority may use.
            is_late: Whether its job would miss its objective if it started now.
            allow_nonlocal: See `place_unit`.
        """
        known = self._holds.get(unit.key)
        if (
            known is not None
            and self._now_s - known.planned_at_s < MAX_HOLD_AGE_S
        ):
            return
        self._holds.pop(unit.key, None)
        if len(self._holds) >= MAX_HOLDS:
            return
        # An empty hold keeps a gang that fits nowhere from being planned again.
        empty_hold = CapacityHold(
            unit, policy, is_late, {}, math.inf, self._now_s
        )
        others = [
            hold
            for hold in self._holds.values()
            if hold.precedence < empty_hold.precedence
        ]
        hold = plan_hold(
            unit,
            policy,
            _subtract(allowed, others),
            self._get_releases,
            is_late=is_late,
            allow_nonlocal=allow_nonlocal,
            now_s=self._now_s,
        )
        self._holds[unit.key] = hold or empty_hold
        self._views.clear()

    def starts_later(self, unit: PlacementUnit) -> bool:
        """Whether a gang holds capacity that is not free yet.

        It may fit elsewhere earlier than expected, which shows when the hold is
        planned again; trying each waiting gang in each plan takes too long.
        """
        hold = self._holds.get(unit.key)
        if (
            hold is None
            or self._now_s - hold.planned_at_s >= MAX_HOLD_AGE_S
            or hold.start_s <= self._now_s
        ):
            return False
        return not hold.tasks_by_worker or any(
            self._capacities[worker].count_fitting(unit, count) < count
            for worker, count in hold.tasks_by_worker.items()
        )

    def release(self, unit: PlacementUnit) -> None:
        """Drops the hold of a gang that was placed."""
        if self._holds.pop(unit.key, None) is not None:
            self._views.clear()

    def restrict(
        self,
        unit: PlacementUnit,
        policy: QueuePolicy,
        allowed: CapacityMap,
        run_s: float,
    ) -> CapacityMap:
        """Returns what a unit may use of the capacity of its priority.

        Args:
            unit: The unit to place.
            policy: Policy of its queue.
            allowed: Free capacity that its priority may use.
            run_s: Its expected run time.
        """
        oldest = self._find_oldest(policy)
        is_oldest = oldest is not None and oldest.unit is unit
        key = (policy.name, run_s, is_oldest)
        view = self._views.get(key)
        if view is None:
            binding = self._list_binding(
                policy, None if is_oldest else oldest, run_s
            )
            view = self._views[key] = _subtract(self._capacities, binding)
        return {name: view[name] for name in allowed}

    def allocate(self, unit: PlacementUnit, worker: str, sign: int = 1) -> None:
        """Updates the restricted capacities after a task was placed."""
        for view in self._views.values():
            if view[worker] is not self._capacities[worker]:
                view[worker].allocate(unit, sign)

    def _find_oldest(self, policy: QueuePolicy) -> CapacityHold | None:
        """Returns the hold of the oldest late gang of a priority, if any."""
        return min(
            (
                hold
                for hold in self._holds.values()
                if hold.is_late
                and hold.tasks_by_worker
                and hold.policy.service == policy.service
                and hold.policy.priority == policy.priority
            ),
            key=lambda hold: hold.precedence,
            default=None,
        )

    def _list_binding(
        self, policy: QueuePolicy, oldest: CapacityHold | None, run_s: float
    ) -> list[CapacityHold]:
        """Returns the holds whose capacity work of a queue must leave."""
        end_s = self._now_s + RUN_TIME_MARGIN * run_s
        return [
            hold
            for hold in self._holds.values()
            if hold.policy.service == policy.service
            and hold.start_s < end_s
            and (hold.policy.priority < policy.priority or hold is oldest)
        ]


def _subtract(
    capacities: CapacityMap, holds: Iterable[CapacityHold]
) -> CapacityMap:
    """Returns the capacity without what is held; copies what differs."""
    reduced = dict(capacities)
    for hold in holds:
        for worker, count in hold.tasks_by_worker.items():
            capacity = reduced.get(worker)
            if capacity is None:
                continue
            if capacity is capacities[worker]:
                capacity = reduced[worker] = capacity.copy()
            capacity.allocate(hold.unit, count)
    return reduced
