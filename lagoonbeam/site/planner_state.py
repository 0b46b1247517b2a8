"""Planner state that persists from one plan to the next."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonbeam.core.clock import Clock
from lagoonbeam.site.advice import AdviceCache
from lagoonbeam.site.backfill import CapacityHold
from lagoonbeam.site.caller_cost.refused_starts import RefusedStarts
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.late_starts.late_start_guard import LateStartGuard
from lagoonbeam.site.placement import Assignment
from lagoonbeam.site.policies import Policies, make_policies
from lagoonbeam.site.release_times import ReleaseTimes
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.run_progress import RunProgressTracker
from lagoonbeam.site.worker_speed.speed_log import SpeedLog
from lagoonbeam.site.worker_speed.worker_speeds import WorkerSpeeds
from lagoonbeam.site.worker_usage import WorkerUsageCache

RESERVATION_TIMEOUT_S = 2.0
"""Time for which capacity is reserved after its victims were told to stop."""


@dataclass(slots=True)
class Reservation:
    """Capacity reserved for a unit while its victims stop."""

    unit: PlacementUnit
    assignment: Assignment
    expires_at_s: float


class PlannerState:
    """Policies, caches and reservations that successive plans share.

    Args:
        decisions: The decision log.
        advice: Tickets of the advice service; None if there is none.
        policies: The policies in force; the defaults if None.
        clock: Source of wall clock and steady time.
        late_start_guard: Knows which units late starts keep from running.
    """

    def __init__(
        self,
        decisions: DecisionLog,
        advice: AdviceCache | None = None,
        *,
        policies: Policies | None = None,
        clock: Clock | None = None,
        late_start_guard: LateStartGuard | None = None,
    ):
        self.policies = policies or make_policies()
        self.clock = clock or Clock()
        self.late_start_guard = late_start_guard
        speed_log = SpeedLog(decisions)
        self.worker_speeds = WorkerSpeeds(speed_log.report_change)
        self.run_progress = RunProgressTracker(speed_log.report_invalid)
        self.estimator = RunTimeEstimator(
            lambda worker: self.worker_speeds.get_speed(worker)
        )
        self.launching_assignments: dict[str, Assignment] = {}
        self.reserved_capacity: dict[str, Reservation] = {}
        self.capacity_holds: dict[str, CapacityHold] = {}
        self.release_times = ReleaseTimes(
            self.estimator.estimate_run_s,
            self.run_progress,
            lambda worker: self.worker_speeds.get_speed(worker),
        )
        self.tried_unit_keys: set[str] = set()
        self.usage_cache = WorkerUsageCache()
        self.refused_starts = RefusedStarts()
        self.logged_hold_causes: dict[str, str] = {}
        self.decisions = decisions
        self.advice = advice
        self._logged_runs: dict[str, int] = {}
        self._avoided_workers: dict[str, set[str]] = {}

    def reserve_capacity(
        self, unit: PlacementUnit, assignment: Assignment
    ) -> None:
        """Reserves capacity for a unit while its victims stop."""
        expires_at_s = self.clock.read_monotonic_s() + RESERVATION_TIMEOUT_S
        self.reserved_capacity[unit.key] = Reservation(
            unit, assignment, expires_at_s
        )

    def drop_stale_entries(self, state: SiteState) -> None:
        """Drops expired reservations and entries of jobs that have ended."""
        now_s = self.clock.read_monotonic_s()
        self.reserved_capacity = {
            key: reserved_capacity
            for key, reserved_capacity in self.reserved_capacity.items()
            if reserved_capacity.expires_at_s > now_s
            and reserved_capacity.unit.job.is_open
            and not reserved_capacity.unit.has_placements
        }
        self.capacity_holds = {
            key: hold
            for key, hold in self.capacity_holds.items()
            if hold.unit.job.is_open
            and not hold.unit.has_placements
            and key not in self.launching_assignments
        }
        self._avoided_workers = {
            key: workers
            for key, workers in self._avoided_workers.items()
            if _is_job_open(state, key)
        }
        self.refused_starts.drop_stale(now_s)
        self.logged_hold_causes = {
            key: cause
            for key, cause in self.logged_hold_causes.items()
            if _is_job_open(state, key)
        }
        self._logged_runs = {
            key: run
            for key, run in self._logged_runs.items()
            if _is_job_open(state, key)
        }

    def is_launching(self, job: SiteJob) -> bool:
        """Whether placements of a job are being written to the journal."""
        return any(
            assignment[0][0].unit.job is job
            for assignment in self.launching_assignments.values()
        )

    def avoid_worker(self, unit: PlacementUnit, worker: str) -> None:
        """Prefers other workers for a unit that failed or stalled here."""
        self._avoided_workers.setdefault(unit.key, set()).add(worker)

    def record_refused_start(self, unit: PlacementUnit, worker: str) -> None:
        """Holds a unit off a worker that refused to start it, for a while."""
        now_s = self.clock.read_monotonic_s()
        self.refused_starts.record(unit.key, worker, now_s)

    def list_held_off_workers(self, unit: PlacementUnit) -> frozenset[str]:
        """Returns the workers that a unit is not to be sent to yet."""
        now_s = self.clock.read_monotonic_s()
        return self.refused_starts.list_held_off(unit.key, now_s)

    def get_avoided_workers(self, unit: PlacementUnit) -> frozenset[str]:
        """Returns the workers on which a unit failed or stalled."""
        return frozenset(self._avoided_workers.get(unit.key, ()))

    def log_waiting_unit(self, unit: PlacementUnit, **fields: object) -> None:
        """Logs why a unit could not be placed, once for each run."""
        if self._logged_runs.get(unit.key) == unit.next_run:
            return
        self._logged_runs[unit.key] = unit.next_run
        step = unit.spec
        self.decisions.emit(
            Event.UNIT_WAITS,
            task=unit.key,
            run=unit.next_run,
            tasks=len(unit.tasks),
            accelerators=step.accelerators,
            is_gang=step.is_gang,
            is_one_rack=step.is_one_rack,
            data_rack=step.data_rack,
            **fields,
        )


def _is_job_open(state: SiteState, key: str) -> bool:
    task = state.tasks.get(key)
    return task is not None and task.unit.job.is_open
