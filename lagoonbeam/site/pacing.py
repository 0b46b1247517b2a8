"""Paces tasks that fill a worker, so that those beside them serve in time."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from lagoonbeam.site.model import RunningTask, Step

HIGH_LATENCY_FRACTION = 0.85
"""Part of its target latency at which a serving task needs relief."""
LOW_LATENCY_FRACTION = 0.65
"""Part of its target latency below which fillers may work more."""
MIN_FILLER_PERCENT = 15
"""Share below which a filler is paced to a standstill."""
INCREASE_PERCENT = 10
"""Percent that a filler gets back at a time."""
MIN_CHANGE_INTERVAL_S = 0.4
"""Shortest time between two changes; the tail is that of half a second."""

StepLookup = Callable[[str], Step | None]


class FillerPacer:
    """Decides the shares of one worker's filling tasks."""

    def __init__(self) -> None:
        self._percent_by_run: dict[tuple[str, int], int] = {}
        self._last_change_s = float("-inf")

    def is_pacing_needed(
        self, running: Iterable[RunningTask], get: StepLookup
    ) -> bool:
        """Whether fillers run beside serving tasks."""
        steps = [step for run in running if (step := get(run.task_id))]
        return any(step.is_filling for step in steps) and any(
            step.target_latency_ms for step in steps
        )

    def compute_changes(
        self, running: Iterable[RunningTask], get: StepLookup
    ) -> list[tuple[RunningTask, int]]:
        """Returns the fillers whose share changes, and their new shares.

        Args:
            running: What the worker lists.
            get: Returns a task's step, if it is known.
        """
        running = list(running)
        if not self.is_pacing_needed(running, get):
            self._percent_by_run.clear()
            return []
        now_s = time.monotonic()
        if now_s - self._last_change_s < MIN_CHANGE_INTERVAL_S:
            return []
        latency_fractions = [
            run.load / step.target_latency_ms
            for run in running
            if (step := get(run.task_id)) and step.target_latency_ms
        ]
        worst_fraction = max(latency_fractions)
        changes = []
        for run in running:
            step = get(run.task_id)
            if step is None or not step.is_filling:
                continue
            run_key = (run.task_id, run.run)
            percent = self._percent_by_run.get(run_key, 100)
            new_percent = _next_percent(percent, worst_fraction)
            if new_percent != percent:
                self._percent_by_run[run_key] = new_percent
                changes.append((run, new_percent))
        if changes:
            self._last_change_s = now_s
        return changes


def _next_percent(percent: int, worst_fraction: float) -> int:
    if worst_fraction > HIGH_LATENCY_FRACTION:
        halved = percent // 2
        return halved if halved >= MIN_FILLER_PERCENT else 0
    if worst_fraction < LOW_LATENCY_FRACTION:
        return min(100, percent + INCREASE_PERCENT)
    return percent
