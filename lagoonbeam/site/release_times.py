"""When running tasks are expected to release the capacity that they use."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence

from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.run_progress import RunProgressTracker

MAX_ESTIMATE_AGE_S = 1.0
"""Age after which the expected ends on a worker are estimated again."""
MIN_OVERRUN_S = 0.5
"""Remaining time assumed for a run that has outlasted its estimate."""
MIN_PROGRESS_PERCENT = 10.0
"""Progress from which a run's remaining time follows from its own pace."""

Release = tuple[float, PlacementUnit]
"""Monotonic time of an expected end, and the unit of the task that ends."""


class ReleaseTimes:
    """Caches the expected ends of the tasks on each worker.

    Args:
        estimate_run_s: Returns the expected run time of a unit at the usual
            speed of workers.
        run_progress: Progress of running tasks; None if it is not tracked.
        get_speed: Returns the speed of a worker; all are usual if None.
    """

    def __init__(
        self,
        estimate_run_s: Callable[[PlacementUnit], float],
        run_progress: RunProgressTracker | None = None,
        get_speed: Callable[[str], float] | None = None,
    ):
        self._estimate_run_s = estimate_run_s
        self._run_progress = run_progress
        self._get_speed = get_speed or (lambda worker: 1.0)
        self._cache: dict[str, tuple[int, float, list[Release]]] = {}

    def get(
        self,
        state: SiteState,
        sessions: Mapping[str, WorkerSession],
        worker: str,
        now_s: float,
    ) -> Sequence[Release]:
        """Returns the expected ends on a worker, earliest first.

        Long-running tasks are left out, since they do not end by themselves.

        Args:
            state: The current state.
            sessions: The sessions with all workers.
            worker: Name of the worker.
            now_s: Monotonic time.
        """
        version = state.placement_version.get(worker, 0)
        cached = self._cache.get(worker)
        if (
            cached is not None
            and cached[0] == version
            and now_s - cached[1] < MAX_ESTIMATE_AGE_S
        ):
            return cached[2]
        releases = sorted(
            (
                (
                    now_s + self._estimate_remaining_s(sessions, task, now_s),
                    task.unit,
                )
                for task in state.tasks_by_worker.get(worker, {}).values()
                if not task.unit.spec.is_long_running
            ),
            key=lambda release: release[0],
        )
        self._cache[worker] = (version, now_s, releases)
        return releases

    def _estimate_remaining_s(
        self,
        sessions: Mapping[str, WorkerSession],
        task: Task,
        now_s: float,
    ) -> float:
        """Returns when the last member of a task's unit ends, from now."""
        return max(
            self._estimate_member_s(
                sessions[member.placement.worker],
                member,
                member.placement.worker,
                now_s,
            )
            for member in task.unit.tasks
            if member.placement is not None
            and member.placement.worker in sessions
        )

    def _estimate_member_s(
        self, session: WorkerSession, task: Task, worker: str, now_s: float
    ) -> float:
        estimate_s = self._estimate_run_s(task.unit) / self._get_speed(worker)
        progress = self._run_progress and self._run_progress.get(
            worker, (task.task_id, task.run)
        )
        if progress:
            remaining_s = progress.estimate_end_s(estimate_s) - now_s
            return remaining_s if remaining_s > 0 else MIN_OVERRUN_S
        elapsed_s = session.dispatcher.get_elapsed_s(task)
        run = session.running.get(task.task_id)
        if run is not None and run.percent >= MIN_PROGRESS_PERCENT:
            return elapsed_s * (100.0 - run.percent) / run.percent
        return max(MIN_OVERRUN_S, estimate_s - elapsed_s)
