"""Discrete-event simulation of a site's planner, with simulated workers."""

from __future__ import annotations

import heapq
import itertools
import random
import time
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field
from types import SimpleNamespace
from typing import Any

from benchmarks.site_scenes import (
    SERVICE_NAME,
    SiteArrival,
    SiteFleet,
    SiteScene,
    WorkerFault,
)
from benchmarks.virtual_clock import VirtualClock
from lagoonbeam.core.worker_health import WorkerHealthTracker
from lagoonbeam.site.fleet import (
    INITIAL_QUARANTINE_S,
    MAX_QUARANTINE_S,
    QUARANTINE_FAILURE_STREAK,
)
from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.metrics import Metrics
from lagoonbeam.site.model import JobState, RunEndReason, WorkerReport
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.policies import PolicyNames, make_policies
from lagoonbeam.site.records import (
    JobAccepted,
    JobFailed,
    Placement,
    RunEnd,
    RunsEnded,
    RunsPlaced,
)
from lagoonbeam.site.run_dispatcher import CHECKPOINT_LOSS_S
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import count_core_equivalents

START_DELAY_S = 0.02
"""Delay from a decision to the start: a journal write and a start command."""
STOP_DELAY_RANGE_S = (0.1, 0.9)
"""Bounds of the time that a stop takes; the platform allows 900 ms."""
CHECKPOINT_RESTORE_S = 0.6
"""Time to resume from a checkpoint, as the platform specifies."""
CHECKPOINT_INTERVAL_S = 0.5
"""Run time between two checkpoints, as the platform specifies."""
MULTI_RACK_SLOWDOWN = 3.0
"""Factor for the run time of a gang that spans racks, as the platform
specifies."""
SLOW_WORKER_SLOWDOWN = 4.0
FAILURE_POINT = 0.5
"""Share of its run time after which a failing run ends."""
DRAIN_PERIOD_S = 60.0
"""Period after the last arrival in which planning continues."""
PLANNING_INTERVAL_S = 0.25
LEASE_EXPIRY_S = 10.3
"""Time after which the runs of a lost worker end and may start elsewhere."""


@dataclass(slots=True)
class SiteJobOutcome:
    """Progress of one arrival; times are -1 until they are known.

    Attributes:
        arrival: The submitted job.
        first_start_s: Time of the first start of a task.
        ended_s: Time at which the job ended.
        state: Final state of the job.
    """

    arrival: SiteArrival
    first_start_s: float = -1.0
    ended_s: float = -1.0
    state: JobState = JobState.QUEUED


@dataclass(slots=True)
class SiteSimulationResult:
    """Result of a simulation.

    Attributes:
        outcomes: Outcome of each job, by job id.
        lost_core_s: Core seconds lost by preemption, as the plans state.
        used_core_s: Core seconds of completed runs.
        stops: Number of preempted units.
        planning_times_s: Real time that each plan took.
    """

    outcomes: dict[str, SiteJobOutcome] = field(default_factory=dict)
    lost_core_s: float = 0.0
    used_core_s: float = 0.0
    stops: int = 0
    planning_times_s: list[float] = field(default_factory=list)


class SiteSimulation:
    """Simulates one scene under one set of policies.

    Args:
        fleet: The deployment.
        scene: The workload and worker faults.
        policy_names: Names of the policies.
        seed: Seed for the faulty workers and the time that stops take.
        is_quarantining: Whether workers with repeated failures get no new runs.
    """

    def __init__(
        self,
        fleet: SiteFleet,
        scene: SiteScene,
        policy_names: PolicyNames,
        seed: int,
        *,
        is_quarantining: bool = True,
    ):
        self.result = SiteSimulationResult()
        self._clock = VirtualClock()
        self._scene = scene
        self._rng = random.Random(seed)
        self._configuration = fleet.make_configuration()
        self._state = SiteState()
        decisions: Any = SimpleNamespace(
            emit=lambda *_, **__: None, metrics=Metrics()
        )
        self._planner_state = PlannerState(
            decisions, policies=make_policies(policy_names), clock=self._clock
        )
        self._health = WorkerHealthTracker(
            self._clock.read_monotonic_s,
            failure_threshold=QUARANTINE_FAILURE_STREAK,
            initial_quarantine_s=INITIAL_QUARANTINE_S,
            max_quarantine_s=MAX_QUARANTINE_S,
        )
        self._is_quarantining = is_quarantining
        self._run_started_s: dict[str, float] = {}
        self._sessions: dict[str, Any] = {
            f"w{n:02}": SimpleNamespace(
                report=WorkerReport(
                    *(f"w{n:02}", 1, SERVICE_NAME, "", 0, "z1", False),
                    *(128_000, fleet.worker_memory_mb, 8),
                    ("a", f"r{n // fleet.rack_size}"),
                ),
                dispatcher=SimpleNamespace(
                    get_lost_work_s=self._get_lost_work_s,
                    get_elapsed_s=self._get_elapsed_s,
                ),
                running={},
            )
            for n in range(fleet.worker_count)
        }
        self._faulty_workers: dict[str, set[str]] = defaultdict(set)
        self._stopping_runs: set[tuple[str, int]] = set()
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._is_plan_needed = False

    def run(self) -> SiteSimulationResult:
        """Runs until no events remain."""
        for arrival in self._scene.arrivals:
            self._call_at(arrival.at_s, lambda each=arrival: self._submit(each))
        for fault in self._scene.worker_faults:
            self._call_at(
                fault.at_s, lambda each=fault: self._inject_fault(each)
            )
        end_s = self._scene.arrivals[-1].at_s + DRAIN_PERIOD_S
        for index in range(int(end_s / PLANNING_INTERVAL_S)):
            self._call_at(index * PLANNING_INTERVAL_S, self._request_plan)
        while self._events:
            self._clock.now_s, _, action = heapq.heappop(self._events)
            action()
            if self._is_plan_needed and self._is_time_step_complete():
                self._is_plan_needed = False
                self._make_plan()
        return self.result

    def _call_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_ids), action))

    def _call_later(self, delay_s: float, action: Callable[[], None]) -> None:
        self._call_at(self._clock.now_s + delay_s, action)

    def _is_time_step_complete(self) -> bool:
        return not self._events or self._events[0][0] > self._clock.now_s

    def _request_plan(self) -> None:
        self._is_plan_needed = self._state.count_open_jobs() > 0

    def _submit(self, arrival: SiteArrival) -> None:
        self.result.outcomes[arrival.request.job_id] = SiteJobOutcome(arrival)
        self._state.apply(JobAccepted(arrival.request))
        self._is_plan_needed = True

    def _inject_fault(self, fault: WorkerFault) -> None:
        count = round(fault.worker_share * len(self._sessions))
        affected = set(self._rng.sample(sorted(self._sessions), count))
        self._faulty_workers[fault.effect] |= affected

        def clear_fault() -> None:
            self._faulty_workers[fault.effect] -= affected

        self._call_later(fault.duration_s, clear_fault)
        if fault.effect == "lost":
            for worker in affected:
                for task in list(
                    self._state.tasks_by_worker.get(worker, {}).values()
                ):
                    self._end_lost_runs(task.unit, task.run, affected)

    def _end_lost_runs(
        self, unit: PlacementUnit, run: int, lost_workers: set[str]
    ) -> None:
        """Ends a run on lost workers; its other members are ended at once."""
        for task in unit.tasks:
            if task.placement is None:
                continue
            if task.placement.worker in lost_workers:
                reason, delay_s = RunEndReason.LEASE_EXPIRED, LEASE_EXPIRY_S
            else:
                reason, delay_s = RunEndReason.PEER_LOST, 0.0
            record = RunEnd(task.task_id, run, reason)
            self._call_later(
                delay_s, lambda record=record: self._apply_run_end(record)
            )

    def _make_plan(self) -> None:
        usable_sessions = {
            name: session
            for name, session in self._sessions.items()
            if name not in self._faulty_workers["lost"]
            and not (
                self._is_quarantining and self._health.is_quarantined(name)
            )
        }
        started_s = time.perf_counter()
        plan = make_plan(
            self._planner_state,
            self._state,
            self._sessions,
            usable_sessions,
            self._configuration,
        )
        self.result.planning_times_s.append(time.perf_counter() - started_s)
        self.result.lost_core_s += plan.lost_core_s
        for victim, _ in plan.stops:
            self.result.stops += 1
            self._request_stop(victim)
        for unit, assignment in plan.starts:
            self._start_unit(unit, assignment)
        if plan.is_truncated:
            self._call_later(0.01, self._request_plan)

    def _start_unit(
        self, unit: PlacementUnit, assignment: list[tuple[Task, str]]
    ) -> None:
        run = unit.next_run
        outcome = self.result.outcomes[unit.job.request.job_id]
        if outcome.first_start_s < 0:
            outcome.first_start_s = self._clock.now_s + START_DELAY_S
        self._state.apply(
            RunsPlaced(
                tuple(
                    Placement(task.task_id, run, worker, 1, unit.checkpoint)
                    for task, worker in assignment
                )
            )
        )
        self._planner_state.launching_assignments.pop(unit.key, None)
        workers = {worker for _, worker in assignment}
        self._call_later(
            START_DELAY_S, lambda: self._begin_run(unit, run, workers)
        )

    def _begin_run(
        self, unit: PlacementUnit, run: int, workers: set[str]
    ) -> None:
        if not self._is_running(unit, run):
            return
        arrival = self.result.outcomes[unit.job.request.job_id].arrival
        for task in unit.tasks:
            self._run_started_s[task.task_id] = self._clock.now_s
        slowdown = self._compute_slowdown(unit, workers)
        checkpointed_s = float(unit.checkpoint or 0.0)
        remaining_s = (arrival.run_s - checkpointed_s) * slowdown
        remaining_s += CHECKPOINT_RESTORE_S if checkpointed_s else 0.0
        if arrival.always_fails or workers & self._faulty_workers["failing"]:
            self._call_later(
                remaining_s * FAILURE_POINT, lambda: self._fail_run(unit, run)
            )
        else:
            self._call_later(remaining_s, lambda: self._complete_run(unit, run))

    def _compute_slowdown(
        self, unit: PlacementUnit, workers: set[str]
    ) -> float:
        """Returns the factor by which a unit runs longer on some workers."""
        slowdown = 1.0
        racks = {self._sessions[w].report.rack for w in workers}
        if unit.spec.is_one_rack and len(racks) > 1:
            slowdown *= MULTI_RACK_SLOWDOWN
        if workers & self._faulty_workers["slow"]:
            slowdown *= SLOW_WORKER_SLOWDOWN
        return slowdown

    def _is_running(self, unit: PlacementUnit, run: int) -> bool:
        return all(
            task.placement is not None
            and task.run == run
            and task.placement.worker not in self._faulty_workers["lost"]
            for task in unit.tasks
        )

    def _complete_run(self, unit: PlacementUnit, run: int) -> None:
        if not self._is_running(unit, run):
            return
        task = unit.tasks[0]
        ran_s = self._clock.now_s - self._run_started_s[task.task_id]
        self._planner_state.estimator.record_run(
            unit.job.request.queue.name, ran_s
        )
        self.result.used_core_s += (
            ran_s * count_core_equivalents(unit.spec) * len(unit.tasks)
        )
        self._record_health(unit, ok=True)
        for each in unit.tasks:
            self._apply_run_end(RunEnd(each.task_id, run, RunEndReason.DONE))

    def _fail_run(self, unit: PlacementUnit, run: int) -> None:
        if not self._is_running(unit, run):
            return
        self._record_health(unit, ok=False)
        for task in unit.tasks:
            if task.placement is not None:
                self._planner_state.avoid_worker(unit, task.placement.worker)
        for task in unit.tasks:
            self._apply_run_end(RunEnd(task.task_id, run, RunEndReason.FAILED))
        attempt_limit = unit.job.request.queue.max_attempts
        if unit.failures >= attempt_limit and unit.job.is_open:
            self._state.apply(JobFailed(unit.job.request.job_id, unit.key))
            self._record_job_end(unit)

    def _record_health(self, unit: PlacementUnit, *, ok: bool) -> None:
        for task in unit.tasks:
            if task.placement is not None:
                self._health.record_outcome(
                    task.placement.worker, unit.job.request.job_id, ok=ok
                )

    def _request_stop(self, unit: PlacementUnit) -> None:
        run = unit.tasks[0].run
        if (unit.key, run) in self._stopping_runs:
            return
        self._stopping_runs.add((unit.key, run))
        checkpointed_s = float(unit.checkpoint or 0.0)
        run_started_s = self._run_started_s.get(unit.key, self._clock.now_s)
        if unit.spec.is_checkpointing:
            checkpointed_s += max(0.0, self._clock.now_s - run_started_s)
        checkpoint = f"{checkpointed_s:.3f}" if checkpointed_s else ""

        def apply_stop() -> None:
            for task in unit.tasks:
                self._apply_run_end(
                    RunEnd(task.task_id, run, RunEndReason.STOPPED, checkpoint)
                )

        self._call_later(self._rng.uniform(*STOP_DELAY_RANGE_S), apply_stop)

    def _apply_run_end(self, run_end: RunEnd) -> None:
        unit = self._state.tasks[run_end.task_id].unit
        was_open = unit.job.is_open
        self._state.apply(RunsEnded((run_end,)))
        self._is_plan_needed = True
        if was_open and not unit.job.is_open:
            self._record_job_end(unit)

    def _record_job_end(self, unit: PlacementUnit) -> None:
        outcome = self.result.outcomes[unit.job.request.job_id]
        outcome.ended_s = self._clock.now_s
        outcome.state = unit.job.state

    def _get_elapsed_s(self, task: Task) -> float:
        run_started_s = self._run_started_s.get(task.task_id, self._clock.now_s)
        return self._clock.now_s - run_started_s

    def _get_lost_work_s(self, task: Task) -> float:
        elapsed_s = self._get_elapsed_s(task)
        if not task.unit.spec.is_checkpointing:
            return elapsed_s
        return min(elapsed_s, CHECKPOINT_LOSS_S)
