"""A small HTTP/1.1 server for the hot paths, with a task per connection."""

from __future__ import annotations

import logging
import socket
from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import anyio.lowlevel
import httptools

from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_request_reader import (
    HeadChecker,
    Request,
    RequestReader,
    ServerLimits,
)
from lagoonbeam.core.request_budget import (
    ConnectionAccount,
    Limit,
    RequestBudget,
    Share,
)
from lagoonbeam.core.tcp_connection import (
    LISTEN_BACKLOG,
    SocketBuffers,
    TcpConnection,
    accept_connections,
)

__all__ = [
    "Handler",
    "HttpServer",
    "Request",
    "ServerLimits",
    "make_plain_refusal",
]

WRITE_TIMEOUT_S = 5.0
"""Time that a client may take to read a response."""
RETRY_AFTER_S = 1
"""When a client that was refused for want of memory may come back."""

REASON_PHRASES = {
    200: "OK",
    202: "Accepted",
    400: "Bad Request",
    401: "Unauthorized",
    403: "Forbidden",
    404: "Not Found",
    405: "Method Not Allowed",
    408: "Request Timeout",
    409: "Conflict",
    410: "Gone",
    413: "Content Too Large",
    422: "Unprocessable Content",
    429: "Too Many Requests",
    431: "Request Header Fields Too Large",
    500: "Internal Server Error",
    502: "Bad Gateway",
    503: "Service Unavailable",
    504: "Gateway Timeout",
}
_LIMITS_BY_STATUS = {
    400: Limit.HEAD,
    408: Limit.DURATION,
    413: Limit.BODY,
    431: Limit.HEAD,
}

_LOGGER = logging.getLogger(__name__)

Handler = Callable[[Request], Awaitable[Response]]


def make_plain_refusal(status: int) -> Response:
    """Returns the response without a body to a client at a limit."""
    headers = {"Retry-After": str(RETRY_AFTER_S)} if status == 503 else {}
    return Response(status, headers=headers)


class HttpServer:
    """Serves HTTP/1.1 with a task per connection.

    Args:
        handler: Returns the response to a request; if it raises, the
            response is 500.
        limits: Limits on requests.
        budget: Bounds what all clients of the process may hold.
        share: The part of the budget for this server's clients.
        buffers: The kernel's buffers of each connection, which count toward
            the budget; if None, the kernel chooses and they do not count.
        check_head: Returns the response to a request that is refused before
            its body arrives, or None; called for requests with a body.
        make_refusal: Returns the response to a client at a limit, given the
            HTTP status of the limit.
    """

    def __init__(
        self,
        handler: Handler,
        limits: ServerLimits | None = None,
        *,
        budget: RequestBudget | None = None,
        share: Share = Share.CALLERS,
        buffers: SocketBuffers | None = None,
        check_head: HeadChecker | None = None,
        make_refusal: Callable[[int], Response] = make_plain_refusal,
    ):
        self._handler = handler
        self._limits = limits or ServerLimits()
        self._budget = budget or RequestBudget()
        self._share = share
        self._buffers = buffers
        if buffers is not None:
            self._budget.reserve_buffers(share, buffers.memory_bytes)
        self._check_head = check_head
        self._make_refusal = make_refusal
        self._accept_scope = anyio.CancelScope()
        self._readers: set[RequestReader] = set()
        self.draining = False
        self.open_requests = 0
        self._read_scopes: dict[anyio.CancelScope, RequestReader] = {}

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the bound port once it listens.

        After `stop_accepting`, returns once all connections have ended.
        """
        listener = await anyio.create_tcp_listener(
            local_host=host,
            local_port=port,
            backlog=LISTEN_BACKLOG,
            reuse_port=False,
        )
        async with anyio.create_task_group() as tasks:

            def start_connection(
                connection: TcpConnection, account: ConnectionAccount | None
            ) -> None:
                if account is None:
                    connection.send_last(self._encode_refusal(503))
                    connection.close()
                else:
                    tasks.start_soon(
                        self._serve_connection, connection, account
                    )

            async with listener:
                task_status.started(
                    listener.extra(anyio.abc.SocketAttribute.local_port)
                )
                listening_socket: socket.socket = listener.extra(
                    anyio.abc.SocketAttribute.raw_socket
                )
                if self._buffers is not None:
                    self._buffers.apply(listening_socket)
                with self._accept_scope:
                    await accept_connections(
                        listening_socket,
                        self._budget,
                        self._share,
                        start_connection,
                    )

    def stop_accepting(self) -> None:
        """Stops listening; open connections are served on."""
        self._accept_scope.cancel()

    def set_limits(self, limits: ServerLimits) -> None:
        """Changes the limits, also those of open connections."""
        self._limits = limits
        for reader in self._readers:
            reader.set_limits(limits)

    def drain(self) -> None:
        """Closes idle connections at once, busy ones after their response."""
        self.draining = True
        for scope, reader in list(self._read_scopes.items()):
            if not reader.is_receiving:
                scope.cancel()

    async def _serve_connection(
        self, connection: TcpConnection, account: ConnectionAccount
    ) -> None:
        reader = RequestReader(
            connection,
            account,
            self._limits,
            self._budget.settings,
            self._check_head,
        )
        scope = anyio.CancelScope()

        def end_connection() -> None:
            reader.close()
            scope.cancel()

        account.on_evict = end_connection
        connection.on_blocked = account.mark_progress
        self._readers.add(reader)
        try:
            connection.configure()
            with scope:
                while not account.is_closed and await self._serve_request(
                    connection, account, reader
                ):
                    if reader.has_unparsed_data:
                        account.mark_progress()
                    else:
                        account.mark_idle()
                    await anyio.lowlevel.checkpoint()
            if scope.cancelled_caught and reader.is_receiving:
                connection.send_last(self._encode_refusal(503))
        except (anyio.ClosedResourceError, OSError):
            return
        except httptools.HttpParserError as error:
            _LOGGER.info("closing connection: malformed request: %s", error)
        except Exception:
            # An error of one connection must not end the process.
            _LOGGER.exception("closing connection")
        finally:
            self._readers.discard(reader)
            reader.close()
            account.close()
            connection.close()

    async def _serve_request(
        self,
        connection: TcpConnection,
        account: ConnectionAccount,
        reader: RequestReader,
    ) -> bool:
        """Serves the next request; returns whether another may follow."""
        request = None
        with anyio.CancelScope() as scope:
            self._read_scopes[scope] = reader
            try:
                request = await reader.read()
            finally:
                del self._read_scopes[scope]
        if request is None:
            return False
        if reader.error_status or account.is_closed:
            status = reader.error_status or 503
            if status in _LIMITS_BY_STATUS:
                self._budget.monitor.record(_LIMITS_BY_STATUS[status])
            connection.send_last(self._encode_refusal(status))
            return False
        request.account = account
        account.mark_served()
        self.open_requests += 1
        try:
            response = await self._call_handler(request)
            keep_alive = (
                request.headers.get("connection", "").lower() != "close"
                and request.is_complete
                and not self.draining
            )
            reader.hold_response(len(response.body))
            await self._send(connection, response, keep_alive)
        finally:
            self.open_requests -= 1
        return keep_alive

    def _encode_refusal(self, status: int) -> bytes:
        return _encode_response(self._make_refusal(status), keep_alive=False)

    async def _call_handler(self, request: Request) -> Response:
        if request.refusal is not None:
            return request.refusal
        try:
            return await self._handler(request)
        except Exception:
            # An error of one request must not end the process.
            _LOGGER.exception("%s %s failed", request.method, request.target)
            return Response(500)

    async def _send(
        self,
        connection: TcpConnection,
        response: Response,
        keep_alive: bool,
    ) -> None:
        data = _encode_response(response, keep_alive)
        with anyio.move_on_after(WRITE_TIMEOUT_S) as scope:
            await connection.send(data)
        if scope.cancelled_caught:
            raise TimeoutError
        if not keep_alive:
            connection.send_last(b"")


def _encode_response(response: Response, keep_alive: bool) -> bytes:
    reason = REASON_PHRASES.get(response.status, "Status")
    lines = [f"HTTP/1.1 {response.status} {reason}"]
    lines += [f"{name}: {value}" for name, value in response.headers.items()]
    if response.body and "Content-Type" not in response.headers:
        lines.append("Content-Type: application/json")
    lines.append(f"Content-Length: {len(response.body)}")
    lines.append(
        "Connection: keep-alive" if keep_alive else "Connection: close"
    )
    head = "\r\n".join([*lines, "", ""]).encode("latin-1")
    return head + response.body
