"""The lease of one worker's runs, and when it has certainly expired.

Deadlines are sent on the worker's monotonic clock; expiry is tracked on this
process's own, with allowance for the worker's clock running slow.
"""

from __future__ import annotations

import time
from dataclasses import dataclass

MIN_WORKER_CLOCK_RATE = 0.98
"""Lowest rate of a worker's clock that the platform allows."""


@dataclass(slots=True)
class LeaseGrants:
    """The leases that all sessions of a term granted to one worker.

    An order of an earlier session may still be on its way.

    Attributes:
        expire_at_s: Local monotonic time by which all have expired.
        count: Number of grants made so far.
    """

    expire_at_s: float = float("-inf")
    count: int = 0


@dataclass(frozen=True, slots=True)
class LeaseSavepoint:
    """State of a lease to which later unsent grants can be rolled back.

    Attributes:
        expires_at_s: Local monotonic time by which all grants have expired.
        grant_count: Number of grants made so far.
    """

    expires_at_s: float
    grant_count: int


class Lease:
    """The lease shared by all runs on a worker, as one session grants it.

    Args:
        lease_s: Duration of each grant.
        earlier_leases_expire_at_s: Local monotonic time by which leases
            granted in earlier terms have expired.
        grants: Grants of all sessions of the term with the worker.
        stop_timeout_s: Longest time that the worker takes to stop the runs
            once the lease has expired.
    """

    def __init__(
        self,
        lease_s: float,
        earlier_leases_expire_at_s: float,
        grants: LeaseGrants | None = None,
        *,
        stop_timeout_s: float = 0.0,
    ):
        self._lease_s = lease_s
        self._stop_timeout_s = stop_timeout_s
        self._earlier_leases_expire_at_s = earlier_leases_expire_at_s
        self._grants = LeaseGrants() if grants is None else grants
        self._worker_clock_ms = 0
        self._clock_read_at_s = 0.0
        self.has_clock_reading = False

    @property
    def expires_at_s(self) -> float:
        """Local monotonic time by which all grants have expired."""
        return max(self._earlier_leases_expire_at_s, self._grants.expire_at_s)

    @property
    def has_expired(self) -> bool:
        """Whether all grants have certainly expired."""
        return time.monotonic() > self.expires_at_s

    def record_clock(self, worker_clock_ms: int) -> None:
        """Records a reading of the worker's clock, taken just now.

        The first reading also extends the bound of leases granted in earlier
        terms: their last grants may have arrived just before. It does not
        shorten it, as a worker that restarts has seen no token.
        """
        self._worker_clock_ms = worker_clock_ms
        self._clock_read_at_s = time.monotonic()
        if not self.has_clock_reading:
            self.has_clock_reading = True
            self._earlier_leases_expire_at_s = max(
                self._earlier_leases_expire_at_s,
                self._to_local_time_s(worker_clock_ms + self._lease_s * 1000),
            )

    def grant(self) -> int:
        """Extends the lease; returns its deadline on the worker's clock."""
        elapsed_ms = int((time.monotonic() - self._clock_read_at_s) * 1000)
        deadline_ms = (
            self._worker_clock_ms + elapsed_ms + int(self._lease_s * 1000)
        )
        self._grants.expire_at_s = max(
            self._grants.expire_at_s, self._to_local_time_s(deadline_ms)
        )
        self._grants.count += 1
        return deadline_ms

    def create_savepoint(self) -> LeaseSavepoint:
        """Returns a savepoint for `roll_back`."""
        return LeaseSavepoint(self._grants.expire_at_s, self._grants.count)

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

    def _to_local_time_s(self, worker_clock_ms: float) -> float:
        """Latest local time at which a lease with this deadline is over."""
        remaining_s = (worker_clock_ms - self._worker_clock_ms) / 1000
        return (
            self._clock_read_at_s
            + max(0.0, remaining_s) / MIN_WORKER_CLOCK_RATE
            + self._stop_timeout_s
        )
