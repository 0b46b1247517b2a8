"""How soon a fleet reads a record while the store turns most of it away."""

from __future__ import annotations

import contextlib
import struct
import time

import anyio
import anyio.abc
import pytest
from lagoonbeam_platform.store_client import PROBE_TARGET, StoreClient

from harness.ports import reserve_free_ports
from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.relay import PeerRelays, serve_relay
from lagoonbeam.site.store_transport import StoreTransport

pytestmark = pytest.mark.anyio

APPLY_S = 2.0
"""Shortest time within which a platform wants a configuration in force."""
MAX_STRETCH_S = 5.0
"""Shortest time that it adds while the store turns some instances away."""
READ_WAIT_S = 1.0
TEST_TIMEOUT_S = 30.0
STORE_HOST = "127.0.7.1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture(autouse=True)
def peers_in_order(monkeypatch: pytest.MonkeyPatch) -> None:
    """Has peers tried in the order of their addresses."""
    monkeypatch.setattr("lagoonbeam.site.relay.random.shuffle", list.sort)


class Instance:
    """An instance that reads a topic, with a listener of the store's for it.

    Attributes:
        is_turned_away: Whether the store does not answer this instance.
        read_at_s: Monotonic time at which the record was read.
    """

    def __init__(self, fleet: Fleet, host: str, ports: tuple[int, int]):
        self.host = host
        self.is_turned_away = False
        self.read_at_s = float("inf")
        self._fleet = fleet
        self._store_port, self._peer_port = ports
        relays = PeerRelays(host, self._peer_port, fleet.hosts)
        self._transport = StoreTransport(
            STORE_HOST,
            self._store_port,
            relays,
            probe_target=PROBE_TARGET,
            decisions=DecisionLog(host, "z1", descriptor=2),
        )

    async def run(self, tasks: anyio.abc.TaskGroup) -> None:
        store = HttpServer(self._answer_as_store)
        await tasks.start(store.serve, STORE_HOST, self._store_port)
        peer = HttpServer(self._answer_as_peer)
        await tasks.start(peer.serve, self.host, self._peer_port)
        tasks.start_soon(self._transport.probe_direct_route)
        tasks.start_soon(self._read_until_record)

    async def _read_until_record(self) -> None:
        client = StoreClient(self._transport)
        while self.read_at_s == float("inf"):
            with contextlib.suppress(LagoonbeamError):
                page = await client.read("keyed.op", 0, READ_WAIT_S)
                if page.records:
                    self.read_at_s = time.monotonic()
            await anyio.sleep(0.1)

    async def _answer_as_store(self, request: Request) -> Response:
        if self.is_turned_away:
            await anyio.sleep_forever()
        if "wait_ms" in request.target and not self._fleet.has_record:
            with anyio.move_on_after(READ_WAIT_S):
                await self._fleet.record_added.wait()
            if self.is_turned_away:
                await anyio.sleep_forever()
        records = b"\0\0\0\x01r" if self._fleet.has_record else b""
        header = struct.pack(">QQ", len(records) // 5, 0)
        return Response(200, header + records)

    async def _answer_as_peer(self, request: Request) -> Response:
        return await serve_relay(request, self._transport.call_for_peer)


class Fleet:
    """Instances of one site, in the order of their addresses.

    Attributes:
        hosts: Their addresses.
        instances: The instances.
        has_record: Whether there is a record to read.
        record_added: Set once there is one.
    """

    def __init__(self, size: int):
        self.hosts = tuple(f"127.0.7.{10 + number}" for number in range(size))
        self.has_record = False
        self.record_added = anyio.Event()
        peer_port, *store_ports = reserve_free_ports(1 + size)
        self.instances = [
            Instance(self, host, (store_port, peer_port))
            for host, store_port in zip(self.hosts, store_ports, strict=True)
        ]

    def add_record(self) -> None:
        self.has_record = True
        self.record_added.set()


async def test_few_instances_that_the_store_serves_are_found_in_time() -> None:
    """All others wait for a store that does not answer them either."""
    fleet = Fleet(20)
    async with anyio.create_task_group() as tasks:
        for instance in fleet.instances:
            await instance.run(tasks)
        await anyio.sleep(2 * READ_WAIT_S)
        for instance in fleet.instances[:-1]:
            instance.is_turned_away = True
        started_s = time.monotonic()
        fleet.add_record()
        with anyio.move_on_after(TEST_TIMEOUT_S):
            while max(i.read_at_s for i in fleet.instances) == float("inf"):
                await anyio.sleep(0.1)
        tasks.cancel_scope.cancel()
    slowest_s = max(i.read_at_s for i in fleet.instances) - started_s
    assert slowest_s <= APPLY_S + MAX_STRETCH_S
