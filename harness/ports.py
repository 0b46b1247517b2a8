"""Reserves TCP ports on loopback, outside the kernel's ephemeral range."""

from __future__ import annotations

import random
import socket

FIRST_PORT, LAST_PORT = 12_000, 30_000
"""Below the ephemeral port range, which begins at 32,768: the kernel may assign
a port of that range to a connection between its reservation and its use."""
RESERVATION_HOST = "127.1.1.1"
"""Address on which a reserved port stays bound for the life of the process, so
that concurrent runs choose other ports; nothing else listens on it."""

_reservation_sockets: list[socket.socket] = []


def reserve_free_ports(count: int) -> list[int]:
    """Returns free ports, reserved for the life of this process.

    Raises:
        OSError: If fewer ports are free.
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
