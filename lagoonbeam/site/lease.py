"""Leases on one worker: its steady clock, and when all surely have lapsed."""

from __future__ import annotations

import time
from dataclasses import dataclass

MIN_WORKER_CLOCK_RATE = 0.98
"""Rate of the slowest worker clock, as the platform states."""


@dataclass(frozen=True, slots=True)
class LeaseSavepoint:
    """A lease at some time.

    Attributes:
        lapse_s: Own monotonic time by which all have surely lapsed.
        grants: Grants made until then.
    """

    expires_at_s: float
    grant_count: int


class Lease:
    """Everything that runs on a worker holds this lease.

    Args:
        lease_s: Seconds of each grant.
        prior_leases_expire_at_s: Own monotonic time by which leases of earlier
            schedulers have surely lapsed.
    """

    def __init__(self, lease_s: float, prior_leases_expire_at_s: float):
        self._lease_s = lease_s
        self._expires_at_s = prior_leases_expire_at_s
        self._worker_clock_ms = 0
        self._clock_read_at_s = 0.0
        self._grant_count = 0
        self.has_clock_reading = False

    @property
    def has_expired(self) -> bool:
        """Whether nothing can hold a lease any more."""
        return time.monotonic() > self._expires_at_s

    def record_clock(self, worker_clock_ms: int) -> None:
        """Notes what the worker's clock showed a moment ago.

        The first reading bounds what earlier schedulers can have granted,
        since the worker obeys none of them any more.
        """
        self._worker_clock_ms = worker_clock_ms
        self._clock_read_at_s = time.monotonic()
        if not self.has_clock_reading:
            self.has_clock_reading = True
            self._expires_at_s = self._to_local_time_s(
                worker_clock_ms + self._lease_s * 1000
            )

    def grant(self) -> int:
        """Returns the deadline of a new grant, on the worker's clock."""
        elapsed_ms = int((time.monotonic() - self._clock_read_at_s) * 1000)
        deadline_ms = (
            self._worker_clock_ms + elapsed_ms + int(self._lease_s * 1000)
        )
        self._expires_at_s = max(
            self._expires_at_s, self._to_local_time_s(deadline_ms)
        )
        self._grant_count += 1
        return deadline_ms

    def create_savepoint(self) -> LeaseSavepoint:
        """Returns what `roll_back` takes to undo later grants."""
        return LeaseSavepoint(self._expires_at_s, self._grant_count)

    def roll_back(
        self, savepoint: LeaseSavepoint, *, unsent_grants: int
    ) -> None:
        """Undoes grants that were never sent.

        Grants that others made since are kept, and all with them.

        Args:
            savepoint: What `create_savepoint` returned before.
            unsent_grants: Grants since then that were never sent.
        """
        if self._grant_count == savepoint.grant_count + unsent_grants:
            self._expires_at_s = savepoint.expires_at_s

    def _to_local_time_s(self, worker_clock_ms: float) -> float:
        """Own monotonic time by which the worker's clock shows a time."""
        remaining_s = (worker_clock_ms - self._worker_clock_ms) / 1000
        return (
            self._clock_read_at_s
            + max(0.0, remaining_s) / MIN_WORKER_CLOCK_RATE
        )
