"""A crowd of clients that keep their connections to one process open."""

from __future__ import annotations

import contextlib
import os
import socket
import struct
from collections.abc import Callable, Sequence
from pathlib import Path

CLIENT_TIMEOUT_S = 30.0
TCP_LISTEN = 10
"""Number of the state of a listening socket in the kernel's table."""


class Crowd:
    """Connections to a process that its clients keep open.

    Args:
        address: Host and port that the clients connect to.
        process_id: The process.
        send_ordinary_request: Sends a request of an ordinary caller, which
            waits until the process has taken what the crowd has sent.

    Attributes:
        ports: The process's ports on which queued bytes are counted.
        sockets: Connections of the crowd.
        peak_socket_count: Most sockets that the process had open.
        peak_machine_bytes: Most memory that the process had resident, with the
            bytes queued on its ports, received or sent.
    """

    def __init__(
        self,
        address: tuple[str, int],
        process_id: int,
        send_ordinary_request: Callable[[], object],
    ):
        self.address = address
        self.ports = {address[1]}
        self.sockets: list[socket.socket] = []
        self.peak_socket_count = 0
        self.peak_machine_bytes = 0
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
        """Records how many sockets and how much memory the process takes."""
        machine_bytes = self._read_status_kb("VmRSS") * 1024
        machine_bytes += sum(map(count_queued_bytes, self.ports))
        self.peak_machine_bytes = max(self.peak_machine_bytes, machine_bytes)
        targets = []
        for descriptor in (self._process_folder / "fd").iterdir():
            with contextlib.suppress(OSError):
                targets.append(os.readlink(descriptor))
        count = sum(target.startswith("socket:") for target in targets)
        self.peak_socket_count = max(self.peak_socket_count, count)

    def read_peak_memory_mb(self) -> float:
        """Returns the peak of the process's resident memory."""
        return self._read_status_kb("VmHWM") / 1024

    def close(self) -> None:
        """Closes all connections."""
        for connection in self.sockets:
            connection.close()

    def _read_status_kb(self, field: str) -> int:
        status = (self._process_folder / "status").read_text()
        (line,) = (
            row for row in status.splitlines() if row.startswith(f"{field}:")
        )
        return int(line.split()[1])


def count_queued_bytes(port: int) -> int:
    """Returns the bytes that the kernel holds for the servers on a port.

    These are bytes that were received and not read, and those that were sent
    and not acknowledged, also of connections that no process has open yet or
    any more. A listening socket queues connections rather than bytes.
    """
    rows = Path("/proc/net/tcp").read_text().splitlines()[1:]
    queued_bytes = 0
    for row in rows:
        _, local, _, state, queues, *_ = row.split()
        is_listening = int(state, 16) == TCP_LISTEN
        if int(local.split(":")[1], 16) == port and not is_listening:
            sent, received = queues.split(":")
            queued_bytes += int(sent, 16) + int(received, 16)
    return queued_bytes


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


def send_at_once(connection: socket.socket, data: bytes) -> None:
    """Sends data as far as the connection takes it without a wait."""
    connection.setblocking(False)
    unsent = memoryview(data)
    with contextlib.suppress(OSError):
        while unsent:
            unsent = unsent[connection.send(unsent) :]


def reset(connection: socket.socket) -> None:
    """Closes a connection by a reset."""
    discard = struct.pack("ii", 1, 0)
    connection.setsockopt(socket.SOL_SOCKET, socket.SO_LINGER, discard)
    connection.close()


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
