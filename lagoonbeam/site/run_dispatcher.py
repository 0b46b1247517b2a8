"""Start and stop commands for the runs on one worker, and their outcomes."""

from __future__ import annotations

import time

import anyio.abc

from lagoonbeam.errors import FencedError, LagoonbeamError, UnavailableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import Task
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import EndEvidence, RunEndReason
from lagoonbeam.site.platform_interface import (
    StartOrder,
    StartRefusedError,
    WorkerClient,
)
from lagoonbeam.site.records import Placement, RunEnd, RunKey
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks

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
        scheduler: The active scheduler.
        pending_starts: Runs, of all workers, whose start is being journaled or
            has not been answered yet; shared by all sessions of the term.
        decisions: The decision log.

    Attributes:
        task_group: Runs the stop commands; None before the session runs.
    """

    def __init__(
        self,
        worker: str,
        client: WorkerClient,
        lease: Lease,
        scheduler: SchedulerCallbacks,
        pending_starts: set[RunKey],
        decisions: DecisionLog,
    ):
        self._worker = worker
        self._client = client
        self._lease = lease
        self._scheduler = scheduler
        self._decisions = decisions
        self._created_at_s = time.monotonic()
        self._pending_starts = pending_starts
        self._start_confirmed_at_s: dict[RunKey, float] = {}
        self._stop_retry_at_s: dict[RunKey, float] = {}
        self._stop_confirmed_at_s: dict[RunKey, float] = {}
        self._restart_count = 0
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

    def was_stop_confirmed_before(
        self, task_id: str, run: int, time_s: float
    ) -> bool:
        """Whether the worker confirmed a stop before a monotonic time."""
        return (
            self._stop_confirmed_at_s.get((task_id, run), float("inf")) < time_s
        )

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
        self, task: Task, placement: Placement, ticket: str
    ) -> None:
        """Sends the start command for a placement that has been journaled."""
        order = StartOrder(
            placement.task_id,
            placement.run,
            task.unit.job.request.payload,
            placement.checkpoint,
            ticket,
        )
        outcome = "not answered"
        try:
            if not self._lease.has_clock_reading:
                raise StartNotSentError("the worker's clock was not read yet")
            if not self._scheduler.may_renew_leases:
                raise StartNotSentError("no append was confirmed for too long")
            await self._client.start(
                order,
                token=self._scheduler.token,
                lease_deadline_ms=self._lease.grant(),
            )
            self._start_confirmed_at_s[placement.task_id, placement.run] = (
                time.monotonic()
            )
            outcome = "started"
        except FencedError:
            outcome = "refused: fence"
            self._scheduler.lose_term(
                f"worker {self._worker} has a newer token"
            )
        except StartNotSentError as error:
            outcome = f"not sent: {error}"
            await self._end_unstarted(task, placement, EndEvidence.NOT_SENT)
        except StartRefusedError as refusal:
            outcome = f"refused: {refusal.reason}"
            await self._end_unstarted(
                task, placement, EndEvidence.START_REFUSED
            )
        except UnavailableError as error:
            outcome = f"in doubt: {error}"
        except Exception as error:
            # A worker that cannot be talked to must not end the scheduler.
            outcome = f"in doubt: {error!r}"
        finally:
            self._pending_starts.discard((placement.task_id, placement.run))
            outcome_label = outcome.partition(":")[0]
            self._decisions.metrics.starts.labels(outcome_label).inc()
            self._decisions.emit(
                Event.RUN_START,
                task=placement.task_id,
                run=placement.run,
                worker=self._worker,
                term=self._scheduler.token,
                outcome=outcome,
            )

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
        restart_count = self._restart_count
        try:
            await self._client.stop(task_id, run, token=self._scheduler.token)
        except FencedError:
            self._scheduler.lose_term(
                f"worker {self._worker} has a newer token"
            )
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
            if restart_count == self._restart_count:
                self._stop_confirmed_at_s[task_id, run] = time.monotonic()

    def discard_stops(self) -> None:
        """Discards all stops; a restarted worker knows none of them."""
        self._restart_count += 1
        self._stop_retry_at_s.clear()
        self._stop_confirmed_at_s.clear()

    def discard_run(self, task_id: str, run: int) -> float | None:
        """Discards what is kept about a run.

        Returns:
            Monotonic time at which its start was confirmed, if it was.
        """
        self._stop_retry_at_s.pop((task_id, run), None)
        self._stop_confirmed_at_s.pop((task_id, run), None)
        return self._start_confirmed_at_s.pop((task_id, run), None)
