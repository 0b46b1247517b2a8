"""Calls to the schedulers, the instance's own first."""

from __future__ import annotations

import anyio
import anyio.abc

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.link import Caller
from lagoonbeam.core.messages import Message
from lagoonbeam.core.settings import Address
from lagoonbeam.errors import (
    DrainingError,
    LinkClosedError,
    LinkError,
    NotReadyError,
    UnavailableError,
)

FAILOVER_ERRORS = (LinkError, DrainingError, NotReadyError)
"""Failures after which another scheduler is asked."""


class SchedulerClient:
    """Asks the first scheduler that answers.

    Args:
        addresses: The schedulers, the instance's own first.
        clock: The process's clock.
    """

    def __init__(self, addresses: tuple[Address, ...], clock: HybridClock):
        self._addresses = addresses
        self._clock = clock
        self._callers: list[Caller] = []

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Prepares the links; they are dialled when needed."""
        self._callers = [
            Caller(address.host, address.port, clock=self._clock, tasks=tasks)
            for address in self._addresses
        ]

    async def close(self) -> None:
        """Ends all links."""
        for caller in self._callers:
            await caller.close()

    async def call(
        self, message: Message, *, timeout_s: float, max_schedulers: int = 0
    ) -> Message:
        """Calls the schedulers in turn until one answers.

        Only calls that may have their effect twice are made here: a job is
        known by its identifier, whichever scheduler is asked again.

        Args:
            message: The call.
            timeout_s: Deadline at each scheduler.
            max_schedulers: Most schedulers to ask; 0 for all.

        Raises:
            UnavailableError: The last failure, if none answered.
            LagoonbeamError: What a scheduler refused with.
        """
        last_error: UnavailableError = LinkClosedError(
            "no scheduler is configured"
        )
        for caller in self._callers[: max_schedulers or None]:
            try:
                return await caller.call(message, timeout_s=timeout_s)
            except FAILOVER_ERRORS as error:
                last_error = error
        raise last_error

    async def call_local(
        self, message: Message, *, timeout_s: float
    ) -> Message:
        """Calls the instance's own scheduler only."""
        return await self.call(message, timeout_s=timeout_s, max_schedulers=1)
