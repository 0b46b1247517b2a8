"""Bounds on what clients hold, without a network and in one process."""

from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from lagoonbeam.core.http_client import HttpClient, Response
from lagoonbeam.core.http_request_reader import RequestReader
from lagoonbeam.core.http_server import HttpServer, Request, ServerLimits
from lagoonbeam.core.request_budget import (
    ConnectionAccount,
    Limit,
    LimitMonitor,
    MessageMeter,
    RequestBudget,
    RequestLimitSettings,
    Share,
)
from lagoonbeam.core.request_budget.budget import CONNECTION_BYTES
from lagoonbeam.core.request_budget.limit_monitor import QUIET_S

HOST = "127.0.0.1"
KB = 1_024


def make_budget(callers_kb: int, callers: int = 100) -> RequestBudget:
    """Returns a budget of which callers may hold the given part."""
    return RequestBudget(
        RequestLimitSettings(memory_fraction=0.5, descriptor_fraction=0.5),
        memory_mb=callers_kb / KB / Share.CALLERS.value / 0.5 + 1e-6,
        descriptors=200 + round(callers / Share.CALLERS.value / 0.5) + 2,
    )


class EvictionRecord:
    """Opens connections and records which are evicted."""

    def __init__(self, budget: RequestBudget):
        self.budget = budget
        self.evicted: list[str] = []

    def open(
        self, name: str, share: Share = Share.CALLERS
    ) -> ConnectionAccount:
        account = self.budget.open_connection(share)
        assert account is not None
        account.on_evict = lambda: self.evicted.append(name)
        return account

    def open_receiving(self, name: str, held_bytes: int) -> ConnectionAccount:
        account = self.open(name)
        account.mark_progress()
        assert account.hold(held_bytes)
        return account


def run(test: Callable[[], Awaitable[None]]) -> None:
    anyio.run(test)


def test_longest_without_progress_is_closed_for_a_new_request() -> None:
    """Load: clients that stop short of the end of their bodies."""

    async def test() -> None:
        record = EvictionRecord(make_budget(300))
        accounts = [
            record.open_receiving(str(number), 80 * KB) for number in range(3)
        ]
        accounts[0].mark_progress()
        record.open_receiving("new", 80 * KB)
        assert record.evicted == ["1"]
        assert record.budget.held_bytes <= 300 * KB

    run(test)


def test_idle_connections_are_closed_after_unfinished_requests() -> None:
    async def test() -> None:
        record = EvictionRecord(make_budget(100))
        record.open("idle")
        record.open_receiving("unfinished", 40 * KB)
        record.open_receiving("new", 60 * KB)
        assert record.evicted == ["unfinished"]

    run(test)


def test_longest_idle_connection_is_closed_for_a_new_one() -> None:
    async def test() -> None:
        record = EvictionRecord(make_budget(10_000, callers=3))
        first = record.open("first")
        record.open("second")
        record.open_receiving("receiving", KB)
        first.mark_idle()
        record.open("new")
        assert record.evicted == ["second"]
        assert record.budget.connection_count == 3

    run(test)


def test_request_that_is_handled_is_never_closed() -> None:
    """Its job may have been handed on."""

    async def test() -> None:
        record = EvictionRecord(make_budget(100, callers=2))
        for name in ("a", "b"):
            record.open_receiving(name, 30 * KB).mark_served()
        assert record.budget.open_connection(Share.CALLERS) is None
        assert not record.evicted

    run(test)


def test_no_client_takes_the_part_of_another_kind() -> None:
    async def test() -> None:
        record = EvictionRecord(make_budget(100))
        record.open("probe", Share.PROBES)
        for number in range(50):
            record.open_receiving(str(number), 80 * KB)
        assert "probe" not in record.evicted
        assert record.open("peer", Share.PEERS).hold(30 * KB)

    run(test)


def test_single_request_is_held_whatever_its_size() -> None:
    async def test() -> None:
        record = EvictionRecord(make_budget(20))
        record.open("idle")
        record.open_receiving("large", 500 * KB)
        assert record.evicted == ["idle"]

    run(test)


def test_closed_connections_hold_nothing() -> None:
    async def test() -> None:
        record = EvictionRecord(make_budget(100))
        account = record.open_receiving("a", 50 * KB)
        assert record.budget.held_bytes == CONNECTION_BYTES + 50 * KB
        account.close()
        account.close()
        assert not account.hold(KB)
        account.mark_progress()
        record.open_receiving("b", 90 * KB)
        assert record.evicted == []
        assert record.budget.connection_count == 1

    run(test)


@pytest.mark.parametrize(
    ("meter", "status"),
    [
        (MessageMeter(), 0),
        (MessageMeter(begun_at_s=1.0, header_bytes=101), 431),
        (MessageMeter(begun_at_s=1.0, raw_head_bytes=4_497), 431),
        (MessageMeter(raw_head_bytes=4_497), 400),
        (MessageMeter(begun_at_s=1.0, raw_head_bytes=4_496), 0),
        (MessageMeter(begun_at_s=1.0, body_bytes=1_001), 413),
        (MessageMeter(raw_body_bytes=6_000, body_bytes=1_000), 0),
        (MessageMeter(raw_body_bytes=4_497), 413),
    ],
)
def test_limits_of_one_message(meter: MessageMeter, status: int) -> None:
    assert meter.find_exceeded_limit(100, 1_000) == status


def test_deadline_of_a_request_follows_from_its_size() -> None:
    meter = MessageMeter(begun_at_s=5.0, raw_head_bytes=50, body_bytes=150)
    assert meter.get_deadline_s(2.0, 100.0) == 9.0


def test_limit_is_reported_when_reached_and_when_left(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = 100.0
    monkeypatch.setattr("anyio.current_time", lambda: now_s)
    monitor = LimitMonitor()
    changes: list[tuple[Limit, bool, int]] = []
    hits: list[Limit] = []
    monitor.on_change = lambda *change: changes.append(change)
    monitor.on_hit = hits.append
    for _ in range(3):
        monitor.record(Limit.MEMORY)
    now_s += QUIET_S / 2
    monitor.check()
    assert changes == [(Limit.MEMORY, True, 1)]
    now_s += QUIET_S / 2
    monitor.check()
    monitor.check()
    assert changes[1:] == [(Limit.MEMORY, False, 3)]
    assert hits == [Limit.MEMORY] * 3


class CountingHandler:
    """Counts the requests that are handed on, and may hold them."""

    def __init__(self) -> None:
        self.handed_on: list[Request] = []
        self.may_answer = anyio.Event()

    async def answer(self, request: Request) -> Response:
        self.handed_on.append(request)
        if request.target == "/held":
            await self.may_answer.wait()
        return Response(200)


def run_with_server(
    budget: RequestBudget,
    scenario: Callable[[CountingHandler, int], Awaitable[None]],
    limits: ServerLimits | None = None,
) -> None:
    async def main() -> None:
        handler = CountingHandler()
        server = HttpServer(handler.answer, limits, budget=budget)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve, HOST, 0)
            with anyio.fail_after(20):
                await scenario(handler, port)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def receive_all(stream: anyio.abc.SocketStream) -> bytes:
    received = b""
    try:
        while True:
            received += await stream.receive()
    except (anyio.EndOfStream, anyio.BrokenResourceError):
        return received


def test_refused_request_is_not_handed_on_and_told_when_to_return() -> None:
    """All memory is held by requests that are being handled."""

    async def scenario(handler: CountingHandler, port: int) -> None:
        async with anyio.create_task_group() as tasks:
            client = HttpClient(HOST, port)

            async def send_held() -> None:
                body = b"x" * 20_000
                held = await client.call(
                    "POST", "/held", body=body, timeout_s=20
                )
                assert held.status == 200

            tasks.start_soon(send_held)
            while not handler.handed_on:
                await anyio.sleep(0.01)
            refused = await HttpClient(HOST, port).call(
                "POST", "/refused", body=b"x" * 20_000, timeout_s=10
            )
            assert refused.status == 503
            assert int(refused.headers["retry-after"]) >= 1
            handler.may_answer.set()
        assert [request.target for request in handler.handed_on] == ["/held"]
        after = await HttpClient(HOST, port).call("GET", "/", timeout_s=10)
        assert after.status == 200

    run_with_server(make_budget(90), scenario)


def test_evicted_request_is_refused_and_not_handed_on() -> None:
    async def scenario(handler: CountingHandler, port: int) -> None:
        start = b"POST /x HTTP/1.1\r\nContent-Length: 50000\r\n\r\n"
        async with (
            await anyio.connect_tcp(HOST, port) as first,
            await anyio.connect_tcp(HOST, port) as second,
        ):
            await first.send(start + b"x" * 49_990)
            await anyio.wait_all_tasks_blocked()
            await second.send(start + b"x" * 49_990)
            refused = await receive_all(first)
            assert refused.startswith(b"HTTP/1.1 503 ")
            assert b"Retry-After: " in refused
        assert handler.handed_on == []

    run_with_server(make_budget(100), scenario)


def test_request_that_trickles_in_is_ended() -> None:
    """Each piece arrives within the limit on silence."""
    settings = RequestLimitSettings(
        request_grace_s=0.3, min_rate_bytes_per_s=1_000_000
    )

    async def scenario(handler: CountingHandler, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            await stream.send(
                b"POST /x HTTP/1.1\r\nContent-Length: 999\r\n\r\n"
            )
            async with anyio.create_task_group() as tasks:

                async def trickle() -> None:
                    with contextlib.suppress(anyio.BrokenResourceError):
                        while True:
                            await stream.send(b"x")
                            await anyio.sleep(0.05)

                tasks.start_soon(trickle)
                received = await receive_all(stream)
                tasks.cancel_scope.cancel()
        assert received.startswith(b"HTTP/1.1 408 ")
        assert handler.handed_on == []

    limits = ServerLimits(header_timeout_s=60.0)
    run_with_server(RequestBudget(settings), scenario, limits)


def test_unexpected_error_of_a_connection_does_not_end_the_server(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def fail(reader: RequestReader) -> None:
        raise RuntimeError("unexpected")

    monkeypatch.setattr(RequestReader, "read", fail)

    async def scenario(handler: CountingHandler, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n\r\n")
            assert await receive_all(stream) == b""
        monkeypatch.undo()
        response = await HttpClient(HOST, port).call("GET", "/", timeout_s=10)
        assert response.status == 200

    run_with_server(RequestBudget(), scenario)


def test_body_that_is_announced_as_too_large_is_refused_unread() -> None:
    async def scenario(handler: CountingHandler, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            await stream.send(b"POST / HTTP/1.1\r\nContent-Length: 101\r\n\r\n")
            received = await receive_all(stream)
        assert received.startswith(b"HTTP/1.1 413 ")
        assert handler.handed_on == []

    run_with_server(RequestBudget(), scenario, ServerLimits(body_bytes=100))


def test_pipelined_request_is_held_to_the_limits() -> None:
    """The second one begins in the data that ends the first."""

    async def scenario(handler: CountingHandler, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            long_head = b"GET /long HTTP/1.1\r\nA: " + b"x" * 200 + b"\r\n\r\n"
            await stream.send(b"GET /short HTTP/1.1\r\n\r\n" + long_head)
            received = await receive_all(stream)
        assert received.count(b"HTTP/1.1 431 ") == 1
        assert "/long" not in [r.target for r in handler.handed_on]

    run_with_server(RequestBudget(), scenario, ServerLimits(header_bytes=100))


def test_request_that_cannot_fit_closes_no_idle_connection() -> None:
    """Load: large bodies in handling, which cannot be ended."""

    async def test() -> None:
        record = EvictionRecord(make_budget(300))
        record.open_receiving("served", 250 * KB).mark_served()
        for name in ("first", "second"):
            record.open(name)
        late = record.open("late")
        late.mark_progress()
        assert not late.hold(100 * KB)
        assert record.evicted == []

    run(test)
