"""Bytes that no peer sends, at the open ports of running instances."""

from __future__ import annotations

import contextlib
import random
import socket
from collections.abc import Iterator
from pathlib import Path

import msgspec
import pytest

from harness.site import Site, SiteConfig, make_step
from lagoonbeam.site.relay import RelayedCall

SEED = 4
MESSAGES_PER_PORT = 60


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with Site(SiteConfig(instance_count=2), tmp_path) as started_site:
        yield started_site


def make_messages(rng: random.Random) -> Iterator[bytes]:
    """Yields requests, the same damaged at one place, and random bytes."""
    calls = [
        msgspec.msgpack.encode(RelayedCall("GET", target, b"", 0.1))
        for target in ("/x", "/\u0142")
    ]
    requests = [
        b"POST /checks/0123456789abcdef HTTP/1.1\r\nHost: jobs.example\r\n"
        b'Api-Key: k\r\nContent-Length: 11\r\n\r\n{"spec":"x"}',
        *(
            b"POST /relay HTTP/1.1\r\nContent-Length: %d\r\n\r\n%s"
            % (len(call), call)
            for call in calls
        ),
        b"POST /v1/jobs HTTP/1.1\r\nContent-Length: 2\r\n\r\n{}",
    ]
    yield from requests
    for _ in range(MESSAGES_PER_PORT):
        request = bytearray(rng.choice(requests))
        position = rng.randrange(len(request))
        request[position : position + rng.randrange(3)] = rng.randbytes(2)
        yield rng.choice([rng.randbytes(50), bytes(request)])


def send(host: str, port: int, message: bytes) -> None:
    """Sends a message and drops the connection without reading it out."""
    with contextlib.suppress(OSError), socket.socket() as stream:
        stream.settimeout(0.02)
        stream.connect((host, port))
        stream.sendall(message)
        stream.recv(10)


def test_malformed_bytes_end_no_instance(site: Site) -> None:
    rng = random.Random(SEED)
    ports = [site.front_port, site.ready_port, site.peer_port]
    for port in [*ports, site.metrics_port]:
        for message in make_messages(rng):
            send(site.get_host("n0"), port, message)
    assert site.is_running("n0")
    assert "Traceback" not in (site.folder / "n0.log").read_text()
    path = site.submit_job([make_step()])
    assert site.wait_for_state(path) == "completed"
