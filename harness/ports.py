"""TCP ports of loopback for tests and runs, clear of the kernel's own."""

from __future__ import annotations

import random
import socket

FIRST_PORT, LAST_PORT = 12_000, 30_000
"""Below the range that connections and port 0 are served from, which begins
at 32,768; a port from there may be taken between its choice and its use."""
RESERVATION_HOST = "127.1.1.1"
"""Where a port is held for as long as the process that chose it lives, so
that no other run chooses it; nothing else listens there."""

_reservation_sockets: list[socket.socket] = []


def reserve_free_ports(count: int) -> list[int]:
    """Returns free ports that no other process finds while this one lives.

    Raises:
        OSError: If there are not so many.
    """
    reserved_ports: list[int] = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), 18_000):
        if len(reserved_ports) == count:
            return reserved_ports
        if _try_reserve(port):
            reserved_ports.append(port)
    raise OSError(f"got {len(reserved_ports)} free ports, expected {count}")


def _try_reserve(port: int) -> bool:
    reservation_socket = socket.socket()
    try:
        reservation_socket.bind((RESERVATION_HOST, port))
        with socket.socket() as availability_probe:
            availability_probe.bind(("127.0.0.1", port))
    except OSError:
        reservation_socket.close()
        return False
    _reservation_sockets.append(reservation_socket)
    return True
