"""Leases on one worker: its steady clock, and when all surely have lapsed."""

from __future__ import annotations

import time
from dataclasses import dataclass

SLOWEST_CLOCK = 0.98
"""Rate of the slowest worker clock, as the platform states."""


@dataclass(frozen=True, slots=True)
class LeaseMark:
    """A lease at some time.

    Attributes:
        lapse_s: Own monotonic time by which all have surely lapsed.
        grants: Grants made until then.
    """

    lapse_s: float
    grants: int


class Lease:
    """Everything that runs on a worker holds this lease.

    Args:
        lease_s: Seconds of each grant.
        foreign_lapse_s: Own monotonic time by which leases of earlier
            schedulers have surely lapsed.
    """

    def __init__(self, lease_s: float, foreign_lapse_s: float):
        self._lease_s = lease_s
        self._lapse_s = foreign_lapse_s
        self._worker_ms = 0
        self._read_s = 0.0
        self._grants = 0
        self.has_clock = False

    @property
    def has_lapsed(self) -> bool:
        """Whether nothing can hold a lease any more."""
        return time.monotonic() > self._lapse_s

    def read_clock(self, worker_ms: int) -> None:
        """Notes what the worker's clock showed a moment ago.

        The first reading bounds what earlier schedulers can have granted,
        since the worker obeys none of them any more.
        """
        self._worker_ms = worker_ms
        self._read_s = time.monotonic()
        if not self.has_clock:
            self.has_clock = True
            self._lapse_s = self._passes_s(worker_ms + self._lease_s * 1000)

    def grant(self) -> int:
        """Returns the deadline of a new grant, on the worker's clock."""
        passed_ms = int((time.monotonic() - self._read_s) * 1000)
        deadline_ms = self._worker_ms + passed_ms + int(self._lease_s * 1000)
        self._lapse_s = max(self._lapse_s, self._passes_s(deadline_ms))
        self._grants += 1
        return deadline_ms

    def save(self) -> LeaseMark:
        """Returns what `restore` takes to undo later grants."""
        return LeaseMark(self._lapse_s, self._grants)

    def restore(self, mark: LeaseMark, *, own: int) -> None:
        """Undoes grants that were never sent.

        Grants that others made since are kept, and all with them.

        Args:
            mark: What `save` returned before.
            own: Grants since then that were never sent.
        """
        if self._grants == mark.grants + own:
            self._lapse_s = mark.lapse_s

    def _passes_s(self, worker_ms: float) -> float:
        """Own monotonic time by which the worker's clock shows a time."""
        left_s = (worker_ms - self._worker_ms) / 1000
        return self._read_s + max(0.0, left_s) / SLOWEST_CLOCK
