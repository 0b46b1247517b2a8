"""Clocks: the time of day, a steady one, and a hybrid logical one."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass


def read_boot_time_s() -> float:
    """Returns a steady time in seconds that also counts suspended time.

    After a suspension, what was believed before it is seen to be old.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


class Clock:
    """Tells the time; benchmarks put virtual time in its place."""

    def read_wall_s(self) -> float:
        """Returns the time of day, in Unix seconds."""
        return time.time()

    def read_monotonic_s(self) -> float:
        """Returns a steady time in seconds."""
        return time.monotonic()


@dataclass(frozen=True, order=True)
class HybridTimestamp:
    """A point on the time line.

    Attributes:
        wall_s: Largest wall clock time seen.
        counter: Orders events of the same wall time.
    """

    wall_s: float = 0.0
    counter: int = 0


class HybridClock:
    """Issues stamps that grow and follow every stamp observed.

    Args:
        now: Source of wall clock time in seconds.
    """

    def __init__(self, read_wall_s: Callable[[], float] = time.time):
        self._now = read_wall_s
        self._last = HybridTimestamp()

    def tick(self) -> HybridTimestamp:
        """Returns a stamp later than all issued or observed before."""
        now_s = self._now()
        if now_s > self._last.wall_s:
            self._last = HybridTimestamp(now_s, 0)
        else:
            self._last = HybridTimestamp(
                self._last.wall_s, self._last.counter + 1
            )
        return self._last

    def observe(self, stamp: HybridTimestamp) -> None:
        """Moves the clock past a stamp of another process."""
        self._last = max(self._last, stamp)
