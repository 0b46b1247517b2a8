"""Wall, monotonic and hybrid logical clocks."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass


def read_boot_time_s() -> float:
    """Returns a monotonic time in seconds that includes time suspended.

    Ages computed with it are right after the machine was suspended, so a
    lease or an observation from before the suspension counts as old.
    """
    clock = getattr(time, "CLOCK_BOOTTIME", time.CLOCK_MONOTONIC)
    return time.clock_gettime(clock)


class Clock:
    """Reads the system clocks; benchmarks substitute a virtual clock."""

    def read_wall_s(self) -> float:
        """Returns the wall clock time, in Unix seconds."""
        return time.time()

    def read_monotonic_s(self) -> float:
        """Returns a monotonic time in seconds."""
        return time.monotonic()


@dataclass(frozen=True, order=True)
class HybridTimestamp:
    """A hybrid logical timestamp; orders events across processes.

    Attributes:
        wall_s: Largest wall clock time seen.
        counter: Orders timestamps with the same `wall_s`.
    """

    wall_s: float = 0.0
    counter: int = 0


class HybridClock:
    """Issues increasing timestamps, later than every observed one.

    Args:
        now: Source of wall clock time in seconds.
    """

    def __init__(self, read_wall_s: Callable[[], float] = time.time):
        self._now = read_wall_s
        self._last = HybridTimestamp()

    def tick(self) -> HybridTimestamp:
        """Returns a timestamp later than all issued or observed before."""
        now_s = self._now()
        if now_s > self._last.wall_s:
            self._last = HybridTimestamp(now_s, 0)
        else:
            self._last = HybridTimestamp(
                self._last.wall_s, self._last.counter + 1
            )
        return self._last

    def observe(self, stamp: HybridTimestamp) -> None:
        """Advances the clock past a timestamp of another process."""
        self._last = max(self._last, stamp)
