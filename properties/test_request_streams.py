"""Any stream of bytes at a server leaves the process and its account sound."""

from __future__ import annotations

import contextlib
import functools
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonbeam.core.http_client import HttpClient, Response
from lagoonbeam.core.http_server import HttpServer, Request, ServerLimits
from lagoonbeam.core.request_budget import RequestBudget, RequestLimitSettings

HOST = "127.0.0.1"
HEADER_BYTES, BODY_BYTES = 2_000, 4_000
MEMORY_MB = 0.5
READ_BYTES = 65_536
"""Received data of one connection that is parsed while it is accounted for."""

fields = st.sampled_from(
    [
        b"Content-Length: 5\r\n",
        b"Content-Length: 3900\r\n",
        b"Content-Length: 4001\r\n",
        b"Transfer-Encoding: chunked\r\n",
        b"Connection: close\r\n",
        b"Connection: Upgrade\r\nUpgrade: h2c\r\n",
        b"A: " + b"a" * 1_500 + b"\r\n",
        b"B: b",
    ]
)
fragments = st.one_of(
    st.sampled_from(
        [
            b"GET / HTTP/1.1\r\n",
            b"POST /x HTTP/1.1\r\n",
            b"CONNECT h:1 HTTP/1.1\r\n",
            b"\r\n",
            b"\r\n" * 3_000,
            b"5\r\nhello\r\n",
            b"1\r\nx\r\n" * 500,
            b"0\r\n\r\n",
            b"0\r\n",
            b"hello",
            b"x" * 3_900,
            b"GET / HTTP/1.1\r\n\r\n" * 200,
        ]
    ),
    fields,
    st.binary(max_size=40),
)
streams = st.lists(st.lists(fragments, max_size=12), min_size=1, max_size=8)


async def run_with_server(
    test: Callable[[RequestBudget, list[Request], int], Awaitable[None]],
) -> None:
    handed_on: list[Request] = []

    async def answer(request: Request) -> Response:
        handed_on.append(request)
        return Response(200, request.body)

    budget = RequestBudget(RequestLimitSettings(), memory_mb=MEMORY_MB)
    limits = ServerLimits(HEADER_BYTES, BODY_BYTES, 60.0, 60.0)
    server = HttpServer(answer, limits, budget=budget)
    async with anyio.create_task_group() as tasks:
        port = await tasks.start(server.serve, HOST, 0)
        with anyio.fail_after(60):
            await test(budget, handed_on, port)
        tasks.cancel_scope.cancel()


@settings(max_examples=150, deadline=None, derandomize=True)
@given(streams)
def test_any_streams_leave_the_server_sound(
    connections: list[list[bytes]],
) -> None:
    async def test(
        budget: RequestBudget, handed_on: list[Request], port: int
    ) -> None:
        streams_open: list[anyio.abc.SocketStream] = []
        for sent in connections:
            stream = await anyio.connect_tcp(HOST, port)
            streams_open.append(stream)
            for data in sent:
                with contextlib.suppress(anyio.BrokenResourceError):
                    await stream.send(data)
                assert budget.held_bytes <= MEMORY_MB * 1_048_576
        client = HttpClient(HOST, port)
        response = await client.call("GET", "/ordinary", timeout_s=30)
        assert response.status == 200
        await client.close()
        for stream in streams_open:
            await anyio.aclose_forcefully(stream)
        while budget.connection_count:
            await anyio.sleep(0)
        assert budget.held_bytes == 0
        for request in handed_on:
            assert len(request.body) <= BODY_BYTES
            assert sum(map(len, request.headers)) <= HEADER_BYTES

    anyio.run(functools.partial(run_with_server, test))
