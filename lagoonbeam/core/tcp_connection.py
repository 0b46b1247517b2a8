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

from lagoonbeam.core.http_client import enable_tcp_keep_alive

ACCEPT_BATCH = 16
"""Connections accepted in a turn of the event loop."""
ACCEPT_PAUSE_S = 0.1
"""Seconds before the next attempt after a connection could not be accepted."""

LISTEN_BACKLOG = 128
"""Connections that the kernel completes before they are accepted; each may
already hold as much as its receive buffer."""
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

    def send_last(self, data: bytes) -> None:
        """Sends data as far as the client takes it at once, and the end."""
        with contextlib.suppress(OSError):
            self._socket.send(data)
            self._socket.shutdown(socket.SHUT_WR)

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
    on_connection: Callable[[TcpConnection], None],
    on_failure: Callable[[], None],
) -> None:
    """Accepts connections until cancelled.

    Args:
        listening_socket: A socket that listens and does not block.
        on_connection: Called with each connection.
        on_failure: Called when the process or the machine lacks what an open
            connection takes; accepting goes on after a pause.
    """
    while True:
        await anyio.wait_readable(listening_socket)
        try:
            for _ in range(ACCEPT_BATCH):
                on_connection(TcpConnection(listening_socket.accept()[0]))
        except (BlockingIOError, ConnectionError):
            continue
        except OSError as error:
            _LOGGER.warning("cannot accept a connection: %s", error)
            on_failure()
            await anyio.sleep(ACCEPT_PAUSE_S)
