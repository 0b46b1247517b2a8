"""How often a follower reads the journal; what callers see between reads."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.errors import LogTruncatedError, MalformedDataError
from lagoonbeam.site import journal_follower as follower_module
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import JobState, RunEndReason
from lagoonbeam.site.platform_interface import (
    JournalPage,
    JournalWriter,
    Snapshot,
)
from lagoonbeam.site.records import (
    JobAccepted,
    JobCancelled,
    Placement,
    Record,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    SnapshotSaved,
    TermClaimed,
    TermRenewed,
    encode_record,
)
from tests.site.builders import make_job
from tests.site.test_journal_appender import FakeJournalStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class CountingStore(FakeJournalStore):
    """Counts the reads; another instance appends through `store_record`.

    Attributes:
        read_count: How often the journal was read.
        hold_pages: Whether pages that were read are not delivered yet.
        held_page: The last page that was read.
    """

    def __init__(self) -> None:
        super().__init__()
        self.read_count = 0
        self.hold_pages = False
        self.held_page: JournalPage | None = None

    def store_record(self, record: Record) -> None:
        self.records.append(encode_record(record))

    async def read(self, first_offset: int, *, wait_s: float) -> JournalPage:
        self.read_count += 1
        page = await super().read(first_offset, wait_s=wait_s)
        self.held_page = page
        while self.hold_pages:
            await anyio.sleep(0.01)
        return page

    async def wait_until_read(self, record_count: int) -> None:
        """Waits until the last page that was read ends after some records."""
        with anyio.fail_after(2.0):
            while (
                self.held_page is None
                or self.held_page.first_offset + len(self.held_page.records)
                < record_count
            ):
                await anyio.sleep(0.01)


class Replica:
    """A passive follower of a journal, and the service that asks it."""

    def __init__(self) -> None:
        self.store = CountingStore()
        decisions = DecisionLog("n0", "z1", descriptor=2)
        self.follower = JournalFollower(self.store, decisions)
        appender = JournalAppender(
            self.store, JournalWriter("n0"), self.follower
        )
        self.service = JobService(self.follower, appender, decisions)


async def test_reads_of_a_follower_do_not_grow_with_the_records(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(follower_module, "add_jitter", lambda delay_s: delay_s)
    replica = Replica()
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        for _ in range(100):
            replica.store.store_record(TermRenewed(1))
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    # A first read, then one a pause of half a second.
    assert replica.store.read_count <= 4


async def test_question_about_an_open_job_ends_the_pause() -> None:
    replica = Replica()
    replica.store.store_record(JobAccepted(make_job("a")))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        await replica.follower.wait_for_offset(1, 2.0)
        replica.store.store_record(JobCancelled("a"))
        with anyio.fail_after(0.2):
            state = await replica.service.get_job_state("a", JobScope())
        assert state is JobState.CANCELLED
        tasks.cancel_scope.cancel()


async def test_active_scheduler_reads_without_a_pause() -> None:
    replica = Replica()
    replica.follower.is_active_scheduler = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        for _ in range(20):
            replica.store.store_record(TermRenewed(1))
            await anyio.sleep(0.01)
            await replica.follower.wait_for_offset(
                len(replica.store.records), 1.0
            )
        tasks.cancel_scope.cancel()
    assert replica.store.read_count >= 20


async def test_late_page_does_not_apply_appended_records_again() -> None:
    """A page is read, and delivered after this instance's next appends.

    Applied again, the placement of the first run would replace that of the
    second one, and the failure of the first run would count twice.
    """
    replica = Replica()
    task_id = "a.0.0.0"
    records = [
        RunsPlaced((Placement(task_id, 1, "w0", 1),)),
        RunsEnded((RunEnd(task_id, 1, RunEndReason.FAILED),)),
        RunsPlaced((Placement(task_id, 2, "w1", 1),)),
    ]
    replica.follower.is_active_scheduler = True
    replica.store.store_record(JobAccepted(make_job("a")))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        await replica.follower.wait_for_offset(1, 2.0)
        for record in records:
            replica.store.store_record(record)
        replica.store.hold_pages = True
        await replica.store.wait_until_read(4)
        assert replica.follower.offset == 1
        for offset, record in enumerate(records, start=1):
            replica.follower.apply_appended(offset, [record])
        replica.store.hold_pages = False
        read_count = replica.store.read_count
        while replica.store.read_count == read_count:
            await anyio.sleep(0.01)
        tasks.cancel_scope.cancel()
    task = replica.follower.state.tasks[task_id]
    assert replica.follower.offset == 4
    assert (task.run, task.unit.failures) == (2, 1)


async def test_late_page_applies_the_records_that_follow_appended_ones() -> (
    None
):
    replica = Replica()
    replica.store.store_record(JobAccepted(make_job("a")))
    replica.store.store_record(JobAccepted(make_job("b")))
    replica.store.hold_pages = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        await replica.store.wait_until_read(2)
        replica.follower.apply_appended(0, [JobAccepted(make_job("a"))])
        replica.store.hold_pages = False
        assert await replica.follower.wait_for_offset(2, 2.0)
        tasks.cancel_scope.cancel()
    assert set(replica.follower.state.jobs) == {"a", "b"}


async def test_late_page_does_not_make_the_replica_seem_up_to_date() -> None:
    replica = Replica()
    replica.store.store_record(JobAccepted(make_job("a")))
    replica.store.hold_pages = True
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        await replica.store.wait_until_read(1)
        replica.store.store_record(JobCancelled("a"))
        await anyio.sleep(0.3)
        replica.store.hold_pages = False
        assert await replica.follower.wait_for_offset(1, 2.0)
        assert replica.follower.age_s >= 0.3
        tasks.cancel_scope.cancel()


async def test_snapshot_is_due_although_no_term_outlasts_the_interval() -> None:
    """All jobs were lost when each term waited the whole interval anew."""
    replica = Replica()
    replica.store.store_record(SnapshotSaved(0))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(replica.follower.run)
        await replica.follower.wait_for_offset(1, 2.0)
        assert replica.follower.is_snapshot_due(60.0)
        replica.store.store_record(SnapshotSaved(1))
        await replica.follower.wait_for_offset(2, 2.0)
        assert not replica.follower.is_snapshot_due(0.3)
        for term in range(1, 5):
            replica.store.store_record(TermClaimed(term, "n0", "n0-1"))
            await anyio.sleep(0.1)
        assert replica.follower.is_snapshot_due(0.3)
        tasks.cancel_scope.cancel()


class MalformedSnapshotStore(CountingStore):
    """A store whose history is gone, with a snapshot that is unreadable."""

    async def read(self, first_offset: int, *, wait_s: float) -> JournalPage:
        self.read_count += 1
        raise LogTruncatedError("gone")

    async def load_snapshot(self) -> Snapshot | None:
        return Snapshot(5, b"malformed")


async def test_malformed_snapshot_neither_ends_nor_floods_the_follower() -> (
    None
):
    store = MalformedSnapshotStore()
    follower = JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        await anyio.sleep(0.3)
        tasks.cancel_scope.cancel()
    assert 1 <= store.read_count <= 0.3 / (0.5 * follower_module.RETRY_DELAY_S)


class IncompleteSnapshotStore(CountingStore):
    """A store with the whole history, and a snapshot that lacks parts."""

    async def load_snapshot(self) -> Snapshot | None:
        raise MalformedDataError("1 of 2 parts of the snapshot are missing")


async def test_journal_is_replayed_when_the_snapshot_lacks_parts() -> None:
    """No instance served again, though the journal held all records."""
    store = IncompleteSnapshotStore()
    store.store_record(TermClaimed(7, "n0", "n0-1"))
    follower = JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))
    async with anyio.create_task_group() as tasks:
        tasks.start_soon(follower.run)
        assert await follower.wait_for_offset(1, 2.0)
        tasks.cancel_scope.cancel()
    assert follower.state.term.number == 7
