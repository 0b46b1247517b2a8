"""Clients outside the limits beside a scheduler of the zones.

The scheduler starts with few descriptors, so that a small crowd suffices.
"""

from __future__ import annotations

import contextlib
import resource
import struct
from collections.abc import Iterator
from pathlib import Path

import httpx
import pytest

from harness.cluster import Cluster, ClusterConfig
from harness.crowd import (
    CLIENT_TIMEOUT_S,
    Crowd,
    send_at_once,
    split,
)
from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.messages import (
    Frame,
    GetEvents,
    Message,
    WaitJob,
    encode_frame,
)
from tests.conftest import make_job_body, make_rules_document

MEMORY_MB = 160
"""Memory of the smallest machines."""
MAX_DESCRIPTORS = 256
RESERVED_DESCRIPTORS = 32
CROWD_SIZE = 300
FRAME_BYTES = 1 << 20
"""Size of a frame as peers send them."""
LONG_FRAME_BYTES = 64 << 20
BARRIER_TIMEOUT_S = 3.0
NAME = "z1-0"


@pytest.fixture(scope="module")
def cluster(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Cluster]:
    config = ClusterConfig(
        zones=["z1"], instances_per_zone=1, workers_per_zone=1
    )
    folder: Path = tmp_path_factory.mktemp("cluster")
    with Cluster(config, folder) as started_cluster:
        started_cluster.publish_rules(make_rules_document(["z1"]))
        yield started_cluster


@pytest.fixture
def crowd(cluster: Cluster) -> Iterator[Crowd]:
    """Yields a crowd before a new process of the scheduler."""
    cluster.kill_instance(NAME)
    cluster.start_instance(NAME)
    process_id = cluster.processes[f"{NAME}-scheduler"].pid
    resource.prlimit(
        process_id,
        resource.RLIMIT_NOFILE,
        (MAX_DESCRIPTORS, MAX_DESCRIPTORS),
    )
    cluster.wait_for_http(f"{cluster.instances[NAME].url}/v1/ready")
    cluster.wait_for_active_schedulers()
    crowd = Crowd(
        ("127.0.0.1", cluster.instances[NAME].scheduler_port),
        process_id,
        lambda: try_call(cluster),
    )
    yield crowd
    crowd.close()


def call_entry(
    cluster: Cluster, timeout_s: float = CLIENT_TIMEOUT_S
) -> httpx.Response:
    """Sends an ordinary request, which the entry hands to the scheduler."""
    return httpx.get(
        f"{cluster.instances[NAME].url}/v1/jobs",
        headers={"authorization": "Bearer token-armor"},
        timeout=timeout_s,
        trust_env=False,
    )


def try_call(cluster: Cluster) -> None:
    with contextlib.suppress(httpx.HTTPError):
        call_entry(cluster, BARRIER_TIMEOUT_S)


def check_scheduler(cluster: Cluster, crowd: Crowd) -> None:
    """Checks the process's bounds and that an ordinary caller is served."""
    served = call_entry(cluster)
    crowd.measure()
    peak_memory_mb = crowd.read_peak_memory_mb()
    peak_mb = crowd.peak_machine_bytes / (1 << 20)
    print(
        f"{peak_memory_mb:.0f} MB, {peak_mb:.0f} MB with queued bytes,"
        f" {crowd.peak_socket_count} sockets"
    )
    assert cluster.is_running(f"{NAME}-scheduler")
    assert served.status_code == 200
    assert peak_memory_mb < MEMORY_MB
    assert peak_mb < MEMORY_MB
    assert crowd.peak_socket_count < MAX_DESCRIPTORS - RESERVED_DESCRIPTORS
    completed = cluster.call_entry(
        "POST",
        "/v1/jobs?wait_s=20",
        token="token-armor",
        json=make_job_body(),
    )
    assert completed.json()["outcome"] == "completed"


def make_frame(message: Message, call_id: int = 1) -> bytes:
    stamp = HybridClock().tick()
    data = encode_frame(Frame(call_id, False, stamp, message))
    return struct.pack("<I", len(data)) + data


def test_silent_connections_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(CROWD_SIZE)
    check_scheduler(cluster, crowd)


@pytest.mark.parametrize("piece_count", [1, 8])
def test_unfinished_frames_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd, piece_count: int
) -> None:
    crowd.connect(200)
    data = struct.pack("<I", FRAME_BYTES) + b"x" * (FRAME_BYTES - 10)
    crowd.send_pieces(split(data, piece_count))
    check_scheduler(cluster, crowd)


def test_long_unfinished_frames_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(3)
    data = struct.pack("<I", LONG_FRAME_BYTES) + b"x" * (LONG_FRAME_BYTES - 10)
    crowd.send_pieces(split(data, 8))
    check_scheduler(cluster, crowd)


def test_unread_replies_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    crowd.connect(200)
    frames = make_frame(GetEvents(0)) * 400
    for connection in crowd.sockets:
        send_at_once(connection, frames)
        crowd.measure()
    check_scheduler(cluster, crowd)


def test_waiting_calls_leave_room_for_callers(
    cluster: Cluster, crowd: Crowd
) -> None:
    """A call takes more memory while it waits than its frame has bytes."""
    accepted = cluster.call_entry(
        "POST",
        "/v1/jobs",
        token="token-armor",
        json=make_job_body(run_s=3_600.0),
    )
    job_id = accepted.json()["job_id"]
    crowd.connect(20)
    crowd.send_pieces([make_frame(WaitJob(job_id, 3_600.0)) * 1_000] * 4)
    cluster.call_entry("DELETE", f"/v1/jobs/{job_id}", token="token-armor")
    check_scheduler(cluster, crowd)
