from __future__ import annotations

import contextlib
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import anyio.abc
import pytest

from lagoonbeam.core.http_client import (
    HttpClient,
    Response,
    ResponseProgress,
)
from lagoonbeam.core.http_server import HttpServer, Request, ServerLimits
from lagoonbeam.errors import ResponseLostError, ServerUnreachableError

HOST = "127.0.0.1"


async def echo(request: Request) -> Response:
    if request.target == "/slow":
        await anyio.sleep(0.3)
    return Response(200, request.body or request.target.encode())


def run_with_server(
    test: Callable[[HttpServer, int], Awaitable[None]],
    limits: ServerLimits | None = None,
) -> None:
    async def main() -> None:
        server = HttpServer(echo, limits)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve, HOST, 0)
            await test(server, port)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_sequential_and_concurrent_calls_get_their_own_responses() -> None:
    async def test(server: HttpServer, port: int) -> None:
        client = HttpClient(HOST, port)
        for number in range(5):
            response = await client.call("GET", f"/{number}", timeout_s=1)
            assert response.body == f"/{number}".encode()
        async with anyio.create_task_group() as tasks:
            for text in ("/slow", "/a", "/b"):
                tasks.start_soon(_expect_echo, client, text)
        await client.close()

    run_with_server(test)


async def _expect_echo(client: HttpClient, text: str) -> None:
    response = await client.call("GET", text, timeout_s=1)
    assert response.body == text.encode()


def test_unsent_and_unanswered_calls_raise_different_errors() -> None:
    """Only a request that was not sent is safe to repeat."""

    async def test(server: HttpServer, port: int) -> None:
        with pytest.raises(ResponseLostError):
            await HttpClient(HOST, port).call("GET", "/slow", timeout_s=0.1)
        with pytest.raises(ServerUnreachableError):
            await HttpClient(HOST, 1).call("GET", "/", timeout_s=0.5)

    run_with_server(test)


def test_oversized_body_and_headers_are_refused() -> None:
    async def test(server: HttpServer, port: int) -> None:
        client = HttpClient(HOST, port)
        body = await client.call("POST", "/", body=b"x" * 200, timeout_s=1)
        head = await client.call(
            "GET", "/", headers={"A": "x" * 300}, timeout_s=1
        )
        assert (body.status, head.status) == (413, 431)

    run_with_server(test, ServerLimits(header_bytes=200, body_bytes=100))


def test_shorter_idle_timeout_ends_connections_that_are_idle_already() -> None:
    async def test(server: HttpServer, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            await stream.send(b"GET / HTTP/1.1\r\n\r\n")
            await stream.receive()
            server.set_limits(ServerLimits(idle_timeout_s=0.1))
            with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
                await stream.receive()

    run_with_server(test)


def test_failing_handler_does_not_end_the_server() -> None:
    async def fail_once(request: Request) -> Response:
        if request.target == "/fails":
            raise ValueError("unexpected")
        return Response(200)

    async def main() -> None:
        server = HttpServer(fail_once)
        async with anyio.create_task_group() as tasks:
            port = await tasks.start(server.serve, HOST, 0)
            client = HttpClient(HOST, port)
            failed = await client.call("GET", "/fails", timeout_s=1)
            assert failed.status == 500
            assert (await client.call("GET", "/", timeout_s=1)).status == 200
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_slow_sender_times_out_without_blocking_other_clients() -> None:
    """A client stops in the middle of its request line."""

    async def test(server: HttpServer, port: int) -> None:
        stream = await anyio.connect_tcp(HOST, port)
        await stream.send(b"GET / HTT")
        await _expect_echo(HttpClient(HOST, port), "/other")
        with anyio.fail_after(2), pytest.raises(anyio.EndOfStream):
            await stream.receive()

    run_with_server(
        test, ServerLimits(header_timeout_s=0.2, idle_timeout_s=0.2)
    )


def test_malformed_request_closes_only_its_connection() -> None:
    async def test(server: HttpServer, port: int) -> None:
        stream = await anyio.connect_tcp(HOST, port)
        await stream.send(b"\x00\x01\x02\r\n\r\n")
        with (
            anyio.fail_after(2),
            pytest.raises((anyio.EndOfStream, anyio.BrokenResourceError)),
        ):
            await stream.receive()
        await _expect_echo(HttpClient(HOST, port), "/after")

    run_with_server(test)


UPGRADE_FIELDS = (
    "Connection: Upgrade, HTTP2-Settings\r\nUpgrade: h2c\r\n"
    "HTTP2-Settings: AAMAAABkAAQAAP__\r\n"
)


@pytest.mark.parametrize("chunk_bytes", [1, 40, 10_000])
def test_request_that_offers_another_protocol_is_answered_as_usual(
    chunk_bytes: int,
) -> None:
    """It ended the process that read it."""

    async def test(server: HttpServer, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            upgrade = (
                f"POST /a HTTP/1.1\r\nHost: h\r\n{UPGRADE_FIELDS}"
                "Content-Length: 3\r\n\r\none"
            )
            data = f"{upgrade}{upgrade}GET /b HTTP/1.1\r\nHost: h\r\n\r\n"
            for start in range(0, len(data), chunk_bytes):
                await stream.send(data[start : start + chunk_bytes].encode())
            received = b""
            with anyio.fail_after(2.0):
                while received.count(b"HTTP/1.1 200") < 3 or (
                    not received.endswith(b"/b")
                ):
                    received += await stream.receive()
        assert received.count(b"\r\n\r\none") == 2

    run_with_server(test)


@pytest.mark.parametrize(
    ("request_head", "status"),
    [
        (f"GET /a HTTP/1.1\r\nHost: h\r\n{UPGRADE_FIELDS}\r\n", 200),
        ("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n", 405),
        ("CONNECT h:1 HTTP/1.1\r\nHost: h\r\n\r\n\x16\x03\x01", 405),
    ],
)
def test_tunnel_and_upgrade_requests_do_not_end_the_server(
    request_head: str, status: int
) -> None:
    async def test(server: HttpServer, port: int) -> None:
        async with await anyio.connect_tcp(HOST, port) as stream:
            await stream.send(request_head.encode("latin-1"))
            with anyio.fail_after(2.0):
                response = await stream.receive()
        assert response.startswith(f"HTTP/1.1 {status}".encode())
        await _expect_echo(HttpClient(HOST, port), "/still-serving")

    run_with_server(test)


def test_response_that_switches_the_protocol_counts_as_lost() -> None:
    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(
                b"HTTP/1.1 101 Switching Protocols\r\n"
                b"Connection: Upgrade\r\nUpgrade: h2c\r\n\r\n"
            )
            await anyio.sleep(1.0)

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            with pytest.raises(ResponseLostError):
                await HttpClient(HOST, port).call("GET", "/", timeout_s=1)
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    ("has_progress", "gap_s"), [(False, 0.1), (True, 0.1), (True, 0.5)]
)
def test_large_response_over_a_slow_link_is_received(
    has_progress: bool, gap_s: float
) -> None:
    """A snapshot was read in vain, for good, as each attempt was cut off."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n")
            with contextlib.suppress(anyio.BrokenResourceError):
                for _ in range(8):
                    await anyio.sleep(gap_s)
                    await stream.send(b"x")

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        progress = ResponseProgress() if has_progress else None
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            call = HttpClient(HOST, port).call(
                "GET", "/", timeout_s=0.3, progress=progress
            )
            if has_progress and gap_s < 0.3:
                assert (await call).body == b"x" * 8
            else:
                with pytest.raises(ResponseLostError):
                    await call
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_response_that_trickles_in_is_given_up(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The waits of a read must have a bounded sum."""
    monkeypatch.setattr("lagoonbeam.core.http_client.MAX_RESPONSE_S", 0.5)

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            await stream.send(b"HTTP/1.1 200 OK\r\nContent-Length: 99\r\n\r\n")
            with contextlib.suppress(anyio.BrokenResourceError):
                while True:
                    await anyio.sleep(0.05)
                    await stream.send(b"x")

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            with anyio.fail_after(2.0), pytest.raises(ResponseLostError):
                await HttpClient(HOST, port).call(
                    "GET", "/", timeout_s=0.3, progress=ResponseProgress()
                )
            tasks.cancel_scope.cancel()

    anyio.run(main)


@pytest.mark.parametrize(
    ("head", "body"),
    [
        (b"HTTP/1.1 200 OK\r\nContent-Length: 12000000\r\n\r\n", b"x"),
        (
            b"HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n",
            b"1\r\nx\r\n",
        ),
        (b"HTTP/1.1 200 OK\r\n", b"A: b\r\n"),
        (b"HTTP/1.1 200 OK\r\nA: ", b"x"),
        (b"HTTP/1.1 200 OK\r\n\r\n", b"x"),
    ],
)
def test_response_over_the_largest_size_is_given_up(
    head: bytes, body: bytes
) -> None:
    """A server's answer without end took the memory of the process."""

    async def serve(stream: anyio.abc.SocketStream) -> None:
        async with stream:
            await stream.receive()
            with contextlib.suppress(anyio.BrokenResourceError):
                await stream.send(head)
                for _ in range(120):
                    await stream.send(body * (100_000 // len(body)))
                await stream.send(b"0" if b"chunked" in head else b"")
                await stream.send(b"\r\n\r\n")

    async def main() -> None:
        listener = await anyio.create_tcp_listener(local_host=HOST)
        port = listener.extra(anyio.abc.SocketAttribute.local_port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(listener.serve, serve)
            with pytest.raises(ResponseLostError, match="Oversized"):
                await HttpClient(HOST, port).call("GET", "/", timeout_s=60)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_drain_finishes_open_requests_and_closes_idle_connections() -> None:
    async def test(server: HttpServer, port: int) -> None:
        client = HttpClient(HOST, port)
        await _expect_echo(client, "/first")
        idle = await anyio.connect_tcp(HOST, port)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(_expect_echo, client, "/slow")
            await anyio.sleep(0.1)
            server.drain()
        with anyio.fail_after(1), pytest.raises(anyio.EndOfStream):
            await idle.receive()
        assert server.open_requests == 0

    run_with_server(test)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_data_that_arrives_at_the_time_out_breaks_no_call(
    anyio_backend: str, monkeypatch: pytest.MonkeyPatch
) -> None:
    """The scope's deadline moved after its cancellation."""

    class LateConnection:
        async def send_request(self, data: bytes, on_data: Any) -> None:
            try:
                await anyio.sleep(10.0)
            finally:
                on_data()

        async def close(self) -> None:
            pass

    client = HttpClient("127.0.0.1", 1)

    async def connect(timeout_s: float) -> LateConnection:
        return LateConnection()

    monkeypatch.setattr(client, "_connect", connect)
    with pytest.raises(ResponseLostError):
        await client.call(
            "GET", "/", timeout_s=0.05, progress=ResponseProgress()
        )
