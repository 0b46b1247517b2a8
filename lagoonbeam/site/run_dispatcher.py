"""Start and stop commands for the runs on one worker, and their outcomes."""

from __future__ import annotations

import time
from collections.abc import Mapping

import anyio.abc

from lagoonbeam.errors import (
    FencedError,
    LagoonbeamError,
    ServerUnreachableError,
    UnavailableError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import Task
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import ActiveRun, EndEvidence, RunEndReason
from lagoonbeam.site.platform_interface import (
    StartOrder,
    StartRefusedError,
    WorkerClient,
)
from lagoonbeam.site.records import Placement, RunEnd, RunKey
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts, WorkerFence

START_RETRY_S = 0.5
"""Time after which a start without an answer is repeated."""
STOP_RETRY_S = 1.5
"""Time after which a stop command is repeated; longer than a stop takes."""
UNANSWERED_STOP_RETRY_S = 0.2
"""Time after which a failed stop command is repeated."""
CHECKPOINT_LOSS_S = 1.2
"""Work lost by stopping a checkpointing run: half the checkpoint interval of
1 s, plus the time to restore."""


class StartNotSentError(Exception):
    """A start was not sent, since its lease could not be bounded."""


class RunDispatcher:
    """Starts and stops runs on one worker.

    Args:
        worker: The worker's name.
        client: Sends commands to the worker.
        lease: The lease that covers all runs on the worker.
        fence: Holds the fencing token.
        scheduler: The active scheduler.
        pending_starts: Runs, of all workers, whose start is being journaled or
            has not been answered yet; shared by all sessions of the term.
        unanswered_starts: Starts that got no answer, likewise.
        decisions: The decision log.
        polls: The polls of the worker.

    Attributes:
        task_group: Runs the stop commands; None before the session runs.
    """

    def __init__(
        self,
        worker: str,
        client: WorkerClient,
        lease: Lease,
        fence: WorkerFence,
        scheduler: SchedulerCallbacks,
        pending_starts: set[RunKey],
        unanswered_starts: UnansweredStarts,
        decisions: DecisionLog,
        polls: PollWatch,
    ):
        self._worker = worker
        self._client = client
        self._lease = lease
        self._fence = fence
        self._scheduler = scheduler
        self._decisions = decisions
        self._polls = polls
        self._created_at_s = time.monotonic()
        self._pending_starts = pending_starts
        self._unanswered_starts = unanswered_starts
        self._start_confirmed_at_s: dict[RunKey, float] = {}
        self._stop_retry_at_s: dict[RunKey, float] = {}
        self._stop_confirmed_at_s: dict[RunKey, float] = {}
        self._start_retry_at_s: dict[RunKey, float] = {}
        self.task_group: anyio.abc.TaskGroup | None = None

    def is_start_pending(self, task: Task) -> bool:
        """Whether a start is being journaled or has not been answered yet."""
        return (task.task_id, task.run) in self._pending_starts

    def was_start_confirmed_after(self, task: Task, time_s: float) -> bool:
        """Whether the worker confirmed a start after a monotonic time."""
        run_key = (task.task_id, task.run)
        return self._start_confirmed_at_s.get(run_key, float("-inf")) > time_s

    def was_start_confirmed_before(self, task: Task, time_s: float) -> bool:
        """Whether the worker confirmed a start before a monotonic time."""
        run_key = (task.task_id, task.run)
        return self._start_confirmed_at_s.get(run_key, float("inf")) < time_s

    def has_begun_before(
        self, task: Task, time_s: float, running: Mapping[str, ActiveRun]
    ) -> bool:
        """Whether a run of a task had certainly begun at a monotonic time.

        Args:
            task: The task.
            time_s: The time.
            running: The runs in the worker's latest report, by task.
        """
        if self.is_start_pending(task):
            return False
        active_run = running.get(task.task_id)
        return (
            active_run is not None and active_run.run == task.run
        ) or self.was_start_confirmed_before(task, time_s)

    def was_stop_confirmed_before(
        self, task_id: str, run: int, time_s: float
    ) -> bool:
        """Whether the worker confirmed a stop before a monotonic time."""
        return (
            self._stop_confirmed_at_s.get((task_id, run), float("inf")) < time_s
        )

    def may_have_begun(self, task: Task, incarnation: int) -> bool:
        """Whether a run that the worker no longer lists may have executed.

        Args:
            task: The task.
            incarnation: The incarnation that does not list the run.
        """
        placement = task.placement
        return (task.task_id, task.run) in self._start_confirmed_at_s or (
            placement is not None and placement.incarnation != incarnation
        )

    def may_start_after(self, task: Task, time_s: float) -> bool:
        """Whether a start without an answer may be executed after a time.

        Not asked of jobs that have ended, as they get no other run.
        """
        return task.unit.job.is_open and (
            self._unanswered_starts.may_arrive_after(
                (task.task_id, task.run), time_s
            )
        )

    def may_outlast_leases(self, task: Task, *, is_listed: bool) -> bool:
        """Whether a run may go on, or begin, though all leases have expired.

        Args:
            task: The task.
            is_listed: Whether the directory lists the worker; one that it
                does not list is gone, and starts nothing late.
        """
        run_key = (task.task_id, task.run)
        longest_expire_at_s = self._lease.longest_expires_at_s
        return (
            self.is_start_pending(task)
            or self._unanswered_starts.may_be_running(
                run_key, longest_expire_at_s
            )
            or (
                is_listed
                and self._unanswered_starts.may_outlast_leases(
                    run_key, longest_expire_at_s
                )
            )
        )

    def may_repeat_start(self, task: Task) -> bool:
        """Whether a start was neither confirmed nor followed by a stop."""
        run_key = (task.task_id, task.run)
        return (
            run_key not in self._start_confirmed_at_s
            and run_key not in self._stop_retry_at_s
        )

    def is_start_repeat_due(self, task: Task) -> bool:
        """Whether enough time has passed since the last start of a run."""
        retry_at_s = self._start_retry_at_s.get((task.task_id, task.run), 0.0)
        return time.monotonic() >= retry_at_s

    def get_elapsed_s(self, task: Task) -> float:
        """Returns the time since a task's run was started.

        For a run started by an earlier scheduler, this is the time since this
        object was created.
        """
        started_s = self._start_confirmed_at_s.get(
            (task.task_id, task.run), self._created_at_s
        )
        return time.monotonic() - started_s

    def get_lost_work_s(self, task: Task) -> float:
        """Returns the run time that is lost if a task is stopped now."""
        elapsed_s = self.get_elapsed_s(task)
        if not task.unit.spec.is_checkpointing:
            return elapsed_s
        return min(elapsed_s, CHECKPOINT_LOSS_S)

    async def start_run(
        self,
        task: Task,
        placement: Placement,
        ticket: str,
        *,
        is_repeat: bool = False,
    ) -> None:
        """Sends the start command for a placement that has been journaled.

        Args:
            task: The task.
            placement: Its placement.
            ticket: Admission ticket from the advice service; empty for none.
            is_repeat: Whether the command was sent before and got no answer.
                The run is then not ended by a refusal, as the other copy may
                be executed later.
        """
        order = StartOrder(
            placement.task_id,
            placement.run,
            task.unit.job.request.payload,
            placement.checkpoint,
            ticket,
        )
        outcome = "not answered"
        run_key = (placement.task_id, placement.run)
        token = self._fence.token
        try:
            if not self._lease.has_clock_reading:
                raise StartNotSentError("the worker's clock was not read yet")
            if not self._scheduler.may_renew_leases:
                raise StartNotSentError("no append was confirmed for too long")
            sent_s = time.monotonic()
            clock_ms = await self._client.start(
                order,
                token=token,
                lease_deadline_ms=self._lease.grant(),
            )
            self._lease.record_start_answer(clock_ms, sent_s)
            self._start_confirmed_at_s[run_key] = time.monotonic()
            self._scheduler.on_run_begun(*run_key)
            outcome = "started"
        except FencedError:
            outcome = "refused: fence"
            if not self._lose_term_if_current(token):
                await self._handle_refusal(task, placement, is_repeat)
        except StartNotSentError as error:
            outcome = f"not sent: {error}"
            if not is_repeat:
                await self._end_unstarted(task, placement, EndEvidence.NOT_SENT)
        except StartRefusedError as refusal:
            outcome = f"refused: {refusal.reason}"
            await self._handle_refusal(task, placement, is_repeat)
        except ServerUnreachableError as error:
            outcome = f"not sent: {error}"
        except UnavailableError as error:
            outcome = f"in doubt: {error}"
            self._record_unanswered(run_key)
        except Exception as error:
            # A worker that cannot be talked to must not end the scheduler.
            outcome = f"in doubt: {error!r}"
            self._record_unanswered(run_key)
        finally:
            self._start_retry_at_s[run_key] = time.monotonic() + START_RETRY_S
            self._pending_starts.discard(run_key)
            outcome_label = outcome.partition(":")[0]
            self._decisions.metrics.starts.labels(outcome_label).inc()
            self._decisions.emit(
                Event.RUN_START,
                task=placement.task_id,
                run=placement.run,
                worker=self._worker,
                term=self._scheduler.token,
                token=token,
                outcome=outcome,
                repeated=is_repeat,
            )

    def _record_unanswered(self, run_key: RunKey) -> None:
        self._unanswered_starts.record(run_key)
        self._polls.record_unanswered_start()

    async def _handle_refusal(
        self, task: Task, placement: Placement, is_repeat: bool
    ) -> None:
        if is_repeat:
            self._scheduler.on_start_refused(self._worker, task)
        else:
            await self._end_unstarted(
                task, placement, EndEvidence.START_REFUSED
            )

    def _lose_term_if_current(self, token: int) -> bool:
        """Ends the term if the worker refused its newest token.

        A restarted worker refuses orders that were sent before its token was
        raised.

        Returns:
            Whether the term was ended.
        """
        is_current = token == self._fence.token
        if is_current:
            self._scheduler.lose_term(
                f"worker {self._worker} has a newer token"
            )
        return is_current

    async def _end_unstarted(
        self, task: Task, placement: Placement, evidence: EndEvidence
    ) -> None:
        """Records that a placed run has not started and never will."""
        end = RunEnd(
            placement.task_id, placement.run, RunEndReason.NEVER_STARTED
        )
        await self._scheduler.record_run_ends([end], evidence)
        self._scheduler.on_start_refused(self._worker, task)

    def request_stop(self, task_id: str, run: int, cause: str) -> None:
        """Sends a stop command, unless it is too early to repeat the last."""
        run_key = (task_id, run)
        now_s = time.monotonic()
        if (
            self._stop_retry_at_s.get(run_key, 0.0) > now_s
            or self.task_group is None
        ):
            return
        self._stop_retry_at_s[run_key] = now_s + STOP_RETRY_S
        self._decisions.emit(
            Event.RUN_STOP,
            task=task_id,
            run=run,
            worker=self._worker,
            cause=cause,
        )
        self.task_group.start_soon(self._send_stop, task_id, run)

    async def _send_stop(self, task_id: str, run: int) -> None:
        token = self._fence.token
        try:
            await self._client.stop(task_id, run, token=token)
        except FencedError:
            self._lose_term_if_current(token)
        except LagoonbeamError as error:
            self._decisions.emit(
                Event.RUN_STOP_FAILED,
                task=task_id,
                run=run,
                worker=self._worker,
                cause=str(error),
            )
            self._stop_retry_at_s[task_id, run] = (
                time.monotonic() + UNANSWERED_STOP_RETRY_S
            )
        else:
            if token == self._fence.token:
                self._stop_confirmed_at_s[task_id, run] = time.monotonic()

    def discard_stops(self) -> None:
        """Discards all stops; a restarted worker knows none of them."""
        self._stop_retry_at_s.clear()
        self._stop_confirmed_at_s.clear()

    def discard_run(self, task_id: str, run: int) -> float | None:
        """Discards what is kept about a run.

        Returns:
            Monotonic time at which its start was confirmed, if it was.
        """
        self._start_retry_at_s.pop((task_id, run), None)
        self._stop_retry_at_s.pop((task_id, run), None)
        self._stop_confirmed_at_s.pop((task_id, run), None)
        return self._start_confirmed_at_s.pop((task_id, run), None)
