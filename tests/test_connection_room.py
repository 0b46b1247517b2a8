"""Which connection is closed or refused when there is no room for another."""

from __future__ import annotations

import json
from collections.abc import Awaitable, Callable

import anyio

from lagoonbeam.core.http_client import HttpClient, Response
from lagoonbeam.core.http_server import HttpServer, Request, ServerLimits
from lagoonbeam.core.request_budget import RequestBudget, Share
from lagoonbeam.entry.problems import make_refusal
from tests.test_request_budget import (
    HOST,
    KB,
    CountingHandler,
    EvictionRecord,
    make_budget,
    receive_all,
    run,
)


def run_with_entry_server(
    budget: RequestBudget,
    scenario: Callable[[HttpServer, CountingHandler, int], Awaitable[None]],
) -> None:
    """Runs a scenario beside a server set up like that of an entry."""

    def check_head(request: Request) -> Response | None:
        return Response(401) if "authorization" not in request.headers else None

    async def main() -> None:
        handler = CountingHandler()
        server = HttpServer(
            handler.answer,
            ServerLimits(header_timeout_s=0.3, answers_silence=True),
            budget=budget,
            check_head=check_head,
            make_refusal=make_refusal,
        )
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve, HOST, 0)
            with anyio.fail_after(20):
                await scenario(server, handler, port)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_connections_without_a_request_are_closed_before_idle_callers() -> None:
    """Load: silent connections beside callers that keep theirs open."""

    async def test() -> None:
        record = EvictionRecord(make_budget(10_000, callers=3))
        caller = record.open("caller")
        caller.mark_served()
        caller.mark_idle()
        for number in range(5):
            record.open(str(number))
        assert record.evicted == ["0", "1", "2"]

    run(test)


def test_connection_waits_until_a_request_has_been_handled() -> None:
    """Load: clients that send the next request before they read an answer."""

    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        async with await anyio.connect_tcp(HOST, port) as held:
            await held.send(b"GET /held HTTP/1.1\r\n\r\n")
            while not handler.handed_on:
                await anyio.sleep(0.01)
            async with anyio.create_task_group() as tasks:
                tasks.start_soon(call_successfully, port)
                await anyio.sleep(0.1)
                handler.may_answer.set()

    run_with_entry_server(make_budget(10_000, callers=1), scenario)


async def call_successfully(port: int) -> None:
    response = await HttpClient(HOST, port).call("GET", "/", timeout_s=10)
    assert response.status == 200


def test_wait_of_a_request_ends_for_another_connection() -> None:
    """Load: callers that wait for their jobs use up all connections."""

    async def main() -> None:
        is_waiting = anyio.Event()

        async def answer(request: Request) -> Response:
            if request.target != "/wait":
                return Response(200)
            is_waiting.set()
            with request.move_on_after(20) as scope:
                await anyio.sleep_forever()
            return Response(202 if scope.cancelled_caught else 500)

        server = HttpServer(answer, budget=make_budget(10_000, callers=1))
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve, HOST, 0)
            with anyio.fail_after(10):
                async with await anyio.connect_tcp(HOST, port) as waiting:
                    await waiting.send(b"GET /wait HTTP/1.1\r\n\r\n")
                    await is_waiting.wait()
                    await call_successfully(port)
                    received = await receive_all(waiting)
                    assert received.startswith(b"HTTP/1.1 202 ")
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_connection_without_room_is_refused_as_not_run() -> None:
    """Load: callers that wait for their jobs use up all connections."""

    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        async with await anyio.connect_tcp(HOST, port) as held:
            await held.send(b"GET /held HTTP/1.1\r\n\r\n")
            while not handler.handed_on:
                await anyio.sleep(0.01)
            refused = await HttpClient(HOST, port).call(
                "POST", "/refused", body=b"x" * 1_000, timeout_s=10
            )
            handler.may_answer.set()
        problem = json.loads(refused.body)
        assert (refused.status, problem["ran"]) == (503, "no")
        assert int(refused.headers["retry-after"]) >= 1
        assert [each.target for each in handler.handed_on] == ["/held"]

    run_with_entry_server(make_budget(10_000, callers=1), scenario)


def test_silent_request_is_refused_and_closed() -> None:
    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            head = b"POST / HTTP/1.1\r\nAuthorization: a\r\n"
            await stream.send(head + b"Content-Length: 9\r\n\r\nx")
            assert (await receive_all(stream)).startswith(b"HTTP/1.1 400 ")
        assert handler.handed_on == []

    run_with_entry_server(RequestBudget(), scenario)


def test_body_of_an_unknown_caller_is_not_asked_for() -> None:
    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        expect = b"Content-Length: 5\r\nExpect: 100-continue\r\n"
        for field, status in ((b"", b"401"), (b"Authorization: a\r\n", b"100")):
            async with await anyio.connect_tcp(HOST, port) as stream:
                await stream.send(
                    b"POST / HTTP/1.1\r\n" + expect + field + b"\r\n"
                )
                assert (await stream.receive())[9:12] == status
        assert handler.handed_on == []

    run_with_entry_server(RequestBudget(), scenario)


def test_open_requests_are_answered_after_the_server_stops_accepting() -> None:
    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        async with await anyio.connect_tcp(HOST, port) as held:
            await held.send(b"GET /held HTTP/1.1\r\n\r\n")
            while not handler.handed_on:
                await anyio.sleep(0.01)
            server.stop_accepting()
            server.drain()
            handler.may_answer.set()
            assert (await receive_all(held)).startswith(b"HTTP/1.1 200 ")

    run_with_entry_server(RequestBudget(), scenario)


def test_request_that_arrives_during_a_drain_is_answered() -> None:
    async def scenario(
        server: HttpServer, handler: CountingHandler, port: int
    ) -> None:
        async with (
            await anyio.connect_tcp(HOST, port) as idle,
            await anyio.connect_tcp(HOST, port) as receiving,
        ):
            await receiving.send(b"GET / HTTP/1.1\r\n")
            while not any(each.is_receiving for each in server._readers):
                await anyio.sleep(0.01)
            server.stop_accepting()
            server.drain()
            assert await receive_all(idle) == b""
            await receiving.send(b"\r\n")
            received = await receive_all(receiving)
            assert received.startswith(b"HTTP/1.1 200 ")

    run_with_entry_server(RequestBudget(), scenario)


def test_connections_with_kernel_buffers_displace_no_request() -> None:
    """Load: silent connections beside a body that is being received."""

    async def test() -> None:
        record = EvictionRecord(make_budget(1_000, callers=100))
        record.budget.reserve_buffers(Share.CALLERS, 64 * KB)
        record.open_receiving("body", 200 * KB)
        for number in range(100):
            record.open(str(number))
        assert "body" not in record.evicted
        assert record.budget.held_bytes <= 1_000 * KB

    run(test)


def test_share_of_other_clients_has_room() -> None:
    async def test() -> None:
        budget = make_budget(10_000, callers=1)
        account = budget.open_connection(Share.CALLERS)
        assert account is not None
        account.mark_served()
        assert not budget.has_room(Share.CALLERS)
        assert budget.has_room(Share.PROBES)

    run(test)
