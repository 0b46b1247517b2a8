"""Planning pass: places ready units and chooses units to evict for them."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Mapping, Set
from itertools import chain

from lagoonbeam.site.backfill import BackfillLimits, list_held_workers
from lagoonbeam.site.caller_cost.eviction_decision import decide_eviction
from lagoonbeam.site.caller_cost.eviction_weighing import EvictionWeighing
from lagoonbeam.site.delay_scheduling import DelayScheduling
from lagoonbeam.site.eviction import make_lost_work_function
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import Configuration, QueuePolicy
from lagoonbeam.site.placement import Assignment, PackingCursor
from lagoonbeam.site.plan import MAX_STARTS_PER_PLAN, PLAN_TIME_LIMIT_S, Plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.priority_limits import PriorityLimits
from lagoonbeam.site.ready_queue import ReadyQueue
from lagoonbeam.site.run_time_estimator import JobValue
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.speed_aware_placement.placer import SpeedAwarePlacer
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    StepKey,
    WorkerCapacity,
    get_placement_requirements,
    get_step_key,
)


def make_plan(
    planner_state: PlannerState,
    state: SiteState,
    sessions: Mapping[str, WorkerSession],
    usable_sessions: Mapping[str, WorkerSession],
    configuration: Configuration,
) -> Plan:
    """Plans starts of ready units on usable workers, and evictions for them."""
    planner_state.drop_stale_entries(state)
    return _PlanBuilder(
        planner_state, state, sessions, usable_sessions, configuration
    ).run()


class _PlanBuilder:
    """Builds one plan from the state at its start."""

    def __init__(
        self,
        planner_state: PlannerState,
        state: SiteState,
        sessions: Mapping[str, WorkerSession],
        usable_sessions: Mapping[str, WorkerSession],
        configuration: Configuration,
    ):
        self._planner_state = planner_state
        self._state = state
        self._sessions = sessions
        self._usable_sessions = usable_sessions
        self._configuration = configuration
        self._now_s = planner_state.clock.read_wall_s()
        self._unplaceable_keys: set[tuple[object, ...]] = set()
        self._previous_key: tuple[object, ...] = ()
        self._previous_capacities: CapacityMap | None = None
        self._cursor: PackingCursor | None = None
        self._equivalence_by_step: dict[StepKey, tuple[object, ...]] = {}
        self._service_capacities: dict[str, CapacityMap] = defaultdict(dict)
        self._queue = ReadyQueue(
            planner_state, state, configuration, self._now_s
        )
        self._weighing = EvictionWeighing(
            planner_state,
            state,
            sessions,
            self._queue.get_policy,
            self._queue.guaranteed_job_ids,
            self._now_s,
        )
        self._limits = PriorityLimits(
            self._service_capacities,
            self._queue.guaranteed_job_ids,
            configuration.count_guaranteed_accelerators(),
            planner_state.policies.reserve,
            list_held_workers(planner_state.capacity_holds.values()),
            planner_state.worker_speeds,
        )
        self._placer = SpeedAwarePlacer(
            planner_state, usable_sessions, self._queue.get_policy, self._now_s
        )
        self._capacities = self._compute_free_capacities()
        for name, free in self._capacities.items():
            self._service_capacities[free.report.service][name] = free
        self._locality = DelayScheduling(planner_state.estimator, self._now_s)
        now_s = planner_state.clock.read_monotonic_s()
        self._backfill = BackfillLimits(
            planner_state.capacity_holds,
            self._capacities,
            lambda worker: planner_state.release_times.get(
                state, sessions, worker, now_s
            ),
            now_s,
        )
        self._plan = Plan()

    def run(self) -> Plan:
        """Places ready units by rank, within the bounds of one plan.

        The time to rank them does not count, so that each plan makes progress
        however long the queue is.
        """
        ranked_units = self._queue.list_ranked()
        deadline_s = time.monotonic() + PLAN_TIME_LIMIT_S
        tried_unit_keys = self._planner_state.tried_unit_keys
        for unit in ranked_units:
            if unit.key in tried_unit_keys:
                continue
            if (
                len(self._plan.starts) >= MAX_STARTS_PER_PLAN
                or time.monotonic() > deadline_s
            ):
                self._plan.is_truncated = True
                return self._plan
            tried_unit_keys.add(unit.key)
            equivalence_key = self._get_equivalence_key(unit)
            if equivalence_key in self._unplaceable_keys:
                self._log_waiting_behind_equivalent(unit)
                continue
            assignment = self._place_like_previous(unit, equivalence_key)
            if assignment is None:
                assignment = self._try_place(unit)
            if assignment is None:
                if unit.key not in self._planner_state.reserved_capacity:
                    self._unplaceable_keys.add(equivalence_key)
                continue
            self._backfill.release(unit)
            self._allocate(assignment, 1)
            self._add_nonevictable_tasks(unit)
            self._plan.starts.append((unit, assignment))
            self._placer.record_start(unit, assignment)
            self._planner_state.launching_assignments[unit.key] = assignment
        tried_unit_keys.clear()
        return self._plan

    def _place_like_previous(
        self, unit: PlacementUnit, equivalence_key: tuple[object, ...]
    ) -> Assignment | None:
        """Places a single task where the equal one before it was placed.

        A gang of one task may end a hold by being placed, after which the
        capacities that the one before it was placed on are no longer updated.

        Returns:
            None if the unit has to be placed by itself.
        """
        if equivalence_key != self._previous_key:
            self._previous_key = equivalence_key
            self._previous_capacities = None
            self._cursor = None
            return None
        if (
            self._previous_capacities is None
            or unit.spec.is_gang
            or unit.spec.data_rack
        ):
            return None
        if self._cursor is None:
            self._cursor = PackingCursor(
                unit,
                self._previous_capacities,
                self._planner_state.policies.packing,
            )
        return self._cursor.place(unit)

    def _log_waiting_behind_equivalent(self, unit: PlacementUnit) -> None:
        """Logs that an urgent unit waits behind one with equal requirements."""
        if self._queue.get_policy(unit.job).priority == 0:
            self._planner_state.log_waiting_unit(unit, behind_equal_needs=True)

    def _get_equivalence_key(self, unit: PlacementUnit) -> tuple[object, ...]:
        """Returns a key; if one unit cannot be placed, no unit with it can."""
        key = unit.key
        is_unique = key in self._planner_state.reserved_capacity or bool(
            self._planner_state.get_avoided_workers(unit)
            or self._planner_state.list_held_off_workers(unit)
        )
        if is_unique:
            return (key,)
        step_key = get_step_key(unit)
        shared = self._equivalence_by_step.get(step_key)
        if shared is None:
            shared = self._make_step_equivalence(unit)
            self._equivalence_by_step[step_key] = shared
        return shared or (key,)

    def _make_step_equivalence(self, unit: PlacementUnit) -> tuple[object, ...]:
        """Returns the key shared by the units of a step; empty if none is."""
        policy = self._queue.get_policy(unit.job)
        if (
            unit.spec.max_per_worker
            or policy.is_advised
            or unit.job.request.runs_once
        ):
            return ()
        return (
            policy.name,
            self._locality.may_run_nonlocal(
                unit, policy.service, self._service_capacities[policy.service]
            ),
            self._locality.exceeds_idle_wait(unit),
            self._may_evict(unit, policy),
            self._placer.get_needed_level(unit),
            *get_placement_requirements(unit),
        )

    def _compute_free_capacities(self) -> CapacityMap:
        usage_cache = self._planner_state.usage_cache
        usage_cache.clear_if_changed(self._state, self._configuration.version)
        capacities: CapacityMap = {}
        for name, session in self._usable_sessions.items():
            report = session.report
            usage = usage_cache.get(self._state, name, self._queue.get_policy)
            capacities[name] = WorkerCapacity(
                report,
                report.cpu_millis - usage.cpu_millis,
                report.memory_mb - usage.memory_mb,
                report.accelerators - usage.accelerators,
                usage.tasks_by_step,
            )
            self._limits.add_worker_usage(name, report.service, usage)
        held_assignments = chain(
            self._planner_state.launching_assignments.values(),
            (
                r.assignment
                for r in self._planner_state.reserved_capacity.values()
            ),
        )
        for task, worker in chain.from_iterable(held_assignments):
            if worker in capacities:
                capacities[worker].allocate(task.unit)
        for assignment in self._planner_state.launching_assignments.values():
            self._add_nonevictable_tasks(assignment[0][0].unit)
        return capacities

    def _try_place(self, unit: PlacementUnit) -> Assignment | None:
        """Places a unit; if it does not fit, may evict or reserve for it."""
        policy = self._queue.get_policy(unit.job)
        service_capacities = self._service_capacities[policy.service]
        reserved_capacity = self._planner_state.reserved_capacity.pop(
            unit.key, None
        )
        if reserved_capacity is not None:
            self._allocate(reserved_capacity.assignment, -1)
        allow_nonlocal = self._locality.may_run_nonlocal(
            unit, policy.service, service_capacities
        )
        if not self._limits.leaves_guarantees_reclaimable(unit, policy):
            self._planner_state.log_waiting_unit(
                unit,
                priority=policy.priority,
                unstoppable=self._limits.nonevictable_accelerators[
                    policy.service
                ],
            )
            return None
        capacities = self._get_allowed_capacities(unit, policy)
        if self._needs_hold(unit, policy) and self._backfill.starts_later(unit):
            self._note_shortage(unit, policy)
            return None
        advice = self._planner_state.advice
        if policy.is_advised and advice is not None:
            capacities = advice.restrict_to_ticketed(unit, capacities)
        held_off = self._planner_state.list_held_off_workers(unit)
        capacities = _exclude(capacities, held_off)
        avoided = self._planner_state.get_avoided_workers(unit)
        if avoided:
            preferred = _exclude(capacities, avoided)
            assignment = self._place_on(unit, preferred, allow_nonlocal)
            if assignment is not None:
                return assignment
        assignment = self._place_on(unit, capacities, allow_nonlocal)
        if assignment is not None:
            return assignment
        if reserved_capacity is not None:
            self._allocate(reserved_capacity.assignment, 1)
            self._planner_state.reserved_capacity[unit.key] = reserved_capacity
        elif self._may_evict(unit, policy):
            self._evict_for(
                unit,
                capacities
                if policy.is_advised
                else _exclude(service_capacities, held_off),
                allow_nonlocal,
            )
        elif self._needs_hold(unit, policy):
            self._backfill.hold_for(
                unit,
                policy,
                self._limits.get_allowed_capacities(policy),
                is_late=self._queue.get_job_value(unit) is not JobValue.FULL,
                allow_nonlocal=allow_nonlocal,
            )
        self._note_shortage(unit, policy)
        self._planner_state.log_waiting_unit(
            unit,
            priority=policy.priority,
            may_be_far=allow_nonlocal,
            workers=len(capacities),
            free_accelerators=sum(
                max(0, free.accelerators) for free in capacities.values()
            ),
            evicting=unit.key in self._planner_state.reserved_capacity,
        )
        return None

    def _note_shortage(self, unit: PlacementUnit, policy: QueuePolicy) -> None:
        if self._queue.get_job_value(unit) is JobValue.FULL:
            self._plan.unplaced_steps.setdefault(policy.service, unit.spec)

    def _get_allowed_capacities(
        self, unit: PlacementUnit, policy: QueuePolicy
    ) -> CapacityMap:
        """Returns the free capacity that a unit's priority may use."""
        service_capacities = self._service_capacities[policy.service]
        exceeds_idle_wait = self._locality.exceeds_idle_wait(unit)
        if policy.priority == 0 or (
            exceeds_idle_wait
            and self._locality.is_underused(policy.service, service_capacities)
        ):
            return service_capacities
        allowed = self._limits.get_allowed_capacities(policy)
        if self._may_evict(unit, policy):
            return allowed
        run_s = self._planner_state.estimator.estimate_run_s(unit)
        return self._backfill.restrict(unit, policy, allowed, run_s)

    def _needs_hold(self, unit: PlacementUnit, policy: QueuePolicy) -> bool:
        """Whether a unit could starve, and its job is still worth running."""
        return (
            unit.spec.is_gang
            and not policy.is_advised
            and self._planner_state.policies.reserve.holds_capacity_for_gangs
            and self._queue.get_job_value(unit) is not JobValue.NONE
        )

    def _place_on(
        self, unit: PlacementUnit, capacities: CapacityMap, allow_nonlocal: bool
    ) -> Assignment | None:
        assignment, self._previous_capacities = self._placer.place(
            unit, capacities, allow_nonlocal=allow_nonlocal
        )
        return assignment

    def _may_evict(self, unit: PlacementUnit, policy: QueuePolicy) -> bool:
        """Whether other units may be evicted for a unit."""
        # Long-running tasks that have run before must restart within seconds.
        has_run_before = unit.spec.is_long_running and unit.next_run > 1
        return policy.priority == 0 or has_run_before

    def _add_nonevictable_tasks(self, unit: PlacementUnit) -> None:
        service = self._queue.get_policy(unit.job).service
        self._limits.add_nonevictable_tasks(unit, service, len(unit.tasks))

    def _allocate(self, assignment: Assignment, sign: int) -> None:
        for task, worker in assignment:
            if worker in self._capacities:
                self._capacities[worker].allocate(task.unit, sign)
                self._backfill.allocate(task.unit, worker, sign)

    def _evict_for(
        self, unit: PlacementUnit, capacities: CapacityMap, allow_nonlocal: bool
    ) -> None:
        eviction = decide_eviction(
            unit,
            capacities,
            self._limits.list_evictable_units(),
            self._weighing,
            self._planner_state,
            make_lost_work_function(self._sessions),
            allow_nonlocal=allow_nonlocal,
        )
        if eviction is None:
            return
        self._planner_state.reserve_capacity(unit, eviction.assignment)
        self._allocate(eviction.assignment, 1)
        self._plan.lost_core_s += eviction.cost_core_s
        for victim in eviction.victims:
            self._plan.stops.append((victim, unit))
            self._limits.remove_evictable_unit(victim)


def _exclude(capacities: CapacityMap, workers: Set[str]) -> CapacityMap:
    if not workers:
        return capacities
    return {n: free for n, free in capacities.items() if n not in workers}
