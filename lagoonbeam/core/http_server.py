"""A small HTTP/1.1 server for the hot paths, with a task per connection."""

from __future__ import annotations

import logging
import time
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import httptools

from lagoonbeam.core.http_client import (
    READ_CHUNK_BYTES,
    Response,
    enable_tcp_keep_alive,
)

WRITE_TIMEOUT_S = 5.0
"""Time that a client may take to read a response."""

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    404: "Not Found",
    405: "Method Not Allowed",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}

_LOGGER = logging.getLogger(__name__)


@dataclass(slots=True)
class Request:
    """A received request.

    Attributes:
        method: HTTP method.
        target: Path and query string as sent.
        headers: Header fields by lower-case name.
        body: Its body.
        received_at_s: Monotonic time at which its first byte was parsed.
    """

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_at_s: float = 0.0


Handler = Callable[[Request], Awaitable[Response]]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on requests.

    Attributes:
        header_bytes: Largest total size of the target and header fields.
        body_bytes: Largest body.
        header_timeout_s: Longest wait for more data of an incomplete request.
        idle_timeout_s: Longest wait for the next request of a connection.
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
        self._is_receiving = False
        self._parsed_requests: list[Request] = []
        self._waiting_since_s = 0.0
        self._receive_scope = anyio.CancelScope()
        self.error_status = 0

    def set_limits(self, limits: ServerLimits) -> None:
        """Changes the limits, also of the request that is being received."""
        self._limits = limits
        self._receive_scope.deadline = self._get_deadline_s()

    def on_message_begin(self) -> None:
        self._request = Request(received_at_s=time.monotonic())
        self._body = bytearray()
        self._header_bytes = 0
        self._is_receiving = True

    def on_url(self, url: bytes) -> None:
        self._request.target += url.decode("latin-1")
        self._count_header_bytes(len(url))

    def on_header(self, name: bytes, value: bytes) -> None:
        self._count_header_bytes(len(name) + len(value))
        key = name.decode("latin-1").lower()
        self._request.headers[key] = value.decode("latin-1")

    def on_body(self, data: bytes) -> None:
        self._body += data
        if len(self._body) > self._limits.body_bytes:
            self.error_status = 413

    def on_message_complete(self) -> None:
        self._request.method = self._parser.get_method().decode("ascii")
        self._request.body = bytes(self._body)
        if self._parser.should_upgrade():
            return
        self._parsed_requests.append(self._request)
        self._is_receiving = False

    def _count_header_bytes(self, size: int) -> None:
        self._header_bytes += size
        if self._header_bytes > self._limits.header_bytes:
            self.error_status = 431

    async def read(self) -> Request | None:
        """Returns the next request, or None after a timeout.

        If a limit was exceeded, `error_status` is set and the returned
        request must be ignored.
        """
        while not self._parsed_requests and not self.error_status:
            self._waiting_since_s = anyio.current_time()
            self._receive_scope = anyio.CancelScope(
                deadline=self._get_deadline_s()
            )
            with self._receive_scope:
                data = await self._stream.receive(READ_CHUNK_BYTES)
            if self._receive_scope.cancelled_caught:
                return None
            self._parse(data)
        return (
            self._parsed_requests.pop(0) if self._parsed_requests else Request()
        )

    def _parse(self, data: bytes) -> None:
        """Parses received data; offers of another protocol are ignored."""
        while data and not self.error_status:
            try:
                self._parser.feed_data(data)
            except httptools.HttpParserUpgrade as upgrade:
                (parsed_bytes,) = upgrade.args
                head = self._encode_head_without_offer()
                self._parser = httptools.HttpRequestParser(self)
                data = head + data[parsed_bytes:]
            else:
                return

    def _encode_head_without_offer(self) -> bytes:
        """Returns the head of the current request without its `Upgrade`.

        The parser takes a request with an offer as complete before its body.
        """
        request = self._request
        if request.method == "CONNECT":
            self.error_status = 405
        is_last = "close" in request.headers.pop("connection", "").lower()
        request.headers.pop("upgrade", None)
        if is_last:
            request.headers["connection"] = "close"
        fields = [f"{name}: {value}" for name, value in request.headers.items()]
        start_line = f"{request.method} {request.target} HTTP/1.1"
        return "\r\n".join([start_line, *fields, "", ""]).encode("latin-1")

    def _get_deadline_s(self) -> float:
        return self._waiting_since_s + (
            self._limits.header_timeout_s
            if self._is_receiving
            else self._limits.idle_timeout_s
        )


class HttpServer:
    """Serves HTTP/1.1 with a task per connection.

    Args:
        handler: Returns the response to a request; if it raises, the
            response is 500.
        limits: Limits on requests.
    """

    def __init__(self, handler: Handler, limits: ServerLimits | None = None):
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._readers: set[_RequestReader] = set()
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
        """Serves until cancelled; reports the bound port once it listens."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=512, reuse_port=False
        )
        task_status.started(
            listener.extra(anyio.abc.SocketAttribute.local_port)
        )
        async with listener:
            await listener.serve(self._serve_connection)

    def set_limits(self, limits: ServerLimits) -> None:
        """Changes the limits, also those of open connections."""
        self._limits = limits
        for reader in self._readers:
            reader.set_limits(limits)

    def drain(self) -> None:
        """Closes idle connections at once, busy ones after their response."""
        self.draining = True
        for scope in list(self._idle_scopes):
            scope.cancel()

    async def _serve_connection(self, stream: anyio.abc.SocketStream) -> None:
        reader = _RequestReader(stream, self._limits)
        self._readers.add(reader)
        try:
            enable_tcp_keep_alive(stream)
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
                if reader.error_status:
                    await self._send(
                        stream, Response(reader.error_status), False
                    )
                    return
                self.open_requests += 1
                try:
                    response = await self._call_handler(request)
                    connection_header = request.headers.get(
                        "connection", ""
                    ).lower()
                    keep_alive = (
                        connection_header != "close" and not self.draining
                    )
                    await self._send(stream, response, keep_alive)
                finally:
                    self.open_requests -= 1
                if not keep_alive:
                    return
        except (
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
            anyio.EndOfStream,
            OSError,
        ):
            return
        except httptools.HttpParserError as error:
            _LOGGER.info("closing connection: malformed request: %s", error)
        finally:
            self._readers.discard(reader)
            with anyio.CancelScope(shield=True):
                await anyio.aclose_forcefully(stream)

    async def _call_handler(self, request: Request) -> Response:
        try:
            return await self._handler(request)
        except Exception:
            # An error of one request must not end the process.
            _LOGGER.exception("%s %s failed", request.method, request.target)
            return Response(500)

    async def _send(
        self,
        stream: anyio.abc.SocketStream,
        response: Response,
        keep_alive: bool,
    ) -> None:
        reason = REASON_PHRASES.get(response.status, "Status")
        lines = [f"HTTP/1.1 {response.status} {reason}"]
        lines += [
            f"{name}: {value}" for name, value in response.headers.items()
        ]
        if response.body and "Content-Type" not in response.headers:
            lines.append("Content-Type: application/json")
        lines.append(f"Content-Length: {len(response.body)}")
        lines.append(
            "Connection: keep-alive" if keep_alive else "Connection: close"
        )
        response_head = "\r\n".join([*lines, "", ""]).encode("latin-1")
        with anyio.move_on_after(WRITE_TIMEOUT_S):
            await stream.send(response_head + response.body)
            if not keep_alive:
                await stream.send_eof()
