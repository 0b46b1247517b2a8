"""Notices runs that stand still."""

from __future__ import annotations

import time
from collections.abc import Mapping

from lagoonbeam.site.model import ActiveRun

STALL_S = 1.8
"""Seconds without progress after which a run stands still; the shortest
tasks advance by a percent in 25 ms, the longest in a tenth of a second."""


class ProgressWatch:
    """Follows the progress of one worker's runs."""

    def __init__(self) -> None:
        self._since: dict[str, tuple[float, float]] = {}

    def find_stalled(
        self, running: Mapping[str, ActiveRun]
    ) -> dict[str, float]:
        """Returns how long runs have stood still, in seconds by task.

        Args:
            running: What the worker lists now, by task.
        """
        now_s = time.monotonic()
        known = self._since
        self._since = {
            key: old
            if (old := known.get(key)) is not None and old[0] == run.percent
            else (run.percent, now_s)
            for key, run in running.items()
        }
        return {
            key: now_s - since_s
            for key, (percent, since_s) in self._since.items()
            if percent < 100 and now_s - since_s >= STALL_S
        }
