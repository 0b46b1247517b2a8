"""Clients that fill the kernel's buffers of an instance's connections.

The platform counts bytes that were received and not read toward the memory of
a process. All ports are filled at once, beside ordinary callers.
"""

from __future__ import annotations

from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest

from harness.crowd import Crowd, send_at_once
from harness.site import Site, SiteConfig, make_configuration, make_step
from tests.test_uncontrolled_clients import (
    BODY_BYTES,
    SILENCE_LIMITS,
    call_front,
    make_body,
    make_head,
    try_call,
)

MEMORY_MB = 72
"""Memory of the machine; an instance at rest takes about half of it."""
MAX_DESCRIPTORS = 1_638
"""Descriptors of the smallest machines."""
RESERVED_DESCRIPTORS = 200
CROWD_SIZES = {"front_port": 450, "peer_port": 260, "ready_port": 40}
"""Clients of each port; more than it keeps connections open for."""
BATCH_SIZE = 50
"""Clients that send between two measurements."""
SENT_BYTES = 1 << 20
"""What each client sends, as far as its connection takes it at once."""


class ManyDescriptorsSite(Site):
    """A site of one instance with little memory and many descriptors."""

    def _make_settings(self, name: str) -> dict[str, Any]:
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
        return {**super()._make_settings(name), "limits": limits}


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    config = SiteConfig(instance_count=1, worker_count=1)
    with ManyDescriptorsSite(config, tmp_path) as started_site:
        started_site.publish_configuration(
            make_configuration(2, limits=SILENCE_LIMITS)
        )
        started_site.wait_for_state(started_site.submit_job([make_step()]))
        yield started_site


@pytest.fixture
def crowd(site: Site) -> Iterator[Crowd]:
    crowd = Crowd(
        (site.get_host("n0"), site.front_port),
        site.processes["n0"].pid,
        lambda: try_call(site),
    )
    crowd.ports = {getattr(site, name) for name in CROWD_SIZES}
    yield crowd
    crowd.close()


def make_pipelined_requests() -> bytes:
    """The answers are not read, so that requests are not read either."""
    request = b"GET / HTTP/1.1\r\n\r\n"
    return request * (SENT_BYTES // len(request))


def make_unfinished_body() -> bytes:
    """Returns a request whose body is of the largest size."""
    head = make_head(f"Content-Length: {BODY_BYTES}")
    return head + make_body(BODY_BYTES)[:-10]


def make_pipelined_bodies() -> bytes:
    request = b"POST /x HTTP/1.1\r\nContent-Length: 4096\r\n\r\n" + b"x" * 4_096
    return request * (SENT_BYTES // len(request))


@pytest.mark.parametrize(
    "data",
    [
        pytest.param(make_pipelined_requests(), id="pipelined requests"),
        pytest.param(make_pipelined_bodies(), id="pipelined bodies"),
        pytest.param(make_unfinished_body(), id="unfinished bodies"),
    ],
)
def test_bytes_that_are_not_read_stay_within_the_memory(
    site: Site, crowd: Crowd, data: bytes
) -> None:
    for port_name, size in CROWD_SIZES.items():
        crowd.address = (site.get_host("n0"), getattr(site, port_name))
        for start in range(0, size, BATCH_SIZE):
            first = len(crowd.sockets)
            crowd.connect(min(BATCH_SIZE, size - start))
            for connection in crowd.sockets[first:]:
                send_at_once(connection, data)
            crowd.measure()
    served = call_front(site)
    crowd.measure()
    peak_mb = crowd.peak_machine_bytes / (1 << 20)
    print(
        f"{peak_mb:.0f} MB with queued bytes,"
        f" {crowd.read_peak_memory_mb():.0f} MB resident,"
        f" {crowd.peak_socket_count} sockets"
    )
    assert site.is_running("n0")
    assert served.status_code == 200
    assert peak_mb < MEMORY_MB
    assert crowd.peak_socket_count < MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    site.wait_for_state(site.submit_job([make_step()]))
