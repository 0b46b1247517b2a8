"""When the leases that earlier terms granted have certainly expired.

A term records each worker in the journal before it renews a lease there that
an earlier term granted. So each instance knows the last term that can have
granted a lease to a worker, and the wait for it goes on across later terms, on
the instance's own clock and, for one that has restarted, by the renewals of
terms in the journal.
"""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from itertools import chain

import anyio

from lagoonbeam.site.records import LeasesRenewed, Record
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.state_changes import MAX_KNOWN_CLAIMS
from lagoonbeam.site.state_model import TERM_RENEWAL_INTERVAL_S
from lagoonbeam.site.time_limits import PlatformTimeLimits

MAX_UNCONFIRMED_RENEWAL_S = 8.0
"""Time after the last confirmed append for which worker leases are renewed.
Later terms rely on earlier ones no longer renewing after this time."""
PRIOR_LEASE_FACTOR = 1.03
"""Longest duration of an earlier term's lease as a multiple of its nominal
duration; worker clocks may run 2 % slow."""
RECORD_RETRY_S = 0.2
"""Delay before records that were not stored are appended again."""


class TermClaimTimes:
    """When this instance read the claim of each term."""

    def __init__(self) -> None:
        self._read_at_s: dict[int, float] = {}

    def record_claim(self, term: int) -> None:
        """Records that the claim of a term was read just now."""
        self._read_at_s.setdefault(term, time.monotonic())
        if len(self._read_at_s) > MAX_KNOWN_CLAIMS:
            del self._read_at_s[next(iter(self._read_at_s))]

    def find_lease_expiry_s(
        self, state: SiteState, last_term: int, lease_s: float
    ) -> float:
        """Returns when all leases granted up to a term have expired.

        A term renews no leases once a later one was claimed, but for the time
        without a confirmed append. A claim is stored before it is read here,
        and each renewal of a term but the first follows an interval.

        Args:
            state: Replica of the state.
            last_term: The last term that can have granted one.
            lease_s: Nominal duration of a lease, in seconds.

        Returns:
            Local monotonic time; infinity if no later claim was read.
        """
        now_s = time.monotonic()
        read_at_s = (
            at_s for term, at_s in self._read_at_s.items() if term > last_term
        )
        renewed_at_s = (
            now_s
            - (state.renewal_count - count_at_claim) * TERM_RENEWAL_INTERVAL_S
            for term, count_at_claim in state.renewals_at_claim.items()
            if term > last_term
        )
        return (
            min(chain(read_at_s, renewed_at_s), default=float("inf"))
            + MAX_UNCONFIRMED_RENEWAL_S
            + lease_s * PRIOR_LEASE_FACTOR
        )


class PriorLeases:
    """Knows when the leases of earlier terms on each worker have expired.

    Args:
        get_state: Returns the replica of the state.
        term_claims: When the claims of terms were read.
        term: The present term.
        time_limits: Time limits set by the platform.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        term_claims: TermClaimTimes,
        term: int,
        time_limits: PlatformTimeLimits,
    ):
        self._get_state = get_state
        self._term_claims = term_claims
        self._earlier_term = term - 1
        self._time_limits = time_limits

    def find_expiry_s(self, worker: str) -> float:
        """Returns when they have expired on a worker, in monotonic time."""
        state = self._get_state()
        if not state.tasks_by_worker.get(worker):
            return float("-inf")
        last_term = state.lease_terms.get(worker, self._earlier_term)
        expires_at_s = self._term_claims.find_lease_expiry_s(
            state,
            min(last_term, self._earlier_term),
            self._time_limits.lease_s,
        )
        return expires_at_s + self._time_limits.stop_timeout_s


class LeaseTermRecorder:
    """Journals which workers' leases a term renews, before it does.

    Args:
        get_state: Returns the replica of the state.
        append_to_journal: Appends records; returns whether they are stored.
        term: The term.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        append_to_journal: Callable[[Sequence[Record]], Awaitable[bool]],
        term: int,
    ):
        self._get_state = get_state
        self._append_to_journal = append_to_journal
        self._term = term
        self._requested_workers: set[str] = set()
        self._requested = anyio.Event()

    def is_recorded(self, worker: str) -> bool:
        """Whether the term may renew the leases of a worker's runs."""
        return self._get_state().lease_terms.get(worker) == self._term

    def request(self, worker: str) -> None:
        """Requests a record for a worker."""
        self._requested_workers.add(worker)
        self._requested.set()

    async def run(self) -> None:
        """Journals the requested workers until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            workers = frozenset(self._requested_workers)
            record = LeasesRenewed(self._term, tuple(sorted(workers)))
            if await self._append_to_journal([record]):
                self._requested_workers -= workers
            else:
                await anyio.sleep(RECORD_RETRY_S)
                self._requested.set()
