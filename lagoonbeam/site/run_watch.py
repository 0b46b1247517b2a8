"""What the progress of a worker's runs tells: standing still, slow."""

from __future__ import annotations

import time
from collections.abc import Mapping

from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.events import Event
from lagoonbeam.site.model import RunningTask
from lagoonbeam.site.orders import RunOrders
from lagoonbeam.site.owner import Owner
from lagoonbeam.site.progress import ProgressWatch
from lagoonbeam.site.speed import SpeedWatch

STALL_PAUSE_S = 3.0
"""Seconds without new runs after a run stood still on a worker."""
PATIENCE_S = 4.5
"""Seconds of work or of standing still that a new start elsewhere is worth;
most workers that stand still go on after five seconds or more."""


class RunWatch:
    """Watches the runs on one worker.

    Args:
        worker: The worker.
        owner: The scheduler.
        orders: Orders to the worker.
        decisions: The decision log.
    """

    def __init__(
        self,
        worker: str,
        owner: Owner,
        orders: RunOrders,
        decisions: Decisions,
    ):
        self._worker = worker
        self._owner = owner
        self._orders = orders
        self._decisions = decisions
        self._progress = ProgressWatch()
        self._speed = SpeedWatch()
        self._stalled_s = float("-inf")

    @property
    def has_stalled(self) -> bool:
        """Whether a run stood still here a moment ago."""
        return time.monotonic() - self._stalled_s <= STALL_PAUSE_S

    @property
    def is_slow(self) -> bool:
        """Whether runs take much longer here than elsewhere."""
        return self._speed.is_slow

    def take(self, running: Mapping[str, RunningTask]) -> None:
        """Takes a look into account; stops runs worth a new start."""
        was_slow = self.is_slow
        speed = self._speed.observe(running.values(), self._get_run_s)
        if speed is not None and self.is_slow and not was_slow:
            self._decisions.emit(
                Event.WORKER_SLOW, worker=self._worker, speed=round(speed, 2)
            )
        tasks = self._owner.state.tasks
        for key, still_s in self._progress.find_stalled(running).items():
            task = tasks.get(key)
            if task is None or task.unit.spec.is_long_running:
                continue
            self._stalled_s = time.monotonic()
            if (
                still_s > PATIENCE_S
                or self._orders.get_lost_s(task) < PATIENCE_S
            ):
                self._owner.note_stall(self._worker, task)

    def _get_run_s(self, task_id: str) -> float | None:
        """Returns a task's usual run time, if it runs on this worker alone."""
        task = self._owner.state.tasks.get(task_id)
        if task is None or len(task.unit.tasks) > 1:
            return None
        return self._owner.get_usual_run_s(task)
