"""One task for each worker: leases out, reports in."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.records import Term
from lagoonbeam.endpoints.base import EndpointDriver, SyncReply, SyncRequest
from lagoonbeam.errors import StaleTermError, WorkerError
from lagoonbeam.instances.base import InstanceEntry
from lagoonbeam.types import TaskId, WorkerName

RETRY_S = 0.25
"""Pause after a failed exchange."""


class WorkerLink:
    """Exchanges leases and reports with one worker.

    Args:
        entry: The worker, as the instance list has it.
        driver: Adapter for its wire form.
        term: Term of this scheduler.
        list_renewals: Returns the attempts on a worker to renew.
        on_sync: Takes each reply, with the incarnation known before.
        on_silence: Called when there was no answer.
        on_stale: Called when the worker obeys a newer term.

    Attributes:
        synced: Whether the worker has answered in this term.
        incarnation: The worker process that answered last.
        answered_s: Monotonic time of the last request that was answered.
        forget: Ended tasks that the worker may forget.
        forgotten: Those it forgot with the last exchange.
        reachable: Whether the last exchange was answered.
        leaving: Whether the worker said that it takes no new tasks.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        driver: EndpointDriver,
        *,
        term: Term,
        list_renewals: Callable[[WorkerName], list[str]],
        on_sync: Callable[[WorkerLink, SyncReply, str], None],
        on_silence: Callable[[WorkerLink], None],
        on_stale: Callable[[StaleTermError], None],
    ):
        self.entry = entry
        self.driver = driver
        self.synced = False
        self.incarnation = ""
        self.answered_s = time.monotonic()
        self.forget: set[TaskId] = set()
        self.forgotten: list[TaskId] = []
        self.reachable = False
        self.leaving = False
        self._renewed_s = time.monotonic()
        self._term = term
        self._revision = -1
        self._list_renewals = list_renewals
        self._on_sync = on_sync
        self._on_silence = on_silence
        self._on_stale = on_stale

    @property
    def name(self) -> WorkerName:
        """The worker's name."""
        return self.entry.name

    @property
    def silent_s(self) -> float:
        """Time since the last request that was answered was sent."""
        return time.monotonic() - self.answered_s

    @property
    def has_lapsed(self) -> bool:
        """Whether every lease that the worker may have been given is over."""
        settings = self.driver.settings
        in_flight_s = settings.sync_wait_s + settings.command_timeout_s
        passed_s = time.monotonic() - self._renewed_s
        return passed_s > settings.lease_s + in_flight_s

    async def run(self) -> None:
        """Exchanges until cancelled."""
        await self.driver.start()
        try:
            while True:
                try:
                    await self._exchange()
                    continue
                except StaleTermError as error:
                    self._on_stale(error)
                except WorkerError:
                    self._on_silence(self)
                await anyio.sleep(RETRY_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self.driver.close()

    async def _exchange(self) -> None:
        settings = self.driver.settings
        forget = list(self.forget)
        sent_s = time.monotonic()
        renew: list[str] = []
        if self.silent_s < settings.lease_s / 2:
            renew = self._list_renewals(self.name)
            self._renewed_s = sent_s
        reply = await self.driver.sync(
            SyncRequest(
                term=self._term,
                lease_s=settings.lease_s,
                renew=renew,
                forget=forget,
                seen=self._revision,
                wait_s=settings.sync_wait_s if self.synced else 0.0,
            )
        )
        self.answered_s = sent_s
        self.forget.difference_update(forget)
        self.forgotten = forget
        self._revision = reply.revision
        self.synced = True
        before, self.incarnation = self.incarnation, reply.incarnation
        self._on_sync(self, reply, before)
