"""One plan: which ready units start where, and what is stopped for them."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from lagoonbeam.site.durations import Earning
from lagoonbeam.site.entries import JobEntry, UnitState
from lagoonbeam.site.events import Event
from lagoonbeam.site.eviction import find_eviction
from lagoonbeam.site.guarantees import find_covered
from lagoonbeam.site.lending import Lending
from lagoonbeam.site.model import Configuration, QueuePolicy, Step
from lagoonbeam.site.ordering import UnitStanding
from lagoonbeam.site.patience import Patience
from lagoonbeam.site.placement import Assignment, place_unit
from lagoonbeam.site.plan_memory import PlanMemory
from lagoonbeam.site.rooms import (
    Room,
    Rooms,
    count_cores,
    get_demand,
    get_step_id,
    is_suited,
    step_key,
)
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState

PLACED_AT_ONCE = 40
"""Most units placed in one plan, so that a plan stays short."""
PLAN_BUDGET_S = 0.02
"""Seconds after which a plan leaves the rest to the next one; the loop must
not pause for 50 ms."""


@dataclass(slots=True)
class Plan:
    """What to do.

    Attributes:
        starts: Units and where their tasks go.
        stops: Units to stop, each with the unit that needs the room.
        lost_core_s: Core-seconds that the stops throw away.
        is_cut_short: Whether units were left for the next plan.
        short: Step of a unit that still earns and found no room, by service.
    """

    starts: list[tuple[UnitState, Assignment]] = field(default_factory=list)
    stops: list[tuple[UnitState, UnitState]] = field(default_factory=list)
    lost_core_s: float = 0.0
    is_cut_short: bool = False
    short: dict[str, Step] = field(default_factory=dict)


def make_plan(
    memory: PlanMemory,
    state: SiteState,
    sessions: Mapping[str, WorkerSession],
    usable: Mapping[str, WorkerSession],
    configuration: Configuration,
) -> Plan:
    """Decides what starts now.

    Args:
        memory: What lasts from one plan to the next.
        state: The state in force.
        sessions: All workers' sessions by name.
        usable: Those that may get new runs.
        configuration: The configuration in force.
    """
    memory.drop_stale(state)
    return _Pass(memory, state, sessions, usable, configuration).run()


class _Pass:
    """The making of one plan."""

    def __init__(
        self,
        memory: PlanMemory,
        state: SiteState,
        sessions: Mapping[str, WorkerSession],
        usable: Mapping[str, WorkerSession],
        configuration: Configuration,
    ):
        self._memory = memory
        self._state = state
        self._sessions = sessions
        self._usable = usable
        self._configuration = configuration
        self._now_s = memory.clock.read_wall_s()
        self._policies: dict[str, QueuePolicy] = {}
        self._earnings: dict[tuple[str, int, int], Earning] = {}
        self._full: set[tuple[object, ...]] = set()
        self._by_service: dict[str, Rooms] = defaultdict(dict)
        self._covered = find_covered(
            state.open_jobs(), configuration.organisations, self._policy
        )
        self._lending = Lending(
            self._by_service,
            self._covered,
            configuration.count_guaranteed(),
            memory.policies.reserve,
        )
        self._rooms = self._measure_rooms()
        for name, room in self._rooms.items():
            self._by_service[room.report.service][name] = room
        self._patience = Patience(memory.durations, self._now_s)
        self._plan = Plan()

    def run(self) -> Plan:
        """Returns the plan."""
        ends_s = time.monotonic() + PLAN_BUDGET_S
        tried = self._memory.tried
        for unit in self._order(self._find_ready()):
            if unit.key in tried:
                continue
            if (
                len(self._plan.starts) >= PLACED_AT_ONCE
                or time.monotonic() > ends_s
            ):
                self._plan.is_cut_short = True
                return self._plan
            tried.add(unit.key)
            shape = self._get_shape(unit)
            if shape in self._full:
                self._note_like(unit)
                continue
            assignment = self._place(unit)
            if assignment is None:
                if unit.key not in self._memory.reserved:
                    self._full.add(shape)
                continue
            for _, worker in assignment:
                self._rooms[worker].take(unit)
            self._hold(unit)
            self._plan.starts.append((unit, assignment))
            self._memory.launching[unit.key] = assignment
        tried.clear()
        return self._plan

    def _note_like(self, unit: UnitState) -> None:
        """Notes that an urgent unit waits behind one of equal needs."""
        if self._policy(unit.job).priority == 0:
            self._memory.note_waiting(unit, behind_equal_needs=True)

    def _policy(self, job: JobEntry) -> QueuePolicy:
        """The policy in force for a job, or that of its acceptance."""
        accepted = job.request.queue
        policy = self._policies.get(accepted.name)
        if policy is None:
            found = self._configuration.find_policy(accepted.name)
            policy = self._policies[accepted.name] = found or accepted
        return policy

    def _get_shape(self, unit: UnitState) -> tuple[object, ...]:
        """Identifies units that fit in the same places."""
        policy = self._policy(unit.job)
        step = unit.spec
        is_alone = (
            unit.key in self._memory.reserved
            or bool(self._memory.get_avoided(unit))
            or bool(step.max_per_worker)
            or policy.is_advised
            or unit.job.request.runs_once
        )
        if is_alone:
            return (unit.key,)
        return (
            policy.name,
            self._patience.may_be_far(
                unit, policy.service, self._by_service[policy.service]
            ),
            self._patience.has_waited(unit),
            self._may_evict(unit, policy),
            *get_demand(unit),
        )

    def _find_ready(self) -> list[UnitState]:
        launching = self._memory.launching
        is_ready: dict[tuple[str, int, int], bool] = {}
        ready: list[UnitState] = []
        for unit in self._state.waiting_units():
            key = step_key(unit)
            if key not in is_ready:
                is_ready[key] = self._is_ready(unit)
            if is_ready[key] and unit.key not in launching:
                ready.append(unit)
        return ready

    def _is_ready(self, unit: UnitState) -> bool:
        """Whether the turn of a unit's step has come."""
        job = unit.job
        if job.due_s(unit.occurrence) > self._now_s:
            return False
        before = unit.spec.after
        return all(job.is_step_done(unit.occurrence, n) for n in before)

    def _get_earning(self, unit: UnitState) -> Earning:
        key = step_key(unit)
        if key not in self._earnings:
            self._earnings[key] = self._memory.durations.get_earning(
                unit, self._policy(unit.job), self._now_s
            )
        return self._earnings[key]

    def _order(self, units: list[UnitState]) -> list[UnitState]:
        ordering = self._memory.policies.ordering

        def rank(unit: UnitState) -> tuple[float, ...]:
            job = unit.job
            due_s = job.due_s(unit.occurrence)
            return ordering.rank(
                UnitStanding(
                    job.request.job_id in self._covered,
                    unit.spec.is_long_running,
                    self._policy(job).priority,
                    self._get_earning(unit),
                    max(job.request.accepted_at_s, due_s),
                )
            )

        return sorted(units, key=rank)

    def _measure_rooms(self) -> Rooms:
        usage = self._memory.usage
        usage.prepare(self._state, self._configuration.version)
        rooms: Rooms = {}
        for name, session in self._usable.items():
            report = session.report
            use = usage.get(self._state, name, self._policy)
            rooms[name] = Room(
                report,
                report.cpu_millis - use.cpu_millis,
                report.memory_mb - use.memory_mb,
                report.accelerators - use.accelerators,
                use.tasks,
            )
            self._lending.note_use(name, report.service, use)
        promised = chain(
            self._memory.launching.values(),
            (r.assignment for r in self._memory.reserved.values()),
        )
        for task, worker in chain.from_iterable(promised):
            if worker in rooms:
                rooms[worker].take(task.unit)
        for assignment in self._memory.launching.values():
            self._hold(assignment[0][0].unit)
        return rooms

    def _place(self, unit: UnitState) -> Assignment | None:
        policy = self._policy(unit.job)
        usable = self._by_service[policy.service]
        reserved = self._memory.reserved.pop(unit.key, None)
        if reserved is not None:
            self._take(reserved.assignment, -1)
        allow_far = self._patience.may_be_far(unit, policy.service, usable)
        if not self._lending.may_hold(unit, policy):
            self._memory.note_waiting(
                unit,
                priority=policy.priority,
                unstoppable=self._lending.unstoppable[policy.service],
            )
            return None
        rooms = self._choose_rooms(unit, policy)
        if policy.is_advised:
            rooms = self._limit_to_advised(unit, rooms)
        avoided = self._memory.get_avoided(unit)
        if avoided:
            others = {n: room for n, room in rooms.items() if n not in avoided}
            assignment = self._place_in(unit, others, allow_far)
            if assignment is not None:
                return assignment
        assignment = self._place_in(unit, rooms, allow_far)
        if assignment is not None:
            return assignment
        if reserved is not None:
            self._take(reserved.assignment, 1)
            self._memory.reserved[unit.key] = reserved
        elif self._may_evict(unit, policy):
            self._evict(unit, rooms if policy.is_advised else usable, allow_far)
        elif unit.spec.is_gang and self._get_earning(unit) is Earning.FULL:
            self._lending.keep_for(unit, policy, rooms)
        if self._get_earning(unit) is Earning.FULL:
            self._plan.short.setdefault(policy.service, unit.spec)
        self._memory.note_waiting(
            unit,
            priority=policy.priority,
            may_be_far=allow_far,
            workers=len(rooms),
            free_accelerators=sum(
                max(0, room.accelerators) for room in rooms.values()
            ),
            evicting=unit.key in self._memory.reserved,
        )
        return None

    def _choose_rooms(self, unit: UnitState, policy: QueuePolicy) -> Rooms:
        """Returns the workers that a unit may use."""
        usable = self._by_service[policy.service]
        has_waited = self._patience.has_waited(unit)
        if policy.priority == 0 or (
            has_waited and self._patience.is_idle(policy.service, usable)
        ):
            return usable
        return self._lending.get_allowed(policy)

    def _place_in(
        self, unit: UnitState, rooms: Rooms, allow_far: bool
    ) -> Assignment | None:
        packing = self._memory.policies.packing
        return place_unit(unit, rooms, allow_far=allow_far, packing=packing)

    def _may_evict(self, unit: UnitState, policy: QueuePolicy) -> bool:
        """Whether others may be stopped for a unit.

        Long-running tasks that ran before must be back within seconds.
        """
        was_running = unit.spec.is_long_running and unit.next_run > 1
        return policy.priority == 0 or was_running

    def _hold(self, unit: UnitState) -> None:
        service = self._policy(unit.job).service
        self._lending.hold(unit, service, len(unit.tasks))

    def _limit_to_advised(self, unit: UnitState, rooms: Rooms) -> Rooms:
        """Returns the workers with a ticket, and asks about the others."""
        advice = self._memory.advice
        if advice is None:
            return rooms
        step = get_step_id(unit)
        tickets = advice.get_tickets(step)
        allowed = {n: room for n, room in rooms.items() if n in tickets}
        count = len(unit.tasks)
        if sum(r.count_fitting(unit, count) for r in allowed.values()) < count:
            by_room = sorted(
                (r for r in rooms.values() if is_suited(r.report, unit.spec)),
                key=lambda room: -room.count_fitting(unit, count),
            )
            advice.request_tickets(
                step,
                [(r.report.worker, r.report.incarnation) for r in by_room],
            )
        return allowed

    def _take(self, assignment: Assignment, count: int) -> None:
        for task, worker in assignment:
            if worker in self._rooms:
                self._rooms[worker].take(task.unit, count)

    def _evict(self, unit: UnitState, rooms: Rooms, allow_far: bool) -> None:
        lent = {
            worker: list(units.values())
            for worker, units in self._lending.lent.items()
        }
        eviction = find_eviction(
            unit,
            rooms,
            lent,
            self._make_cost(),
            allow_far=allow_far,
            policy=self._memory.policies.eviction,
            packing=self._memory.policies.packing,
        )
        if eviction is None:
            return
        self._memory.reserve(unit, eviction.assignment)
        self._take(eviction.assignment, 1)
        self._plan.lost_core_s += eviction.cost
        for victim in eviction.victims:
            self._plan.stops.append((victim, unit))
            self._lending.take_back(victim)
        self._memory.decisions.emit(
            Event.UNIT_EVICTS,
            task=unit.key,
            victims=[victim.key for victim in eviction.victims],
            lost_core_s=round(eviction.cost, 1),
        )

    def _make_cost(self) -> Callable[[UnitState], float]:
        costs: dict[str, float] = {}

        def get_cost(unit: UnitState) -> float:
            """Core-seconds thrown away by stopping a unit now."""
            if unit.key not in costs:
                lost_s = sum(
                    session.orders.get_lost_work_s(task)
                    for task in unit.tasks
                    if task.placement is not None
                    and (session := self._sessions.get(task.placement.worker))
                )
                costs[unit.key] = count_cores(unit.spec) * lost_s
            return costs[unit.key]

        return get_cost
