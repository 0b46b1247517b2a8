"""Synchronises with one worker: renews leases and receives task reports."""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.records import Term
from lagoonbeam.endpoints.base import EndpointDriver, SyncReply, SyncRequest
from lagoonbeam.errors import StaleTermError, WorkerError
from lagoonbeam.instances.base import InstanceEntry
from lagoonbeam.types import TaskId, WorkerName

SYNC_RETRY_DELAY_S = 0.25
"""Delay after a failed synchronisation."""


class WorkerLink:
    """Synchronises with one worker in a loop.

    Args:
        entry: Entry of the worker in the instance list.
        driver: Sends commands to the worker.
        term: Term of this scheduler.
        list_renewable_attempts: Returns the attempts on a worker whose leases
            are to be renewed.
        on_sync_reply: Called with each reply and the incarnation of the worker
            before it.
        on_no_response: Called when a request was not answered.
        on_stale_term: Called when the worker has seen a newer term.

    Attributes:
        synced: Whether the worker has answered in this term.
        incarnation: Incarnation of the worker in its latest reply.
        last_answered_request_s: Monotonic time at which the latest answered
            request was sent.
        forgettable_tasks: Ended tasks that the worker may forget.
        forgotten_tasks: Ended tasks that it forgot with the latest reply.
        reachable: Whether the latest request was answered.
        leaving: Whether the worker reported that it accepts no new tasks.
    """

    def __init__(
        self,
        entry: InstanceEntry,
        driver: EndpointDriver,
        *,
        term: Term,
        list_renewable_attempts: Callable[[WorkerName], list[str]],
        on_sync_reply: Callable[[WorkerLink, SyncReply, str], None],
        on_no_response: Callable[[WorkerLink], None],
        on_stale_term: Callable[[StaleTermError], None],
    ):
        self.entry = entry
        self.driver = driver
        self.synced = False
        self.incarnation = ""
        self.last_answered_request_s = time.monotonic()
        self.forgettable_tasks: set[TaskId] = set()
        self.forgotten_tasks: list[TaskId] = []
        self.reachable = False
        self.leaving = False
        self._last_renewal_s = time.monotonic()
        self._earlier_url_leases_expire_at_s = float("-inf")
        self._term = term
        self._last_revision = -1
        self._list_renewable_attempts = list_renewable_attempts
        self._on_sync_reply = on_sync_reply
        self._on_no_response = on_no_response
        self._on_stale_term = on_stale_term

    @property
    def name(self) -> WorkerName:
        """The worker's name."""
        return self.entry.name

    @property
    def silence_s(self) -> float:
        """Time since the latest answered request was sent."""
        return time.monotonic() - self.last_answered_request_s

    @property
    def have_leases_expired(self) -> bool:
        """Whether every lease that the worker may hold has expired.

        A renewal that was not answered may still have reached the worker, up
        to the time-out of its request after it was sent.
        """
        since_renewal_s = time.monotonic() - self._last_renewal_s
        return since_renewal_s > self._longest_lease_s

    @property
    def have_leases_at_earlier_urls_expired(self) -> bool:
        """Whether every lease granted at earlier URLs of the worker expired.

        Until then, another incarnation at the present URL does not show that
        an earlier one has ended: the URL may be another worker's.
        """
        return time.monotonic() > self._earlier_url_leases_expire_at_s

    @property
    def _longest_lease_s(self) -> float:
        """Longest time from sending a command to the end of its lease."""
        settings = self.driver.settings
        in_flight_s = settings.sync_wait_s + settings.command_timeout_s
        return settings.lease_s + in_flight_s

    def record_url_change(self) -> None:
        """Records that commands were sent to another URL until now."""
        self._earlier_url_leases_expire_at_s = (
            time.monotonic() + self._longest_lease_s
        )

    async def run(self) -> None:
        """Synchronises until cancelled."""
        await self.driver.start()
        try:
            while True:
                try:
                    await self._sync()
                    continue
                except StaleTermError as error:
                    self._on_stale_term(error)
                except WorkerError:
                    self._on_no_response(self)
                await anyio.sleep(SYNC_RETRY_DELAY_S)
        finally:
            with anyio.CancelScope(shield=True):
                await self.driver.close()

    async def _sync(self) -> None:
        settings = self.driver.settings
        forgettable_tasks = list(self.forgettable_tasks)
        sent_s = time.monotonic()
        renew: list[str] = []
        if self.silence_s < settings.lease_s / 2:
            renew = self._list_renewable_attempts(self.name)
            self._last_renewal_s = sent_s
        reply = await self.driver.sync(
            SyncRequest(
                term=self._term,
                lease_s=settings.lease_s,
                renew=renew,
                forget=forgettable_tasks,
                seen=self._last_revision,
                wait_s=settings.sync_wait_s if self.synced else 0.0,
            )
        )
        self.last_answered_request_s = sent_s
        self.forgettable_tasks.difference_update(forgettable_tasks)
        self.forgotten_tasks = forgettable_tasks
        self._last_revision = reply.revision
        self.synced = True
        previous_incarnation, self.incarnation = (
            self.incarnation,
            reply.incarnation,
        )
        self._on_sync_reply(self, reply, previous_incarnation)
