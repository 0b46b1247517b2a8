"""The active scheduler of a site: assigns tasks to workers."""

from __future__ import annotations

import time
from collections.abc import Callable, Mapping, Sequence

import anyio
import anyio.abc

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import LagoonbeamError, LogAppendUnconfirmedError
from lagoonbeam.site.advice import AdviceCache
from lagoonbeam.site.begun_jobs import BegunJobs
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.events import Event
from lagoonbeam.site.fleet import WorkerFleet
from lagoonbeam.site.jobs import SiteJob, Task
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.late_starts.late_start_guard import LateStartGuard
from lagoonbeam.site.machine_controllers import make_machine_controllers
from lagoonbeam.site.machines import TermHolder
from lagoonbeam.site.model import (
    ActiveRun,
    Configuration,
    EndEvidence,
    QueuePolicy,
    RunEndReason,
)
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.platform_interface import JournalWriter, PlatformServices
from lagoonbeam.site.policies import Policies
from lagoonbeam.site.prior_leases import (
    MAX_UNCONFIRMED_RENEWAL_S,
    PRIOR_LEASE_FACTOR,
    LeaseTermRecorder,
    PriorLeases,
)
from lagoonbeam.site.records import (
    Record,
    RunEnd,
    TermRenewed,
    TermResigned,
)
from lagoonbeam.site.run_launcher import RunLauncher
from lagoonbeam.site.silent_workers.lease_durations import LeaseDurations
from lagoonbeam.site.spare_pools import ShortageTracker
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.state_changes import NO_WORK_ENDS
from lagoonbeam.site.state_model import TERM_RENEWAL_INTERVAL_S
from lagoonbeam.site.termination import TerminationRecorder
from lagoonbeam.site.time_limits import PlatformTimeLimits
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts
from lagoonbeam.site.worker_capacity import get_step_id
from lagoonbeam.site.worker_speed.speed_monitor import SpeedMonitor
from lagoonbeam.types import InstanceName

MAX_PLAN_INTERVAL_S = 0.25
"""Longest interval between two planning passes."""
APPEND_TIMEOUT_S = 10.0
"""Time to wait for the journal; on a timeout, the runs stay as they are."""
MIN_PLAN_INTERVAL_S = 0.01
"""Shortest interval between two planning passes; batches changes in between."""
SNAPSHOT_FRACTION = 0.25
"""Fraction of the store's retention time between two snapshots."""


class Scheduler:
    """Schedules all jobs of the site for the duration of one term.

    Args:
        platform_services: Adapters to the platform.
        follower: Keeps the replica of the state.
        instance: Name of this instance.
        writer: Journal writer of the term; its epoch is the fencing token.
        sequence: Sequence number of the writer's next append.
        get_configuration: Returns the current configuration.
        time_limits: Time limits set by the platform.
        policies: The scheduling policies.
        decisions: The decision log.
    """

    def __init__(
        self,
        *,
        platform_services: PlatformServices,
        follower: JournalFollower,
        instance: InstanceName,
        writer: JournalWriter,
        sequence: int,
        get_configuration: Callable[[], Configuration],
        time_limits: PlatformTimeLimits,
        policies: Policies,
        decisions: DecisionLog,
    ):
        self.token = writer.epoch
        follower.term_claims.record_claim(self.token)
        self.lease_terms = LeaseTermRecorder(
            lambda: self.state, self._append_to_journal, self.token
        )
        self._fleet = WorkerFleet(
            platform_services.worker_directory,
            platform_services.worker_connector,
            self,
            lease_durations=LeaseDurations(
                time_limits.lease_s, self._get_confirmation_age_s
            ),
            stop_timeout_s=time_limits.stop_timeout_s,
            unanswered_starts=UnansweredStarts(
                time_limits.order_delay_s,
                inherited_runs=follower.state.list_placed_runs(),
            ),
            decisions=decisions,
            zone_evacuations=platform_services.zone_evacuations,
        )
        self._follower = follower
        self._late_start_guard = LateStartGuard(
            lambda: self.state,
            self._fleet.sessions,
            time_limits.lease_s * PRIOR_LEASE_FACTOR,
        )
        self._begun_jobs = BegunJobs(lambda: self.state)
        self._prior_leases = PriorLeases(
            lambda: self.state, follower.term_claims, self.token, time_limits
        )
        self._advice = AdviceCache(platform_services.advice_service, decisions)
        self._get_configuration = get_configuration
        self._time_limits = time_limits
        self._decisions = decisions
        self._appender = JournalAppender(
            platform_services.journal_store, writer, follower, sequence=sequence
        )
        self._cancel_scope = anyio.CancelScope()
        self._plan_requested = anyio.Event()
        self._planner_state = PlannerState(
            decisions,
            self._advice,
            policies=policies,
            late_start_guard=self._late_start_guard,
        )
        self._termination_recorder = TerminationRecorder(
            lambda: self.state,
            self._get_policy,
            self._append_to_journal,
            self._planner_state,
            decisions,
            self._fleet.unanswered_starts,
        )
        self._launcher = RunLauncher(
            get_state=lambda: self.state,
            fleet=self._fleet,
            may_place=self._late_start_guard.may_place,
            advice=self._advice,
            planner_state=self._planner_state,
            append_to_journal=self._append_to_journal,
            record_run_ends=self.record_run_ends,
            decisions=decisions,
        )
        self._speed_monitor = SpeedMonitor(
            lambda: self.state,
            self._planner_state,
            self._fleet.sessions,
            self._append_to_journal,
        )
        self._shortage_tracker = ShortageTracker()
        self._machine_controllers = make_machine_controllers(
            platform_services,
            get_state=lambda: self.state,
            append_records=self._append_to_journal,
            evacuations=WorkerEvacuator(
                lambda: self.state,
                self._fleet,
                self._planner_state,
                self._fleet.stop_unit,
            ),
            holder=TermHolder(instance, writer.epoch),
            shortages=self._shortage_tracker,
            get_configuration=get_configuration,
            lose_term=self.lose_term,
            decisions=decisions,
        )
        self._task_group: anyio.abc.TaskGroup | None = None

    @property
    def state(self) -> SiteState:
        """Replica of the state."""
        return self._follower.state

    @property
    def may_renew_leases(self) -> bool:
        """Whether worker leases may be renewed."""
        return self._get_confirmation_age_s() < MAX_UNCONFIRMED_RENEWAL_S

    def _get_confirmation_age_s(self) -> float:
        """Returns the time since the last confirmed append was stored."""
        return read_boot_time_s() - self._appender.last_confirmed_append_s

    def find_prior_lease_expiry_s(self, worker: str) -> float:
        """Returns when all leases of earlier terms on a worker have expired."""
        return self._prior_leases.find_expiry_s(worker)

    def _find_lease_expiry_s(self, worker: str) -> float:
        """Returns when all leases on a worker, of any term, have expired."""
        return max(
            self.find_prior_lease_expiry_s(worker),
            self._fleet.find_lease_expiry_s(worker),
        )

    async def run(self) -> None:
        """Schedules until the term is lost or `resign` is called."""
        async with anyio.create_task_group() as task_group:
            self._task_group = task_group
            with self._cancel_scope:
                task_group.start_soon(self._run_appender)
                task_group.start_soon(self._renew_term)
                task_group.start_soon(
                    self._follower.save_snapshots,
                    self._time_limits.store_retention_s * SNAPSHOT_FRACTION,
                    self._append_to_journal,
                )
                task_group.start_soon(self.lease_terms.run)
                self._speed_monitor.load()
                task_group.start_soon(self._speed_monitor.run)
                task_group.start_soon(self._fleet.run)
                task_group.start_soon(self._watch_journal)
                task_group.start_soon(self._advice.run)
                task_group.start_soon(self._watch_advice)
                task_group.start_soon(
                    self._late_start_guard.run,
                    self._fleet.stop_unit,
                    self._decisions.metrics,
                )
                for controller in self._machine_controllers:
                    task_group.start_soon(controller.run)
                await self._run_planning_loop()
            task_group.cancel_scope.cancel()

    async def resign(self) -> None:
        """Ends the term, so that another instance can claim one immediately."""
        try:
            record = TermResigned(self.token)
            await self._appender.append([record], timeout_s=1.0)
        except LagoonbeamError as error:
            self._decisions.emit(Event.TERM_RESIGN_FAILED, cause=str(error))
        self.lose_term("resigned")

    def lose_term(self, cause: str) -> None:
        """Stops scheduling."""
        if not self._cancel_scope.cancel_called:
            self._decisions.emit(Event.TERM_LOST, term=self.token, cause=cause)
        self._cancel_scope.cancel()

    async def record_run_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        """Journals ends of runs; see `SchedulerCallbacks.record_run_ends`."""
        return await self._termination_recorder.record_run_ends(ends, evidence)

    def on_worker_usable(self, worker: str) -> None:
        """Requests a new plan after a worker became usable."""
        self._plan_requested.set()

    def on_run_begun(self, task_id: str, run: int) -> None:
        """Collects a run that a worker has begun."""
        self._begun_jobs.report([(task_id, run)])

    def on_start_refused(self, worker: str, task: Task) -> None:
        """Stops the other members of a gang after a refused start."""
        self._advice.drop_ticket(get_step_id(task.unit), worker)
        self._planner_state.record_refused_start(task.unit, worker)
        self._fleet.stop_unit(task.unit, f"worker {worker} refused a start")
        self._plan_requested.set()

    def on_run_ended(
        self,
        worker: str,
        task: Task,
        end: RunEndReason,
        run_s: float | None,
    ) -> None:
        """Updates worker health and run time estimates after a run."""
        if end not in NO_WORK_ENDS:
            self.on_run_begun(task.task_id, task.run)
        job_id = task.unit.job.request.job_id
        if end is RunEndReason.DONE:
            self._fleet.record_outcome(worker, job_id, ok=True)
            if run_s is not None:
                self._speed_monitor.observe_end(worker, task, run_s)
        elif end is RunEndReason.FAILED:
            self._fleet.record_outcome(worker, job_id, ok=False)
            self._planner_state.avoid_worker(task.unit, worker)

    def on_run_stalled(self, worker: str, task: Task) -> None:
        """Stops a unit with a stalled run; its next runs avoid the worker."""
        # A job that must not run again goes on.
        if task.unit.job.request.runs_once:
            return
        self._planner_state.avoid_worker(task.unit, worker)
        self._fleet.stop_unit(task.unit, f"no progress at worker {worker}")

    def on_progress(
        self, worker: str, running: Mapping[str, ActiveRun]
    ) -> None:
        """Updates begun jobs, and the speed of a worker, after a poll."""
        self._begun_jobs.report(
            (active_run.task_id, active_run.run)
            for active_run in running.values()
        )
        self._speed_monitor.observe_progress(worker, running)

    def repeat_start(self, task: Task) -> bool:
        """Repeats a start; see `SchedulerCallbacks.repeat_start`."""
        return self._task_group is not None and self._launcher.repeat_start(
            task, self._task_group
        )

    async def _run_appender(self) -> None:
        await self._appender.run()
        self.lose_term(f"journal appender stopped: {self._appender.error!r}")

    async def _append_to_journal(self, records: Sequence[Record]) -> bool:
        try:
            end_offset = await self._appender.append(
                records, timeout_s=APPEND_TIMEOUT_S
            )
        except LagoonbeamError as error:
            if not isinstance(error, LogAppendUnconfirmedError):
                self._decisions.emit(Event.JOURNAL_REFUSED, cause=str(error))
            return False
        return await self._follower.wait_for_offset(
            end_offset, APPEND_TIMEOUT_S
        )

    async def _renew_term(self) -> None:
        while True:
            begun = self._begun_jobs.make_records()
            await self._append_to_journal([TermRenewed(self.token), *begun])
            await anyio.sleep(TERM_RENEWAL_INTERVAL_S)

    async def _watch_advice(self) -> None:
        while True:
            await self._advice.changed.wait()
            self._plan_requested.set()

    async def _watch_journal(self) -> None:
        while True:
            await self._follower.wait_for_change()
            if self.state.term.number > self.token:
                self.lose_term(
                    f"newer term {self.state.term.number} was claimed"
                )
            self._plan_requested.set()

    async def _run_planning_loop(self) -> None:
        while True:
            with anyio.move_on_after(MAX_PLAN_INTERVAL_S):
                await self._plan_requested.wait()
            self._plan_requested = anyio.Event()
            await self._termination_recorder.end_runs_on_lost_workers(
                self._fleet.sessions,
                self._fleet.pending_starts,
                self._find_lease_expiry_s,
            )
            await self._termination_recorder.end_failed_and_expired_jobs()
            for worker, task in self._fleet.find_tasks_outlasting_drain():
                self._fleet.stop_unit(
                    task.unit, f"{worker} leaves before the run can end"
                )
            started_s = time.monotonic()
            self._make_and_apply_plan()
            # A long queue takes long to rank; others get half of the time.
            plan_s = time.monotonic() - started_s
            await anyio.sleep(max(MIN_PLAN_INTERVAL_S, plan_s))

    def _make_and_apply_plan(self) -> None:
        usable_sessions = self._fleet.get_usable_sessions()
        self._decisions.metrics.usable_workers.set(len(usable_sessions))
        plan = make_plan(
            self._planner_state,
            self.state,
            self._fleet.sessions,
            usable_sessions,
            self._get_configuration(),
        )
        self._decisions.metrics.lost_core_s.inc(plan.lost_core_s)
        self._shortage_tracker.update(plan.unplaced_steps)
        for victim, unit in plan.stops:
            self._fleet.stop_unit(victim, f"room for {unit.key}")
        if self._task_group is not None:
            self._launcher.launch(plan.starts, self._task_group)
        if plan.is_truncated:
            self._plan_requested.set()

    def _get_policy(self, job: SiteJob) -> QueuePolicy:
        """Returns the policy of a job's queue; that of acceptance if gone."""
        policy = job.request.queue
        return self._get_configuration().find_policy(policy.name) or policy
