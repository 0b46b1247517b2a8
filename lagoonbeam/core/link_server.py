"""Accepts links of other processes within the bounds of a budget."""

from __future__ import annotations

import logging
import socket

import anyio
import anyio.abc

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.link import Handler, Link
from lagoonbeam.core.link_account import CallPool, LinkAccount
from lagoonbeam.core.request_budget import (
    ConnectionAccount,
    RequestBudget,
    Share,
)
from lagoonbeam.core.tcp_connection import (
    LISTEN_BACKLOG,
    SocketBuffers,
    TcpConnection,
    accept_connections,
)

_LOGGER = logging.getLogger(__name__)


class _ConnectionStream(anyio.abc.ByteStream):
    """A connection as a stream that reads no more than is asked for."""

    def __init__(self, connection: TcpConnection):
        self._connection = connection
        self._is_closed = False

    async def receive(self, max_bytes: int = 65_536) -> bytes:
        self._check_open()
        try:
            data = await self._connection.receive(max_bytes)
        except OSError as error:
            raise anyio.BrokenResourceError from error
        if not data:
            raise anyio.EndOfStream
        return data

    async def send(self, item: bytes) -> None:
        self._check_open()
        try:
            await self._connection.send(item)
        except OSError as error:
            raise anyio.BrokenResourceError from error

    async def send_eof(self) -> None:
        self._check_open()
        self._connection.send_last(b"")

    async def aclose(self) -> None:
        self.abort()

    def abort(self) -> None:
        """Closes the connection, also while tasks use it."""
        if not self._is_closed:
            self._is_closed = True
            self._connection.abort()

    def _check_open(self) -> None:
        if self._is_closed:
            raise anyio.ClosedResourceError


class LinkServer:
    """Serves the links that other processes open.

    Args:
        clock: The process's clock.
        handler: Handles the messages of the other sides.
        budget: Bounds connections and what arrives on them.
        max_call_bytes: Memory that the calls of all links may hold beyond what
            each link has for itself.
        buffers: The kernel's buffers of each connection.
    """

    def __init__(
        self,
        *,
        clock: HybridClock,
        handler: Handler,
        budget: RequestBudget,
        max_call_bytes: int,
        buffers: SocketBuffers,
    ):
        self._clock = clock
        self._handler = handler
        self._budget = budget
        self._pool = CallPool(max_call_bytes, budget.monitor)
        self._buffers = buffers
        budget.reserve_buffers(Share.CALLERS, buffers.memory_bytes)

    async def serve(
        self,
        host: str,
        port: int,
        *,
        task_status: anyio.abc.TaskStatus[int] = anyio.TASK_STATUS_IGNORED,
    ) -> None:
        """Serves until cancelled; reports the bound port once it listens."""
        listener = await anyio.create_tcp_listener(
            local_host=host, local_port=port, backlog=LISTEN_BACKLOG
        )
        async with listener, anyio.create_task_group() as tasks:

            def start_link(
                connection: TcpConnection, account: ConnectionAccount | None
            ) -> None:
                if account is None:
                    connection.close()
                else:
                    tasks.start_soon(self._serve_link, connection, account)

            listening_socket: socket.socket = listener.extra(
                anyio.abc.SocketAttribute.raw_socket
            )
            self._buffers.apply(listening_socket)
            tasks.start_soon(self._budget.monitor.run)
            task_status.started(
                listener.extra(anyio.abc.SocketAttribute.local_port)
            )
            await accept_connections(
                listening_socket,
                self._budget,
                Share.CALLERS,
                start_link,
            )

    async def _serve_link(
        self, connection: TcpConnection, account: ConnectionAccount
    ) -> None:
        stream = _ConnectionStream(connection)
        link = Link(
            stream,
            clock=self._clock,
            handler=self._handler,
            account=LinkAccount(account, self._pool),
        )
        account.on_evict = stream.abort
        try:
            if account.is_closed:
                return
            connection.configure()
            await link.run()
        except OSError:
            return
        except Exception:
            # A message of one link must not end the process.
            _LOGGER.exception("closing link")
        finally:
            with anyio.CancelScope(shield=True):
                await link.close()
