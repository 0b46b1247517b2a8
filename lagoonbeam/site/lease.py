"""The lease of one worker's runs, and when it has certainly expired.

Deadlines are sent on the worker's monotonic clock; expiry is tracked on this
process's own, with allowance for the worker's clock running slow.
"""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

MIN_WORKER_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock that the platform allows."""
CLOCK_RESOLUTION_MS = 2
"""Largest difference that rounding makes between two readings of a clock."""
SLOW_RENEWAL_S = 1.25
"""Time between two readings of a worker's clock, one for each renewal, above
which its leases are the longest."""
UNFENCED_READINGS = 2
"""Readings of the clock of a new life of a worker until it is certain to refuse
orders that were sent to an earlier one; the first gives it a higher token."""


@dataclass(slots=True)
class LeaseGrants:
    """The leases that all sessions of a term granted to one worker.

    An order of an earlier session may still be on its way.

    Attributes:
        expire_at_s: Local monotonic time by which all have expired.
        longest_expire_at_s: The same if another life of the worker received
            them, whose clock makes each the longest lease.
        count: Number of grants made so far.
    """

    expire_at_s: float = float("-inf")
    longest_expire_at_s: float = float("-inf")
    count: int = 0


@dataclass(frozen=True, slots=True)
class LeaseSavepoint:
    """State of a lease to which later unsent grants can be rolled back.

    Attributes:
        expires_at_s: Local monotonic time by which all grants have expired.
        longest_expires_at_s: The same at another life of the worker.
        grant_count: Number of grants made so far.
    """

    expires_at_s: float
    longest_expires_at_s: float
    grant_count: int


class Lease:
    """The lease shared by all runs on a worker, as one session grants it.

    Args:
        lease_s: Longest duration of a grant.
        earlier_leases_expire_at_s: Local monotonic time by which leases
            granted in earlier terms have expired.
        grants: Grants of all sessions of the term with the worker.
        stop_timeout_s: Longest time that the worker takes to stop the runs
            once the lease has expired.
        choose_lease_s: Returns the duration of a grant made now; the longest
            if None.
    """

    def __init__(
        self,
        lease_s: float,
        earlier_leases_expire_at_s: float,
        grants: LeaseGrants | None = None,
        *,
        stop_timeout_s: float = 0.0,
        choose_lease_s: Callable[[], float] | None = None,
    ):
        self._lease_s = lease_s
        self._choose_lease_s = choose_lease_s or (lambda: lease_s)
        self._stop_timeout_s = stop_timeout_s
        self._earlier_leases_expire_at_s = earlier_leases_expire_at_s
        self._grants = LeaseGrants() if grants is None else grants
        self._worker_clock_ms = 0
        self._clock_read_at_s = 0.0
        self._is_renewed_slowly = False
        self._unfenced_readings = UNFENCED_READINGS
        self.has_clock_reading = False

    @property
    def expires_at_s(self) -> float:
        """Local monotonic time by which all grants have expired."""
        return max(self._earlier_leases_expire_at_s, self._grants.expire_at_s)

    @property
    def has_expired(self) -> bool:
        """Whether all grants have certainly expired."""
        return time.monotonic() > self.expires_at_s

    @property
    def longest_expires_at_s(self) -> float:
        """The same if another life of the worker received the grants."""
        return max(
            self._earlier_leases_expire_at_s, self._grants.longest_expire_at_s
        )

    def record_clock(
        self, worker_clock_ms: int, sent_s: float | None = None
    ) -> None:
        """Records a reading of the worker's clock, taken just now.

        The first readings of a life also extend the bound of leases granted
        before: their last grants may have arrived just before. They do not
        shorten it, as a worker that restarts has seen no token.

        Args:
            worker_clock_ms: The reading.
            sent_s: Local monotonic time before which it was not taken; that
                of the previous reading if None.
        """
        if self.is_of_another_life(worker_clock_ms, sent_s):
            self._unfenced_readings = UNFENCED_READINGS
        now_s = time.monotonic()
        self._is_renewed_slowly = (
            self.has_clock_reading
            and now_s - self._clock_read_at_s > SLOW_RENEWAL_S
        )
        self._worker_clock_ms = worker_clock_ms
        self._clock_read_at_s = now_s
        self.has_clock_reading = True
        if self._unfenced_readings:
            self._unfenced_readings -= 1
            self._earlier_leases_expire_at_s = max(
                self._earlier_leases_expire_at_s,
                self._to_local_time_s(worker_clock_ms + self._lease_s * 1000),
            )

    def is_of_another_life(
        self, worker_clock_ms: int, sent_s: float | None = None
    ) -> bool:
        """Whether a clock reading is behind what this life's would show.

        Args:
            worker_clock_ms: The reading.
            sent_s: Local monotonic time before which it was not taken.
        """
        elapsed_s = max(0.0, (sent_s or 0.0) - self._clock_read_at_s)
        least_ms = self._worker_clock_ms + elapsed_s * 1000 * (
            MIN_WORKER_CLOCK_RATE
        )
        return (
            self.has_clock_reading
            and worker_clock_ms < least_ms - CLOCK_RESOLUTION_MS
        )

    def record_start_answer(self, worker_clock_ms: int, sent_s: float) -> None:
        """Records that a worker has started a run.

        A life whose clock has begun anew makes each grant the longest lease.

        Args:
            worker_clock_ms: Reading of the clock of the life that started it.
            sent_s: Local monotonic time at which the order was sent.
        """
        if self.is_of_another_life(worker_clock_ms, sent_s):
            self._unfenced_readings = UNFENCED_READINGS
            # The new clock counts from the arrival of the order.
            self._earlier_leases_expire_at_s = max(
                self.longest_expires_at_s,
                time.monotonic()
                + self._lease_s / MIN_WORKER_CLOCK_RATE
                + self._stop_timeout_s,
            )

    def grant(self) -> int:
        """Extends the lease; returns its deadline on the worker's clock."""
        lease_s = self._choose_lease_s()
        if self._is_renewed_slowly:
            lease_s = self._lease_s
        elapsed_ms = int((time.monotonic() - self._clock_read_at_s) * 1000)
        clock_ms = self._worker_clock_ms + elapsed_ms
        deadline_ms = clock_ms + int(lease_s * 1000)
        grants = self._grants
        grants.longest_expire_at_s = max(
            grants.longest_expire_at_s,
            self._to_local_time_s(clock_ms + int(self._lease_s * 1000)),
        )
        grants.expire_at_s = max(
            grants.expire_at_s,
            grants.longest_expire_at_s
            if self._unfenced_readings
            else self._to_local_time_s(deadline_ms),
        )
        grants.count += 1
        return deadline_ms

    def create_savepoint(self) -> LeaseSavepoint:
        """Returns a savepoint for `roll_back`."""
        return LeaseSavepoint(
            self._grants.expire_at_s,
            self._grants.longest_expire_at_s,
            self._grants.count,
        )

    def roll_back(
        self, savepoint: LeaseSavepoint, *, unsent_grants: int
    ) -> None:
        """Rolls back grants that were never sent.

        Does nothing if other grants were made since the savepoint: the
        worker may have received those.

        Args:
            savepoint: State before the unsent grants.
            unsent_grants: Number of grants since then that were never sent.
        """
        if self._grants.count == savepoint.grant_count + unsent_grants:
            self._grants.expire_at_s = savepoint.expires_at_s
            self._grants.longest_expire_at_s = savepoint.longest_expires_at_s

    def _to_local_time_s(self, worker_clock_ms: float) -> float:
        """Latest local time at which a lease with this deadline is over."""
        remaining_s = (worker_clock_ms - self._worker_clock_ms) / 1000
        return (
            self._clock_read_at_s
            + max(0.0, remaining_s) / MIN_WORKER_CLOCK_RATE
            + self._stop_timeout_s
        )
