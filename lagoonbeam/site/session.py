"""The session with one worker: polling, leases, pacing, ends of runs."""

from __future__ import annotations

import time

import anyio

from lagoonbeam.errors import (
    FencedError,
    LagoonbeamError,
    ServerUnreachableError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.drain import find_tasks_outlasting
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import Task
from lagoonbeam.site.late_starts.late_start_refusals import LateStartRefusals
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import (
    ActiveRun,
    EndEvidence,
    PollReply,
    RunEndReason,
    WorkerReport,
)
from lagoonbeam.site.platform_interface import WorkerClient
from lagoonbeam.site.poll_waits import choose_poll_wait_s
from lagoonbeam.site.records import RunEnd, RunKey
from lagoonbeam.site.run_dispatcher import RunDispatcher
from lagoonbeam.site.run_pacer import RunPacer
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.silent_workers.lapses import make_lapse
from lagoonbeam.site.silent_workers.lease_renewer import LeaseRenewer
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.site.stale_runs import stop_stale_runs
from lagoonbeam.site.stalled_runs import StalledRunHandler
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts, WorkerFence

POLL_RETRY_S = 0.2
"""Delay before the next poll of a worker that did not answer."""
MAX_FAILED_POLLS = 2
"""Consecutive failed polls after which a worker gets no new runs."""


class WorkerSession:
    """Reconciles the runs of one worker incarnation with the site's state.

    Attributes:
        report: The worker's newest entry in the worker directory.
        incarnation: Incarnation that sent the newest poll reply. Until the
            directory shows it too, the capacity and labels are unknown.
        polls: Whether the worker answers its polls in time.
        late_starts: Late starts that the worker refuses or may carry out.
    """

    def __init__(
        self,
        report: WorkerReport,
        client: WorkerClient,
        scheduler: SchedulerCallbacks,
        *,
        lease: Lease,
        fence: WorkerFence,
        pending_starts: set[RunKey],
        unanswered_starts: UnansweredStarts,
        decisions: DecisionLog,
    ):
        self.report = report
        self.incarnation = report.incarnation
        self.is_listed = True
        self.running: dict[str, ActiveRun] = {}
        self.has_been_polled = False
        self.failed_polls = 0
        self.polls = PollWatch()
        self._client = client
        self._scheduler = scheduler
        self._decisions = decisions
        self._monitor = DependencyMonitor(f"worker {report.worker}", decisions)
        self._lease = lease
        self._fence = fence
        self._unanswered_starts = unanswered_starts
        self._renewer = LeaseRenewer(
            report.worker, client, lease, fence, scheduler
        )
        self.dispatcher = RunDispatcher(
            report.worker,
            client,
            self._lease,
            fence,
            scheduler,
            pending_starts,
            unanswered_starts,
            decisions,
            self.polls,
        )
        self.late_starts = LateStartRefusals(
            report.worker, scheduler, self.dispatcher
        )
        self._acked_sequence = 0
        self._stalled_runs = StalledRunHandler(
            report.worker, scheduler, self.dispatcher
        )
        self._report_received_s = time.monotonic()
        self._pacer = RunPacer(
            report.worker, client, fence, scheduler, decisions
        )
        self._cancel_scope = anyio.CancelScope()

    @property
    def worker(self) -> str:
        """The worker's name."""
        return self.report.worker

    @property
    def is_usable(self) -> bool:
        """Whether new runs may be started here."""
        return (
            self.is_listed
            and self.has_been_polled
            and self.incarnation == self.report.incarnation
            and not self.report.is_draining
            and self.failed_polls < MAX_FAILED_POLLS
            and not self.polls.awaits_answer
            and not self._stalled_runs.is_cooling_down
        )

    @property
    def is_answering(self) -> bool:
        """Whether the worker answered the newest poll."""
        return self.has_been_polled and not self.failed_polls

    def update_report(self, report: WorkerReport) -> None:
        """Stores a newer report of the worker."""
        if report is not self.report:
            self._report_received_s = time.monotonic()
        self.report = report
        self.is_listed = True

    def find_tasks_outlasting_drain(self) -> list[Task]:
        """Returns tasks to stop since they would outlast the worker's drain."""
        if self.report.drain_remaining_s <= 0:
            return []
        return find_tasks_outlasting(
            self.report.drain_remaining_s
            - (time.monotonic() - self._report_received_s),
            self._list_placed_tasks(),
            self.running,
            self.dispatcher.get_elapsed_s,
        )

    async def run(self) -> None:
        """Polls until closed, or until unlisted with nothing left to watch."""
        try:
            async with anyio.create_task_group() as task_group:
                self.dispatcher.task_group = task_group
                with self._cancel_scope:
                    while (
                        self.is_listed
                        or self._list_placed_tasks()
                        or self.late_starts.may_arrive
                    ):
                        await self._poll()
                task_group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    def close(self) -> None:
        """Cancels the session."""
        self._cancel_scope.cancel()

    def _list_placed_tasks(self) -> list[Task]:
        return list(
            self._scheduler.state.tasks_by_worker.get(self.worker, {}).values()
        )

    def _has_unconfirmed(self) -> bool:
        placed_tasks = self._list_placed_tasks()
        return bool(placed_tasks) and (
            not self._renewer.is_term_recorded
            or any(
                task.task_id not in self.running
                and not self.dispatcher.is_start_pending(task)
                for task in placed_tasks
            )
        )

    def _choose_wait_s(self) -> float:
        return choose_poll_wait_s(
            awaits_confirmation=self._has_unconfirmed()
            or self.polls.awaits_answer
            or self.late_starts.is_watching,
            is_pacing=self._pacer.is_needed(self.running.values()),
        )

    async def _poll(self) -> None:
        sent_s = time.monotonic()
        is_first = not self._lease.has_clock_reading
        wait_s = 0.0 if is_first or self.failed_polls else self._choose_wait_s()
        # A silent worker's leases must expire.
        is_renewing = self._renewer.may_renew and not self.failed_polls
        savepoint = self._lease.create_savepoint()
        self.polls.record_sent(wait_s)
        try:
            reply = await self._client.renew_leases(
                token=self._fence.token,
                # After a failed poll, another incarnation may answer.
                acked_sequence=0 if self.failed_polls else self._acked_sequence,
                lease_deadline_ms=self._lease.grant() if is_renewing else None,
                wait_s=wait_s,
            )
        except FencedError:
            self._scheduler.lose_term(f"worker {self.worker} has a newer token")
            return
        except LagoonbeamError as error:
            if isinstance(error, ServerUnreachableError):
                self._lease.roll_back(savepoint, unsent_grants=int(is_renewing))
            await self._handle_failed_poll(error)
            return
        if self.failed_polls >= MAX_FAILED_POLLS:
            self._monitor.report_success()
            self._scheduler.on_worker_usable(self.worker)
        self.failed_polls = 0
        self.polls.record_answer(sent_s)
        self._lease.record_clock(reply.clock_ms, sent_s)
        if self._list_placed_tasks() and not self._renewer.is_term_recorded:
            self._scheduler.lease_terms.request(self.worker)
        if reply.incarnation:
            self._fence.record_incarnation(reply.incarnation)
            if self._fence.is_used_up:
                self._scheduler.lose_term(f"{self.worker} needs a newer token")
        if reply.incarnation and reply.incarnation != self.incarnation:
            await self._adopt_incarnation(reply, sent_s)
        await self._process_reply(reply, sent_s)

    async def _handle_failed_poll(self, error: LagoonbeamError) -> None:
        self.failed_polls += 1
        self.polls.record_failure()
        if self.failed_polls == MAX_FAILED_POLLS:
            self._monitor.report_failure(error)
        if self._lease.has_expired:
            await self._end_lapsed_runs()
        await anyio.sleep(POLL_RETRY_S)

    async def _end_lapsed_runs(self) -> None:
        ends = [
            make_lapse(task, self.running)
            for task in self._list_placed_tasks()
            if not self.dispatcher.may_outlast_leases(
                task, is_listed=self.is_listed
            )
        ]
        if ends:
            self._decisions.emit(
                Event.WORKER_LAPSED, worker=self.worker, runs=len(ends)
            )
            await self._scheduler.record_run_ends(
                ends, EndEvidence.LEASES_EXPIRED
            )
        self.running.clear()

    async def _adopt_incarnation(self, reply: PollReply, sent_s: float) -> None:
        """Ends the runs of the previous incarnation of a restarted worker.

        A run whose start may still be executed late stays placed until the
        new incarnation has confirmed a stop of it.
        """
        self._decisions.emit(
            Event.WORKER_RESTARTED,
            worker=self.worker,
            incarnation=reply.incarnation,
            known=self.incarnation,
        )
        listed_runs = {(run.task_id, run.run) for run in reply.running}
        listed_runs |= {(end.task_id, end.run) for end in reply.finished}
        ends = [
            make_lapse(task, self.running)
            for task in self._list_placed_tasks()
            if (task.task_id, task.run) not in listed_runs
            and not reply.is_truncated
            and self.dispatcher.has_begun_before(task, sent_s, self.running)
            and not self.dispatcher.may_start_after(task, sent_s)
        ]
        self.incarnation = reply.incarnation
        self._acked_sequence = 0
        self.dispatcher.discard_stops()
        self.late_starts.discard_refused()
        self.running = {}
        if ends and await self._renewer.record_run_ends(
            ends, EndEvidence.RESTARTED, acked_sequence=0
        ):
            for end in ends:
                self.dispatcher.discard_run(end.task_id, end.run)

    async def _process_reply(self, reply: PollReply, sent_s: float) -> None:
        self.running = {task.task_id: task for task in reply.running}
        self._stalled_runs.handle(self.running)
        self._scheduler.on_progress(self.worker, self.running)
        if not self.has_been_polled:
            self.has_been_polled = True
            self._scheduler.on_worker_usable(self.worker)
        await self._process_finished_runs(reply)
        ended_runs = {(end.task_id, end.run) for end in reply.finished}
        missing: list[RunEnd] = []
        for task in self._list_placed_tasks():
            run_key = (task.task_id, task.run)
            self._unanswered_starts.discard_arrived(run_key, sent_s)
            if (
                reply.is_truncated
                or self.dispatcher.is_start_pending(task)
                or task.task_id in self.running
                or run_key in ended_runs
                or self.dispatcher.was_start_confirmed_after(task, sent_s)
            ):
                continue
            if self._may_repeat_start(task) and self._scheduler.repeat_start(
                task
            ):
                continue
            if not self.dispatcher.was_stop_confirmed_before(*run_key, sent_s):
                self.dispatcher.request_stop(
                    *run_key, "run not listed by the worker"
                )
            else:
                reason = (
                    RunEndReason.LEASE_EXPIRED
                    if self.dispatcher.may_have_begun(task, self.incarnation)
                    else RunEndReason.NEVER_STARTED
                )
                missing.append(RunEnd(*run_key, reason))
        if missing:
            self.late_starts.record_refused(missing)
            await self._renewer.record_run_ends(
                missing,
                EndEvidence.STOP_CONFIRMED,
                acked_sequence=self._acked_sequence,
            )
            for end in missing:
                self.dispatcher.discard_run(end.task_id, end.run)
                missing_task = self._scheduler.state.tasks.get(end.task_id)
                if missing_task is not None:
                    self._scheduler.on_start_refused(self.worker, missing_task)
        stop_stale_runs(
            self.running, self._scheduler.state, self.worker, self.dispatcher
        )
        self.late_starts.update(self.running, sent_s)
        await self._pacer.adjust(self.running.values())

    def _may_repeat_start(self, task: Task) -> bool:
        """Whether to repeat a start of a run that the worker does not list.

        The worker carries out only one of the copies. The run must not start
        elsewhere while one of them is on its way.
        """
        placement = task.placement
        return (
            self.is_listed
            and not self.report.is_draining
            and placement is not None
            and placement.incarnation == self.incarnation
            and self.dispatcher.may_repeat_start(task)
        )

    async def _process_finished_runs(self, reply: PollReply) -> None:
        new = [e for e in reply.finished if e.sequence > self._acked_sequence]
        if not new:
            return
        tasks = self._scheduler.state.tasks
        ends = [
            RunEnd(end.task_id, end.run, end.end, end.checkpoint)
            for end in new
            if (task := tasks.get(end.task_id)) is not None
            and task.placement is not None
            and task.placement.worker == self.worker
            and task.run == end.run
        ]
        self.late_starts.record_refused(new)
        now_s = time.monotonic()
        for end in new:
            started_s = self.dispatcher.discard_run(end.task_id, end.run)
            ended = tasks.get(end.task_id)
            if ended is not None and ended.run == end.run:
                run_s = None if started_s is None else now_s - started_s
                self._scheduler.on_run_ended(self.worker, ended, end.end, run_s)
            self._decisions.emit(
                Event.RUN_ENDED,
                task=end.task_id,
                run=end.run,
                worker=self.worker,
                how=end.end.value,
            )
        if ends and not await self._renewer.record_run_ends(
            ends, acked_sequence=self._acked_sequence
        ):
            return
        self._acked_sequence = max(end.sequence for end in new)
