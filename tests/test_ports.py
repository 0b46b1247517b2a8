"""Reserved ports do not collide with those of other runs or the kernel."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from harness.ports import reserve_free_ports

EPHEMERAL_PORT_RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
PROJECT_ROOT = Path(__file__).parent.parent


def make_ports_sampled_first(
    monkeypatch: pytest.MonkeyPatch, *ports: int
) -> None:
    """Makes the reservation try these ports first."""

    def sample(population: Sequence[int], count: int) -> list[int]:
        return [*ports, *(each for each in population if each not in ports)]

    monkeypatch.setattr("random.sample", sample)


def test_second_call_returns_other_ports(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    earlier_ports = reserve_free_ports(5)
    make_ports_sampled_first(monkeypatch, *earlier_ports)
    assert not set(earlier_ports) & set(reserve_free_ports(5))


@pytest.mark.skipif(
    not EPHEMERAL_PORT_RANGE.exists(),
    reason="the kernel reports no ephemeral range",
)
def test_ports_are_below_the_ephemeral_range() -> None:
    """The kernel assigns ports of that range to outgoing connections."""
    first_ephemeral_port, _ = map(int, EPHEMERAL_PORT_RANGE.read_text().split())
    assert max(reserve_free_ports(20)) < first_ephemeral_port


def test_port_in_use_is_skipped(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.socket() as occupied_socket:
        occupied_socket.bind(("127.0.0.1", 0))
        port = occupied_socket.getsockname()[1]
        make_ports_sampled_first(monkeypatch, port)
        assert reserve_free_ports(1) != [port]


def test_other_process_gets_other_ports() -> None:
    reserved_ports = reserve_free_ports(5)
    script = (
        "import random; from harness.ports import reserve_free_ports;"
        f"random.sample = lambda all, count: [*{reserved_ports}, *all];"
        "print(*reserve_free_ports(5))"
    )
    output = subprocess.run(
        [sys.executable, "-c", script],
        cwd=PROJECT_ROOT,
        capture_output=True,
        check=True,
    ).stdout
    assert not set(reserved_ports) & {int(text) for text in output.split()}
