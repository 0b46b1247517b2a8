"""The way to the store: the instance's own, or through a peer."""

from __future__ import annotations

import anyio

from lagoonbeam.core.http11 import HttpClient, Response
from lagoonbeam.errors import (
    AnswerLostError,
    LagoonbeamError,
    ServerUnreachableError,
    StoreBusyError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.relay import REFUSALS, RelayedCall, Relays

CALL_TIMEOUT_S = 1.2
"""Seconds for one call; the slowest answers take 100 times 4 ms."""
PROBE_S = 0.5
"""Seconds between two probes of the own path while calls go through peers."""
PROBE_TIMEOUT_S = 0.6
"""Seconds for one probe; a store a hundred times as slow answers in 0.5."""


class StorePath:
    """Calls the store, directly or through a peer that reaches it.

    Args:
        host: IP number of the store.
        port: TCP port of the store.
        relays: Ways through peers.
        probe_target: Path and query of a cheap reading call.
        decisions: Notes each change of the way taken.
    """

    def __init__(
        self,
        host: str,
        port: int,
        relays: Relays,
        *,
        probe_target: str,
        decisions: DecisionLog,
    ):
        self._client = HttpClient(host, port)
        self._relays = relays
        self._probe = RelayedCall("GET", probe_target, b"", PROBE_TIMEOUT_S)
        self._decisions = decisions
        self._is_direct = True

    async def call_direct(self, call: RelayedCall) -> Response:
        """Makes a call over this instance's own path."""
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
        """Makes a call that may be repeated without harm.

        Raises:
            StoreBusyError: If the store refused it without effect.
            ServerUnreachableError: If nothing was sent.
            AnswerLostError: If it may have been carried out.
        """
        call = RelayedCall(method, target, body, timeout_s)
        if not self._is_direct:
            try:
                return self._check(await self._call_peers(call), target)
            except ServerUnreachableError:
                return self._check(await self._call_counted(call), target)
        failure: LagoonbeamError
        try:
            return self._check(await self._call_counted(call), target)
        except (
            ServerUnreachableError,
            AnswerLostError,
            StoreBusyError,
        ) as error:
            failure = error
        self._set_direct(False, str(failure))
        try:
            response = await self._call_peers(call)
        except ServerUnreachableError as error:
            raise failure from error
        if response.status in REFUSALS and isinstance(failure, AnswerLostError):
            raise failure
        return self._check(response, target)

    async def probe_forever(self) -> None:
        """Finds out when the own path works again, until cancelled."""
        while True:
            await anyio.sleep(PROBE_S)
            if self._is_direct:
                continue
            try:
                response = await self._call_counted(self._probe)
            except LagoonbeamError:
                continue
            if response.status not in REFUSALS:
                self._set_direct(True, "")

    async def _call_counted(self, call: RelayedCall) -> Response:
        try:
            response = await self.call_direct(call)
        except LagoonbeamError as error:
            self._count("direct", error.code)
            raise
        self._count("direct", str(response.status))
        return response

    async def _call_peers(self, call: RelayedCall) -> Response:
        try:
            response = await self._relays.call(call)
        except LagoonbeamError as error:
            self._count("peer", error.code)
            raise
        self._count("peer", str(response.status))
        return response

    def _check(self, response: Response, target: str) -> Response:
        if response.status in REFUSALS:
            raise StoreBusyError(f"{target}: {response.status}")
        return response

    def _count(self, route: str, result: str) -> None:
        self._decisions.metrics.store_calls.labels(route, result).inc()

    def _set_direct(self, is_direct: bool, cause: str) -> None:
        if is_direct != self._is_direct:
            self._is_direct = is_direct
            self._decisions.emit(
                Event.STORE_ROUTE, direct=is_direct, cause=cause
            )
