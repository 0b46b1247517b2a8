from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import msgspec
import pytest

from harness.ports import reserve_free_ports
from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.errors import (
    LagoonbeamError,
    ResponseLostError,
    ServerUnreachableError,
)
from lagoonbeam.site.relay import PeerRelays, RelayedCall, serve_relay

CALL = RelayedCall("GET", "/x", b"", 0.5)


class FakePeer:
    """A peer whose direct route to the store has a given result."""

    def __init__(self, host: str, store_result: int | LagoonbeamError):
        self.host = host
        self.store_result = store_result
        self.call_count = 0

    async def call_store(self, call: RelayedCall) -> Response:
        self.call_count += 1
        if isinstance(self.store_result, LagoonbeamError):
            raise self.store_result
        return Response(self.store_result, b"data")

    async def handle(self, request: Request) -> Response:
        return await serve_relay(request, self.call_store)


def run_with_peers(
    peers: list[FakePeer], scenario: Callable[[PeerRelays], Awaitable[None]]
) -> None:
    async def main() -> None:
        (port,) = reserve_free_ports(1)
        relays = PeerRelays("127.0.5.99", port, ())
        relays.peers = lambda: tuple(peer.host for peer in peers)
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                server = HttpServer(peer.handle)
                await tasks.start(server.serve, peer.host, port)
            await scenario(relays)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_peers_refused_by_the_store_are_skipped() -> None:
    refused_peers = [FakePeer("127.0.5.1", 503), FakePeer("127.0.5.2", 429)]
    working_peer = FakePeer("127.0.5.3", 200)

    async def scenario(relays: PeerRelays) -> None:
        for _ in range(20):
            assert (await relays.call(CALL)).status == 200
        assert working_peer.call_count == 20
        assert all(peer.call_count <= 1 for peer in refused_peers)

    run_with_peers([*refused_peers, working_peer], scenario)


def test_peers_without_a_route_do_not_keep_a_call_from_the_one_with_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr("lagoonbeam.site.relay.random.shuffle", list.sort)
    no_route = ServerUnreachableError("no direct route to the store")
    peers = [FakePeer(f"127.0.5.{n}", no_route) for n in range(11, 21)]
    working_peer = FakePeer("127.0.5.21", 200)

    async def scenario(relays: PeerRelays) -> None:
        assert (await relays.call(CALL)).status == 200
        assert working_peer.call_count == 1

    run_with_peers([*peers, working_peer], scenario)


def test_refusal_is_returned_when_all_peers_are_refused() -> None:
    async def scenario(relays: PeerRelays) -> None:
        assert (await relays.call(CALL)).status == 503
        with pytest.raises(ServerUnreachableError):
            await relays.call(CALL)

    run_with_peers([FakePeer("127.0.5.1", 503)], scenario)


def test_lost_answer_takes_precedence_over_refusal() -> None:
    peers = [
        FakePeer("127.0.5.1", ResponseLostError("silent")),
        FakePeer("127.0.5.2", 503),
    ]

    async def scenario(relays: PeerRelays) -> None:
        with pytest.raises(ResponseLostError):
            await relays.call(CALL)

    run_with_peers(peers, scenario)


def test_invalid_relay_requests_are_rejected() -> None:
    async def main() -> None:
        peer = FakePeer("127.0.5.1", 200)
        for request in (
            Request("POST", "/relay", {}, b"\xff"),
            Request("GET", "/relay", {}, b""),
            Request("POST", "/other", {}, b""),
        ):
            response = await serve_relay(request, peer.call_store)
            assert response.status in (400, 404)
        assert not peer.call_count

    anyio.run(main)


@pytest.mark.parametrize(
    "call",
    [
        RelayedCall("GET", "/\u0142", b"", 0.5),
        RelayedCall("GET", "/x HTTP/1.1\r\nA: b", b"", 0.5),
        RelayedCall("", "", b"", float("nan")),
    ],
)
def test_relayed_call_that_cannot_be_sent_is_refused(call: RelayedCall) -> None:
    peer = FakePeer("127.0.5.1", 200)
    request = Request("POST", "/relay", body=msgspec.msgpack.encode(call))

    async def main() -> None:
        assert (await peer.handle(request)).status == 400

    anyio.run(main)
    assert not peer.call_count
