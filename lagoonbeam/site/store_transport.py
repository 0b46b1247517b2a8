"""Transport to the store: direct, or through a peer as the fallback."""

from __future__ import annotations

import time

import anyio

from lagoonbeam.core.http_client import HttpClient, Response
from lagoonbeam.errors import (
    LagoonbeamError,
    ResponseLostError,
    ServerUnreachableError,
    StoreBusyError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.relay import REFUSAL_STATUSES, PeerRelays, RelayedCall

CALL_TIMEOUT_S = 1.2
"""Default timeout of a call; a store slowed down a hundredfold answers in
0.4 s."""
PROBE_INTERVAL_S = 0.5
"""Seconds between probes of the direct route while calls go through peers."""
PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe; a store slowed down a hundredfold answers in 0.5 s."""


class StoreTransport:
    """Calls the store directly, or through a peer while that fails.

    Args:
        host: IP address of the store.
        port: TCP port of the store.
        relays: Calls the store through peers.
        probe_target: Path and query string of a cheap read request, used to
            probe the direct route.
        decisions: The decision log; records each change of the route.
    """

    def __init__(
        self,
        host: str,
        port: int,
        relays: PeerRelays,
        *,
        probe_target: str,
        decisions: DecisionLog,
    ):
        self._client = HttpClient(host, port)
        self._relays = relays
        relays.on_failure = self._log_failed_attempt
        self._probe_call = RelayedCall(
            "GET", probe_target, b"", PROBE_TIMEOUT_S
        )
        self._decisions = decisions
        self._is_direct = True

    async def call_direct(self, call: RelayedCall) -> Response:
        """Calls the store directly."""
        return await self._client.call(
            call.method,
            call.target,
            body=call.body,
            timeout_s=call.timeout_s,
        )

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        timeout_s: float = CALL_TIMEOUT_S,
    ) -> Response:
        """Makes an idempotent call, on both routes if the first one fails.

        Raises:
            StoreBusyError: If the store rejected the call without effect.
            ServerUnreachableError: If the call was not sent.
            ResponseLostError: If the call may have been executed.
        """
        call = RelayedCall(method, target, body, timeout_s)
        if not self._is_direct:
            try:
                return self._raise_if_refused(
                    await self._call_through_peer(call), target
                )
            except ServerUnreachableError:
                return self._raise_if_refused(
                    await self._call_direct_counted(call), target
                )
        direct_error: LagoonbeamError
        try:
            return self._raise_if_refused(
                await self._call_direct_counted(call), target
            )
        except (
            ServerUnreachableError,
            ResponseLostError,
            StoreBusyError,
        ) as error:
            direct_error = error
        self._set_direct(False, str(direct_error))
        try:
            response = await self._call_through_peer(call)
        except ServerUnreachableError as error:
            raise direct_error from error
        if response.status in REFUSAL_STATUSES and isinstance(
            direct_error, ResponseLostError
        ):
            raise direct_error
        return self._raise_if_refused(response, target)

    async def probe_direct_route(self) -> None:
        """Probes the direct route and returns to it once it works.

        Runs until cancelled.
        """
        while True:
            await anyio.sleep(PROBE_INTERVAL_S)
            if self._is_direct:
                continue
            try:
                response = await self._call_direct_counted(self._probe_call)
            except LagoonbeamError:
                continue
            if response.status not in REFUSAL_STATUSES:
                self._set_direct(True, "")

    async def _call_direct_counted(self, call: RelayedCall) -> Response:
        started_s = time.monotonic()
        try:
            response = await self.call_direct(call)
        except LagoonbeamError as error:
            self._count_call("direct", error.code)
            self._log_failed_attempt(
                "store", time.monotonic() - started_s, str(error)
            )
            raise
        self._count_call("direct", str(response.status))
        return response

    async def _call_through_peer(self, call: RelayedCall) -> Response:
        try:
            response = await self._relays.call(call)
        except LagoonbeamError as error:
            self._count_call("peer", error.code)
            raise
        self._count_call("peer", str(response.status))
        return response

    def _raise_if_refused(self, response: Response, target: str) -> Response:
        if response.status in REFUSAL_STATUSES:
            raise StoreBusyError(f"{target}: store answered {response.status}")
        return response

    def _count_call(self, route: str, result: str) -> None:
        self._decisions.metrics.store_calls.labels(route, result).inc()

    def _log_failed_attempt(
        self, host: str, taken_s: float, cause: str
    ) -> None:
        self._decisions.emit(
            Event.STORE_ATTEMPT_FAILED,
            host=host,
            taken_s=round(taken_s, 3),
            cause=cause,
        )

    def _set_direct(self, is_direct: bool, cause: str) -> None:
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            self._decisions.emit(
                Event.STORE_ROUTE, direct=is_direct, cause=cause
            )
