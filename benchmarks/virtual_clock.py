"""The clock of a simulation."""

from __future__ import annotations

from lagoonbeam.core.clock import Clock


class VirtualClock(Clock):
    """A clock that the simulation advances."""

    def __init__(self) -> None:
        self.now_s = 0.0

    def read_wall_s(self) -> float:
        """Returns the simulation's time."""
        return self.now_s

    def read_monotonic_s(self) -> float:
        """Returns the simulation's time."""
        return self.now_s
