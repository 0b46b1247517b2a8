"""Restarts runs that make no progress, and spares their worker new ones."""

from __future__ import annotations

import time
from collections.abc import Mapping

from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.run_dispatcher import RunDispatcher
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.stall_detection import StallDetector

STALL_COOLDOWN_S = 3.0
"""Time without new runs on a worker after one of its runs stalled."""
RESTART_THRESHOLD_S = 4.5
"""A stalled run is restarted elsewhere if it has lost less work or stalled for
longer than this; most stalled workers resume after five seconds or more."""


class StalledRunHandler:
    """Handles the stalled runs of one worker.

    Args:
        worker: The worker's name.
        scheduler: The active scheduler.
        dispatcher: Knows how much work a restart would lose.
    """

    def __init__(
        self,
        worker: str,
        scheduler: SchedulerCallbacks,
        dispatcher: RunDispatcher,
    ):
        self._worker = worker
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._detector = StallDetector()
        self._last_stall_s = float("-inf")

    @property
    def is_cooling_down(self) -> bool:
        """Whether a run stalled a short time ago."""
        return time.monotonic() - self._last_stall_s <= STALL_COOLDOWN_S

    def handle(self, running: Mapping[str, ActiveRun]) -> None:
        """Reports the stalled runs that are worth restarting.

        Args:
            running: The runs in the worker's latest report, by task.
        """
        tasks = self._scheduler.state.tasks
        for task_id, stalled_s in self._detector.find_stalled(running).items():
            task = tasks.get(task_id)
            if task is None or task.unit.spec.is_long_running:
                continue
            self._last_stall_s = time.monotonic()
            if (
                stalled_s > RESTART_THRESHOLD_S
                or self._dispatcher.get_lost_work_s(task) < RESTART_THRESHOLD_S
            ):
                self._scheduler.on_run_stalled(self._worker, task)
