"""Applies the pace that protects serving tasks to the runs on one worker."""

from __future__ import annotations

from collections.abc import Collection

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.model import ActiveRun, Step
from lagoonbeam.site.pacing import FillerPacer
from lagoonbeam.site.platform_interface import WorkerClient
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.unconfirmed_orders import WorkerFence


class RunPacer:
    """Throttles filler tasks to protect the latency of serving tasks.

    Args:
        worker: The worker's name.
        client: Sends commands to the worker.
        fence: Holds the fencing token.
        scheduler: The active scheduler.
        decisions: The decision log.
    """

    def __init__(
        self,
        worker: str,
        client: WorkerClient,
        fence: WorkerFence,
        scheduler: SchedulerCallbacks,
        decisions: DecisionLog,
    ):
        self._worker = worker
        self._client = client
        self._fence = fence
        self._scheduler = scheduler
        self._decisions = decisions
        self._pacer = FillerPacer()

    def is_needed(self, running: Collection[ActiveRun]) -> bool:
        """Whether filler tasks run beside serving tasks."""
        return self._pacer.is_pacing_needed(running, self._get_step)

    async def adjust(self, running: Collection[ActiveRun]) -> None:
        """Sends the changes of pace that the newest poll calls for."""
        for run, percent in self._pacer.compute_changes(
            running, self._get_step
        ):
            outcome = "done"
            try:
                await self._client.set_pace(
                    run.task_id, run.run, percent, token=self._fence.token
                )
            except LagoonbeamError as error:
                outcome = str(error)
            self._decisions.emit(
                Event.RUN_PACE,
                task=run.task_id,
                run=run.run,
                worker=self._worker,
                percent=percent,
                outcome=outcome,
            )

    def _get_step(self, task_id: str) -> Step | None:
        task = self._scheduler.state.tasks.get(task_id)
        return None if task is None else task.unit.spec
