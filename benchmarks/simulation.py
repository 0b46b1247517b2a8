"""Discrete-event simulation of the planners, with simulated workers."""

from __future__ import annotations

import heapq
import itertools
from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from benchmarks.fleets import Fleet
from benchmarks.scenes import (
    ARRIVAL_PERIOD_S,
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

LAUNCH_DELAY_S = 0.05
"""Delay from a decision to the start of the gang."""
STOP_DELAY_S = 0.5
"""Time in which a stopped gang saves its state and frees its cells."""
INITIAL_RETRY_DELAY_S = 5.0
"""Delay before the first retry of a refused job; doubles each time."""
MAX_RETRY_DELAY_S = 60.0
MAX_SUBMISSION_ATTEMPTS = 8
"""Number of refusals after which a job is not submitted again."""
SAMPLE_INTERVAL_S = 10.0
"""Interval at which fragmentation is sampled."""
PLANNING_INTERVAL_S = 5.0
"""Longest time between two planning rounds of a zone."""
DRAIN_PERIOD_S = 3_600.0
"""Period after the last arrival in which jobs may still finish."""
MAX_JOB_ATTEMPTS = 3

POLICIES = {
    "lagoonbeam": PolicyNames(),
    "backfill": PolicyNames("backfill", "first_fit", "never", "unbounded"),
    "first_fit": PolicyNames("first_come", "first_fit", "never", "unbounded"),
}


@dataclass
class JobOutcome:
    """Progress of one arrival.

    Attributes:
        arrival: The submitted job.
        first_start_s: Time of the first start; negative before.
        accepted_s: Time of the last submission.
        done_s: Time at which the job ended; negative before.
        refusals: Number of times that the job was refused.
        failed: Whether the job ended in failure.
    """

    arrival: Arrival
    first_start_s: float = -1.0
    accepted_s: float = 0.0
    done_s: float = -1.0
    refusals: int = 0
    failed: bool = False


@dataclass
class SimulationResult:
    """Result of a simulation.

    Attributes:
        outcomes: Outcome of each job, by job id.
        reclaim_waits_s: Times that guaranteed gangs waited for their cells to
            be freed by others.
        stranded: Share of all accelerators that are free but of no use to a
            waiting gang, one value per sample.
        unusable_free_shares: The same as a share of the free accelerators.
        wasted_slot_s: Slot seconds of runs whose work was lost.
        used_slot_s: Slot seconds of all runs.
        violation_count: Planning rounds that violated an invariant.
        shortfall_count: Planning rounds with less capacity than guaranteed.
    """

    outcomes: dict[str, JobOutcome] = field(default_factory=dict)
    reclaim_waits_s: list[float] = field(default_factory=list)
    stranded: list[float] = field(default_factory=list)
    unusable_free_shares: list[float] = field(default_factory=list)
    wasted_slot_s: float = 0.0
    used_slot_s: float = 0.0
    violation_count: int = 0
    shortfall_count: int = 0


class Simulation:
    """Simulates one scene under one set of policies.

    Args:
        fleet: The deployment.
        scene: The workload.
        policy: Name of a policy set in `POLICIES`.
    """

    def __init__(self, fleet: Fleet, scene: Scene, policy: str):
        self.now_s = 0.0
        self.result = SimulationResult()
        self.planners: dict[str, Planner] = {}
        self._fleet = fleet
        self._scene = scene
        self._policies = POLICIES[policy]
        self._events: list[tuple[float, int, Callable[[], None]]] = []
        self._event_ids = itertools.count()
        self._zone_by_job: dict[str, str] = {}
        self._run_numbers: dict[str, int] = defaultdict(int)
        self._awaiting_cells_since_s: dict[str, float] = {}
        self._suspect_workers_by_job: dict[str, set[str]] = defaultdict(set)
        self._zones_to_plan: set[str] = set()
        self._health = {
            zone: WorkerHealthTracker(lambda: self.now_s)
            for zone in fleet.zones
        }
        rules = fleet.make_rules(self._policies)
        for zone in fleet.zones:
            planner = Planner(zone, now=lambda: self.now_s)
            for shape in fleet.iterate_worker_shapes(zone):
                planner.add_worker(shape)
            planner.set_rules(rules)
            self.planners[zone] = planner

    def run(self) -> SimulationResult:
        """Runs until no events remain or the drain period is over."""
        for arrival in self._scene.arrivals:
            self.result.outcomes[arrival.job.job_id] = JobOutcome(arrival)
            self._call_at(arrival.at_s, lambda each=arrival: self._submit(each))
        for at_s, guarantee_factor in self._scene.guarantee_revisions:
            self._call_at(
                at_s,
                lambda guarantee_factor=guarantee_factor: (
                    self._revise_guarantees(guarantee_factor)
                ),
            )
        sample_count = int(ARRIVAL_PERIOD_S / SAMPLE_INTERVAL_S)
        for index in range(sample_count):
            self._call_at(index * SAMPLE_INTERVAL_S, self._sample_fragmentation)
        for index in range(
            int((ARRIVAL_PERIOD_S + DRAIN_PERIOD_S) / PLANNING_INTERVAL_S)
        ):
            self._call_at(
                index * PLANNING_INTERVAL_S,
                lambda: self._zones_to_plan.update(self.planners),
            )
        while self._events:
            self.now_s, _, action = heapq.heappop(self._events)
            if self.now_s > ARRIVAL_PERIOD_S + DRAIN_PERIOD_S:
                break
            action()
            self._plan_zones()
        return self.result

    def _call_at(self, at_s: float, action: Callable[[], None]) -> None:
        heapq.heappush(self._events, (at_s, next(self._event_ids), action))

    def _submit(self, arrival: Arrival) -> None:
        job = arrival.job
        candidates = []
        for zone, planner in self.planners.items():
            guarantee_tracker = planner.pools.accelerated.guarantee_tracker
            candidates.append(
                ZoneCandidate(
                    zone=zone,
                    free_slots=planner.pools.free_slots,
                    expected_wait_s=planner.estimate_wait_s(),
                    guaranteed=guarantee_tracker.has_guarantee(
                        job.organisation
                    ),
                )
            )
        zone = choose_zone(job, candidates).zone
        self._zone_by_job[job.job_id] = zone
        outcome = self.result.outcomes[job.job_id]
        outcome.accepted_s = self.now_s
        self.planners[zone].submit(job)
        self._zones_to_plan.add(zone)
        if job.start_within_s:
            self._call_at(
                self.now_s + job.start_within_s + 0.001,
                lambda: self._refuse_overdue_jobs(zone),
            )

    def _refuse_overdue_jobs(self, zone: str) -> None:
        if self._policies.admission != "bounded":
            return
        for planned in self.planners[zone].expire_overdue_jobs():
            outcome = self.result.outcomes[planned.job.job_id]
            outcome.refusals += 1
            if outcome.refusals >= MAX_SUBMISSION_ATTEMPTS:
                continue
            delay_s = min(
                INITIAL_RETRY_DELAY_S * 2 ** (outcome.refusals - 1),
                MAX_RETRY_DELAY_S,
            )
            self._call_at(
                self.now_s + delay_s,
                lambda each=outcome.arrival: self._submit(each),
            )

    def _plan_zones(self) -> None:
        while self._zones_to_plan:
            zone = self._zones_to_plan.pop()
            planner = self.planners[zone]
            self._refuse_overdue_jobs(zone)
            try:
                decisions = planner.decide()
            except InvariantError:
                self.result.violation_count += 1
                continue
            self.result.shortfall_count += planner.pools.shortfall_slots > 0
            for decision in decisions:
                if isinstance(decision, StartDecision):
                    self._start_gang(zone, decision)
                elif isinstance(decision, StopDecision):
                    self._request_stop(zone, decision.planned)
        for planner in self.planners.values():
            for waiting_job in planner.list_awaiting_cells():
                job_id = waiting_job.job.job_id
                self._awaiting_cells_since_s.setdefault(job_id, self.now_s)

    def _start_gang(self, zone: str, decision: StartDecision) -> None:
        planned = decision.planned
        job_id = planned.job.job_id
        outcome = self.result.outcomes[job_id]
        placement = decision.placement
        if outcome.first_start_s < 0:
            outcome.first_start_s = self.now_s + LAUNCH_DELAY_S
        if job_id in self._awaiting_cells_since_s:
            reclaim_wait_s = self.now_s - self._awaiting_cells_since_s.pop(
                job_id
            )
            if placement.standing is Standing.GUARANTEED:
                self.result.reclaim_waits_s.append(reclaim_wait_s)
        planner = self.planners[zone]
        planner.started(job_id)
        self._run_numbers[job_id] += 1
        run_number = self._run_numbers[job_id]
        remaining_s = outcome.arrival.run_s - planned.checkpointed_s
        pool = planner.pools.get(accelerated=placement.accelerated)
        workers = {pool.get_worker(c).shape.worker for c in placement.cells}
        failing_workers = {
            name
            for name, from_s, until_s in self._scene.failing_workers
            if from_s <= self.now_s < until_s
        }
        if outcome.arrival.always_fails or workers & failing_workers:
            suspect_workers = workers & failing_workers or workers
            self._call_at(
                self.now_s + 1.0,
                lambda: self._fail_run(
                    zone, job_id, run_number, suspect_workers
                ),
            )
            return
        self._call_at(
            self.now_s + LAUNCH_DELAY_S + max(0.1, remaining_s),
            lambda: self._complete_run(zone, job_id, run_number),
        )

    def _complete_run(self, zone: str, job_id: str, run_number: int) -> None:
        planner = self.planners[zone]
        planned = planner.jobs.get(job_id)
        if planned is None or self._run_numbers[job_id] != run_number:
            return
        self._count_slot_usage(planned, is_wasted=False)
        self._record_health(zone, planned, ok=True)
        planner.finished(job_id)
        self.result.outcomes[job_id].done_s = self.now_s
        self._zones_to_plan.add(zone)

    def _fail_run(
        self, zone: str, job_id: str, run_number: int, suspect_workers: set[str]
    ) -> None:
        planner = self.planners[zone]
        planned = planner.jobs.get(job_id)
        if planned is None or self._run_numbers[job_id] != run_number:
            return
        self._count_slot_usage(planned, is_wasted=True)
        self._record_health(
            zone, planned, ok=False, suspect_workers=suspect_workers
        )
        self._run_numbers[job_id] += 1
        self._suspect_workers_by_job[job_id] |= suspect_workers
        health = self._health[zone]
        counted_workers = [
            w
            for w in self._suspect_workers_by_job[job_id]
            if not health.is_at_fault(w)
        ]
        self._zones_to_plan.add(zone)
        if planned.job.idempotent and len(counted_workers) < MAX_JOB_ATTEMPTS:
            planned.add_excluded_workers(suspect_workers)
            planner.requeue(job_id)
            return
        planner.finished(job_id, completed=False)
        self.result.outcomes[job_id].failed = True
        self.result.outcomes[job_id].done_s = self.now_s

    def _record_health(
        self,
        zone: str,
        planned: PlannedJob,
        *,
        ok: bool,
        suspect_workers: set[str] | None = None,
    ) -> None:
        planner = self.planners[zone]
        placement = planned.placement
        assert placement is not None
        pool = planner.pools.get(accelerated=placement.accelerated)
        workers = {pool.get_worker(c).shape.worker for c in placement.cells}
        health = self._health[zone]
        for worker in suspect_workers or workers:
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

    def _request_stop(self, zone: str, planned: PlannedJob) -> None:
        job_id = planned.job.job_id
        self._run_numbers[job_id] += 1
        ran_s = self.now_s - planned.started_at_s + planned.checkpointed_s
        self._call_at(
            self.now_s + STOP_DELAY_S,
            lambda: self._complete_stop(zone, planned, ran_s),
        )

    def _complete_stop(
        self, zone: str, planned: PlannedJob, ran_s: float
    ) -> None:
        is_checkpointed = planned.job.checkpointable
        self._count_slot_usage(planned, is_wasted=not is_checkpointed)
        self.planners[zone].requeue(
            planned.job.job_id, checkpointed_s=ran_s if is_checkpointed else 0.0
        )
        self._zones_to_plan.add(zone)

    def _count_slot_usage(
        self, planned: PlannedJob, *, is_wasted: bool
    ) -> None:
        assert planned.placement is not None
        slot_s = planned.placement.slots * (self.now_s - planned.started_at_s)
        self.result.used_slot_s += slot_s
        if is_wasted:
            self.result.wasted_slot_s += slot_s

    def _revise_guarantees(self, guarantee_factor: int) -> None:
        rules = self._fleet.make_rules(
            self._policies, guarantee_factor=guarantee_factor
        )
        for zone, planner in self.planners.items():
            planner.set_rules(rules)
            self._zones_to_plan.add(zone)

    def _sample_fragmentation(self) -> None:
        """Samples the free accelerators that no waiting gang can use."""
        stranded = free = 0
        for planner in self.planners.values():
            shapes = {planned.job.shape for planned in planner.queued_jobs}
            if not shapes:
                continue
            free_capacity = planner.pools.accelerated.free
            usable_slots = 0
            for shape in shapes:
                accelerator_slots = max(1, shape.accelerators)
                fitting = free_capacity.count_fitting_cells(accelerator_slots)
                if fitting >= shape.members:
                    usable_slots = max(
                        usable_slots, fitting * accelerator_slots
                    )
            free += free_capacity.free_slots
            stranded += free_capacity.free_slots - usable_slots
        if free:
            self.result.unusable_free_shares.append(stranded / free)
        self.result.stranded.append(stranded / self._fleet.accelerator_slots)
