"""Paces tasks that fill a worker, so that those beside them serve in time."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable

from lagoonbeam.site.model import ActiveRun, Step

HIGH_SHARE = 0.85
"""Part of its target latency at which a serving task needs relief."""
LOW_SHARE = 0.65
"""Part of its target latency below which fillers may work more."""
LEAST_PERCENT = 15
"""Share below which a filler is paced to a standstill."""
STEP_PERCENT = 10
"""Percent that a filler gets back at a time."""
CHANGE_S = 0.4
"""Shortest time between two changes; the tail is that of half a second."""

GetStep = Callable[[str], Step | None]


class Pacer:
    """Decides the shares of one worker's filling tasks."""

    def __init__(self) -> None:
        self._percent: dict[tuple[str, int], int] = {}
        self._changed_s = float("-inf")

    def is_needed(self, running: Iterable[ActiveRun], get: GetStep) -> bool:
        """Whether fillers run beside serving tasks."""
        steps = [step for run in running if (step := get(run.task_id))]
        return any(step.is_filling for step in steps) and any(
            step.target_latency_ms for step in steps
        )

    def decide(
        self, running: Iterable[ActiveRun], get: GetStep
    ) -> list[tuple[ActiveRun, int]]:
        """Returns the fillers whose share changes, and their new shares.

        Args:
            running: What the worker lists.
            get: Returns a task's step, if it is known.
        """
        running = list(running)
        if not self.is_needed(running, get):
            self._percent.clear()
            return []
        now_s = time.monotonic()
        if now_s - self._changed_s < CHANGE_S:
            return []
        shares = [
            run.load / step.target_latency_ms
            for run in running
            if (step := get(run.task_id)) and step.target_latency_ms
        ]
        worst = max(shares)
        changes = []
        for run in running:
            step = get(run.task_id)
            if step is None or not step.is_filling:
                continue
            key = (run.task_id, run.run)
            percent = self._percent.get(key, 100)
            wanted = _next_percent(percent, worst)
            if wanted != percent:
                self._percent[key] = wanted
                changes.append((run, wanted))
        if changes:
            self._changed_s = now_s
        return changes


def _next_percent(percent: int, worst: float) -> int:
    if worst > HIGH_SHARE:
        halved = percent // 2
        return halved if halved >= LEAST_PERCENT else 0
    if worst < LOW_SHARE:
        return min(100, percent + STEP_PERCENT)
    return percent
