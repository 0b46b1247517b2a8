"""Tells slow workers from others by the progress of their runs."""

from __future__ import annotations

import statistics
import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonbeam.site.model import RunningTask

SAMPLE_S = 0.8
"""Shortest time over which progress is measured; it is told in percent."""
SLOW_RATIO = 0.27
"""Part of the usual speed below which a worker is slow. Sound workers with one
long task showed 0.28 to 0.39 on a calm day; slow ones take four to six times
as long."""
MEMORY_S = 4.0
"""Seconds for which a worker counts as slow after it was last seen so."""


@dataclass(frozen=True, slots=True)
class _Sample:
    """Progress of a run at a time.

    Attributes:
        percent: Its progress.
        at_s: When.
        is_warm: Whether it was measured before; a run that resumes from a
            checkpoint stands still at first.
    """

    percent: float
    at_s: float
    is_warm: bool


class SpeedWatch:
    """Follows the speed of one worker."""

    def __init__(self) -> None:
        self._samples: dict[tuple[str, int], _Sample] = {}
        self._slow_s = float("-inf")

    @property
    def is_slow(self) -> bool:
        """Whether the worker was slow a moment ago."""
        return time.monotonic() - self._slow_s < MEMORY_S

    def observe(
        self,
        running: Iterable[RunningTask],
        get_run_s: Callable[[str], float | None],
    ) -> float | None:
        """Takes a look at a worker into account.

        Args:
            running: What the worker lists now.
            get_run_s: Returns the usual run time of a task, or None if it
                says nothing of this worker.

        Returns:
            Its speed as a part of the usual one, if that can be told.
        """
        now_s = time.monotonic()
        known, self._samples = self._samples, {}
        ratios = []
        for run in running:
            key = (run.task_id, run.run)
            sample = known.get(key) or _Sample(run.percent, now_s, False)
            passed_s = now_s - sample.at_s
            if passed_s < SAMPLE_S:
                self._samples[key] = sample
                continue
            self._samples[key] = _Sample(run.percent, now_s, True)
            run_s = get_run_s(run.task_id)
            if run_s is not None and run.percent < 100 and sample.is_warm:
                share = (run.percent - sample.percent) / 100
                ratios.append(share / passed_s * run_s)
        if not ratios:
            return None
        speed = statistics.median(ratios)
        if speed < SLOW_RATIO:
            self._slow_s = now_s
        return speed
