"""Orders to start and stop runs on one worker, and what became of them."""

from __future__ import annotations

import time

import anyio.abc

from lagoonbeam.errors import FencedError, LagoonbeamError, UnavailableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.entries import TaskState
from lagoonbeam.site.events import Event
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import End
from lagoonbeam.site.owner import Owner
from lagoonbeam.site.ports import StartOrder, StartRefusal, WorkerClient
from lagoonbeam.site.records import Placement, RunEnd

STOP_RETRY_S = 1.5
"""Seconds after which a stop is ordered again; longer than a stop takes."""
LOST_STOP_RETRY_S = 0.2
"""Seconds after which a stop without an answer is ordered again."""
CHECKPOINT_LOSS_S = 1.2
"""Seconds lost by stopping a run that saves its progress: half an interval
of one second, and the time to restore."""


class RunOrders:
    """Starts and stops runs on one worker.

    Args:
        worker: The worker's name.
        client: Orders to it.
        lease: The lease of what runs there.
        owner: The scheduler.
        decisions: The decision log.
    """

    def __init__(
        self,
        worker: str,
        client: WorkerClient,
        lease: Lease,
        owner: Owner,
        decisions: DecisionLog,
    ):
        self._worker = worker
        self._client = client
        self._lease = lease
        self._owner = owner
        self._decisions = decisions
        self._opened_s = time.monotonic()
        self._starting: set[str] = set()
        self._started_s: dict[str, float] = {}
        self._stops: dict[tuple[str, int], float] = {}
        self._stopped_s: dict[tuple[str, int], float] = {}
        self.tasks: anyio.abc.TaskGroup | None = None

    def is_starting(self, task_id: str) -> bool:
        """Whether a start is being journaled or has no answer yet."""
        return task_id in self._starting

    def was_started_after(self, task_id: str, at_s: float) -> bool:
        """Whether a start was answered after a time."""
        return self._started_s.get(task_id, float("-inf")) > at_s

    def was_stopped_before(self, task_id: str, run: int, at_s: float) -> bool:
        """Whether a stop was answered before a time."""
        return self._stopped_s.get((task_id, run), float("inf")) < at_s

    def expect_run(self, task_id: str) -> None:
        """Notes that a run is being journaled and will be started."""
        self._starting.add(task_id)

    def forget_run(self, task_id: str) -> None:
        """Notes that an expected run will not be started."""
        self._starting.discard(task_id)

    def get_elapsed_s(self, task: TaskState) -> float:
        """Returns the seconds since a run was started or first seen."""
        started_s = self._started_s.get(task.task_id, self._opened_s)
        return time.monotonic() - started_s

    def get_lost_s(self, task: TaskState) -> float:
        """Returns the seconds of work that a stop of a run throws away."""
        elapsed_s = self.get_elapsed_s(task)
        if not task.unit.spec.is_checkpointing:
            return elapsed_s
        return min(elapsed_s, CHECKPOINT_LOSS_S)

    async def start_run(
        self, task: TaskState, placement: Placement, ticket: str
    ) -> None:
        """Starts a run that the journal holds."""
        order = StartOrder(
            placement.task_id,
            placement.run,
            task.unit.job.request.payload,
            placement.checkpoint,
            ticket,
        )
        outcome = "started"
        try:
            await self._client.start(
                order, token=self._owner.token, deadline_ms=self._lease.grant()
            )
            self._started_s[placement.task_id] = time.monotonic()
        except FencedError:
            self._owner.lose_term(f"worker {self._worker} has a newer token")
            return
        except StartRefusal as refusal:
            outcome = f"refused: {refusal.reason}"
            end = RunEnd(placement.task_id, placement.run, End.NEVER_STARTED)
            await self._owner.end_runs([end])
            self._owner.note_refusal(self._worker, task)
        except UnavailableError as error:
            outcome = f"in doubt: {error}"
        finally:
            self._starting.discard(placement.task_id)
            kind = outcome.partition(":")[0]
            self._decisions.metrics.starts.labels(kind).inc()
            self._decisions.emit(
                Event.RUN_START,
                task=placement.task_id,
                run=placement.run,
                worker=self._worker,
                term=self._owner.token,
                outcome=outcome,
            )

    def order_stop(self, task_id: str, run: int, cause: str) -> None:
        """Stops a run, unless that was ordered a moment ago."""
        key = (task_id, run)
        now_s = time.monotonic()
        if self._stops.get(key, 0.0) > now_s or self.tasks is None:
            return
        self._stops[key] = now_s + STOP_RETRY_S
        self._decisions.emit(
            Event.RUN_STOP,
            task=task_id,
            run=run,
            worker=self._worker,
            cause=cause,
        )
        self.tasks.start_soon(self._stop, task_id, run)

    async def _stop(self, task_id: str, run: int) -> None:
        try:
            await self._client.stop(task_id, run, token=self._owner.token)
        except FencedError:
            self._owner.lose_term(f"worker {self._worker} has a newer token")
        except LagoonbeamError as error:
            self._decisions.emit(
                Event.RUN_STOP_FAILED,
                task=task_id,
                run=run,
                worker=self._worker,
                cause=str(error),
            )
            self._stops[task_id, run] = time.monotonic() + LOST_STOP_RETRY_S
        else:
            self._stopped_s[task_id, run] = time.monotonic()

    def forget_order(self, task_id: str, run: int) -> float | None:
        """Drops what was noted of a run; returns when it was started."""
        self._stops.pop((task_id, run), None)
        self._stopped_s.pop((task_id, run), None)
        return self._started_s.pop(task_id, None)
