"""Accepted TCP connections that read no more than is asked for.

The streams of ``anyio`` read ahead, by up to 256 KB for each connection that
becomes readable, before a task can refuse the data.
"""

from __future__ import annotations

import contextlib
import logging
import socket
import struct
from collections.abc import Callable
from dataclasses import dataclass

import anyio

from lagoonbeam.core.http_client import (
    READ_CHUNK_BYTES,
    enable_tcp_keep_alive,
)
from lagoonbeam.core.request_budget import (
    ConnectionAccount,
    RequestBudget,
    Share,
)

ACCEPT_BATCH = 16
"""Connections accepted in a turn of the event loop."""
ACCEPT_PAUSE_S = 0.1
"""Seconds before the next attempt after a connection could not be accepted."""

LISTEN_BACKLOG = 128
"""Connections that the kernel completes before they are accepted; each may
already hold as much as its receive buffer."""
MAX_DROPPED_PIECES = 4
"""Pieces of received data that are dropped when a connection ends."""
KERNEL_BUFFER_FACTOR = 2
"""Linux allocates twice the buffer size that is set, for its own overhead."""

_RESET_ON_CLOSE = struct.pack("ii", 1, 0)

_LOGGER = logging.getLogger(__name__)


@dataclass(frozen=True, slots=True)
class SocketBuffers:
    """Sizes of the kernel's buffers of one connection.

    The receive buffer bounds what a client can send in a round trip, and so
    its rate on a long link.

    Attributes:
        receive_bytes: Received bytes that have not been read.
        send_bytes: Sent bytes that have not been acknowledged.
    """

    receive_bytes: int = 16_384
    send_bytes: int = 16_384

    @property
    def memory_bytes(self) -> int:
        """Memory that the kernel may take for the connection."""
        return KERNEL_BUFFER_FACTOR * (self.receive_bytes + self.send_bytes)

    def apply(self, listening_socket: socket.socket) -> None:
        """Sets the buffers of the connections that a socket accepts."""
        for option, size_bytes in (
            (socket.SO_RCVBUF, self.receive_bytes),
            (socket.SO_SNDBUF, self.send_bytes),
        ):
            listening_socket.setsockopt(socket.SOL_SOCKET, option, size_bytes)


class TcpConnection:
    """A server's side of a TCP connection.

    Args:
        tcp_socket: The accepted socket; the connection owns it.

    Attributes:
        on_blocked: Called before each wait for the client to read.
    """

    def __init__(self, tcp_socket: socket.socket):
        tcp_socket.setblocking(False)
        self._socket = tcp_socket
        self._has_unsent_data = False
        self.on_blocked: Callable[[], None] = lambda: None

    def configure(self) -> None:
        """Sets the options of the socket.

        Raises:
            OSError: If the connection has ended.
        """
        self._socket.setsockopt(socket.IPPROTO_TCP, socket.TCP_NODELAY, 1)
        enable_tcp_keep_alive(self._socket)

    async def receive(self, max_bytes: int) -> bytes:
        """Returns data once some has arrived; empty at its end.

        Raises:
            OSError: If the connection was reset.
        """
        while True:
            await anyio.wait_readable(self._socket)
            with contextlib.suppress(BlockingIOError):
                return self._socket.recv(max_bytes)

    async def send(self, data: bytes) -> None:
        """Sends data.

        Raises:
            OSError: If the connection was reset.
        """
        unsent = memoryview(data)
        self._has_unsent_data = True
        while unsent:
            try:
                unsent = unsent[self._socket.send(unsent) :]
            except BlockingIOError:
                self.on_blocked()
                await anyio.wait_writable(self._socket)
        self._has_unsent_data = False

    def send_now(self, data: bytes) -> None:
        """Sends short data if the client takes it at once."""
        with contextlib.suppress(OSError):
            self._socket.send(data)

    def send_last(self, data: bytes) -> None:
        """Sends data as far as the client takes it at once, and the end.

        Received data is dropped, as closing the connection before it is read
        would reset it, and the client might not see what was sent.
        """
        with contextlib.suppress(OSError):
            self._socket.send(data)
            self._socket.shutdown(socket.SHUT_WR)
            for _ in range(MAX_DROPPED_PIECES):
                if not self._socket.recv(READ_CHUNK_BYTES):
                    break

    def abort(self) -> None:
        """Closes the connection while tasks may use it.

        They raise `ClosedResourceError`.
        """
        if self._socket.fileno() >= 0:
            anyio.notify_closing(self._socket)
        self.close()

    def close(self) -> None:
        """Closes the connection; data that was not sent is dropped.

        If the client has not taken the data of a `send`, the connection is
        reset, as the kernel would keep what it holds of it otherwise.
        """
        if self._has_unsent_data:
            with contextlib.suppress(OSError):
                self._socket.setsockopt(
                    socket.SOL_SOCKET, socket.SO_LINGER, _RESET_ON_CLOSE
                )
        self._socket.close()


async def accept_connections(
    listening_socket: socket.socket,
    budget: RequestBudget,
    share: Share,
    on_connection: Callable[[TcpConnection, ConnectionAccount | None], None],
) -> None:
    """Accepts connections within a budget until cancelled.

    Args:
        listening_socket: A socket that listens and does not block.
        budget: Bounds the connections. If the process or the machine lacks
            what another one takes, one is closed and accepting goes on after
            a pause.
        share: The kind of client.
        on_connection: Called with each connection and its account, which is
            None if there is no room for it.
    """
    while True:
        await anyio.wait_readable(listening_socket)
        await budget.wait_for_room(share)
        try:
            for _ in range(ACCEPT_BATCH):
                connection = TcpConnection(listening_socket.accept()[0])
                on_connection(connection, budget.open_connection(share))
                if not budget.has_room(share):
                    break
        except (BlockingIOError, ConnectionError):
            continue
        except OSError as error:
            _LOGGER.warning("cannot accept a connection: %s", error)
            budget.close_for_descriptors(share)
            await anyio.sleep(ACCEPT_PAUSE_S)
