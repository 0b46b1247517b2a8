"""Detection of runs that make no progress."""

from __future__ import annotations

import time
from collections.abc import Mapping

from lagoonbeam.site.model import ActiveRun

STALL_THRESHOLD_S = 1.8
"""Seconds without progress after which a run counts as stalled; the shortest
tasks advance by one percent in 25 ms, the longest in 0.1 s."""


class StallDetector:
    """Detects stalled runs from the progress that one worker reports."""

    def __init__(self) -> None:
        self._last_advance: dict[str, tuple[float, float]] = {}

    def find_stalled(
        self, running: Mapping[str, ActiveRun]
    ) -> dict[str, float]:
        """Returns the seconds without progress of each stalled run, by task.

        Args:
            running: The runs in the worker's latest report, by task.
        """
        now_s = time.monotonic()
        previous = self._last_advance
        self._last_advance = {
            task_id: last
            if (last := previous.get(task_id)) is not None
            and last[0] == run.percent
            else (run.percent, now_s)
            for task_id, run in running.items()
        }
        return {
            task_id: now_s - since_s
            for task_id, (percent, since_s) in self._last_advance.items()
            if percent < 100 and now_s - since_s >= STALL_THRESHOLD_S
        }
