"""Transport to the store: direct, or through a peer as the fallback."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Iterator
from dataclasses import dataclass
from itertools import takewhile

import anyio

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.core.http_client import HttpClient, Response, ResponseProgress
from lagoonbeam.errors import (
    LagoonbeamError,
    ResponseLostError,
    ServerUnreachableError,
    StoreBusyError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.relay import REFUSAL_STATUSES, PeerRelays, RelayedCall
from lagoonbeam.site.staggered_attempts import Attempt, run_staggered

CALL_TIMEOUT_S = 1.2
"""Default timeout of a call; a store slowed down a hundredfold answers in
0.4 s."""
LATE_READ_S = 0.5
"""Seconds without the beginning of a response after which a read is made on
the next route as well; a store slowed down a hundredfold answers in 0.4 s."""
DIRECT_READ_LEAD_S = 0.1
"""Seconds by which a late read is repeated directly, over a new connection,
before it is made through a peer."""
MAX_LATE_S = 3.0
"""Seconds for which a late read is made on further routes; then it fails."""
PROBE_INTERVAL_S = 0.5
"""Seconds between probes of the direct route while calls go through peers."""
PROBE_TIMEOUT_S = 0.6
"""Timeout of a probe; a store slowed down a hundredfold answers in 0.5 s."""


@dataclass(frozen=True, slots=True)
class StoreRead:
    """A read that the store may answer only once there is something to read.

    Attributes:
        target: Path and query string of the read that waits.
        immediate_target: Those of the same read without a wait, which is made
            once the waiting one is late.
        wait_s: Longest time that the store waits.
    """

    target: str
    immediate_target: str
    wait_s: float = 0.0


@dataclass(frozen=True, slots=True)
class StoreReadResult:
    """The response to a read, and the attempt that led to it.

    Attributes:
        response: The response.
        sent_s: Time on the boot clock at which the attempt was made.
        wait_s: How long the store was asked to wait.
    """

    response: Response
    sent_s: float
    wait_s: float


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

    async def call_for_peer(self, call: RelayedCall) -> Response:
        """Calls the store directly on behalf of a peer.

        The peer is told at once if this instance needs relays itself, so that
        it can try the next one.

        Raises:
            ServerUnreachableError: If there is no direct route to the store.
            ResponseLostError: If the call may have been executed.
        """
        if not self._is_direct:
            raise ServerUnreachableError("no direct route to the store")
        return await self._request_store(call, ResponseProgress())

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

    async def read(self, read: StoreRead) -> StoreReadResult:
        """Makes a read, on other routes as well once a route is late.

        A route that does not answer delays the read by `LATE_READ_S` at most.
        New connections replace those that were open and may have gone silent.

        Raises:
            StoreBusyError: If the store rejected the read.
            UnavailableError: If no route led to the store.
        """
        return await run_staggered(self._list_read_attempts(read))

    def _list_read_attempts(
        self, read: StoreRead
    ) -> Iterator[Attempt[StoreReadResult]]:
        waiting_call = RelayedCall(
            "GET", read.target, b"", CALL_TIMEOUT_S + read.wait_s
        )
        late_call = RelayedCall(
            "GET", read.immediate_target, b"", CALL_TIMEOUT_S
        )
        patience_s = read.wait_s + LATE_READ_S
        hosts = self._relays.take_hosts()
        direct = self._make_direct_attempt(
            waiting_call, patience_s, wait_s=read.wait_s
        )
        if self._is_direct:
            yield direct
        elif (host := next(hosts, None)) is not None:
            yield self._make_peer_attempt(
                host, waiting_call, patience_s, wait_s=read.wait_s
            )
        if not isinstance(direct.error, StoreBusyError):
            yield self._make_direct_attempt(
                late_call, DIRECT_READ_LEAD_S, is_late=True
            )
        late_since_s = time.monotonic()
        yield from (
            self._make_peer_attempt(host, late_call, LATE_READ_S, is_late=True)
            for host in takewhile(
                lambda _: time.monotonic() - late_since_s < MAX_LATE_S, hosts
            )
        )

    def _make_direct_attempt(
        self,
        call: RelayedCall,
        patience_s: float,
        *,
        wait_s: float = 0.0,
        is_late: bool = False,
    ) -> Attempt[StoreReadResult]:
        async def run(progress: ResponseProgress) -> StoreReadResult:
            if is_late:
                await self._client.close()
            sent_s = read_boot_time_s()
            try:
                response = self._raise_if_refused(
                    await self._call_direct_counted(call, progress),
                    call.target,
                )
            except LagoonbeamError as error:
                # An open connection may have ended; a new one tells more.
                if is_late or isinstance(error, StoreBusyError):
                    self._set_direct(False, str(error))
                raise
            self._set_direct(True, "")
            return StoreReadResult(response, sent_s, wait_s)

        return Attempt(run, patience_s)

    def _make_peer_attempt(
        self,
        host: str,
        call: RelayedCall,
        patience_s: float,
        *,
        wait_s: float = 0.0,
        is_late: bool = False,
    ) -> Attempt[StoreReadResult]:
        async def run(progress: ResponseProgress) -> StoreReadResult:
            sent_s = read_boot_time_s()
            relayed_response = self._relays.call_peer(
                host,
                call,
                progress=progress,
                uses_new_connection=is_late,
            )
            response = self._raise_if_refused(
                await self._count_result("peer", relayed_response), call.target
            )
            if is_late:
                self._set_direct(False, "a peer answered a read first")
            return StoreReadResult(response, sent_s, wait_s)

        return Attempt(run, patience_s)

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

    async def _call_direct_counted(
        self, call: RelayedCall, progress: ResponseProgress | None = None
    ) -> Response:
        started_s = time.monotonic()
        try:
            return await self._count_result(
                "direct", self._request_store(call, progress)
            )
        except LagoonbeamError as error:
            self._log_failed_attempt(
                "store", time.monotonic() - started_s, str(error)
            )
            raise

    async def _call_through_peer(self, call: RelayedCall) -> Response:
        return await self._count_result("peer", self._relays.call(call))

    async def _request_store(
        self, call: RelayedCall, progress: ResponseProgress | None
    ) -> Response:
        return await self._client.call(
            call.method,
            call.target,
            body=call.body,
            timeout_s=call.timeout_s,
            progress=progress,
        )

    async def _count_result(
        self, route: str, call: Awaitable[Response]
    ) -> Response:
        store_calls = self._decisions.metrics.store_calls
        try:
            response = await call
        except LagoonbeamError as error:
            store_calls.labels(route, error.code).inc()
            raise
        store_calls.labels(route, str(response.status)).inc()
        return response

    def _raise_if_refused(self, response: Response, target: str) -> Response:
        if response.status in REFUSAL_STATUSES:
            raise StoreBusyError(f"{target}: store answered {response.status}")
        return response

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
