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
PEERS_TRIED = 3
"""Peers that one call is tried through."""
REFUSALS = frozenset({429, 503})
"""Statuses with which the store turns a machine away without effect."""
PEER_PAUSE_S = 2.0
"""Seconds that a peer is left out after it failed a call."""
HOP_S = 0.3
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


class _RelayedAnswer(msgspec.Struct, frozen=True, array_like=True):
    status: int
    body: bytes


_CALLS = msgspec.msgpack.Decoder(RelayedCall)
_ANSWERS = msgspec.msgpack.Decoder(_RelayedAnswer)
_ENCODER = msgspec.msgpack.Encoder()

CallStore = Callable[[RelayedCall], Awaitable[Response]]


class Relays:
    """Ways to the store through peers.

    Args:
        own_host: This instance's IP number.
        port: TCP port that all peers listen on.
        seeds: IP numbers of peers known from the settings.
    """

    def __init__(self, own_host: str, port: int, seeds: tuple[str, ...]):
        self._own_host = own_host
        self._port = port
        self.seeds = seeds
        self._clients: dict[str, HttpClient] = {}
        self._paused: dict[str, float] = {}
        self._last_host = ""
        self.peers: Callable[[], tuple[str, ...]] = tuple

    async def call(self, call: RelayedCall) -> Response:
        """Makes a call through one of the peers.

        Raises:
            ServerUnreachableError: If no peer could make it.
            AnswerLostError: If it may have been carried out.
        """
        lost: AnswerLostError | None = None
        refused: Response | None = None
        for host in self._choose_hosts()[:PEERS_TRIED]:
            try:
                answer = await self._call_peer(host, call)
            except AnswerLostError as error:
                lost = error
            except ServerUnreachableError:
                pass
            else:
                if answer.status not in REFUSALS:
                    self._last_host = host
                    return answer
                refused = answer
            self._paused[host] = time.monotonic() + PEER_PAUSE_S
        if lost is not None:
            raise lost
        if refused is not None:
            return refused
        raise ServerUnreachableError("no peer could relay")

    def _choose_hosts(self) -> list[str]:
        """Returns peers that may be asked, the last that helped first."""
        now_s = time.monotonic()
        hosts = {*self.seeds, *self.peers()} - {self._own_host}
        able = [h for h in hosts if self._paused.get(h, 0.0) <= now_s]
        random.shuffle(able)
        return sorted(able, key=lambda host: host != self._last_host)

    async def _call_peer(self, host: str, call: RelayedCall) -> Response:
        client = self._clients.setdefault(host, HttpClient(host, self._port))
        response = await client.call(
            "POST",
            RELAY_TARGET,
            body=_ENCODER.encode(call),
            timeout_s=call.timeout_s + HOP_S,
        )
        if response.status == 504:
            raise AnswerLostError(f"peer {host}: no answer")
        if response.status != 200:
            raise ServerUnreachableError(f"peer {host}: {response.status}")
        try:
            answer = _ANSWERS.decode(response.body)
        except msgspec.MsgspecError as error:
            raise AnswerLostError(f"peer {host}: {error}") from error
        return Response(answer.status, answer.body)


async def serve_relay(request: Request, call_store: CallStore) -> Response:
    """Answers a peer's call.

    Args:
        request: What the peer sent.
        call_store: Makes a call over this instance's own path.
    """
    if request.method != "POST" or request.target != RELAY_TARGET:
        return Response(404)
    try:
        call = _CALLS.decode(request.body)
    except msgspec.MsgspecError:
        return Response(400)
    try:
        response = await call_store(call)
    except AnswerLostError:
        return Response(504)
    except LagoonbeamError:
        return Response(503)
    return Response(
        200, _ENCODER.encode(_RelayedAnswer(response.status, response.body))
    )
