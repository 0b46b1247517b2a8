"""A short soak test with a fixed seed; ``make soak`` runs longer ones."""

from __future__ import annotations

import asyncio
import json
import random
import subprocess
import sys
import time
from types import SimpleNamespace
from typing import Any

import pytest

from harness import soak_faults
from harness.soak import find_shown_s


class TestSoak:
    def test_short_run_violates_no_invariant(self) -> None:
        done = subprocess.run(
            [
                *(sys.executable, "-m", "harness.soak"),
                *("--seed", "1", "--duration-s", "15"),
            ],
            capture_output=True,
            text=True,
            timeout=180,
            check=False,
        )
        assert done.returncode == 0, done.stdout[-3_000:] + done.stderr[-3_000:]
        summary = json.loads(done.stdout.splitlines()[-1])
        assert summary["violations"] == {}
        assert summary["requests"] > 30


class FakeCluster:
    """One running instance; others that are added do not run."""

    def __init__(self) -> None:
        self.instances = {"z1-0": SimpleNamespace(zone="z1")}
        self.removes_killed_instances = False

    def is_running(self, process: str) -> bool:
        return process == "z1-0-scheduler"

    def kill_instance(self, name: str) -> None:
        if self.removes_killed_instances:
            self.remove_instance(name)

    def start_instance(self, name: str) -> None:
        assert self.instances[name]

    def add_instance(self, name: str, zone: str, *ports: int) -> None:
        self.instances[name] = SimpleNamespace(zone=zone)

    def mark_instance_leaving(self, name: str) -> None:
        assert name in self.instances

    def drain_instance(self, name: str) -> list[int]:
        assert name in self.instances
        return [0, 0]

    def remove_instance(self, name: str) -> None:
        del self.instances[name]


LAG_OF_10_S_FROM_50_TO_58_S = [(50.0, 10.0), (58.0, 0.0)]


@pytest.mark.parametrize(
    ("changed_at_s", "shown_s"),
    [
        (30.0, 30.0),
        (45.0, 45.0),
        (49.0, 49.0),
        (49.9, 58.0),
        (51.0, 58.0),
        (59.0, 59.0),
    ],
)
def test_lagging_list_shows_a_change_late(
    changed_at_s: float, shown_s: float
) -> None:
    assert find_shown_s(LAG_OF_10_S_FROM_50_TO_58_S, changed_at_s) == shown_s


def test_list_that_is_down_shows_nothing() -> None:
    down = [(50.0, float("inf")), (58.0, 0.0)]
    assert find_shown_s(down, 51.0) == 58.0


async def skip_sleep(delay_s: float) -> None:
    """Replaces `asyncio.sleep`."""


def make_run() -> tuple[FakeCluster, soak_faults.SoakRun]:
    cluster = FakeCluster()
    fake: Any = cluster
    return cluster, soak_faults.SoakRun(fake, random.Random(1))


def test_instance_replaced_while_it_is_down_does_not_end_the_run() -> None:
    cluster, run = make_run()
    cluster.removes_killed_instances = True
    asyncio.run(soak_faults.instance_killed(run))
    assert not cluster.instances


def test_instance_removed_while_it_restarts_does_not_end_the_run() -> None:
    """Its settings were looked up again after it had been removed."""
    cluster, run = make_run()

    def start_slowly(name: str) -> None:
        time.sleep(0.2)
        assert cluster.instances[name]

    async def restart_and_replace() -> None:
        await asyncio.gather(
            soak_faults.restart_unless_removed(run, "z1-0"),
            soak_faults.instance_replaced(run),
        )

    with pytest.MonkeyPatch.context() as patch:
        patch.setattr(cluster, "start_instance", start_slowly)
        patch.setattr(soak_faults.asyncio, "sleep", skip_sleep)
        asyncio.run(restart_and_replace())
    assert list(cluster.instances) == ["z1-r1"]


def test_two_replacements_of_one_instance_do_not_end_the_run() -> None:
    cluster, run = make_run()

    async def replace_twice() -> None:
        await asyncio.gather(
            soak_faults.instance_replaced(run),
            soak_faults.instance_replaced(run),
        )

    asyncio.run(replace_twice())
    assert list(cluster.instances) == ["z1-r1"]
