from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.instance import InstanceAddress, SchedulerInstance
from lagoonbeam.site.model import Configuration
from lagoonbeam.site.platform_interface import PlatformServices
from lagoonbeam.site.records import InstanceJoined, TermClaimed
from lagoonbeam.site.time_limits import PlatformTimeLimits
from tests.site.test_journal_appender import FakeJournalStore


@pytest.fixture
def instance() -> SchedulerInstance:
    unused_service: Any = SimpleNamespace()
    scheduler_instance = SchedulerInstance(
        address=InstanceAddress("n0", "z1", "127.0.4.1", 1),
        platform_services=PlatformServices(
            FakeJournalStore(), unused_service, unused_service, unused_service
        ),
        time_limits=PlatformTimeLimits(10.0, 20.0, 2.0),
        decisions=DecisionLog("n0", "z1", descriptor=2),
    )
    scheduler_instance.service.configuration = Configuration(version=1)
    scheduler_instance.follower.state.apply(
        InstanceJoined("n1", "a", "127.0.4.2", 1)
    )
    scheduler_instance.follower.state.apply(TermClaimed(1, "n1", "a"))
    now_s = read_boot_time_s()
    scheduler_instance.follower.last_synced_s = now_s
    scheduler_instance.follower.first_synced_s = now_s - 60
    scheduler_instance.follower.last_term_record_s = now_s - 5
    return scheduler_instance


def test_term_without_renewals_is_claimed(instance: SchedulerInstance) -> None:
    assert instance.should_claim_term()


def test_recently_renewed_term_is_not_claimed(
    instance: SchedulerInstance,
) -> None:
    instance.follower.last_term_record_s = read_boot_time_s() - 0.5
    assert not instance.should_claim_term()


def test_gap_in_own_journal_reads_is_not_counted_as_silence(
    instance: SchedulerInstance,
) -> None:
    now_s = read_boot_time_s()
    instance.follower.last_term_record_s = now_s - 2.0
    instance.follower.last_synced_s = now_s - 1.5
    assert not instance.should_claim_term()


def test_silence_is_counted_only_after_own_read_failure(
    instance: SchedulerInstance,
) -> None:
    instance.follower.last_failure_s = read_boot_time_s() - 0.2
    assert not instance.should_claim_term()


def test_draining_instance_does_not_claim(instance: SchedulerInstance) -> None:
    instance.service.is_draining = True
    assert not instance.should_claim_term()


def test_term_of_restarted_holder_is_claimed_immediately(
    instance: SchedulerInstance,
) -> None:
    instance.follower.last_term_record_s = read_boot_time_s()
    instance.follower.state.apply(InstanceJoined("n1", "b", "127.0.4.2", 1))
    assert instance.should_claim_term()
