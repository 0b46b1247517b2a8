"""Virtual time over the real planners, with fake workers."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.fleets import Fleet
from benchmarks.scenes import (
    HORIZON_S,
    Arrival,
    Scene,
)
from lagoonbeam.core.allocator import StartDecision, StopDecision
from lagoonbeam.core.planned_job import PlannedJob, Standing
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.routing import ZoneCandidate, choose_zone
from lagoonbeam.core.rules import PolicyNames
from lagoonbeam.core.worker_health import WorkerHealthTracker
from lagoonbeam.core.worker_pool import WorkerHealth
from lagoonbeam.errors import InvariantError

LAUNCH_S = 0.05
"""Time from a decision to the start of a gang."""
CHECKPOINT_S = 0.5
"""Time a stopped gang takes to leave its cells."""
RETRY_S = 5.0
"""First time after which a refused caller asks again; it doubles."""
MAX_RETRY_S = 60.0
MAX_TRIES = 8
"""Tries after which a refused caller gives up."""
SAMPLE_S = 10.0
"""Time between two samples of fragmentation."""
TICK_S = 5.0
"""Time between two looks at queues where nothing happened."""
DRAIN_S = 3_600.0
"""Time after the last arrival in which work may finish."""
JOB_ATTEMPTS = 3

POLICIES = {
    "lagoonbeam": PolicyNames(),
    "backfill": PolicyNames("backfill", "first_fit", "never", "unbounded"),
    "first_fit": PolicyNames("first_come", "first_fit", "never", "unbounded"),
}


@dataclass
class Record:
    """What became of one arrival."""

    arrival: Arrival
    first_start_s: float = -1.0
    accepted_s: float = 0.0
    done_s: float = -1.0
    refusals: int = 0
    failed: bool = False


@dataclass
class Tally:
    """Totals of a run."""

    records: dict[str, Record] = field(default_factory=dict)
    reclaims_s: list[float] = field(default_factory=list)
    stranded: list[float] = field(default_factory=list)
    unusable: list[float] = field(default_factory=list)
    wasted_slot_s: float = 0.0
    used_slot_s: float = 0.0
    violations: int = 0
    shortfalls: int = 0


class Simulation:
    """Runs one scene under one policy.

    Args:
        fleet: The workers.
        scene: The work.
        policy: Name of the policies in force.
    """

    def __init__(self, fleet: Fleet, scene: Scene, policy: str):
        self.now_s = 0.0
        self.tally = Tally()
        self.planners: dict[str, Planner] = {}
        self._fleet = fleet
        self._scene = scene
        self._policies = POLICIES[policy]
        self._queue: list[tuple[float, int, Callable[[], None]]] = []
        self._number = itertools.count()
        self._homes: dict[str, str] = {}
        self._runs: dict[str, int] = defaultdict(int)
        self._decided_s: dict[str, float] = {}
        self._blamed: dict[str, set[str]] = defaultdict(set)
        self._dirty: set[str] = set()
        self._health = {
            zone: WorkerHealthTracker(lambda: self.now_s)
            for zone in fleet.zones
        }
        rules = fleet.make_rules(self._policies)
        for zone in fleet.zones:
            planner = Planner(zone, now=lambda: self.now_s)
            for shape in fleet.list_workers(zone):
                planner.add_worker(shape)
            planner.set_rules(rules)
            self.planners[zone] = planner

    def run(self) -> Tally:
        """Runs until all work has ended, or `DRAIN_S` after the horizon."""
        for arrival in self._scene.arrivals:
            self.tally.records[arrival.job.job_id] = Record(arrival)
            self._at(arrival.at_s, lambda each=arrival: self._arrive(each))
        for at_s, scale in self._scene.revisions:
            self._at(at_s, lambda scale=scale: self._revise(scale))
        samples = int(HORIZON_S / SAMPLE_S)
        for index in range(samples):
            self._at(index * SAMPLE_S, self._sample)
        for index in range(int((HORIZON_S + DRAIN_S) / TICK_S)):
            self._at(index * TICK_S, lambda: self._dirty.update(self.planners))
        while self._queue:
            self.now_s, _, action = heapq.heappop(self._queue)
            if self.now_s > HORIZON_S + DRAIN_S:
                break
            action()
            self._decide()
        return self.tally

    def _at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._queue, (at_s, next(self._number), action))

    def _arrive(self, arrival: Arrival) -> None:
        job = arrival.job
        views = []
        for zone, planner in self.planners.items():
            guarantee_tracker = planner.pools.accelerated.guarantee_tracker
            views.append(
                ZoneCandidate(
                    zone=zone,
                    free_slots=planner.pools.free_slots,
                    expected_wait_s=planner.estimate_wait_s(),
                    guaranteed=guarantee_tracker.has_guarantee(
                        job.organisation
                    ),
                )
            )
        zone = choose_zone(job, views).zone
        self._homes[job.job_id] = zone
        record = self.tally.records[job.job_id]
        record.accepted_s = self.now_s
        self.planners[zone].submit(job)
        self._dirty.add(zone)
        if job.start_within_s:
            self._at(
                self.now_s + job.start_within_s + 0.001,
                lambda: self._expire(zone),
            )

    def _expire(self, zone: str) -> None:
        if self._policies.admission != "bounded":
            return
        for planned in self.planners[zone].expire_overdue_jobs():
            record = self.tally.records[planned.job.job_id]
            record.refusals += 1
            if record.refusals >= MAX_TRIES:
                continue
            pause_s = min(RETRY_S * 2 ** (record.refusals - 1), MAX_RETRY_S)
            self._at(
                self.now_s + pause_s,
                lambda each=record.arrival: self._arrive(each),
            )

    def _decide(self) -> None:
        while self._dirty:
            zone = self._dirty.pop()
            planner = self.planners[zone]
            self._expire(zone)
            try:
                decisions = planner.decide()
            except InvariantError:
                self.tally.violations += 1
                continue
            self.tally.shortfalls += planner.pools.shortfall_slots > 0
            for decision in decisions:
                if isinstance(decision, StartDecision):
                    self._start(zone, decision)
                elif isinstance(decision, StopDecision):
                    self._stop(zone, decision.planned)
        for planner in self.planners.values():
            for waiting in planner.list_awaiting_cells():
                job_id = waiting.job.job_id
                self._decided_s.setdefault(job_id, self.now_s)

    def _start(self, zone: str, decision: StartDecision) -> None:
        planned = decision.planned
        job_id = planned.job.job_id
        record = self.tally.records[job_id]
        placement = decision.placement
        if record.first_start_s < 0:
            record.first_start_s = self.now_s + LAUNCH_S
        if job_id in self._decided_s:
            waited_s = self.now_s - self._decided_s.pop(job_id)
            if placement.standing is Standing.GUARANTEED:
                self.tally.reclaims_s.append(waited_s)
        planner = self.planners[zone]
        planner.started(job_id)
        self._runs[job_id] += 1
        number = self._runs[job_id]
        left_s = record.arrival.run_s - planned.checkpointed_s
        pool = planner.pools.get(accelerated=placement.accelerated)
        workers = {pool.get_worker(c).shape.worker for c in placement.cells}
        failing = {
            name
            for name, from_s, until_s in self._scene.failing
            if from_s <= self.now_s < until_s
        }
        if record.arrival.always_fails or workers & failing:
            culprits = workers & failing or workers
            self._at(
                self.now_s + 1.0,
                lambda: self._fail(zone, job_id, number, culprits),
            )
            return
        self._at(
            self.now_s + LAUNCH_S + max(0.1, left_s),
            lambda: self._finish(zone, job_id, number),
        )

    def _finish(self, zone: str, job_id: str, number: int) -> None:
        planner = self.planners[zone]
        planned = planner.jobs.get(job_id)
        if planned is None or self._runs[job_id] != number:
            return
        self._count_run(planned, lost=False)
        self._judge(zone, planned, ok=True)
        planner.finished(job_id)
        self.tally.records[job_id].done_s = self.now_s
        self._dirty.add(zone)

    def _fail(
        self, zone: str, job_id: str, number: int, culprits: set[str]
    ) -> None:
        planner = self.planners[zone]
        planned = planner.jobs.get(job_id)
        if planned is None or self._runs[job_id] != number:
            return
        self._count_run(planned, lost=True)
        self._judge(zone, planned, ok=False, culprits=culprits)
        self._runs[job_id] += 1
        self._blamed[job_id] |= culprits
        health = self._health[zone]
        counted = [w for w in self._blamed[job_id] if not health.is_at_fault(w)]
        self._dirty.add(zone)
        if planned.job.idempotent and len(counted) < JOB_ATTEMPTS:
            planned.add_excluded_workers(culprits)
            planner.requeue(job_id)
            return
        planner.finished(job_id, completed=False)
        self.tally.records[job_id].failed = True
        self.tally.records[job_id].done_s = self.now_s

    def _judge(
        self,
        zone: str,
        planned: PlannedJob,
        *,
        ok: bool,
        culprits: set[str] | None = None,
    ) -> None:
        planner = self.planners[zone]
        placement = planned.placement
        assert placement is not None
        pool = planner.pools.get(accelerated=placement.accelerated)
        workers = {pool.get_worker(c).shape.worker for c in placement.cells}
        health = self._health[zone]
        for worker in culprits or workers:
            health.record_outcome(worker, planned.job.job_id, ok=ok)
        if self._policies.ordering != "fair_share":
            return
        for worker in pool.workers:
            quarantined = health.is_quarantined(worker)
            state = (
                WorkerHealth.QUARANTINED
                if quarantined
                else WorkerHealth.HEALTHY
            )
            planner.set_health(worker, state)

    def _stop(self, zone: str, planned: PlannedJob) -> None:
        job_id = planned.job.job_id
        self._runs[job_id] += 1
        ran_s = self.now_s - planned.started_at_s + planned.checkpointed_s
        self._at(
            self.now_s + CHECKPOINT_S, lambda: self._leave(zone, planned, ran_s)
        )

    def _leave(self, zone: str, planned: PlannedJob, ran_s: float) -> None:
        kept = planned.job.checkpointable
        self._count_run(planned, lost=not kept)
        self.planners[zone].requeue(
            planned.job.job_id, checkpointed_s=ran_s if kept else 0.0
        )
        self._dirty.add(zone)

    def _count_run(self, planned: PlannedJob, *, lost: bool) -> None:
        assert planned.placement is not None
        slot_s = planned.placement.slots * (self.now_s - planned.started_at_s)
        self.tally.used_slot_s += slot_s
        if lost:
            self.tally.wasted_slot_s += slot_s

    def _revise(self, scale: int) -> None:
        rules = self._fleet.make_rules(self._policies, scale=scale)
        for zone, planner in self.planners.items():
            planner.set_rules(rules)
            self._dirty.add(zone)

    def _sample(self) -> None:
        """Notes how much is free and of no use to any gang that waits."""
        stranded = free = 0
        for planner in self.planners.values():
            shapes = {planned.job.shape for planned in planner.queued_jobs}
            if not shapes:
                continue
            space = planner.pools.accelerated.free
            usable = 0
            for shape in shapes:
                slots = max(1, shape.accelerators)
                fitting = space.count_fitting_cells(slots)
                if fitting >= shape.members:
                    usable = max(usable, fitting * slots)
            free += space.free_slots
            stranded += space.free_slots - usable
        if free:
            self.tally.unusable.append(stranded / free)
        self.tally.stranded.append(stranded / self._fleet.slots)
