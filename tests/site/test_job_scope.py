"""Callers reach the jobs of their own queue and organisation only."""

from __future__ import annotations

import json
from collections.abc import AsyncIterator, Iterator
from contextlib import asynccontextmanager
from dataclasses import dataclass, replace
from typing import Any

import anyio
import msgspec
import pytest
from hypothesis import given
from hypothesis import strategies as st
from lagoonbeam_platform.platform_job_api import PlatformJobApi

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import Request
from lagoonbeam.errors import UnknownJobError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.job_scope import JobIdInUseError, JobScope
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import (
    Configuration,
    JobState,
    Organisation,
    QueueRoute,
)
from lagoonbeam.site.platform_interface import JournalWriter
from lagoonbeam.site.records import (
    JobAccepted,
    JobCancelled,
    decode_record,
    encode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from tests.site.builders import make_configuration, make_job, make_queue_policy
from tests.site.test_journal_appender import FakeJournalStore

HOST = "jobs.example"
JOB_ID = "a" * 16
OWNER = JobScope("q1", "armor")
FOREIGN_SCOPES = [
    pytest.param(JobScope("q1", "beam"), id="other organisation"),
    pytest.param(JobScope("q2", "armor"), id="other queue"),
    pytest.param(JobScope("q2"), id="public route of another queue"),
]
BODY = json.dumps({"spec": "{}", "steps": [{"gpu": 1}]}).encode()

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_two_organisations(*, is_public: bool = False) -> Configuration:
    """Makes a configuration of queues q1 and q2 for armor and beam."""
    return replace(
        make_configuration(),
        organisations={
            name: Organisation(name, frozenset({f"key-of-{name}"}), 0)
            for name in ("armor", "beam")
        },
        routes=tuple(
            QueueRoute(
                make_queue_policy(number), HOST, f"/q{number}/", is_public
            )
            for number in (1, 2)
        ),
    )


@dataclass
class Instance:
    """An instance whose journal is in memory.

    Attributes:
        following: Cancels the reads of the journal.
    """

    following: anyio.CancelScope
    store: FakeJournalStore
    follower: JournalFollower
    service: JobService
    api: PlatformJobApi

    async def call(
        self, method: str, path: str, organisation: str = "", body: bytes = b""
    ) -> Response:
        """Calls the platform's API with the key of an organisation."""
        headers = {"host": HOST}
        if organisation:
            headers["api-key"] = f"key-of-{organisation}"
        request: Any = Request(method, path, headers, body)
        return await self.api.answer(request)

    @property
    def state(self) -> SiteState:
        return self.follower.state


@asynccontextmanager
async def open_instance(
    store: FakeJournalStore | None = None, *, is_public: bool = False
) -> AsyncIterator[Instance]:
    store = store or FakeJournalStore()
    decisions = DecisionLog("n0", "z1", descriptor=2)
    follower = JournalFollower(store, decisions)
    appender = JournalAppender(store, JournalWriter("n0"), follower)
    service = JobService(follower, appender, decisions)
    service.configuration = make_two_organisations(is_public=is_public)
    service.configuration_synced_s = read_boot_time_s()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(appender.run)
        following = anyio.CancelScope()

        async def follow() -> None:
            with following:
                await follower.run()

        tasks.start_soon(follow)
        assert await follower.catch_up(5.0)
        api = PlatformJobApi(service, decisions)
        yield Instance(following, store, follower, service, api)
        tasks.cancel_scope.cancel()


async def test_foreign_caller_sees_and_cancels_no_job() -> None:
    """Any valid key read a job, and cancelled it, by its identifier."""
    async with open_instance() as instance:
        reply = await instance.call("POST", f"/q1/{JOB_ID}", "armor", BODY)
        assert reply.status == 200
        records = len(instance.store.records)
        for path, organisation in (
            (f"/q1/{JOB_ID}", "beam"),
            (f"/q2/{JOB_ID}", "beam"),
            (f"/q2/{JOB_ID}", "armor"),
        ):
            for method in ("GET", "DELETE"):
                reply = await instance.call(method, path, organisation)
                assert reply.status == 410
                assert JOB_ID.encode() not in reply.body
        assert len(instance.store.records) == records
        reply = await instance.call("GET", f"/q1/{JOB_ID}", "armor")
        assert json.loads(reply.body) == {"state": "queued"}


async def test_identifier_of_a_foreign_job_is_no_repeat() -> None:
    """The second job was accepted, never ran, and was shown as completed."""
    async with open_instance() as instance:
        await instance.call("POST", f"/q1/{JOB_ID}", "armor", BODY)
        records = len(instance.store.records)
        reply = await instance.call("POST", f"/q2/{JOB_ID}", "beam", BODY)
        assert reply.status == 503
        assert int(reply.headers["Retry-After"]) > 0
        reply = await instance.call("POST", f"/q1/{JOB_ID}", "armor", BODY)
        assert reply.status == 200
        assert len(instance.store.records) == records


async def test_job_accepted_elsewhere_first_is_refused_after_the_append() -> (
    None
):
    """Two instances accept jobs of two callers under one identifier."""
    store = FakeJournalStore()
    async with open_instance(store) as instance:
        store.records.append(encode_record(JobAccepted(make_job(JOB_ID))))
        with pytest.raises(JobIdInUseError):
            await instance.service.submit(
                make_job(JOB_ID, organisation="beam"),
                JobScope("q1", "beam"),
                timeout_s=1.0,
            )
        assert instance.state.jobs[JOB_ID].request.organisation == "armor"


async def test_acceptance_is_confirmed_within_its_time_by_a_late_replica() -> (
    None
):
    """The check of the identifier must not outlast the caller's deadline."""
    store = FakeJournalStore()
    async with open_instance(store) as instance:
        instance.following.cancel()
        store.records.append(encode_record(JobAccepted(make_job("b" * 16))))
        with anyio.fail_after(0.25):
            await instance.service.submit(
                make_job(JOB_ID), OWNER, timeout_s=0.1
            )
    assert store.records


async def test_callers_of_a_public_route_reach_the_jobs_of_its_queue() -> None:
    async with open_instance(is_public=True) as instance:
        for organisation in ("", "armor", "beam"):
            path = f"/q1/{JOB_ID}"
            reply = await instance.call("POST", path, organisation, BODY)
            assert reply.status == 200
            reply = await instance.call("GET", path, organisation)
            assert reply.status == 200
            reply = await instance.call("GET", f"/q2/{JOB_ID}", organisation)
            assert reply.status == 410
        assert len(instance.state.jobs) == 1


async def test_job_of_a_route_that_was_public_is_still_known() -> None:
    """Without a key, its caller could not be told from others."""
    async with open_instance(is_public=True) as instance:
        await instance.call("POST", f"/q1/{JOB_ID}", "", BODY)
        instance.service.configuration = make_two_organisations()
        reply = await instance.call("GET", f"/q1/{JOB_ID}", "armor")
        assert reply.status == 200
        reply = await instance.call("GET", f"/q1/{JOB_ID}")
        assert reply.status == 401


@pytest.mark.parametrize("scope", FOREIGN_SCOPES)
async def test_job_is_unknown_outside_its_scope(scope: JobScope) -> None:
    async with open_instance() as instance:
        await instance.service.submit(make_job(JOB_ID), OWNER, timeout_s=1.0)
        with pytest.raises(UnknownJobError):
            await instance.service.get_job(JOB_ID, scope)
        with pytest.raises(UnknownJobError):
            await instance.service.cancel(JOB_ID, scope, timeout_s=1.0)
        assert instance.state.jobs[JOB_ID].is_open


@pytest.mark.parametrize("scope", FOREIGN_SCOPES)
def test_foreign_cancellation_before_the_acceptance_has_no_effect(
    scope: JobScope,
) -> None:
    state = SiteState()
    state.apply(JobCancelled(JOB_ID, scope))
    restored = decode_state(encode_state(state))
    for each in (state, restored):
        each.apply(JobAccepted(make_job(JOB_ID)))
        assert each.jobs[JOB_ID].is_open


def test_foreign_cancellation_does_not_replace_that_of_the_owner() -> None:
    state = SiteState()
    for scope in (OWNER, JobScope("q2", "beam")):
        state.apply(JobCancelled(JOB_ID, scope))
    restored = decode_state(encode_state(state))
    for each in (state, restored):
        each.apply(JobAccepted(make_job(JOB_ID)))
        assert each.jobs[JOB_ID].state is JobState.CANCELLED


def list_earlier_cancellations() -> Iterator[SiteState]:
    """Yields states with a cancellation that an earlier version wrote."""
    state = SiteState()
    tag, *fields = msgspec.msgpack.decode(encode_record(JobCancelled(JOB_ID)))
    state.apply(decode_record(msgspec.msgpack.encode([tag, fields[0]])))
    yield state
    stored = msgspec.msgpack.decode(encode_state(state))
    del stored["cancelled_scopes"]
    yield decode_state(msgspec.msgpack.encode(stored))


def test_cancellation_of_an_earlier_version_names_no_scope() -> None:
    for state in list_earlier_cancellations():
        state.apply(JobAccepted(make_job(JOB_ID)))
        assert state.jobs[JOB_ID].state is JobState.CANCELLED


_SCOPES = st.builds(
    JobScope,
    st.sampled_from(["q1", "q2"]),
    st.sampled_from(["armor", "beam"]),
)
_ORDERS = st.lists(
    st.tuples(
        st.sampled_from(["accept", "cancel", "restart"]),
        _SCOPES,
        st.sampled_from([JOB_ID, "b" * 16]),
    ),
    max_size=20,
)


@given(_ORDERS)
def test_jobs_are_cancelled_by_their_own_callers_only(
    orders: list[tuple[str, JobScope, str]],
) -> None:
    """Callers whose identifiers meet, in any order, with restarts between."""
    state = SiteState()
    owners: dict[str, JobScope] = {}
    cancellations: set[tuple[str, JobScope]] = set()
    for order, scope, job_id in orders:
        if order == "restart":
            state = decode_state(encode_state(state))
        elif order == "cancel":
            state.apply(JobCancelled(job_id, scope))
            cancellations.add((job_id, scope))
        else:
            request = make_job(
                job_id,
                priority=int(scope.queue[1:]),
                organisation=scope.organisation,
            )
            state.apply(JobAccepted(request))
            owners.setdefault(job_id, scope)
        for known_id, owner in owners.items():
            job = state.jobs[known_id]
            assert owner.covers(job.request)
            is_cancelled = (known_id, owner) in cancellations
            assert job.is_open != is_cancelled
