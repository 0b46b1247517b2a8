"""Clients outside the limits beside a real instance and ordinary callers.

The instance runs on a small machine: its settings give it less memory and fewer
descriptors than the deployments have, so that a small crowd suffices.
"""

from __future__ import annotations

import contextlib
import itertools
import json
import secrets
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from harness.crowd import (
    CLIENT_TIMEOUT_S,
    Crowd,
    is_open,
    make_chunks,
    send_at_once,
    split,
)
from harness.site import (
    API_KEY,
    PATH_PREFIXES,
    ROUTE_HOST,
    Site,
    SiteConfig,
    make_configuration,
    make_step,
)

MEMORY_MB = 72
"""Memory of the machine; an instance at rest takes about half of it."""
MAX_DESCRIPTORS = 400
RESERVED_DESCRIPTORS = 200
"""Descriptors of the machine that are no sockets."""
BODY_BYTES = 262_144
"""Limit on bodies of the configuration's default."""
CROWD_SIZE = 300
SILENCE_LIMITS = {"header_timeout_ms": 120_000, "idle_timeout_ms": 120_000}
"""Limits on silence, out of the tests' reach at any speed of the machine."""
MESSAGE_BYTES = 24 << 20
"""What a client sends of a message without end."""


class SmallMachineSite(Site):
    """A site of one instance on a small machine."""

    def _make_settings(self, name: str) -> dict[str, Any]:
        limits = {"memory_mb": MEMORY_MB, "max_fds": MAX_DESCRIPTORS}
        return {**super()._make_settings(name), "limits": limits}


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    folder: Path = tmp_path_factory.mktemp("site")
    config = SiteConfig(instance_count=1, worker_count=1)
    with SmallMachineSite(config, folder) as started_site:
        started_site.publish_configuration(
            make_configuration(2, limits=SILENCE_LIMITS)
        )
        yield started_site


@pytest.fixture
def crowd(site: Site) -> Iterator[Crowd]:
    """Yields a crowd before a new process of the instance."""
    site.kill_process("n0")
    site.start_instance("n0")
    site.wait_until_ready("n0")
    site.wait_for_state(site.submit_job([make_step()]))
    crowd = Crowd(
        (site.get_host("n0"), site.front_port),
        site.processes["n0"].pid,
        lambda: try_call(site),
    )
    yield crowd
    crowd.close()


def call_front(site: Site) -> httpx.Response:
    """Sends an ordinary request on a new connection."""
    return httpx.get(
        f"http://{site.get_host('n0')}:{site.front_port}{PATH_PREFIXES[1]}",
        headers={"Host": ROUTE_HOST, "Api-Key": API_KEY},
        timeout=CLIENT_TIMEOUT_S,
        trust_env=False,
    )


def try_call(site: Site) -> None:
    with contextlib.suppress(httpx.HTTPError):
        call_front(site)


def make_head(*fields: str) -> bytes:
    path = PATH_PREFIXES[1] + secrets.token_hex(8)
    lines = [f"POST {path} HTTP/1.1", f"Host: {ROUTE_HOST}"]
    lines += [f"Api-Key: {API_KEY}", *fields, "", ""]
    return "\r\n".join(lines).encode()


def make_body(size_bytes: int) -> bytes:
    """Returns a valid job whose document has the given size."""
    job = {"spec": json.dumps({"run_s": 0.1, "gpu": 1}), "steps": [make_step()]}
    return json.dumps(job).encode().ljust(size_bytes)


def check_instance(site: Site, crowd: Crowd) -> None:
    """Checks the process's bounds and that an ordinary caller is served."""
    check_front(site, crowd)
    site.wait_for_state(site.submit_job([make_step()]))


def check_front(site: Site, crowd: Crowd) -> None:
    """Checks them by requests that need no worker."""
    served = call_front(site)
    readiness = httpx.get(
        f"http://{site.get_host('n0')}:{site.ready_port}/ready",
        timeout=CLIENT_TIMEOUT_S,
        trust_env=False,
    )
    crowd.measure()
    assert site.is_running("n0")
    peak_memory_mb = crowd.read_peak_memory_mb()
    print(f"{peak_memory_mb:.0f} MB, {crowd.peak_socket_count} sockets")
    assert served.status_code == 200
    assert readiness.status_code == 200
    assert peak_memory_mb < MEMORY_MB
    assert crowd.peak_socket_count < MAX_DESCRIPTORS - RESERVED_DESCRIPTORS


def make_endless_line() -> tuple[bytes, bytes]:
    return make_head()[:-2] + b"X-Long: ", b"x" * 65_536


def make_endless_target() -> tuple[bytes, bytes]:
    return b"GET /", b"x" * 65_536


def make_endless_fields() -> tuple[bytes, bytes]:
    fields = (b"X-%d: 1\r\n" % number for number in itertools.count())
    return make_head()[:-2], b"".join(itertools.islice(fields, 6_000))


def make_endless_trailers() -> tuple[bytes, bytes]:
    _, fields = make_endless_fields()
    return make_head("Transfer-Encoding: chunked") + b"0\r\n", fields


def make_endless_trailer_line() -> tuple[bytes, bytes]:
    start = make_head("Transfer-Encoding: chunked") + b"0\r\nX-Long: "
    return start, b"x" * 65_536


def make_endless_chunk_extension() -> tuple[bytes, bytes]:
    start = make_head("Transfer-Encoding: chunked") + b"1;extension="
    return start, b"x" * 65_536


def make_empty_lines() -> tuple[bytes, bytes]:
    return b"", b"\r\n" * 32_768


@pytest.mark.parametrize(
    "make_message",
    [
        make_endless_line,
        make_endless_target,
        make_endless_fields,
        make_endless_trailers,
        make_endless_trailer_line,
        make_endless_chunk_extension,
        make_empty_lines,
    ],
)
def test_head_without_end_is_cut_off(
    site: Site,
    crowd: Crowd,
    make_message: Callable[[], tuple[bytes, bytes]],
) -> None:
    start, repeated = make_message()
    crowd.connect(2)
    for connection in crowd.sockets:
        with contextlib.suppress(ConnectionError):
            connection.sendall(start)
            for _ in range(MESSAGE_BYTES // len(repeated)):
                connection.sendall(repeated)
    check_instance(site, crowd)
    assert not any(map(is_open, crowd.sockets))


def make_unfinished_body() -> bytes:
    head = make_head(f"Content-Length: {BODY_BYTES}")
    return head + make_body(BODY_BYTES)[:-10]


def make_unfinished_large_chunks() -> bytes:
    chunks = make_chunks(make_body(BODY_BYTES), 65_536)
    return make_head("Transfer-Encoding: chunked") + chunks[:-10]


def make_unfinished_small_chunks() -> bytes:
    chunks = make_chunks(make_body(20_000), 1)
    return make_head("Transfer-Encoding: chunked") + chunks[:-1]


@pytest.mark.parametrize("piece_count", [1, 8])
@pytest.mark.parametrize(
    "make_message",
    [
        make_unfinished_body,
        make_unfinished_large_chunks,
        make_unfinished_small_chunks,
    ],
)
def test_unfinished_bodies_leave_room_for_callers(
    site: Site,
    crowd: Crowd,
    make_message: Callable[[], bytes],
    piece_count: int,
) -> None:
    crowd.connect(CROWD_SIZE)
    crowd.send_pieces(split(make_message(), piece_count))
    check_instance(site, crowd)


def test_pipelined_requests_leave_room_for_callers(
    site: Site, crowd: Crowd
) -> None:
    """Their answers are not read."""
    crowd.connect(150)
    for connection in crowd.sockets:
        connection.setblocking(False)
    crowd.send_all(b"GET / HTTP/1.1\r\n\r\n" * 20_000)
    check_instance(site, crowd)


@pytest.mark.parametrize("port_name", ["front_port", "ready_port", "peer_port"])
def test_silent_connections_leave_room_for_callers(
    site: Site, crowd: Crowd, port_name: str
) -> None:
    crowd.address = (site.get_host("n0"), getattr(site, port_name))
    crowd.connect(CROWD_SIZE)
    check_instance(site, crowd)


def test_waiting_requests_leave_room_for_callers(
    site: Site, crowd: Crowd
) -> None:
    """Callers with a key wait at the job API for a job that does not end."""
    path = site.submit_job([make_step()], spec={"run_s": 3_600.0})
    job_id = path.removeprefix(PATH_PREFIXES[1])
    head = f"GET /v1/jobs/{job_id}?wait_s=60 HTTP/1.1\r\n"
    wait = f"{head}Authorization: Bearer {API_KEY}\r\n\r\n".encode()
    crowd.address = (site.get_host("n0"), site.metrics_port)
    for _ in range(CROWD_SIZE):
        crowd.connect(1)
        send_at_once(crowd.sockets[-1], wait)
    check_front(site, crowd)
    site.call_front("DELETE", path)


def test_unfinished_relayed_calls_leave_room_for_callers(
    site: Site, crowd: Crowd
) -> None:
    """Peers may send larger bodies than callers."""
    crowd.address = (site.get_host("n0"), site.peer_port)
    crowd.connect(30)
    head = b"POST /relay HTTP/1.1\r\nContent-Length: 4000000\r\n\r\n"
    crowd.send_pieces([head + b"x" * 1_000_000, *[b"x" * 999_990] * 3])
    check_instance(site, crowd)


@pytest.mark.parametrize(
    ("chunk_bytes", "piece_count"), [(0, 1), (0, 64), (1, 64), (65_536, 1)]
)
def test_single_body_of_the_largest_size_is_accepted(
    site: Site, crowd: Crowd, chunk_bytes: int, piece_count: int
) -> None:
    body = make_body(BODY_BYTES)
    if chunk_bytes:
        data = make_head("Transfer-Encoding: chunked")
        data += make_chunks(body, chunk_bytes) + b"0\r\n\r\n"
    else:
        data = make_head(f"Content-Length: {BODY_BYTES}") + body
    crowd.connect(1)
    crowd.send_pieces(split(data, piece_count))
    assert crowd.sockets[0].recv(65_536).startswith(b"HTTP/1.1 200 ")
    check_instance(site, crowd)
