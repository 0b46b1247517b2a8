"""HTTP/1.1 for the hot paths: a pooled client and a small server.

Messages are parsed by ``httptools``; streams, deadlines and tasks are
``anyio``'s. ``docs/design/platform.md`` gives the cost beside ``httpx``.
"""

from __future__ import annotations

import logging
import socket
import time
from collections.abc import Awaitable, Callable, Mapping
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httptools

from lagoonbeam.errors import AnswerLostError, ServerUnreachableError

DIAL_TIMEOUT_S = 1.0
"""Seconds to wait for a connection; several round trips between zones."""
KEEP_ALIVE_IDLE_S = 2
"""Idle seconds before the first TCP keep-alive probe, and between probes."""
KEEP_ALIVE_PROBES = 2
"""Unanswered probes after which a connection is closed."""
UNACKNOWLEDGED_MS = 3_000
"""Milliseconds sent bytes may stay unacknowledged (TCP_USER_TIMEOUT)."""
READ_BYTES = 65_536
"""Bytes asked of a stream at a time."""
POOL_CONNECTIONS = 8
"""Idle connections kept to one server."""
WRITE_TIMEOUT_S = 5.0
"""Seconds a client may take to read a response."""

REASONS = {
    200: "OK",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class Response:
    """An answer.

    Attributes:
        status: HTTP status.
        body: The body.
        headers: Header fields; names in lower case where received.
    """

    status: int
    body: bytes = b""
    headers: dict[str, str] = field(default_factory=dict)


@dataclass(slots=True)
class Request:
    """A call that arrived.

    Attributes:
        method: HTTP method.
        target: Path and query as sent.
        headers: Header fields by lower-case name.
        body: The body.
        received_s: Monotonic time at which its first byte was parsed.
    """

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_s: float = 0.0


Handler = Callable[[Request], Awaitable[Response]]


def set_keep_alive(stream: anyio.abc.SocketStream) -> None:
    """Makes the kernel close a connection whose other side went silent."""
    raw = stream.extra(anyio.abc.SocketAttribute.raw_socket)
    options = (
        (socket.SOL_SOCKET, socket.SO_KEEPALIVE, 1),
        (socket.IPPROTO_TCP, socket.TCP_KEEPIDLE, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPINTVL, KEEP_ALIVE_IDLE_S),
        (socket.IPPROTO_TCP, socket.TCP_KEEPCNT, KEEP_ALIVE_PROBES),
        (socket.IPPROTO_TCP, socket.TCP_USER_TIMEOUT, UNACKNOWLEDGED_MS),
    )
    for level, option, value in options:
        raw.setsockopt(level, option, value)


class _Connection:
    """One client connection; one exchange at a time."""

    def __init__(self, stream: anyio.abc.SocketStream):
        self._stream = stream
        self._parser = httptools.HttpResponseParser(self)
        self._headers: dict[str, str] = {}
        self._body = bytearray()
        self._complete = False
        self.reusable = True

    def on_header(self, name: bytes, value: bytes) -> None:
        self._headers[name.decode("latin-1").lower()] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data

    def on_message_complete(self) -> None:
        self._complete = True
        self.reusable = self._parser.should_keep_alive()

    async def exchange(self, data: bytes) -> Response:
        self._headers, self._body, self._complete = {}, bytearray(), False
        await self._stream.send(data)
        while not self._complete:
            self._parser.feed_data(await self._stream.receive(READ_BYTES))
        return Response(
            self._parser.get_status_code(), bytes(self._body), self._headers
        )

    async def close(self) -> None:
        await anyio.aclose_forcefully(self._stream)


class HttpClient:
    """Calls one server over pooled connections.

    Args:
        host: IP number.
        port: TCP port.
    """

    def __init__(self, host: str, port: int):
        self.host = host
        self.port = port
        self._idle: list[_Connection] = []

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes = b"",
        headers: Mapping[str, str] | None = None,
        timeout_s: float,
    ) -> Response:
        """Makes one call.

        Args:
            method: HTTP method.
            target: Path and query.
            body: The body, JSON or raw.
            headers: Further header fields.
            timeout_s: Seconds until the call is given up.

        Raises:
            ServerUnreachableError: If the request was not sent.
            AnswerLostError: If it was sent and no whole answer came.
        """
        lines = [f"{method} {target} HTTP/1.1", f"Host: {self.host}"]
        lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
        if body or method == "POST":
            lines.append(f"Content-Length: {len(body)}")
        data = "\r\n".join([*lines, "", ""]).encode("latin-1") + body
        deadline_s = anyio.current_time() + timeout_s
        connection = await self._connect(timeout_s)
        try:
            with anyio.fail_after(max(0.0, deadline_s - anyio.current_time())):
                response = await connection.exchange(data)
        except TimeoutError as error:
            await connection.close()
            await self.close()
            raise AnswerLostError(
                f"{self.host}:{self.port} {target}: no answer in {timeout_s} s"
            ) from error
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            httptools.HttpParserError,
            OSError,
        ) as error:
            await connection.close()
            raise AnswerLostError(
                f"{self.host}:{self.port} {target}: connection ended"
                f" ({type(error).__name__})"
            ) from error
        except BaseException:
            with anyio.CancelScope(shield=True):
                await connection.close()
            raise
        if connection.reusable and len(self._idle) < POOL_CONNECTIONS:
            self._idle.append(connection)
        else:
            await connection.close()
        return response

    async def close(self) -> None:
        """Closes the idle connections; the client stays usable."""
        idle, self._idle = self._idle, []
        for connection in idle:
            await connection.close()

    async def _connect(self, timeout_s: float) -> _Connection:
        if self._idle:
            return self._idle.pop()
        try:
            with anyio.fail_after(min(timeout_s, DIAL_TIMEOUT_S)):
                stream = await anyio.connect_tcp(self.host, self.port)
                set_keep_alive(stream)
        except (OSError, TimeoutError) as error:
            raise ServerUnreachableError(
                f"cannot connect to {self.host}:{self.port}"
                f" ({type(error).__name__})"
            ) from error
        return _Connection(stream)


@dataclass(slots=True)
class ServerLimits:
    """Bounds on what clients may send; changed while the server runs.

    Attributes:
        header_bytes: Most bytes of header fields.
        body_bytes: Most bytes of a body.
        header_timeout_s: Longest time from a request's first byte to its end.
        idle_timeout_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


class _RequestReader:
    """Parses the requests of one connection."""

    def __init__(self, stream: anyio.abc.SocketStream, limits: ServerLimits):
        self._stream = stream
        self._limits = limits
        self._parser = httptools.HttpRequestParser(self)
        self._request = Request()
        self._body = bytearray()
        self._header_bytes = 0
        self._started = False
        self._ready: list[Request] = []
        self.too_large = 0

    def on_message_begin(self) -> None:
        self._request = Request(received_s=time.monotonic())
        self._body = bytearray()
        self._header_bytes = 0
        self._started = True

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode("latin-1")
        self._count(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count(len(name) + len(value))
        key = name.decode("latin-1").lower()
        self._request.headers[key] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self.too_large = 413

    def on_message_complete(self) -> None:
        self._request.method = self._parser.get_method().decode("ascii")
        self._request.body = bytes(self._body)
        self._ready.append(self._request)
        self._started = False

    def _count(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.header_bytes:
            self.too_large = 431

    async def read(self) -> Request | None:
        """Returns the next request, or None when the connection ends."""
        while not self._ready and not self.too_large:
            limits = self._limits
            timeout_s = (
                limits.header_timeout_s
                if self._started
                else limits.idle_timeout_s
            )
            with anyio.move_on_after(timeout_s) as scope:
                data = await self._stream.receive(READ_BYTES)
            if scope.cancelled_caught:
                return None
            self._parser.feed_data(data)
        return self._ready.pop(0) if self._ready else Request()


class HttpServer:
    """Serves HTTP/1.1; one task for each connection.

    Args:
        handler: Answers a request; it must not raise.
        limits: Bounds on requests.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None):
        self._handler = handler
        self.limits = limits or ServerLimits()
        self.draining = False
        self.open_requests = 0
        self._idle_scopes: set[anyio.CancelScope] = set()

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Listens until cancelled; reports the bound port when it does."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=512, reuse_port=False
        )
        task_status.started(
            listener.extra(anyio.abc.SocketAttribute.local_port)
        )
        async with listener:
            await listener.serve(self._serve_connection)

    def drain(self) -> None:
        """Ends idle connections; busy ones end after their response."""
        self.draining = True
        for scope in list(self._idle_scopes):
            scope.cancel()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        try:
            set_keep_alive(stream)
            reader = _RequestReader(stream, self.limits)
            while True:
                request = None
                with anyio.CancelScope() as scope:
                    self._idle_scopes.add(scope)
                    try:
                        request = await reader.read()
                    finally:
                        self._idle_scopes.discard(scope)
                if request is None:
                    return
                if reader.too_large:
                    await self._send(stream, Response(reader.too_large), False)
                    return
                self.open_requests += 1
                try:
                    response = await self._handler(request)
                    wanted = request.headers.get("connection", "").lower()
                    keep = wanted != "close" and not self.draining
                    await self._send(stream, response, keep)
                finally:
                    self.open_requests -= 1
                if not keep:
                    return
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            OSError,
        ):
            return
        except httptools.HttpParserError as error:
            _LOGGER.info("malformed request: %s", error)
        finally:
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _send(
        self, stream: anyio.abc.SocketStream, response: Response, keep: bool
    ) -> None:
        reason = REASONS.get(response.status, "Status")
        lines = [f"HTTP/1.1 {response.status} {reason}"]
        lines += [
            f"{name}: {value}" for name, value in response.headers.items()
        ]
        if response.body:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(response.body)}")
        lines.append("Connection: keep-alive" if keep else "Connection: close")
        head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            await stream.send(head + response.body)
            if not keep:
                await stream.send_eof()
