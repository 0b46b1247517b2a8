"""Relays store calls through peers for an instance cut off from the store."""

from __future__ import annotations

import random
import time
from collections.abc import Awaitable, Callable, Iterator

import msgspec

from lagoonbeam.core.http_client import HttpClient, Response, ResponseProgress
from lagoonbeam.core.http_server import Request
from lagoonbeam.errors import (
    LagoonbeamError,
    PeerWithoutRouteError,
    ResponseLostError,
    ServerUnreachableError,
)

RELAY_TARGET = "/relay"
MAX_PEERS_PER_CALL = 3
"""Maximum number of peers tried for one call, without those that have no route
to the store."""
MAX_PEERS_ASKED = 24
"""Maximum number of peers asked for one call; those without a route to the
store answer at once."""
REFUSAL_STATUSES = frozenset({429, 503})
"""HTTP statuses with which the store rejects a call without effect."""
FAILED_PEER_PAUSE_S = 2.0
"""Seconds for which a peer is not used after it failed to relay a call."""
MAX_RELAYED_TIMEOUT_S = 60.0
"""Longest timeout of a relayed call."""
RELAY_HOP_ALLOWANCE_S = 0.3
"""Seconds added to a call's timeout for the hop through a peer."""


class RelayedCall(msgspec.Struct, frozen=True, array_like=True):
    """A store call that a peer makes on behalf of another instance.

    Attributes:
        method: HTTP method.
        target: Path and query string.
        body: Request body.
        timeout_s: Timeout of the call to the store, in seconds.
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
    """Calls the store through peers.

    Args:
        own_host: IP address of this instance.
        port: TCP port on which all instances accept relayed calls.
        seed_hosts: IP addresses of the peers listed in the settings.

    Attributes:
        peers: Returns the IP addresses of the peers that have joined.
        on_failure: Called with the peer, the time taken and the cause when a
            peer gets no usable answer from the store.
    """

    def __init__(self, own_host: str, port: int, seed_hosts: tuple[str, ...]):
        self._own_host = own_host
        self._port = port
        self.seed_hosts = seed_hosts
        self._clients: dict[str, HttpClient] = {}
        self._paused_until_s: dict[str, float] = {}
        self._last_successful_host = ""
        self.peers: Callable[[], tuple[str, ...]] = tuple
        self.on_failure: Callable[[str, float, str], None] = (
            lambda host, taken_s, cause: None
        )

    def take_hosts(self) -> Iterator[str]:
        """Yields up to `MAX_PEERS_ASKED` peers to try for one call.

        A peer is not used again for a while once the next one is taken.
        """
        for host in self._list_candidate_hosts()[:MAX_PEERS_ASKED]:
            yield host
            self._pause(host)

    async def call_peer(
        self,
        host: str,
        call: RelayedCall,
        *,
        progress: ResponseProgress | None = None,
        uses_new_connection: bool = False,
    ) -> Response:
        """Makes a call through one peer.

        Args:
            host: The peer.
            call: The call.
            progress: Records when data of the response arrives.
            uses_new_connection: Whether to close the connections to the peer
                that are open and idle, which may have gone silent.

        Returns:
            The store's response, which may be a refusal.

        Raises:
            PeerWithoutRouteError: If the peer has no route to the store.
            ServerUnreachableError: If the call was not made.
            ResponseLostError: If the call may have been executed.
        """
        client = self._get_client(host)
        if uses_new_connection:
            await client.close()
        started_s = time.monotonic()
        try:
            response = await self._request_relay(client, call, progress)
        except PeerWithoutRouteError:
            raise
        except LagoonbeamError as error:
            self.on_failure(host, time.monotonic() - started_s, str(error))
            raise
        if response.status in REFUSAL_STATUSES:
            cause = f"the store answered {response.status}"
            self.on_failure(host, time.monotonic() - started_s, cause)
        else:
            self._last_successful_host = host
        return response

    async def call(self, call: RelayedCall) -> Response:
        """Makes a call through up to `MAX_PEERS_PER_CALL` peers in turn.

        Returns:
            The store's response; a refusal only if no peer got another one.

        Raises:
            ServerUnreachableError: If no peer could make the call.
            ResponseLostError: If the call may have been executed.
        """
        lost_answer: ResponseLostError | None = None
        refusal: Response | None = None
        tried_count = 0
        for host in self.take_hosts():
            if tried_count == MAX_PEERS_PER_CALL:
                break
            try:
                response = await self.call_peer(host, call)
            except PeerWithoutRouteError:
                continue
            except ResponseLostError as error:
                lost_answer = error
            except ServerUnreachableError:
                pass
            else:
                if response.status not in REFUSAL_STATUSES:
                    return response
                refusal = response
            tried_count += 1
        if lost_answer is not None:
            raise lost_answer
        if refusal is not None:
            return refusal
        raise ServerUnreachableError("no peer could relay the call")

    def _list_candidate_hosts(self) -> list[str]:
        """Returns the peers to try, in the order in which to try them.

        The last successful one comes first, then those that have not failed,
        then those that have, with the latest failure last.
        """
        now_s = time.monotonic()
        hosts = {*self.seed_hosts, *self.peers()} - {self._own_host}
        available = [
            h for h in hosts if self._paused_until_s.get(h, 0.0) <= now_s
        ]
        random.shuffle(available)
        return sorted(
            available,
            key=lambda host: (
                host != self._last_successful_host,
                self._paused_until_s.get(host, 0.0),
            ),
        )

    def _pause(self, host: str) -> None:
        self._paused_until_s[host] = time.monotonic() + FAILED_PEER_PAUSE_S

    def _get_client(self, host: str) -> HttpClient:
        return self._clients.setdefault(host, HttpClient(host, self._port))

    async def _request_relay(
        self,
        client: HttpClient,
        call: RelayedCall,
        progress: ResponseProgress | None,
    ) -> Response:
        response = await client.call(
            "POST",
            RELAY_TARGET,
            body=_ENCODER.encode(call),
            timeout_s=call.timeout_s + RELAY_HOP_ALLOWANCE_S,
            progress=progress,
        )
        if response.status == 504:
            raise ResponseLostError(
                f"peer {client.host} got no answer from the store"
            )
        if response.status == 503:
            raise PeerWithoutRouteError(
                f"peer {client.host} has no route to the store"
            )
        if response.status != 200:
            raise ServerUnreachableError(
                f"peer {client.host} answered {response.status}"
            )
        try:
            relayed = _RESPONSE_DECODER.decode(response.body)
        except (msgspec.MsgspecError, RecursionError) as error:
            raise ResponseLostError(
                f"malformed answer of peer {client.host}: {error}"
            ) from error
        return Response(relayed.status, relayed.body)


async def serve_relay(request: Request, call_store: StoreCaller) -> Response:
    """Makes a store call on behalf of a peer.

    The status tells the peer the outcome: 200 wraps the store's response, 504
    means that the call may have been executed, 503 that it was not.

    Args:
        request: The peer's request.
        call_store: Calls the store directly.
    """
    if request.method != "POST" or request.target != RELAY_TARGET:
        return Response(404)
    try:
        call = _CALL_DECODER.decode(request.body)
    except (msgspec.MsgspecError, RecursionError):
        return Response(400)
    if not _is_sendable(call):
        return Response(400)
    try:
        response = await call_store(call)
    except ResponseLostError:
        return Response(504)
    except LagoonbeamError:
        return Response(503)
    return Response(
        200, _ENCODER.encode(_RelayedResponse(response.status, response.body))
    )


def _is_sendable(call: RelayedCall) -> bool:
    """Returns whether a call can be written as one HTTP request."""
    request_line = call.method + call.target
    return (
        request_line.isascii()
        and request_line.isprintable()
        and " " not in request_line
        and 0 < call.timeout_s <= MAX_RELAYED_TIMEOUT_S
    )
