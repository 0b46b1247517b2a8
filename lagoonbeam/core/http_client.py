"""A pooled HTTP/1.1 client for the hot paths.

Messages are parsed by ``httptools``; streams, timeouts and tasks come from
``anyio``. ``docs/design/platform.md`` compares its cost with ``httpx``.
"""

from __future__ import annotations

import socket
from collections.abc import Callable, Mapping
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httptools

from lagoonbeam.errors import ResponseLostError, ServerUnreachableError

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout; allows several round trips between zones."""
KEEP_ALIVE_INTERVAL_S = 2
"""Idle time before the first TCP keep-alive probe, and between probes."""
KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which the kernel closes a connection."""
TCP_USER_TIMEOUT_MS = 3_000
"""Time for which sent data may stay unacknowledged."""
MAX_RESPONSE_S = 10.0
"""Longest time for which a response that keeps arriving is received."""
READ_CHUNK_BYTES = 65_536
"""Most bytes read from a stream at a time."""
MAX_RESPONSE_BYTES = 8_388_608
"""Largest response, with its head and framing."""
MAX_IDLE_CONNECTIONS = 8
"""Idle connections kept open to one server."""


@dataclass(slots=True)
class Response:
    """An HTTP response, received or to be sent.

    Attributes:
        status: HTTP status.
        body: Its body.
        headers: Header fields; received ones have lower-case names.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class ResponseProgress:
    """Whether the response to a request is arriving.

    Attributes:
        last_data_s: When data of it last arrived, on the event loop's clock;
            negative infinity before the first.
    """

    last_data_s: float = float("-inf")

    def record_data(self) -> None:
        """Records that data has arrived."""
        self.last_data_s = anyio.current_time()


def enable_tcp_keep_alive(tcp_socket: socket.socket) -> None:
    """Makes the kernel close a connection whose peer stops responding."""
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_INTERVAL_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, TCP_USER_TIMEOUT_MS),
    )
    for level, option, value in options:
        tcp_socket.setsockopt(level, option, value)


class _OversizedResponseError(Exception):
    """A response is larger than `MAX_RESPONSE_BYTES`."""


class _Connection:
    """A client connection that carries one request at a time."""

    def __init__(self, stream: anyio.abc.SocketStream):
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._is_complete = False
        self.is_reusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._is_complete = True
        self.is_reusable = self._parser.should_keep_alive()

    async def send_request(
        self, data: bytes, on_data: Callable[[], None]
    ) -> Response:
        self._headers, self._body, self._is_complete = {}, bytearray(), False
        received_bytes = 0
        await self._stream.send(data)
        while not self._is_complete:
            chunk = await self._stream.receive(READ_CHUNK_BYTES)
            on_data()
            received_bytes += len(chunk)
            if received_bytes > MAX_RESPONSE_BYTES:
                raise _OversizedResponseError
            self._parser.feed_data(chunk)
        return Response(
            self._parser.get_status_code(), bytes(self._body), self._headers
        )

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """Sends requests to one server over pooled connections.

    Args:
        host: IP address.
        port: TCP port.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self._idle_connections: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
        progress: ResponseProgress | None = None,
    ) -> Response:
        """Sends one request and returns its response.

        Args:
            method: HTTP method.
            target: Path and query string.
            body: Request body.
            headers: Additional header fields.
            timeout_s: Timeout of the whole call, connecting included.
            progress: Records when data of the response arrives. If given, the
                timeout begins anew whenever data arrives, up to
                `MAX_RESPONSE_S` in total: a slow link may carry a large
                response for longer than a server may take to answer.

        Raises:
            ServerUnreachableError: If the request was not sent.
            ResponseLostError: If it was sent and no complete response
                arrived; it may have been executed.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        deadline_s = anyio.current_time() + timeout_s
        last_deadline_s = max(deadline_s, anyio.current_time() + MAX_RESPONSE_S)
        connection = await self._connect(timeout_s)
        try:
            with anyio.fail_after(
                max(0.0, deadline_s - anyio.current_time())
            ) as scope:

                def handle_data() -> None:
                    if progress is not None:
                        progress.record_data()
                        scope.deadline = min(
                            anyio.current_time() + timeout_s, last_deadline_s
                        )

                response = await connection.send_request(data, handle_data)
            if scope.cancelled_caught:
                # Data that arrives at the deadline moves it, after which
                # `fail_after` does not raise.
                raise TimeoutError
        except TimeoutError as error:
            await connection.close()
            await self.close()
            raise ResponseLostError(
                f"{self.host}:{self.port} {target}: no answer in {timeout_s} s"
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            _OversizedResponseError,
            httptools.HttpParserError,
            httptools.HttpParserUpgrade,
            OSError,
        ) as error:
            await connection.close()
            raise ResponseLostError(
                f"{self.host}:{self.port} {target}: connection ended"
                f" ({type(error).__name__})"
            ) from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        if (
            connection.is_reusable
            and len(self._idle_connections) < MAX_IDLE_CONNECTIONS
        ):
            self._idle_connections.append(connection)
        else:
            await connection.close()
        return response

    async def close(self) -> None:
        """Closes the idle connections; later calls open new ones."""
        idle_connections, self._idle_connections = self._idle_connections, []
        for connection in idle_connections:
            await connection.close()

    async def _connect(self, timeout_s: float) -> _Connection:
        if self._idle_connections:
            return self._idle_connections.pop()
        try:
            with anyio.fail_after(min(timeout_s, CONNECT_TIMEOUT_S)):
                stream = await anyio.connect_tcp(self.host, self.port)
                enable_tcp_keep_alive(
                    stream.extra(anyio.abc.SocketAttribute.raw_socket)
                )
        except (OSError, TimeoutError) as error:
            raise ServerUnreachableError(
                f"cannot connect to {self.host}:{self.port}"
                f" ({type(error).__name__})"
            ) from error
        return _Connection(stream)
