"""One worker's session: leases, starts, stops, and what became of runs."""

from __future__ import annotations

import time

import anyio
import anyio.abc

from lagoonbeam.errors import (
    FencedError,
    LagoonbeamError,
    ServerUnreachableError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.entries import TaskState
from lagoonbeam.site.events import Event
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import (
    End,
    RunningTask,
    Step,
    WorkerReport,
    WorkerView,
)
from lagoonbeam.site.pacing import FillerPacer
from lagoonbeam.site.platform_interface import WorkerClient
from lagoonbeam.site.records import RunEnd
from lagoonbeam.site.run_dispatcher import RunDispatcher
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.stall_detection import StallDetector

LOOK_WAIT_S = 1.0
"""Seconds one look waits for an end; a fraction of the shortest lease."""
PACED_WAIT_S = 0.4
"""Seconds one look waits while fillers run beside serving tasks."""
DOUBT_WAIT_S = 0.1
"""Seconds one look waits while a start or stop is in doubt."""
LOOK_RETRY_S = 0.2
"""Seconds between two looks at a worker that does not answer."""
STALL_PAUSE_S = 3.0
"""Seconds without new runs after a run stood still on a worker."""
PATIENCE_S = 4.5
"""Seconds of work or of standing still that a new start elsewhere is worth;
most workers that stand still go on after five seconds or more."""
LEAVING_S = 1.5
"""Seconds before its worker leaves at which a run that saves its progress is
stopped, and by which others must overrun to be stopped at once."""
UNREACHABLE_LOOKS = 2
"""Failed looks in a row after which a worker gets no new runs."""


class WorkerSession:
    """Keeps one incarnation of a worker's runs and its own view in step.

    Args:
        report: The worker.
        client: Orders to it.
        owner: The scheduler.
        lease_s: Seconds of each lease.
        decisions: The decision log.
    """

    def __init__(
        self,
        report: WorkerReport,
        client: WorkerClient,
        owner: SchedulerCallbacks,
        *,
        lease_s: float,
        decisions: DecisionLog,
    ):
        self.report = report
        self.is_listed = True
        self.running: dict[str, RunningTask] = {}
        self.is_looked_at = False
        self.failed_looks = 0
        self._client = client
        self._owner = owner
        self._decisions = decisions
        self._watch = DependencyMonitor(f"worker {report.worker}", decisions)
        self._lease = Lease(lease_s, owner.prior_leases_expire_at_s)
        self.orders = RunDispatcher(
            report.worker, client, self._lease, owner, decisions
        )
        self._acknowledged = 0
        self._progress = StallDetector()
        self._stalled_s = float("-inf")
        self._reported_s = time.monotonic()
        self._pacer = FillerPacer()
        self._scope = anyio.CancelScope()

    @property
    def worker(self) -> str:
        """The worker's name."""
        return self.report.worker

    @property
    def is_usable(self) -> bool:
        """Whether new runs may be started here."""
        return (
            self.is_listed
            and self.is_looked_at
            and not self.report.is_draining
            and self.failed_looks < UNREACHABLE_LOOKS
            and time.monotonic() - self._stalled_s > STALL_PAUSE_S
        )

    def take_report(self, report: WorkerReport) -> None:
        """Notes what the worker says of itself."""
        if report is not self.report:
            self._reported_s = time.monotonic()
        self.report = report
        self.is_listed = True

    def find_doomed(self) -> list[TaskState]:
        """Returns runs that will not end before the worker leaves.

        Those that save their progress go on until shortly before.
        """
        left_s = self.report.drain_remaining_s
        left_s -= time.monotonic() - self._reported_s
        if self.report.drain_remaining_s <= 0:
            return []
        doomed = []
        for task in self._placed():
            running = self.running.get(task.task_id)
            step = task.unit.spec
            if running is None or step.is_long_running:
                continue
            if task.unit.job.request.runs_once:
                continue
            spent_s = self.orders.get_elapsed_s(task)
            share = running.percent / 100
            needed_s = spent_s * (1 - share) / share if share else left_s
            if step.is_checkpointing and left_s > LEAVING_S:
                continue
            if needed_s > left_s + LEAVING_S:
                doomed.append(task)
        return doomed

    async def run(self) -> None:
        """Looks at the worker until closed or settled after it left."""
        try:
            async with anyio.create_task_group() as task_group:
                self.orders.task_group = task_group
                with self._scope:
                    while self.is_listed or self._placed():
                        await self._look()
                task_group.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self._client.close()

    def close(self) -> None:
        """Ends the session."""
        self._scope.cancel()

    def _placed(self) -> list[TaskState]:
        return list(self._owner.state.placed.get(self.worker, {}).values())

    def _may_renew(self) -> bool:
        """Whether the next look may renew leases.

        A look that follows one without an answer does not: the leases of a
        worker that stays silent must come to an end.
        """
        return (
            self._lease.has_clock
            and self._owner.may_renew_leases
            and not self.failed_looks
        )

    def _has_doubt(self) -> bool:
        return any(
            task.task_id not in self.running
            and not self.orders.is_start_pending(task.task_id)
            for task in self._placed()
        )

    async def _look(self) -> None:
        sent_s = time.monotonic()
        is_first = not self._lease.has_clock
        wait_s = DOUBT_WAIT_S if self._has_doubt() else LOOK_WAIT_S
        if self._pacer.is_pacing_needed(self.running.values(), self._get_step):
            wait_s = min(wait_s, PACED_WAIT_S)
        renews = self._may_renew()
        mark = self._lease.save()
        try:
            view = await self._client.renew_leases(
                token=self._owner.token,
                ack_cursor=self._acknowledged,
                lease_deadline_ms=self._lease.grant() if renews else None,
                wait_s=0.0 if is_first else wait_s,
            )
        except FencedError:
            self._owner.lose_term(f"worker {self.worker} has a newer token")
            return
        except LagoonbeamError as error:
            if isinstance(error, ServerUnreachableError):
                self._lease.restore(mark, own=int(renews))
            await self._miss(error)
            return
        if self.failed_looks >= UNREACHABLE_LOOKS:
            self._watch.report_success()
            self._owner.on_worker_usable(self.worker)
        self.failed_looks = 0
        self._lease.read_clock(view.clock_ms)
        known = self.report.incarnation
        if known and view.incarnation and view.incarnation != known:
            await self._end_restarted(view)
            return
        await self._take_view(view, sent_s)

    async def _miss(self, error: LagoonbeamError) -> None:
        self.failed_looks += 1
        if self.failed_looks == UNREACHABLE_LOOKS:
            self._watch.report_failure(error)
        if self._lease.has_lapsed:
            await self._end_lapsed()
        await anyio.sleep(LOOK_RETRY_S)

    async def _end_lapsed(self) -> None:
        ends = [
            RunEnd(
                task.task_id, task.run, End.LAPSED, self._saved(task.task_id)
            )
            for task in self._placed()
            if not self.orders.is_start_pending(task.task_id)
        ]
        if ends:
            self._decisions.emit(
                Event.WORKER_LAPSED, worker=self.worker, runs=len(ends)
            )
            await self._owner.record_run_ends(ends)
        self.running.clear()

    async def _end_restarted(self, view: WorkerView) -> None:
        """Ends the runs of an incarnation that exists no longer."""
        listed = {task.task_id for task in view.running}
        self._decisions.emit(
            Event.WORKER_RESTARTED,
            worker=self.worker,
            incarnation=view.incarnation,
            known=self.report.incarnation,
        )
        ends = [
            RunEnd(
                task.task_id, task.run, End.LAPSED, self._saved(task.task_id)
            )
            for task in self._placed()
            if not self.orders.is_start_pending(task.task_id)
            and task.task_id not in listed
            and task.placement is not None
            and task.placement.incarnation != view.incarnation
        ]
        if ends:
            await self._owner.record_run_ends(ends)
        self.running.clear()
        self._acknowledged = 0
        await anyio.sleep(LOOK_RETRY_S)

    def _saved(self, task_id: str) -> str:
        running = self.running.get(task_id)
        return running.checkpoint if running is not None else ""

    async def _take_view(self, view: WorkerView, sent_s: float) -> None:
        self.running = {task.task_id: task for task in view.running}
        self._take_progress()
        if not self.is_looked_at:
            self.is_looked_at = True
            self._owner.on_worker_usable(self.worker)
        await self._take_finished(view)
        ended = {(end.task_id, end.run) for end in view.finished}
        gone: list[RunEnd] = []
        for task in self._placed():
            key = (task.task_id, task.run)
            if (
                self.orders.is_start_pending(task.task_id)
                or task.task_id in self.running
                or key in ended
                or self.orders.was_start_confirmed_after(task.task_id, sent_s)
            ):
                continue
            if self.orders.was_stop_confirmed_before(*key, sent_s):
                how = End.LAPSED if self._has_begun(task) else End.NEVER_STARTED
                gone.append(RunEnd(*key, how))
            else:
                self.orders.request_stop(*key, "not listed by the worker")
        if gone:
            await self._owner.record_run_ends(gone)
            for end in gone:
                self.orders.discard_run(end.task_id, end.run)
                refused = self._owner.state.tasks.get(end.task_id)
                if refused is not None:
                    self._owner.on_start_refused(self.worker, refused)
        self._stop_unwanted()
        await self._pace()

    def _has_begun(self, task: TaskState) -> bool:
        """Whether a run that is not listed may have worked before."""
        placement = task.placement
        return self.orders.was_start_confirmed_after(
            task.task_id, float("-inf")
        ) or (
            placement is not None
            and placement.incarnation != self.report.incarnation
        )

    def _get_step(self, task_id: str) -> Step | None:
        task = self._owner.state.tasks.get(task_id)
        return None if task is None else task.unit.spec

    async def _pace(self) -> None:
        """Gives fillers the share that serving tasks beside them bear."""
        running = self.running.values()
        for run, percent in self._pacer.compute_changes(
            running, self._get_step
        ):
            outcome = "done"
            try:
                await self._client.set_pace(
                    run.task_id,
                    run.run,
                    percent,
                    token=self._owner.token,
                )
            except LagoonbeamError as error:
                outcome = str(error)
            self._decisions.emit(
                Event.RUN_PACE,
                task=run.task_id,
                run=run.run,
                worker=self.worker,
                percent=percent,
                outcome=outcome,
            )

    def _take_progress(self) -> None:
        """Notes which runs stand still, and stops those worth a new start."""
        tasks = self._owner.state.tasks
        for key, still_s in self._progress.find_stalled(self.running).items():
            task = tasks.get(key)
            if task is None or task.unit.spec.is_long_running:
                continue
            self._stalled_s = time.monotonic()
            if (
                still_s > PATIENCE_S
                or self.orders.get_lost_work_s(task) < PATIENCE_S
            ):
                self._owner.on_run_stalled(self.worker, task)

    async def _take_finished(self, view: WorkerView) -> None:
        new = [e for e in view.finished if e.number > self._acknowledged]
        if not new:
            return
        tasks = self._owner.state.tasks
        ends = [
            RunEnd(end.task_id, end.run, end.end, end.checkpoint)
            for end in new
            if (task := tasks.get(end.task_id)) is not None
            and task.placement is not None
            and task.placement.worker == self.worker
            and task.run == end.run
        ]
        now_s = time.monotonic()
        for end in new:
            started_s = self.orders.discard_run(end.task_id, end.run)
            ended = tasks.get(end.task_id)
            if ended is not None and ended.run == end.run:
                run_s = None if started_s is None else now_s - started_s
                self._owner.on_run_ended(self.worker, ended, end.end, run_s)
            self._decisions.emit(
                Event.RUN_ENDED,
                task=end.task_id,
                run=end.run,
                worker=self.worker,
                how=end.end.value,
            )
        if ends and not await self._owner.record_run_ends(ends):
            return
        self._acknowledged = max(end.number for end in new)

    def _stop_unwanted(self) -> None:
        tasks = self._owner.state.tasks
        for running in self.running.values():
            task = tasks.get(running.task_id)
            if task is None:
                cause = "unknown task"
            elif task.is_done and task.run == running.run:
                continue
            elif task.placement is None or task.run != running.run:
                cause = "not the task's run"
            elif task.placement.worker != self.worker:
                cause = "placed elsewhere"
            elif not self._owner.should_keep_running(task):
                cause = f"job is {task.unit.job.state.value}"
            else:
                continue
            self.orders.request_stop(running.task_id, running.run, cause)
