"""Calls to the store through a peer, for an instance that cannot reach it."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable

import msgspec

from lagoonbeam.core.http11 import HttpClient, Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.errors import (
    AnswerLostError,
    LagoonbeamError,
    ServerUnreachableError,
)

RELAY_TARGET = "/relay"
MAX_PEERS_PER_CALL = 3
"""Peers that one call is tried through."""
REFUSAL_STATUSES = frozenset({429, 503})
"""Statuses with which the store turns a machine away without effect."""
FAILED_PEER_PAUSE_S = 2.0
"""Seconds that a peer is left out after it failed a call."""
RELAY_HOP_ALLOWANCE_S = 0.3
"""Seconds added to a call's deadline for the way through a peer."""


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """A call to the store that a peer makes for another instance.

    Attributes:
        method: HTTP method.
        target: Path and query.
        body: The body.
        timeout_s: Seconds until the call is given up.
    """

    method: str
    target: str
    body: bytes
    timeout_s: float


class _RelayedResponse(msgspec.Struct, frozen=True, array_like=True):
    status: int
    body: bytes


_CALL_DECODER = msgspec.msgpack.Decoder(RelayedCall)
_RESPONSE_DECODER = msgspec.msgpack.Decoder(_RelayedResponse)
_ENCODER = msgspec.msgpack.Encoder()

StoreCaller = Callable[[RelayedCall], Awaitable[Response]]


class PeerRelays:
    """Ways to the store through peers.

    Args:
        own_host: This instance's IP number.
        port: TCP port that all peers listen on.
        seed_hosts: IP numbers of peers known from the settings.
    """

    def __init__(self, own_host: str, port: int, seed_hosts: tuple[str, ...]):
        self._own_host = own_host
        self._port = port
        self.seed_hosts = seed_hosts
        self._clients: dict[str, HttpClient] = {}
        self._paused_until_s: dict[str, float] = {}
        self._last_successful_host = ""
        self.peers: Callable[[], tuple[str, ...]] = tuple

    async def call(self, call: RelayedCall) -> Response:
        """Makes a call through one of the peers.

        Raises:
            ServerUnreachableError: If no peer could make it.
            AnswerLostError: If it may have been carried out.
        """
        lost_answer: AnswerLostError | None = None
        refusal: Response | None = None
        for host in self._list_candidate_hosts()[:MAX_PEERS_PER_CALL]:
            try:
                response = await self._call_peer(host, call)
            except AnswerLostError as error:
                lost_answer = error
            except ServerUnreachableError:
                pass
            else:
                if response.status not in REFUSAL_STATUSES:
                    self._last_successful_host = host
                    return response
                refusal = response
            self._paused_until_s[host] = time.monotonic() + FAILED_PEER_PAUSE_S
        if lost_answer is not None:
            raise lost_answer
        if refusal is not None:
            return refusal
        raise ServerUnreachableError("no peer could relay")

    def _list_candidate_hosts(self) -> list[str]:
        """Returns peers that may be asked, the last that helped first."""
        now_s = time.monotonic()
        hosts = {*self.seed_hosts, *self.peers()} - {self._own_host}
        available = [
            h for h in hosts if self._paused_until_s.get(h, 0.0) <= now_s
        ]
        random.shuffle(available)
        return sorted(
            available, key=lambda host: host != self._last_successful_host
        )

    async def _call_peer(self, host: str, call: RelayedCall) -> Response:
        client = self._clients.setdefault(host, HttpClient(host, self._port))
        response = await client.call(
            "POST",
            RELAY_TARGET,
            body=_ENCODER.encode(call),
            timeout_s=call.timeout_s + RELAY_HOP_ALLOWANCE_S,
        )
        if response.status == 504:
            raise AnswerLostError(f"peer {host}: no answer")
        if response.status != 200:
            raise ServerUnreachableError(f"peer {host}: {response.status}")
        try:
            relayed = _RESPONSE_DECODER.decode(response.body)
        except msgspec.MsgspecError as error:
            raise AnswerLostError(f"peer {host}: {error}") from error
        return Response(relayed.status, relayed.body)


async def serve_relay(request: Request, call_store: StoreCaller) -> Response:
    """Answers a peer's call.

    Args:
        request: What the peer sent.
        call_store: Makes a call over this instance's own path.
    """
    if request.method != "POST" or request.target != RELAY_TARGET:
        return Response(404)
    try:
        call = _CALL_DECODER.decode(request.body)
    except msgspec.MsgspecError:
        return Response(400)
    try:
        response = await call_store(call)
    except AnswerLostError:
        return Response(504)
    except LagoonbeamError:
        return Response(503)
    return Response(
        200, _ENCODER.encode(_RelayedResponse(response.status, response.body))
    )
