"""Renews the leases of one worker while its session waits for the journal."""

from __future__ import annotations

import time
from collections.abc import Sequence

import anyio

from lagoonbeam.errors import FencedError, LagoonbeamError
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import EndEvidence
from lagoonbeam.site.platform_interface import WorkerClient
from lagoonbeam.site.records import RunEnd
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.unconfirmed_orders import WorkerFence

RENEWAL_INTERVAL_S = 1.0
"""Interval of the renewals while the journal does not answer."""
RENEWAL_RETRY_S = 0.2
"""Delay before the next call to a worker that did not answer."""


class LeaseRenewer:
    """Decides whether one worker's leases are renewed, and keeps them renewed.

    Args:
        worker: The worker's name.
        client: Sends the renewals.
        lease: The lease that covers all runs on the worker.
        fence: Holds the fencing token.
        scheduler: The active scheduler.
    """

    def __init__(
        self,
        worker: str,
        client: WorkerClient,
        lease: Lease,
        fence: WorkerFence,
        scheduler: SchedulerCallbacks,
    ):
        self._worker = worker
        self._client = client
        self._lease = lease
        self._fence = fence
        self._scheduler = scheduler

    @property
    def may_renew(self) -> bool:
        """Whether the leases of an answering worker may be renewed."""
        return (
            self._lease.has_clock_reading
            and self._scheduler.may_renew_leases
            and self.is_term_recorded
        )

    @property
    def is_term_recorded(self) -> bool:
        """Whether the journal shows that this term renews the leases."""
        return self._scheduler.lease_terms.is_recorded(self._worker)

    async def record_run_ends(
        self,
        ends: Sequence[RunEnd],
        evidence: EndEvidence | None = None,
        *,
        acked_sequence: int,
    ) -> bool:
        """Journals ends of runs; the other runs keep their leases meanwhile.

        Args:
            ends: The ends.
            evidence: See `SchedulerCallbacks.record_run_ends`.
            acked_sequence: Newest end that the worker may forget.

        Returns:
            Whether the ends are stored.
        """
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self._renew_until_cancelled, acked_sequence)
            is_stored = await self._scheduler.record_run_ends(ends, evidence)
            tasks.cancel_scope.cancel()
        return is_stored

    async def _renew_until_cancelled(self, acked_sequence: int) -> None:
        is_answering = True
        delay_s = RENEWAL_INTERVAL_S
        while True:
            await anyio.sleep(delay_s)
            delay_s = RENEWAL_INTERVAL_S
            if not self.may_renew:
                continue
            sent_s = time.monotonic()
            try:
                reply = await self._client.renew_leases(
                    token=self._fence.token,
                    # After a failed call, another incarnation may answer.
                    acked_sequence=acked_sequence if is_answering else 0,
                    # A silent worker's leases must expire.
                    lease_deadline_ms=(
                        self._lease.grant() if is_answering else None
                    ),
                    wait_s=0.0,
                )
            except FencedError:
                self._scheduler.lose_term(
                    f"worker {self._worker} has a newer token"
                )
                return
            except LagoonbeamError:
                is_answering = False
                delay_s = RENEWAL_RETRY_S
                continue
            if reply.incarnation not in (0, self._fence.incarnation):
                # Its orders need a new token, which the next poll gives it.
                return
            self._lease.record_clock(reply.clock_ms, sent_s)
            if not is_answering:
                is_answering = True
                delay_s = 0.0
