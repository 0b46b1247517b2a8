from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.core.clock import read_clock_s
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.model import Configuration
from lagoonbeam.site.node import InstanceAddress, Node
from lagoonbeam.site.ports import Ports
from lagoonbeam.site.records import InstanceJoined, TermClaimed
from lagoonbeam.site.time_limits import PlatformTimeLimits
from tests.site.test_journal import FakeStore


@pytest.fixture
def node() -> Node:
    anything: Any = SimpleNamespace()
    made = Node(
        address=InstanceAddress("n0", "z1", "127.0.4.1", 1),
        ports=Ports(FakeStore(), anything, anything, anything),
        bounds=PlatformTimeLimits(10.0, 20.0),
        decisions=DecisionLog("n0", "z1", descriptor=2),
    )
    made.service.configuration = Configuration(version=1)
    made.follower.state.apply(InstanceJoined("n1", "a", "127.0.4.2", 1))
    made.follower.state.apply(TermClaimed(1, "n1", "a"))
    now_s = read_clock_s()
    made.follower.synced_s = now_s
    made.follower.first_synced_s = now_s - 60
    made.follower.term_seen_s = now_s - 5
    return made


def test_silent_term_is_claimed(node: Node) -> None:
    assert node.should_claim()


def test_term_heard_of_is_left_alone(node: Node) -> None:
    node.follower.term_seen_s = read_clock_s() - 0.5
    assert not node.should_claim()


def test_gap_in_the_own_readings_is_no_silence(node: Node) -> None:
    now_s = read_clock_s()
    node.follower.term_seen_s = now_s - 2.0
    node.follower.synced_s = now_s - 1.5
    assert not node.should_claim()


def test_own_trouble_with_the_store_is_no_silence(node: Node) -> None:
    node.follower.failed_s = read_clock_s() - 0.2
    assert not node.should_claim()


def test_draining_instance_claims_nothing(node: Node) -> None:
    node.service.is_draining = True
    assert not node.should_claim()


def test_term_of_a_restarted_holder_is_claimed_at_once(node: Node) -> None:
    node.follower.term_seen_s = read_clock_s()
    node.follower.state.apply(InstanceJoined("n1", "b", "127.0.4.2", 1))
    assert node.should_claim()
