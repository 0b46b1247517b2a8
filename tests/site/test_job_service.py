"""What an instance answers while it cannot read the configuration."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import (
    NotReadyError,
    UnauthorizedError,
    UnknownJobError,
    UnknownQueueError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import JobState
from lagoonbeam.site.platform_interface import JournalWriter
from lagoonbeam.site.records import (
    JobAccepted,
    JobCancelled,
    decode_record,
    encode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from tests.site.builders import make_configuration, make_job
from tests.site.test_journal_appender import FakeJournalStore

APPLY_S = 2.0
HOST = "jobs.example"
SCOPE = JobScope("q1", "armor")


pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@pytest.fixture
def store() -> FakeJournalStore:
    return FakeJournalStore()


@pytest.fixture
def follower(store: FakeJournalStore) -> JournalFollower:
    return JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))


@pytest.fixture
def service(store: FakeJournalStore, follower: JournalFollower) -> JobService:
    decisions = DecisionLog("n0", "z1", descriptor=2)
    appender = JournalAppender(store, JournalWriter("n0"), follower)
    job_service = JobService(
        follower, appender, decisions, configuration_apply_s=APPLY_S
    )
    job_service.configuration = make_configuration()
    job_service.configuration_synced_s = read_boot_time_s()
    return job_service


def age_configuration(service: JobService) -> None:
    service.configuration_synced_s = read_boot_time_s() - APPLY_S - 0.1


def test_queue_that_may_have_been_added_is_not_reported_as_unknown(
    service: JobService,
) -> None:
    with pytest.raises(UnknownQueueError):
        service.find_route(HOST, "/new/", "key")
    age_configuration(service)
    with pytest.raises(NotReadyError) as refusal:
        service.find_route(HOST, "/new/", "key")
    assert refusal.value.retry_after_s > 0


def test_key_that_may_have_been_added_is_not_reported_as_unknown(
    service: JobService,
) -> None:
    with pytest.raises(UnauthorizedError):
        service.find_route(HOST, "/q1/", "new key")
    age_configuration(service)
    with pytest.raises(NotReadyError):
        service.find_route(HOST, "/q1/", "new key")


def test_known_queue_and_key_are_served_by_an_old_configuration(
    service: JobService,
) -> None:
    age_configuration(service)
    route, organisation = service.find_route(HOST, "/q1/", "key")
    assert route.path_prefix == "/q1/"
    assert organisation is not None


def test_instance_that_refuses_jobs_for_its_configuration_is_not_ready(
    service: JobService, follower: JournalFollower
) -> None:
    """Callers were sent to it and got 503 after an outage of the store."""
    follower.last_synced_s = read_boot_time_s()
    assert service.is_ready
    age_configuration(service)
    assert not service.is_ready


async def test_no_job_is_accepted_for_a_queue_that_may_have_been_removed(
    service: JobService, store: FakeJournalStore
) -> None:
    age_configuration(service)
    with pytest.raises(NotReadyError):
        await service.submit(make_job("j1"), SCOPE, timeout_s=1.0)
    assert not store.records


async def test_no_job_is_cancelled_for_a_key_that_may_have_been_revoked(
    service: JobService, follower: JournalFollower, store: FakeJournalStore
) -> None:
    follower.apply_appended(0, [JobAccepted(make_job("j1"))])
    follower.last_synced_s = read_boot_time_s()
    age_configuration(service)
    with pytest.raises(NotReadyError):
        await service.cancel("j1", SCOPE, timeout_s=1.0)
    assert not store.records


async def test_job_whose_acceptance_was_not_read_yet_is_cancelled(
    service: JobService, follower: JournalFollower, store: FakeJournalStore
) -> None:
    """It was reported as unknown during an outage, and ran on."""
    store.records.append(encode_record(JobAccepted(make_job("j1"))))
    follower.last_synced_s = read_boot_time_s()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service._appender.run)
        await service.cancel("j1", SCOPE, timeout_s=1.0)
        tasks.cancel_scope.cancel()
    assert decode_record(store.records[-1]) == JobCancelled("j1", SCOPE)


async def test_acceptance_that_follows_its_cancellation_does_not_run(
    service: JobService, follower: JournalFollower
) -> None:
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(service._appender.run)
        with pytest.raises(UnknownJobError):
            await service.cancel("j1", SCOPE, timeout_s=1.0)
        tasks.cancel_scope.cancel()
    follower.state = decode_state(encode_state(follower.state))
    follower.state.apply(JobAccepted(make_job("j1")))
    assert follower.state.jobs["j1"].state is JobState.CANCELLED
    assert not list(follower.state.waiting_units())


async def test_job_is_not_called_unknown_without_the_newest_records(
    service: JobService, follower: JournalFollower
) -> None:
    follower.last_synced_s = read_boot_time_s()
    with pytest.raises(NotReadyError):
        await service.get_job("j1", SCOPE)


def test_jobs_of_a_queue_that_may_have_been_removed_are_not_counted(
    service: JobService, follower: JournalFollower
) -> None:
    follower.last_synced_s = read_boot_time_s()
    assert service.count_pending("q1") == 0
    age_configuration(service)
    with pytest.raises(NotReadyError):
        service.count_pending("q1")
