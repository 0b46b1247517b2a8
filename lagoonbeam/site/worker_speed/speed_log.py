"""Log lines and metrics about the speeds of workers."""

from __future__ import annotations

import itertools
from collections.abc import Mapping

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.types import WorkerName

MAX_SPEEDS_PER_LINE = 40
"""Workers whose new speed one line gives."""
MAX_FAULTY_WORKERS = 1_000
"""Workers with a logged fault that are kept; then all are logged again."""


class SpeedLog:
    """Writes changes of speeds and faulty progress to the decision log.

    Args:
        decisions: The decision log.
    """

    def __init__(self, decisions: DecisionLog):
        self._decisions = decisions
        self._faulty_workers: set[WorkerName] = set()

    def report_change(
        self,
        speeds: Mapping[WorkerName, float],
        counts: Mapping[float, int],
    ) -> None:
        """Logs the new speeds of workers.

        Args:
            speeds: New speed of each worker for which it has changed.
            counts: Number of known workers by speed.
        """
        gauge = self._decisions.metrics.workers_by_speed
        gauge.clear()
        for speed, count in counts.items():
            gauge.labels(f"{speed:.2f}").set(count)
        self._decisions.emit(
            Event.WORKER_SPEED_CHANGED,
            workers=len(speeds),
            speeds={
                worker: round(speed, 2)
                for worker, speed in itertools.islice(
                    speeds.items(), MAX_SPEEDS_PER_LINE
                )
            },
        )

    def report_invalid(
        self, worker: WorkerName, task_id: str, cause: str
    ) -> None:
        """Logs progress that is ignored, once for each worker."""
        if worker in self._faulty_workers:
            return
        if len(self._faulty_workers) >= MAX_FAULTY_WORKERS:
            self._faulty_workers.clear()
        self._faulty_workers.add(worker)
        self._decisions.emit(
            Event.PROGRESS_IGNORED, worker=worker, task=task_id, cause=cause
        )
