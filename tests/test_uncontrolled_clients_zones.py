"""Clients outside the limits beside an entry of the zones.

The entry starts with few descriptors, so that a small crowd suffices.
"""

from __future__ import annotations

import contextlib
import json
import resource
from collections.abc import Callable, Iterator
from pathlib import Path
from typing import Any

import httpx
import pytest

from harness.cluster import Cluster, ClusterConfig
from harness.crowd import (
    CLIENT_TIMEOUT_S,
    Crowd,
    is_open,
    make_chunks,
    reset,
    send_at_once,
    split,
)
from tests.conftest import make_job_body, make_rules_document

MEMORY_MB = 160
"""Memory of the smallest machines."""
MAX_DESCRIPTORS = 256
BODY_BYTES = 262_144
CROWD_SIZE = 300
MESSAGE_BYTES = 24 << 20
"""What a client sends of a message without end."""
BARRIER_TIMEOUT_S = 3.0
NAME = "z1-0"


class SmallMachineCluster(Cluster):
    """A cluster whose entry has few descriptors and patience with bodies."""

    def _write_settings(self, name: str, settings: dict[str, Any]) -> None:
        if name.endswith("-entry"):
            settings = {**settings, "limits": {"header_timeout_s": 120.0}}
        super()._write_settings(name, settings)


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    config = ClusterConfig(
        zones=["z1"], instances_per_zone=1, workers_per_zone=1
    )
    folder: Path = tmp_path_factory.mktemp("cluster")
    with SmallMachineCluster(config, folder) as started_cluster:
        started_cluster.publish_rules(make_rules_document(["z1"]))
        yield started_cluster


@pytest.fixture
def crowd(cluster: Cluster) -> Iterator[Crowd]:
    """Yields a crowd before a new process of the entry."""
    cluster.kill_instance(NAME)
    cluster.start_instance(NAME)
    resource.prlimit(
        cluster.processes[f"{NAME}-entry"].pid,
        resource.RLIMIT_NOFILE,
        (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
    )
    cluster.wait_for_http(f"{cluster.instances[NAME].url}/v1/ready")
    cluster.wait_for_active_schedulers()
    crowd = Crowd(
        ("127.0.0.1", cluster.instances[NAME].entry_port),
        cluster.processes[f"{NAME}-entry"].pid,
        lambda: try_call(cluster),
    )
    yield crowd
    crowd.close()


def call_entry(
    cluster: Cluster, timeout_s: float = CLIENT_TIMEOUT_S
) -> httpx.Response:
    """Sends an ordinary request on a new connection."""
    return httpx.get(
        f"{cluster.instances[NAME].url}/v1/jobs",
        headers={"authorization": "Bearer token-armor"},
        timeout=timeout_s,
        trust_env=False,
    )


def try_call(cluster: Cluster) -> None:
    with contextlib.suppress(httpx.HTTPError):
        call_entry(cluster, BARRIER_TIMEOUT_S)


def make_head(*fields: str) -> bytes:
    lines = ["POST /v1/jobs HTTP/1.1", "Host: entry", "Connection: keep-alive"]
    lines += ["Authorization: Bearer token-armor", *fields, "", ""]
    return "\r\n".join(lines).encode()


def make_body(size_bytes: int) -> bytes:
    return json.dumps(make_job_body()).encode().ljust(size_bytes)


def check_entry(cluster: Cluster, crowd: Crowd) -> None:
    """Checks the process's bounds and that an ordinary caller is served."""
    peak_memory_mb = crowd.read_peak_memory_mb()
    print(f"{peak_memory_mb:.0f} MB, {crowd.peak_socket_count} sockets")
    served = call_entry(cluster)
    crowd.measure()
    peak_memory_mb = crowd.read_peak_memory_mb()
    assert cluster.is_running(f"{NAME}-entry")
    assert peak_memory_mb < MEMORY_MB
    assert crowd.peak_socket_count < MAX_DESCRIPTORS - 32
    assert served.status_code == 200


def make_endless_line() -> tuple[bytes, bytes]:
    return make_head()[:-2] + b"X-Long: ", b"x" * 65_536


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
        make_endless_trailer_line,
        make_endless_chunk_extension,
        make_empty_lines,
    ],
)
def test_head_without_end_is_cut_off(
    cluster: Cluster,
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
    check_entry(cluster, crowd)
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


@pytest.mark.parametrize("crowd_size", [CROWD_SIZE, 200])
def test_unfinished_bodies_leave_room_for_callers(
    cluster: Cluster,
    crowd: Crowd,
    crowd_size: int,
) -> None:
    """The smaller crowd takes fewer descriptors than the entry has."""
    crowd.connect(crowd_size)
    crowd.send_pieces(split(make_unfinished_body(), 2))
    check_entry(cluster, crowd)


def test_silent_connections_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(CROWD_SIZE)
    check_entry(cluster, crowd)


@pytest.mark.parametrize(
    "make_message", [make_unfinished_large_chunks, make_unfinished_small_chunks]
)
def test_unfinished_chunks_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd, make_message: Callable[[], bytes]
) -> None:
    crowd.connect(CROWD_SIZE)
    crowd.send_pieces(split(make_message(), 2))
    check_entry(cluster, crowd)


def test_unread_answers_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(CROWD_SIZE)
    request = make_head().replace(b"POST", b"GET") * 500
    for connection in crowd.sockets:
        send_at_once(connection, request)
    crowd.measure()
    check_entry(cluster, crowd)


def test_reset_connections_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(CROWD_SIZE)
    for connection in crowd.sockets:
        reset(connection)
    check_entry(cluster, crowd)


def test_waiting_requests_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    """Callers with a token wait for a job that does not end."""
    accepted = cluster.call_entry(
        "POST",
        "/v1/jobs",
        token="token-armor",
        json=make_job_body(run_s=3_600.0),
    )
    path = f"/v1/jobs/{accepted.json()['job_id']}"
    wait = make_head().replace(
        b"POST /v1/jobs", f"GET {path}?wait_s=3600".encode()
    )
    for _ in range(CROWD_SIZE):
        crowd.connect(1)
        send_at_once(crowd.sockets[-1], wait)
    check_entry(cluster, crowd)
    cluster.call_entry("DELETE", path, token="token-armor")


@pytest.mark.parametrize("chunk_bytes", [0, 1, 65_536])
def test_single_body_of_the_largest_size_is_accepted(
    cluster: Cluster, crowd: Crowd, chunk_bytes: int
) -> None:
    body = make_body(BODY_BYTES)
    if chunk_bytes:
        data = make_head("Transfer-Encoding: chunked")
        data += make_chunks(body, chunk_bytes) + b"0\r\n\r\n"
    else:
        data = make_head(f"Content-Length: {BODY_BYTES}") + body
    crowd.connect(1)
    crowd.send_pieces(split(data, 16))
    assert crowd.sockets[0].recv(65_536).startswith(b"HTTP/1.1 202 ")
    check_entry(cluster, crowd)
