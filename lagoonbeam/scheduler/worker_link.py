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

SYNC_RETRY_DELAY_S = 0.25
"""Pause after a failed exchange."""


class WorkerLink:
    """Exchanges leases and reports with one worker.

    Args:
        entry: The worker, as the instance list has it.
        driver: Adapter for its wire form.
        term: Term of this scheduler.
        list_renewable_attempts: Returns the attempts on a worker to renew.
        on_sync_reply: Takes each reply, with the incarnation known before.
        on_no_response: Called when there was no answer.
        on_stale_term: Called when the worker obeys a newer term.

    Attributes:
        synced: Whether the worker has answered in this term.
        incarnation: The worker process that answered last.
        last_answered_request_s: Monotonic time of the last request that was
            answered.
        forgettable_tasks: Ended tasks that the worker may forget.
        forgotten_tasks: Those it forgot with the last exchange.
        reachable: Whether the last exchange was answered.
        leaving: Whether the worker said that it takes no new tasks.
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
        """Time since the last request that was answered was sent."""
        return time.monotonic() - self.last_answered_request_s

    @property
    def have_leases_expired(self) -> bool:
        """Whether every lease that the worker may have been given is over."""
        settings = self.driver.settings
        in_flight_s = settings.sync_wait_s + settings.command_timeout_s
        since_renewal_s = time.monotonic() - self._last_renewal_s
        return since_renewal_s > settings.lease_s + in_flight_s

    async def run(self) -> None:
        """Exchanges until cancelled."""
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
