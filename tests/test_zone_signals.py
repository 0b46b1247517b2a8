"""Signals that reach the programs of a zone while they end."""

from __future__ import annotations

import signal
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from harness.cluster import Cluster, ClusterConfig
from tests.signals import send_until_exit

TIMEOUT_S = 20.0


@pytest.fixture
def zone(tmp_path: Path) -> Iterator[Cluster]:
    config = ClusterConfig(zones=["z1"], instances_per_zone=1)
    with Cluster(config, tmp_path) as cluster:
        yield cluster


def wait_for_log(path: Path, text: str) -> None:
    deadline_s = time.monotonic() + TIMEOUT_S
    while text not in path.read_text():
        assert time.monotonic() < deadline_s, f"{path} has no {text!r}"
        time.sleep(0.001)


@pytest.mark.parametrize("program", ["entry", "scheduler"])
@pytest.mark.parametrize("repeated", [signal.SIGTERM, signal.SIGINT])
def test_signals_after_the_drain_do_not_change_the_exit_code(
    zone: Cluster, program: str, repeated: signal.Signals
) -> None:
    """A signal during a drain still ends the program at once."""
    (instance,) = zone.instances
    name = f"{instance}-{program}"
    process = zone.processes[name]
    process.send_signal(signal.SIGTERM)
    wait_for_log(zone.folder / f"{name}.log", f"{program}.closed")
    send_until_exit(process, repeated)
    assert process.returncode == 0
