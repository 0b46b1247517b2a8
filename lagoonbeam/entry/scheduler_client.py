"""Client of the schedulers that fails over from one to the next."""

from __future__ import annotations

from typing import Any

import anyio
import anyio.abc

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.link import LinkClient
from lagoonbeam.core.messages import Message, is_read_only
from lagoonbeam.core.settings import Address
from lagoonbeam.errors import (
    DrainingError,
    InvalidRequestError,
    LagoonbeamError,
    LinkClosedError,
    LinkError,
    LinkNotOpenedError,
    NotReadyError,
    UnavailableError,
)

ATTEMPTS_PER_SCHEDULER = 2
FAILOVER_ERRORS = (LinkError, DrainingError, NotReadyError)
"""Failures after which the next scheduler is called."""


class SchedulerClient:
    """Calls the schedulers in order until one replies.

    Args:
        addresses: Addresses of the schedulers, the instance's own first.
        clock: The process's clock.
    """

    def __init__(self, addresses: tuple[Address, ...], clock: HybridClock):
        self._addresses = addresses
        self._clock = clock
        self._link_clients: list[LinkClient] = []

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Creates a connection per scheduler, opened at its first call."""
        self._link_clients = [
            LinkClient(
                address.host, address.port, clock=self._clock, tasks=tasks
            )
            for address in self._addresses
        ]

    async def close(self) -> None:
        """Closes all connections."""
        for link_client in self._link_clients:
            await link_client.close()

    async def call(
        self, message: Message, *, timeout_s: float, max_schedulers: int = 0
    ) -> Message:
        """Calls the schedulers in order until one replies.

        A call that failed may have had its effect, so only idempotent calls
        are made here: a job keeps its identifier at every scheduler. A call
        whose link is closed is repeated once over a new link, as a scheduler
        closes the links that have been idle for longest if it lacks room.

        Args:
            message: Message to send.
            timeout_s: Time-out of the call to each scheduler.
            max_schedulers: Most schedulers to call; 0 for all.

        Returns:
            The reply.

        Raises:
            UnavailableError: The last failure, if no scheduler replied.
            LagoonbeamError: The error with which a scheduler refused, unless
                an earlier call may have had its effect.
        """
        last_error: UnavailableError = LinkClosedError(
            "no scheduler is configured"
        )
        lost_call: LinkError | None = None
        for link_client in self._link_clients[: max_schedulers or None]:
            for _ in range(ATTEMPTS_PER_SCHEDULER):
                try:
                    return await link_client.call(message, timeout_s=timeout_s)
                except LinkNotOpenedError as error:
                    last_error = error
                    break
                except LinkClosedError as error:
                    last_error = lost_call = error
                except FAILOVER_ERRORS as error:
                    last_error = error
                    if isinstance(error, LinkError):
                        lost_call = error
                    break
                except LagoonbeamError:
                    if lost_call is None or is_read_only(message):
                        raise
                    raise lost_call from None
        if lost_call is not None and not is_read_only(message):
            raise lost_call
        raise last_error

    async def call_local(
        self, message: Message, *, timeout_s: float
    ) -> Message:
        """Calls the instance's own scheduler only."""
        return await self.call(message, timeout_s=timeout_s, max_schedulers=1)


def expect_reply(reply: Message, reply_type: type[Any]) -> Any:
    """Returns a scheduler's reply if it has the expected type.

    Args:
        reply: The reply.
        reply_type: The expected type.

    Raises:
        InvalidRequestError: If the reply has another type.
    """
    if not isinstance(reply, reply_type):
        raise InvalidRequestError(
            f"got {type(reply).__name__}, expected {reply_type.__name__}"
        )
    return reply
