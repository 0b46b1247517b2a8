from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import pytest

from harness.ports import find_ports
from lagoonbeam.core.http11 import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.errors import (
    AnswerLostError,
    LagoonbeamError,
    ServerUnreachableError,
)
from lagoonbeam.site.relay import RelayedCall, Relays, serve_relay

CALL = RelayedCall("GET", "/x", b"", 0.5)


class Peer:
    """A peer whose own path to the store answers as it is told."""

    def __init__(self, host: str, answer: int | LagoonbeamError):
        self.host = host
        self.answer = answer
        self.asked = 0

    async def call_store(self, call: RelayedCall) -> Response:
        self.asked += 1
        if isinstance(self.answer, LagoonbeamError):
            raise self.answer
        return Response(self.answer, b"data")

    async def handle(self, request: Request) -> Response:
        return await serve_relay(request, self.call_store)


def run_relays(
    peers: list[Peer], test: Callable[[Relays], Awaitable[None]]
) -> None:
    async def main() -> None:
        (port,) = find_ports(1)
        relays = Relays("127.0.5.99", port, ())
        relays.peers = lambda: tuple(peer.host for peer in peers)
        async with anyio.create_task_group() as tasks:
            for peer in peers:
                server = HttpServer(peer.handle)
                await tasks.start(server.serve, peer.host, port)
            await test(relays)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_peers_that_are_turned_away_are_passed_over() -> None:
    refused = [Peer("127.0.5.1", 503), Peer("127.0.5.2", 429)]
    good = Peer("127.0.5.3", 200)

    async def test(relays: Relays) -> None:
        for _ in range(20):
            assert (await relays.call(CALL)).status == 200
        assert good.asked == 20
        assert all(peer.asked <= 1 for peer in refused)

    run_relays([*refused, good], test)


def test_refusal_of_all_peers_is_the_answer() -> None:
    async def test(relays: Relays) -> None:
        assert (await relays.call(CALL)).status == 503
        with pytest.raises(ServerUnreachableError):
            await relays.call(CALL)

    run_relays([Peer("127.0.5.1", 503)], test)


def test_lost_answer_is_never_called_a_refusal() -> None:
    peers = [
        Peer("127.0.5.1", AnswerLostError("silent")),
        Peer("127.0.5.2", 503),
    ]

    async def test(relays: Relays) -> None:
        with pytest.raises(AnswerLostError):
            await relays.call(CALL)

    run_relays(peers, test)


def test_foreign_calls_are_refused() -> None:
    async def main() -> None:
        peer = Peer("127.0.5.1", 200)
        for request in (
            Request("POST", "/relay", {}, b"\xff"),
            Request("GET", "/relay", {}, b""),
            Request("POST", "/other", {}, b""),
        ):
            response = await serve_relay(request, peer.call_store)
            assert response.status in (400, 404)
        assert not peer.asked

    anyio.run(main)
