"""How long reads of the store take while routes to it do not answer."""

from __future__ import annotations

import contextlib
import contextvars
import struct
import time
from collections.abc import AsyncIterator, Awaitable, Callable

import anyio
import anyio.abc
import pytest
from lagoonbeam_platform.store import PlatformOperatorChannel
from lagoonbeam_platform.store_client import PROBE_TARGET, StoreClient

from harness.ports import reserve_free_ports
from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.core.request_budget import ConnectionAccount
from lagoonbeam.core.tcp_connection import TcpConnection
from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.relay import PeerRelays, RelayedCall, serve_relay
from lagoonbeam.site.store_transport import StoreTransport

pytestmark = pytest.mark.anyio

APPLY_S = 2.0
"""Shortest time within which a platform wants a configuration in force."""
MAX_STRETCH_S = 5.0
"""Shortest time that it adds while the store turns some instances away."""
READ_WAIT_S = 1.0
STORE_HOST = "127.0.6.1"
OWN_HOST = "127.0.6.2"
_opened_silent = contextvars.ContextVar("opened_silent", default=0)


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def peers_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has peers tried in the order of their addresses."""
    monkeypatch.setattr("lagoonbeam.site.relay.random.shuffle", list.sort)


class SilentServer(HttpServer):
    """A server that can stop answering on the connections open at a time.

    Attributes:
        is_silent: Whether no request is answered.
        interrupts_next_response: Whether only the beginning of the next
            response is sent.
    """

    def __init__(self, handler: Callable[[Request], Awaitable[Response]]):
        super().__init__(self._answer)
        self._answer_request = handler
        self._silenced_connections = 0
        self.is_silent = False
        self.interrupts_next_response = False

    def silence_open_connections(self) -> None:
        """Answers nothing more on the connections that are open now."""
        self._silenced_connections += 1

    async def _serve_connection(
        self, connection: TcpConnection, account: ConnectionAccount
    ) -> None:
        _opened_silent.set(self._silenced_connections)
        await super()._serve_connection(connection, account)

    async def _answer(self, request: Request) -> Response:
        response = await self._answer_request(request)
        if self.is_silent or _opened_silent.get() < self._silenced_connections:
            await anyio.sleep_forever()
        return response

    async def _send(
        self,
        stream: anyio.abc.SocketStream,
        response: Response,
        keep_alive: bool,
    ) -> None:
        if self.interrupts_next_response:
            self.interrupts_next_response = False
            await stream.send(b"HTTP/1.1 200 OK\r\n")
            await anyio.sleep_forever()
        await super()._send(stream, response, keep_alive)


class Site:
    """A store, peers, and the transport of one instance."""

    def __init__(self, peer_count: int):
        self.has_record = False
        self.waits = True
        self.turned_away: set[str] = set()
        self.refused: set[str] = set()
        self.store = SilentServer(self._read_as_caller(OWN_HOST))
        self.peers = {
            f"127.0.6.{10 + n}": SilentServer(
                self._serve_peer(f"127.0.6.{10 + n}")
            )
            for n in range(peer_count)
        }
        store_port, peer_port = reserve_free_ports(2)
        self._servers = [
            (STORE_HOST, store_port, self.store),
            *((host, peer_port, peer) for host, peer in self.peers.items()),
        ]
        relays = PeerRelays(OWN_HOST, peer_port, tuple(self.peers))
        self.transport = StoreTransport(
            STORE_HOST,
            store_port,
            relays,
            probe_target=PROBE_TARGET,
            decisions=DecisionLog("n0", "z1", descriptor=2),
        )
        self.client = StoreClient(self.transport)

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        for host, port, server in self._servers:
            await tasks.start(server.serve, host, port)

    async def read(self) -> int:
        """Reads the operators' topic; returns the number of records."""
        page = await self.client.read("keyed.op", 0, READ_WAIT_S)
        return len(page.records)

    def _read_as_caller(
        self, caller: str
    ) -> Callable[[Request], Awaitable[Response]]:
        async def answer(request: Request) -> Response:
            if caller in self.turned_away:
                await anyio.sleep_forever()
            if caller in self.refused:
                return Response(503)
            if "log-newest" in request.target:
                return Response(200, b'{"items": [], "end_offset": 0}')
            must_wait = "wait_ms" in request.target and not self.has_record
            if must_wait and self.waits:
                await anyio.sleep(READ_WAIT_S)
            records = b"\0\0\0\x01r" if self.has_record else b""
            header = struct.pack(">QQ", len(records) // 5, 0)
            return Response(200, header + records)

        return answer

    def _serve_peer(
        self, host: str
    ) -> Callable[[Request], Awaitable[Response]]:
        read = self._read_as_caller(host)

        async def call_store(call: RelayedCall) -> Response:
            return await read(Request(call.method, call.target))

        return lambda request: serve_relay(request, call_store)


@contextlib.asynccontextmanager
async def run_site(peer_count: int) -> AsyncIterator[Site]:
    site = Site(peer_count)
    async with anyio.create_task_group() as tasks:
        await site.start(tasks)
        yield site
        tasks.cancel_scope.cancel()


async def measure_until_record_is_read(site: Site) -> float:
    started_s = time.monotonic()
    record_count = 0
    while not record_count:
        with contextlib.suppress(LagoonbeamError):
            record_count = await site.read()
    return time.monotonic() - started_s


async def test_open_connections_that_went_silent_do_not_delay_a_record() -> (
    None
):
    """The read is sent just before, to the store and on connections to peers.

    The instance has used its peers before, so it holds open connections to
    them, which go silent at the same moment. New connections work.
    """
    async with run_site(peer_count=3) as site:
        site.turned_away = {OWN_HOST}
        for _ in range(3):
            await site.read()
        site.turned_away = set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.transport.probe_direct_route)
            await anyio.sleep(1.2)
            await site.read()
            tasks.cancel_scope.cancel()
        for server in (site.store, *site.peers.values()):
            server.silence_open_connections()
        site.has_record = True
        assert await measure_until_record_is_read(site) <= APPLY_S


async def test_response_that_stops_midway_does_not_delay_a_record() -> None:
    async with run_site(peer_count=1) as site:
        await site.read()
        site.store.interrupts_next_response = True
        site.has_record = True
        assert await measure_until_record_is_read(site) <= APPLY_S


async def test_peers_that_the_store_turns_away_do_not_delay_a_record() -> None:
    async with run_site(peer_count=4) as site:
        await site.read()
        site.turned_away = {OWN_HOST, *list(site.peers)[:3]}
        site.has_record = True
        taken_s = await measure_until_record_is_read(site)
        assert taken_s <= APPLY_S + MAX_STRETCH_S


async def test_peers_that_do_not_answer_do_not_delay_a_record() -> None:
    async with run_site(peer_count=4) as site:
        await site.read()
        site.turned_away = {OWN_HOST}
        for peer in list(site.peers.values())[:3]:
            peer.is_silent = True
        site.has_record = True
        taken_s = await measure_until_record_is_read(site)
        assert taken_s <= APPLY_S + MAX_STRETCH_S


async def test_read_repeated_without_a_wait_does_not_delay_the_next_one() -> (
    None
):
    """A configuration that seems newer than it is would be read again later."""
    async with run_site(peer_count=1) as site:
        channel = PlatformOperatorChannel(site.client, lambda *_, **__: None)
        await channel.wait_for_newer(0, wait_s=0.0)
        site.refused = {OWN_HOST}
        await channel.wait_for_newer(0, wait_s=READ_WAIT_S)
        assert channel.synced_s <= read_boot_time_s()


async def test_read_through_a_peer_does_not_undo_the_return_to_the_store() -> (
    None
):
    """The store serves the instance again while a peer's read still waits."""
    async with run_site(peer_count=1) as site:
        site.refused = {OWN_HOST}
        await site.read()
        site.refused = set()
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(site.transport.probe_direct_route)
            await site.read()
            tasks.cancel_scope.cancel()
        probe = RelayedCall("GET", PROBE_TARGET, b"", READ_WAIT_S)
        assert (await site.transport.call_for_peer(probe)).status == 200


async def test_page_without_records_covers_the_time_that_the_store_waited() -> (
    None
):
    async with run_site(peer_count=0) as site:
        sent_s = read_boot_time_s()
        page = await site.client.read("keyed.op", 0, READ_WAIT_S)
        assert sent_s + READ_WAIT_S <= page.as_of_s <= read_boot_time_s()


async def test_store_that_does_not_wait_does_not_date_a_page_ahead() -> None:
    async with run_site(peer_count=0) as site:
        site.waits = False
        page = await site.client.read("keyed.op", 0, READ_WAIT_S)
        assert page.as_of_s <= read_boot_time_s()


async def test_page_with_records_covers_the_time_before_it_was_asked_for() -> (
    None
):
    async with run_site(peer_count=0) as site:
        site.has_record = True
        asked_s = read_boot_time_s()
        page = await site.client.read("keyed.op", 0, READ_WAIT_S)
        assert asked_s <= page.as_of_s <= read_boot_time_s()
