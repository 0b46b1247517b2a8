"""Observes runs for the estimates of speeds and run times."""

from __future__ import annotations

import math
import time
from collections.abc import Awaitable, Callable, Mapping, Sequence

import anyio

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import Record, SpeedsEstimated
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.worker_speeds import USUAL_SPEED
from lagoonbeam.types import WorkerName

RECORD_INTERVAL_S = 5.0
"""Interval at which changed estimates are journaled."""
MAX_SPEEDS_PER_RECORD = 1_000
"""Keeps a record far below the store's limit for one."""
RECORDED_RUN_TIME_CHANGE = 0.25
"""Relative change from which a run time is journaled again."""


class SpeedMonitor:
    """Observes the runs of one term and keeps the estimates in the journal.

    Args:
        get_state: Returns the replica of the state.
        planner_state: Holds the estimates.
        sessions: The session with each worker.
        append_records: Appends records to the journal.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        planner_state: PlannerState,
        sessions: Mapping[WorkerName, WorkerSession],
        append_records: Callable[[Sequence[Record]], Awaitable[bool]],
    ):
        self._get_state = get_state
        self._speeds = planner_state.worker_speeds
        self._run_progress = planner_state.run_progress
        self._estimator = planner_state.estimator
        self._sessions = sessions
        self._append_records = append_records

    def load(self) -> None:
        """Starts from the estimates of earlier terms."""
        estimates = self._get_state().speed_estimates
        self._speeds.load(estimates.speeds, time.monotonic())
        self._estimator.load(estimates.run_times_s)

    async def run(self) -> None:
        """Journals estimates that have changed, until cancelled."""
        while True:
            await anyio.sleep(RECORD_INTERVAL_S)
            record = self.make_record()
            if record is not None:
                await self._append_records([record])

    def make_record(self) -> SpeedsEstimated | None:
        """Returns what has changed since the last record; None for nothing.

        The usual speed is recorded too while workers differ, as it tells the
        next term which workers the others are compared with.
        """
        recorded = self._get_state().speed_estimates
        known = {
            **dict.fromkeys(recorded.speeds, USUAL_SPEED),
            **self._speeds.get_known_speeds(),
        }
        speeds = {
            worker: speed
            for worker, speed in known.items()
            if recorded.speeds.get(worker) != speed
            and (self._speeds.is_uneven or worker in recorded.speeds)
        }
        run_times_s = {
            queue: run_s
            for queue, run_s in self._estimator.get_run_times_s().items()
            if abs(run_s - recorded.run_times_s.get(queue, 0.0))
            > RECORDED_RUN_TIME_CHANGE * run_s
        }
        if not speeds and not run_times_s:
            return None
        first = list(speeds.items())[:MAX_SPEEDS_PER_RECORD]
        return SpeedsEstimated(dict(first), run_times_s)

    def observe_progress(
        self, worker: WorkerName, running: Mapping[str, ActiveRun]
    ) -> None:
        """Updates the estimates by what a worker reports of its runs.

        Args:
            worker: The worker.
            running: The runs that it reports, by task.
        """
        now_s = time.monotonic()
        self._run_progress.retain(
            worker, [(run.task_id, run.run) for run in running.values()]
        )
        tasks = self._get_state().tasks
        for run in running.values():
            task = tasks.get(run.task_id)
            if (
                task is None
                or task.run != run.run
                or task.unit.spec.is_long_running
            ):
                continue
            progress = self._run_progress.record(
                worker, run, now_s, self._find_start_s(worker, task, now_s)
            )
            if progress is None or not self._tells_speed(worker, task):
                continue
            full_run_s = progress.get_full_run_s()
            if full_run_s is not None:
                self._speeds.record_run(worker, task, full_run_s, now_s)
        self._speeds.update(now_s)

    def observe_end(self, worker: WorkerName, task: Task, run_s: float) -> None:
        """Updates the estimates by a run that has done its work.

        Args:
            worker: The worker.
            task: The task; the run is its current one.
            run_s: Run time.
        """
        if not (math.isfinite(run_s) and run_s > 0):
            return
        workers = _list_workers(task)
        # The first end of a gang clears the placements of all members.
        is_whole = len(workers) == len(task.unit.tasks)
        if self._is_remote(task) or (
            not is_whole and self._depends_on_workers(task)
        ):
            return
        queue = task.unit.job.request.queue.name
        self._estimator.record_run(queue, run_s, [worker, *workers])
        if not task.unit.spec.is_gang and self._tells_speed(worker, task):
            now_s = time.monotonic()
            self._speeds.record_run(worker, task, run_s, now_s)
            self._speeds.update(now_s)

    def _depends_on_workers(self, task: Task) -> bool:
        """Whether the run time depends on which workers a unit runs on."""
        step = task.unit.spec
        return self._speeds.is_uneven or bool(
            step.data_rack or step.is_one_rack
        )

    def _find_start_s(
        self, worker: WorkerName, task: Task, now_s: float
    ) -> float | None:
        """Returns when a run began to work from nothing; None if unknown."""
        session = self._sessions.get(worker)
        placement = task.placement
        if (
            session is None
            or placement is None
            or placement.checkpoint
            or task.unit.spec.is_gang
            or not session.dispatcher.was_start_confirmed_before(task, now_s)
        ):
            return None
        return now_s - session.dispatcher.get_elapsed_s(task)

    def _tells_speed(self, worker: WorkerName, task: Task) -> bool:
        """Whether the pace of a run tells how fast its worker is."""
        placement = task.placement
        return (
            placement is not None
            and placement.worker == worker
            and not placement.checkpoint
            and not task.unit.spec.is_filling
            and not task.unit.spec.is_long_running
            and not self._is_remote(task)
        )

    def _is_remote(self, task: Task) -> bool:
        """Whether a run is slowed by the racks that its unit runs on."""
        step = task.unit.spec
        if not step.data_rack and not step.is_one_rack:
            return False
        racks = {
            session.report.rack
            for worker in _list_workers(task)
            if (session := self._sessions.get(worker)) is not None
        }
        return len(racks) > 1 or bool(
            step.data_rack and racks and racks != {step.data_rack}
        )


def _list_workers(task: Task) -> list[WorkerName]:
    """Returns the workers of all members of a task's unit."""
    return [
        member.placement.worker
        for member in task.unit.tasks
        if member.placement is not None
    ]
