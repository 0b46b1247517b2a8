"""What an active zone scheduler does with the state that a peer sent it.

Entries that the peer has read and this instance has not are never read then.
"""

from __future__ import annotations

import json

import anyio
import pytest

from lagoonbeam.core.cluster_state import ClusterState
from lagoonbeam.core.records import (
    AnyRecord,
    JobAccepted,
    JobFinished,
    LaunchIntended,
    LaunchMember,
    RecordBatch,
    RulesPublished,
    Term,
    TermStarted,
    decode_batch,
    encode_batch,
)
from lagoonbeam.log.base import LogPage
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.process import SchedulerProcess
from tests.fakes import (
    TERM,
    ZONE,
    FakeLog,
    ZoneHarness,
    make_job,
    make_settings,
    run_zone_scheduler,
)
from tests.test_log_client import make_job_accepted, run_log_client

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def encode_state(log: FakeLog) -> bytes:
    """Returns the state of a peer that has read the whole log."""
    state = ClusterState()
    for offset, data in enumerate(log.entries):
        state.fold(offset, decode_batch(data))
    return state.encode()


async def load_state_with(harness: ZoneHarness, *records: AnyRecord) -> None:
    """Has a peer append records and send its state during a log outage."""
    harness.log.down = True
    await anyio.sleep(0.05)
    batch = RecordBatch("peer", 0, records)
    harness.log.entries.append(encode_batch(batch))
    harness.log_client.load(encode_state(harness.log))
    harness.log.down = False


async def test_job_in_a_loaded_state_is_not_forgotten() -> None:
    async with run_zone_scheduler() as harness:
        await load_state_with(harness, JobAccepted(job=make_job()))
        await harness.wait_running()


async def test_rules_in_a_loaded_state_take_effect(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async with run_zone_scheduler() as harness:
        rules_in_effect: list[object] = []
        planner = harness.zone_scheduler.planner
        monkeypatch.setattr(planner, "set_rules", rules_in_effect.append)
        document = json.dumps({"based_on": 0, "organisations": []})
        await load_state_with(harness, RulesPublished("p", document, "ops"))
        assert harness.log_client.state.rules_version == 1
        assert rules_in_effect == [harness.log_client.state.rules]


@pytest.mark.parametrize("is_result_kept", [True, False])
def test_rules_in_a_loaded_state_do_not_end_the_process(
    is_result_kept: bool,
) -> None:
    state = ClusterState()
    document = json.dumps({"based_on": 0, "organisations": []})
    published = RulesPublished("p", document, "ops")
    state.fold(0, RecordBatch("peer", 0, (published,)))
    if not is_result_kept:
        state.publication_results.clear()
    process = SchedulerProcess(make_settings())
    process.log_client.load(state.encode())
    in_force = [
        event.offset
        for event in process.events.list_events_after(0)
        if event.name == "rules.in_force"
    ]
    assert in_force == [1]


async def test_job_that_finished_in_a_loaded_state_is_not_started() -> None:
    async with run_zone_scheduler(count=0) as harness:
        await harness.submit(make_job())
        await load_state_with(harness, JobFinished("j1", "cancelled"))
        assert "j1" not in harness.zone_scheduler.planner.jobs


async def test_newer_term_in_a_loaded_state_ends_the_own_one() -> None:
    async with run_zone_scheduler() as harness:
        newer_term = Term(TERM.number + 1, "z1-1")
        await load_state_with(harness, TermStarted(ZONE, newer_term))
        assert harness.newer_terms == [newer_term]


async def test_job_launched_in_a_loaded_state_is_not_launched_again() -> None:
    """Its worker is not known, so that nothing tells whether it has run."""
    async with run_zone_scheduler() as harness:
        intent = LaunchIntended(
            "j1", "other-launch", ZONE, TERM, (LaunchMember("w9", "1"),)
        )
        job = make_job(idempotent=False)
        await load_state_with(harness, JobAccepted(job=job), intent)
        await anyio.sleep(0.5)
        assert harness.started_task_ids == []


class SlowLog(FakeLog):
    """A log that answers only after a peer has sent its state."""

    def __init__(self) -> None:
        super().__init__()
        self._stored = anyio.Event()
        self._answered = anyio.Event()

    async def append(self, data: bytes) -> int:
        offset = await super().append(data)
        self._stored.set()
        await self._answered.wait()
        return offset

    async def read(
        self, first_offset: int, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        page = await super().read(first_offset, limit=limit, wait_s=wait_s)
        if page.entries:
            await self._answered.wait()
        return page

    async def load_before_the_answer(self, log_client: LogClient) -> None:
        await self._stored.wait()
        log_client.load(encode_state(self))
        self._answered.set()


async def test_append_in_a_loaded_state_is_confirmed() -> None:
    log = SlowLog()
    async with run_log_client(log) as log_client:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(log.load_before_the_answer, log_client)
            await log_client.append(make_job_accepted(1), timeout_s=1.0)
        with anyio.fail_after(1):
            await log_client.flush()
