"""Ports that tests and runs use are nobody else's."""

from __future__ import annotations

import socket
import subprocess
import sys
from collections.abc import Sequence
from pathlib import Path

import pytest

from harness.ports import find_ports

RANGE = Path("/proc/sys/net/ipv4/ip_local_port_range")
ROOT = Path(__file__).parent.parent


def prefer(monkeypatch: pytest.MonkeyPatch, *ports: int) -> None:
    """Has these ports tried first."""

    def sample(population: Sequence[int], count: int) -> list[int]:
        return [*ports, *(each for each in population if each not in ports)]

    monkeypatch.setattr("random.sample", sample)


def test_no_port_is_handed_out_twice(monkeypatch: pytest.MonkeyPatch) -> None:
    first = find_ports(5)
    prefer(monkeypatch, *first)
    assert not set(first) & set(find_ports(5))


@pytest.mark.skipif(not RANGE.exists(), reason="the kernel tells no range")
def test_kernel_gives_the_ports_to_no_connection() -> None:
    """It takes those of connections and of port 0 from a range of its own."""
    first, _ = map(int, RANGE.read_text().split())
    assert max(find_ports(20)) < first


def test_port_in_use_is_passed_over(monkeypatch: pytest.MonkeyPatch) -> None:
    with socket.socket() as taken:
        taken.bind(("127.0.0.1", 0))
        port = taken.getsockname()[1]
        prefer(monkeypatch, port)
        assert find_ports(1) != [port]


def test_another_process_gets_other_ports() -> None:
    own = find_ports(5)
    code = (
        "import random; from harness.ports import find_ports;"
        f"random.sample = lambda all, count: [*{own}, *all];"
        "print(*find_ports(5))"
    )
    output = subprocess.run(
        [sys.executable, "-c", code], cwd=ROOT, capture_output=True, check=True
    ).stdout
    assert not set(own) & {int(text) for text in output.split()}
