"""Throttling of filler tasks that share a worker with latency-bound services.

A filler task uses the capacity that serving tasks on its worker leave idle. If
the latency of a serving task comes close to its target, the fillers beside it
are slowed down.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from lagoonbeam.site.model import ActiveRun, Step

HIGH_LATENCY_FRACTION = 0.85
"""Fraction of a serving task's target latency above which fillers are slowed
down."""
LOW_LATENCY_FRACTION = 0.65
"""Fraction of the target latency below which fillers are sped up again."""
MIN_FILLER_PERCENT = 15
"""Smallest rate of a filler that still works; below it the rate is 0."""
INCREASE_PERCENT = 10
"""Percentage points by which a filler's rate is raised at a time."""
MIN_CHANGE_INTERVAL_S = 0.4
"""Seconds between two changes on one worker; the reported tail latency covers
half a second."""

REPEAT_INTERVAL_S = 1.0
"""Seconds after which a rate of 0 is ordered again while the latency stays
high: an earlier order that got no answer may have been carried out since."""

StepLookup = Callable[[str], Step | None]


class FillerPacer:
    """Computes the work rates of one worker's filler tasks.

    Rates are in percent of full speed and start at 100. They are halved while
    the serving latency is high and raised in fixed steps while it is low.
    """

    def __init__(self) -> None:
        self._percent_by_run: dict[tuple[str, int], int] = {}
        self._last_change_s = float("-inf")
        self._ordered_at_s: dict[tuple[str, int], float] = {}

    def is_pacing_needed(
        self, running: Iterable[ActiveRun], get: StepLookup
    ) -> bool:
        """Whether filler tasks and serving tasks run on the worker together."""
        steps = [step for run in running if (step := get(run.task_id))]
        return any(step.is_filling for step in steps) and any(
            step.target_latency_ms for step in steps
        )

    def compute_changes(
        self, running: Iterable[ActiveRun], get: StepLookup
    ) -> list[tuple[ActiveRun, int]]:
        """Returns the filler runs whose rate changes, with the new percentage.

        Args:
            running: The runs in the worker's latest report.
            get: Returns the step of a task, or None for an unknown task.
        """
        running = list(running)
        if not self.is_pacing_needed(running, get):
            self._percent_by_run.clear()
            self._ordered_at_s.clear()
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
            is_unheeded = (
                new_percent == 0
                and worst_fraction > HIGH_LATENCY_FRACTION
                and now_s - self._ordered_at_s.get(run_key, now_s)
                > REPEAT_INTERVAL_S
            )
            if new_percent != percent or is_unheeded:
                self._percent_by_run[run_key] = new_percent
                self._ordered_at_s[run_key] = now_s
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
