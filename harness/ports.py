"""TCP ports of loopback for tests and runs, clear of the kernel's own."""

from __future__ import annotations

import random
import socket

FIRST_PORT, LAST_PORT = 12_000, 30_000
"""Below the range that connections and port 0 are served from, which begins
at 32,768; a port from there may be taken between its choice and its use."""
CLAIM_HOST = "127.1.1.1"
"""Where a port is held for as long as the process that chose it lives, so
that no other run chooses it; nothing else listens there."""

_claims: list[socket.socket] = []


def find_ports(count: int) -> list[int]:
    """Returns free ports that no other process finds while this one lives.

    Raises:
        OSError: If there are not so many.
    """
    found: list[int] = []
    for port in random.sample(range(FIRST_PORT, LAST_PORT), 18_000):
        if len(found) == count:
            return found
        if _claim(port):
            found.append(port)
    raise OSError(f"got {len(found)} free ports, expected {count}")


def _claim(port: int) -> bool:
    claim = socket.socket()
    try:
        claim.bind((CLAIM_HOST, port))
        with socket.socket() as probe:
            probe.bind(("127.0.0.1", port))
    except OSError:
        claim.close()
        return False
    _claims.append(claim)
    return True
