"""A crowd of clients that keep their connections to one process open."""

from __future__ import annotations

import contextlib
import os
import socket
from collections.abc import Callable, Sequence
from pathlib import Path

CLIENT_TIMEOUT_S = 30.0


class Crowd:
    """Connections to a process that its clients keep open.

    Args:
        address: Host and port that the clients connect to.
        process_id: The process.
        send_ordinary_request: Sends a request of an ordinary caller, which
            waits until the process has taken what the crowd has sent.
    """

    def __init__(
        self,
        address: tuple[str, int],
        process_id: int,
        send_ordinary_request: Callable[[], object],
    ):
        self.address = address
        self.sockets: list[socket.socket] = []
        self.peak_socket_count = 0
        self._process_folder = Path(f"/proc/{process_id}")
        self._send_ordinary_request = send_ordinary_request

    def connect(self, count: int) -> None:
        """Opens connections; those that are refused are left out."""
        for _ in range(count):
            with contextlib.suppress(OSError):
                self.sockets.append(
                    socket.create_connection(self.address, CLIENT_TIMEOUT_S)
                )
        self.measure()

    def send_all(self, data: bytes) -> None:
        """Sends the same data on each connection that is still open."""
        for connection in self.sockets:
            with contextlib.suppress(OSError):
                connection.sendall(data)
        self._send_ordinary_request()
        self.measure()

    def send_pieces(self, pieces: Sequence[bytes]) -> None:
        """Sends a piece on each connection, then the next piece on each."""
        for piece in pieces:
            self.send_all(piece)

    def measure(self) -> None:
        """Records how many sockets the process has open."""
        targets = []
        for descriptor in (self._process_folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                targets.append(os.readlink(descriptor))
        count = sum(target.startswith("socket:") for target in targets)
        self.peak_socket_count = max(self.peak_socket_count, count)

    def read_peak_memory_mb(self) -> float:
        """Returns the peak of the process's resident memory."""
        status = (self._process_folder / "status").read_text()
        (line,) = (
            row for row in status.splitlines() if row.startswith("VmHWM:")
        )
        return int(line.split()[1]) / 1024

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.sockets:
            connection.close()


def make_chunks(body: bytes, chunk_bytes: int) -> bytes:
    """Returns a body in chunks, without the last one, which is empty."""
    return b"".join(
        b"%x\r\n%b\r\n" % (len(chunk), chunk)
        for start in range(0, len(body), chunk_bytes)
        for chunk in [body[start : start + chunk_bytes]]
    )


def split(data: bytes, piece_count: int) -> list[bytes]:
    """Splits data into pieces of equal size but for the last."""
    size_bytes = -(-len(data) // piece_count)
    return [
        data[start : start + size_bytes]
        for start in range(0, len(data), size_bytes)
    ]


def is_open(connection: socket.socket) -> bool:
    """Returns whether the process has not closed a connection yet."""
    connection.settimeout(10.0)
    try:
        while connection.recv(65_536):
            pass
    except TimeoutError:
        return True
    except ConnectionError:
        pass
    return False
