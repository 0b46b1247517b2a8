"""Virtual time over the site's real planner and state, with fake workers."""

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
    SERVICE,
    Arrival,
    SiteFleet,
    SiteScene,
    Trouble,
)
from lagoonbeam.core.clock import Clock
from lagoonbeam.core.worker_health import WorkerHealthTracker
from lagoonbeam.site.fleet import (
    INITIAL_QUARANTINE_S,
    MAX_QUARANTINE_S,
    QUARANTINE_FAILURE_STREAK,
)
from lagoonbeam.site.jobs import PlacementUnit, Task
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

START_S = 0.02
"""From a decision to the start: the journal and an order."""
STOP_S = (0.1, 0.9)
"""Least and longest time that a stop takes; 900 ms is the platform's bound."""
RESTORE_S = 0.6
"""Time to resume from a checkpoint, as the platform states."""
CHECKPOINT_S = 0.5
"""Work between two checkpoints, as the platform states."""
FAR_FACTOR = 3.0
"""How much longer a gang takes over several racks, as the platform states."""
SLOW_FACTOR = 4.0
FAIL_SHARE = 0.5
"""Part of its run time after which a run fails."""
DRAIN_S = 60.0
"""Time after the last arrival in which work may finish."""
TICK_S = 0.25
LEASE_S = 10.3
"""Time after which the runs of a lost worker start elsewhere."""


class VirtualClock(Clock):
    """The simulation's time."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def read_wall_s(self) -> float:
        """Returns the simulation's time."""
        return self.now_s

    def read_monotonic_s(self) -> float:
        """Returns the simulation's time."""
        return self.now_s


@dataclass(slots=True)
class Outcome:
    """What became of an arrival.

    Attributes:
        arrival: The job.
        first_start_s: When its first task was ordered; negative before.
        ended_s: When it ended; negative before.
        state: How it ended.
    """

    arrival: Arrival
    first_start_s: float = -1.0
    ended_s: float = -1.0
    state: JobState = JobState.QUEUED


@dataclass(slots=True)
class SiteTally:
    """Totals of a run.

    Attributes:
        outcomes: What became of each job.
        lost_core_s: Work that was thrown away.
        used_core_s: Work that was done.
        stops: Units that were stopped for others.
        plan_s: Seconds that each plan took, of real time.
    """

    outcomes: dict[str, Outcome] = field(default_factory=dict)
    lost_core_s: float = 0.0
    used_core_s: float = 0.0
    stops: int = 0
    plan_s: list[float] = field(default_factory=list)


class SiteSimulation:
    """Runs one scene under some policies.

    Args:
        fleet: The workers.
        scene: The work and its troubles.
        names: The policies.
        seed: Draws what the scene leaves open.
        quarantines: Whether workers that fail all get nothing new.
    """

    def __init__(
        self,
        fleet: SiteFleet,
        scene: SiteScene,
        names: PolicyNames,
        seed: int,
        *,
        quarantines: bool = True,
    ):
        self.tally = SiteTally()
        self._clock = VirtualClock()
        self._scene = scene
        self._rng = random.Random(seed)
        self._configuration = fleet.make_configuration()
        self._state = SiteState()
        decisions: Any = SimpleNamespace(emit=lambda *_, **__: None)
        self._memory = PlannerState(
            decisions, policies=make_policies(names), clock=self._clock
        )
        self._health = WorkerHealthTracker(
            self._clock.read_monotonic_s,
            failure_threshold=QUARANTINE_FAILURE_STREAK,
            initial_quarantine_s=INITIAL_QUARANTINE_S,
            max_quarantine_s=MAX_QUARANTINE_S,
        )
        self._quarantines = quarantines
        self._begun_s: dict[str, float] = {}
        self._sessions: dict[str, Any] = {
            f"w{n:02}": SimpleNamespace(
                report=WorkerReport(
                    *(f"w{n:02}", 1, SERVICE, "", 0, "z1", False),
                    *(128_000, 512_000, 8, ("a", f"r{n // fleet.rack}")),
                ),
                dispatcher=SimpleNamespace(get_lost_work_s=self._get_lost_s),
            )
            for n in range(fleet.workers)
        }
        self._ill: dict[str, set[str]] = defaultdict(set)
        self._stopping: set[tuple[str, int]] = set()
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._is_dirty = False

    def run(self) -> SiteTally:
        """Runs until all work has ended, or long after the horizon."""
        for arrival in self._scene.arrivals:
            self._at(arrival.at_s, lambda each=arrival: self._arrive(each))
        for trouble in self._scene.troubles:
            self._at(trouble.at_s, lambda each=trouble: self._trouble(each))
        last_s = self._scene.arrivals[-1].at_s + DRAIN_S
        for index in range(int(last_s / TICK_S)):
            self._at(index * TICK_S, self._touch)
        while self._queue:
            self._clock.now_s, _, action = heapq.heappop(self._queue)
            action()
            if self._is_dirty and self._is_last_of_now():
                self._is_dirty = False
                self._plan()
        return self.tally

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._number), action))

    def _after(self, delay_s: float, action: Callable[[], None]) -> None:
        self._at(self._clock.now_s + delay_s, action)

    def _is_last_of_now(self) -> bool:
        return not self._queue or self._queue[0][0] > self._clock.now_s

    def _touch(self) -> None:
        self._is_dirty = self._state.count_open_jobs() > 0

    def _arrive(self, arrival: Arrival) -> None:
        self.tally.outcomes[arrival.request.job_id] = Outcome(arrival)
        self._state.apply(JobAccepted(arrival.request))
        self._is_dirty = True

    def _trouble(self, trouble: Trouble) -> None:
        count = round(trouble.workers * len(self._sessions))
        chosen = set(self._rng.sample(sorted(self._sessions), count))
        self._ill[trouble.what] |= chosen

        def heal() -> None:
            self._ill[trouble.what] -= chosen

        self._after(trouble.for_s, heal)
        if trouble.what == "lost":
            for worker in chosen:
                for task in list(
                    self._state.tasks_by_worker.get(worker, {}).values()
                ):
                    self._lose(task.unit, task.run, chosen)

    def _lose(self, unit: PlacementUnit, run: int, lost: set[str]) -> None:
        """Ends a run on lost workers; its other members break at once."""
        for task in unit.tasks:
            if task.placement is None:
                continue
            if task.placement.worker in lost:
                end, delay_s = RunEndReason.LEASE_EXPIRED, LEASE_S
            else:
                end, delay_s = RunEndReason.PEER_LOST, 0.0
            record = RunEnd(task.task_id, run, end)
            self._after(delay_s, lambda record=record: self._end(record))

    def _plan(self) -> None:
        usable = {
            name: session
            for name, session in self._sessions.items()
            if name not in self._ill["lost"]
            and not (self._quarantines and self._health.is_quarantined(name))
        }
        began_s = time.perf_counter()
        plan = make_plan(
            self._memory,
            self._state,
            self._sessions,
            usable,
            self._configuration,
        )
        self.tally.plan_s.append(time.perf_counter() - began_s)
        self.tally.lost_core_s += plan.lost_core_s
        for victim, _ in plan.stops:
            self.tally.stops += 1
            self._stop(victim)
        for unit, assignment in plan.starts:
            self._start(unit, assignment)
        if plan.is_truncated:
            self._after(0.01, self._touch)

    def _start(
        self, unit: PlacementUnit, assignment: list[tuple[Task, str]]
    ) -> None:
        run = unit.next_run
        outcome = self.tally.outcomes[unit.job.request.job_id]
        if outcome.first_start_s < 0:
            outcome.first_start_s = self._clock.now_s + START_S
        self._state.apply(
            RunsPlaced(
                tuple(
                    Placement(task.task_id, run, worker, 1, unit.checkpoint)
                    for task, worker in assignment
                )
            )
        )
        self._memory.launching_assignments.pop(unit.key, None)
        workers = {worker for _, worker in assignment}
        self._after(START_S, lambda: self._begin(unit, run, workers))

    def _begin(self, unit: PlacementUnit, run: int, workers: set[str]) -> None:
        if not self._is_present(unit, run):
            return
        arrival = self.tally.outcomes[unit.job.request.job_id].arrival
        for task in unit.tasks:
            self._begun_s[task.task_id] = self._clock.now_s
        racks = {self._sessions[w].report.rack for w in workers}
        factor = FAR_FACTOR if unit.spec.is_one_rack and len(racks) > 1 else 1.0
        factor *= SLOW_FACTOR if workers & self._ill["slow"] else 1.0
        saved_s = float(unit.checkpoint or 0.0)
        left_s = (arrival.run_s - saved_s) * factor
        left_s += RESTORE_S if saved_s else 0.0
        if arrival.is_hopeless or workers & self._ill["failing"]:
            self._after(left_s * FAIL_SHARE, lambda: self._fail(unit, run))
        else:
            self._after(left_s, lambda: self._finish(unit, run))

    def _is_present(self, unit: PlacementUnit, run: int) -> bool:
        return all(
            task.placement is not None
            and task.run == run
            and task.placement.worker not in self._ill["lost"]
            for task in unit.tasks
        )

    def _finish(self, unit: PlacementUnit, run: int) -> None:
        if not self._is_present(unit, run):
            return
        task = unit.tasks[0]
        spent_s = self._clock.now_s - self._begun_s[task.task_id]
        self._memory.estimator.record_run(unit.job.request.queue.name, spent_s)
        self.tally.used_core_s += (
            spent_s * count_core_equivalents(unit.spec) * len(unit.tasks)
        )
        self._observe(unit, ok=True)
        for each in unit.tasks:
            self._end(RunEnd(each.task_id, run, RunEndReason.DONE))

    def _fail(self, unit: PlacementUnit, run: int) -> None:
        if not self._is_present(unit, run):
            return
        self._observe(unit, ok=False)
        for task in unit.tasks:
            if task.placement is not None:
                self._memory.avoid_worker(unit, task.placement.worker)
        for task in unit.tasks:
            self._end(RunEnd(task.task_id, run, RunEndReason.FAILED))
        most = unit.job.request.queue.max_attempts
        if unit.failures >= most and unit.job.is_open:
            self._state.apply(JobFailed(unit.job.request.job_id, unit.key))
            self._note_ended(unit)

    def _observe(self, unit: PlacementUnit, *, ok: bool) -> None:
        for task in unit.tasks:
            if task.placement is not None:
                self._health.record_outcome(
                    task.placement.worker, unit.job.request.job_id, ok=ok
                )

    def _stop(self, unit: PlacementUnit) -> None:
        run = unit.tasks[0].run
        if (unit.key, run) in self._stopping:
            return
        self._stopping.add((unit.key, run))
        saved_s = float(unit.checkpoint or 0.0)
        begun_s = self._begun_s.get(unit.key, self._clock.now_s)
        if unit.spec.is_checkpointing:
            saved_s += max(0.0, self._clock.now_s - begun_s)
        checkpoint = f"{saved_s:.3f}" if saved_s else ""

        def end() -> None:
            for task in unit.tasks:
                self._end(
                    RunEnd(task.task_id, run, RunEndReason.STOPPED, checkpoint)
                )

        self._after(self._rng.uniform(*STOP_S), end)

    def _end(self, end: RunEnd) -> None:
        unit = self._state.tasks[end.task_id].unit
        was_open = unit.job.is_open
        self._state.apply(RunsEnded((end,)))
        self._is_dirty = True
        if was_open and not unit.job.is_open:
            self._note_ended(unit)

    def _note_ended(self, unit: PlacementUnit) -> None:
        outcome = self.tally.outcomes[unit.job.request.job_id]
        outcome.ended_s = self._clock.now_s
        outcome.state = unit.job.state

    def _get_lost_s(self, task: Task) -> float:
        begun_s = self._begun_s.get(task.task_id, self._clock.now_s)
        elapsed_s = self._clock.now_s - begun_s
        if not task.unit.spec.is_checkpointing:
            return elapsed_s
        return min(elapsed_s, CHECKPOINT_LOSS_S)
