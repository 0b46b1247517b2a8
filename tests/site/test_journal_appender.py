from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence
from typing import Any

import anyio
import pytest

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import (
    FencedError,
    LagoonbeamError,
    LogAppendUnconfirmedError,
    LogUnavailableError,
    OffsetConflictError,
    ProducerSequenceError,
    ResponseLostError,
    ServerUnreachableError,
    StoreBusyError,
)
from lagoonbeam.site import journal_appender as appender_module
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.journal_appender import JournalAppender, claim_term
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.platform_interface import (
    JournalPage,
    JournalStore,
    JournalWriter,
    Snapshot,
)
from lagoonbeam.site.records import JobCancelled, TermRenewed, decode_record


class FakeJournalStore(JournalStore):
    """An in-memory journal with injectable failures.

    Attributes:
        append_errors: Errors that the next appends raise, one each. The
            records are stored only if it is an `ResponseLostError`.
        append_times_s: When each append was attempted, on the boot clock.
        is_unresponsive: Whether appends time out without being stored.
    """

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.offsets_by_append: dict[tuple[str, int, int], int] = {}
        self.last_appends: dict[str, tuple[int, int]] = {}
        self.append_errors: list[LagoonbeamError] = []
        self.append_times_s: list[float] = []
        self.is_unresponsive = False
        self.snapshot: Snapshot | None = None

    async def append(
        self,
        records: Sequence[bytes],
        *,
        writer: JournalWriter,
        sequence: int,
        timeout_s: float,
        expected_offset: int | None = None,
    ) -> int:
        self.append_times_s.append(read_boot_time_s())
        await anyio.sleep(0.005)
        append_error = self.append_errors.pop(0) if self.append_errors else None
        if append_error is not None and not isinstance(
            append_error, ResponseLostError
        ):
            raise append_error
        if self.is_unresponsive:
            await anyio.sleep(timeout_s)
            raise ResponseLostError("silent")
        first_offset = self._append(records, writer, sequence, expected_offset)
        if append_error is not None:
            raise append_error
        return first_offset

    def _append(
        self,
        records: Sequence[bytes],
        writer: JournalWriter,
        sequence: int,
        expected_offset: int | None,
    ) -> int:
        key = (writer.name, writer.epoch, sequence)
        epoch, last_appends = self.last_appends.get(writer.name, (-1, -1))
        if writer.epoch < epoch:
            raise FencedError("older")
        if key in self.offsets_by_append:
            return self.offsets_by_append[key]
        if writer.epoch == epoch and sequence != last_appends + 1:
            raise ProducerSequenceError("gap")
        if expected_offset is not None and expected_offset != len(self.records):
            raise OffsetConflictError("moved")
        first_offset = self.offsets_by_append[key] = len(self.records)
        self.last_appends[writer.name] = (writer.epoch, sequence)
        self.records += records
        return first_offset

    async def read(self, first_offset: int, *, wait_s: float) -> JournalPage:
        sent_s = read_boot_time_s()
        if first_offset >= len(self.records):
            await anyio.sleep(min(wait_s, 0.02))
        return JournalPage(
            first_offset,
            tuple(self.records[first_offset:]),
            len(self.records),
            sent_s,
        )

    async def load_snapshot(self) -> Snapshot | None:
        return self.snapshot

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot


AppenderScenario = Callable[
    [FakeJournalStore, JournalFollower, JournalAppender], Awaitable[None]
]


def run_appender_scenario(
    scenario: AppenderScenario, *, epoch: int = 0
) -> None:
    async def main() -> None:
        store = FakeJournalStore()
        follower = JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))
        writer = JournalWriter("n0-x", epoch)
        appender = JournalAppender(store, writer, follower)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            tasks.start_soon(appender.run)
            await scenario(store, follower, appender)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_concurrent_appends_are_batched() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                record = JobCancelled(str(number))
                tasks.start_soon(_append, appender, record)
        assert len(store.records) == 20
        assert len(store.offsets_by_append) < 5

    run_appender_scenario(scenario)


async def _append(
    appender: JournalAppender, record: JobCancelled, timeout_s: float = 5.0
) -> None:
    await appender.append([record], timeout_s=timeout_s)


def test_append_is_retried_without_duplicate_after_lost_answer() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.append_errors = [
            ResponseLostError("lost"),
            ResponseLostError("lost"),
        ]
        await _append(appender, JobCancelled("a"))
        assert len(store.records) == 1

    run_appender_scenario(scenario)


def test_repeated_append_is_confirmed_from_its_first_sending() -> None:
    """A deposed term renewed leases after a repeat of an old append."""

    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.append_errors = [
            StoreBusyError("busy"),
            ResponseLostError("lost"),
            ResponseLostError("lost"),
        ]
        await _append(appender, JobCancelled("a"))
        refused_s, first_sent_s, *_ = store.append_times_s
        assert refused_s < appender.last_confirmed_append_s <= first_sent_s

    run_appender_scenario(scenario, epoch=1)


def test_unsent_append_fails_at_once_and_is_not_stored() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.append_errors = [ServerUnreachableError("down")]
        with pytest.raises(LogUnavailableError):
            await _append(appender, JobCancelled("a"))
        appender.raise_if_stalled(0.0)
        await _append(appender, JobCancelled("b"))
        assert decode_record(store.records[0]) == JobCancelled("b")

    run_appender_scenario(scenario)


def test_append_is_retried_when_refused_after_lost_answer() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        lost_answer = ResponseLostError("lost")
        store.append_errors = [lost_answer, ServerUnreachableError("down")]
        await _append(appender, JobCancelled("a"))
        assert len(store.records) == 1

    run_appender_scenario(scenario)


def test_timeout_is_uncertain_when_sent_and_unavailable_when_queued() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.is_unresponsive = True
        with pytest.raises(LogAppendUnconfirmedError):
            await _append(appender, JobCancelled("sent"), 0.1)
        with pytest.raises(LogUnavailableError):
            await _append(appender, JobCancelled("waits"), 0.1)
        with pytest.raises(LogUnavailableError):
            appender.raise_if_stalled(0.1)
        store.is_unresponsive = False
        await _append(appender, JobCancelled("later"))
        records = [decode_record(data) for data in store.records]
        assert records == [JobCancelled("sent"), JobCancelled("later")]

    run_appender_scenario(scenario)


def test_instance_writer_resumes_after_append_retry_limit(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(appender_module, "APPEND_RETRY_LIMIT_S", 0.2)

    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.is_unresponsive = True
        with pytest.raises(LogAppendUnconfirmedError):
            await _append(appender, JobCancelled("lost"), 2.0)
        store.is_unresponsive = False
        await _append(appender, JobCancelled("later"))
        assert decode_record(store.records[-1]) == JobCancelled("later")

    run_appender_scenario(scenario)


def test_fenced_writer_stops_with_error() -> None:
    async def scenario(
        store: FakeJournalStore,
        follower: JournalFollower,
        appender: JournalAppender,
    ) -> None:
        store.last_appends["n0-x"] = (2, 0)
        with pytest.raises(FencedError):
            await appender.append([TermRenewed(1)], timeout_s=1.0)
        assert isinstance(appender.error, FencedError)
        assert not store.records

    run_appender_scenario(scenario, epoch=1)


def test_only_one_concurrent_term_claim_succeeds() -> None:
    async def main() -> None:
        store = FakeJournalStore()
        decisions = DecisionLog("n0", "z1", descriptor=2)
        claims = []
        async with anyio.create_task_group() as tasks:
            for name in ("n0", "n1", "n2"):
                follower = JournalFollower(store, decisions)
                tasks.start_soon(follower.run)

                async def claim(
                    claim_follower: JournalFollower, instance_name: str
                ) -> None:
                    claims.append(
                        await claim_term(
                            store,
                            claim_follower,
                            writer_name="scheduler",
                            instance=instance_name,
                            incarnation=instance_name,
                        )
                    )

                tasks.start_soon(claim, follower, name)
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
        assert len([c for c in claims if c is not None]) == 1
        assert len(store.records) == 1

    anyio.run(main)


class LostClaimStore(FakeJournalStore):
    """Stores the first append, but loses its answer."""

    def _append(self, records: Any, *args: Any) -> int:
        offset = super()._append(records, *args)
        if len(self.records) == 1:
            raise ResponseLostError("no answer")
        return offset


def test_claim_without_an_answer_is_followed_by_a_later_one() -> None:
    """The term stands in the name of an instance that gave it up."""

    async def main() -> None:
        store = LostClaimStore()
        follower = JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)

            async def claim() -> tuple[JournalWriter, int] | None:
                return await claim_term(
                    store,
                    follower,
                    writer_name="scheduler",
                    instance="n0",
                    incarnation="n0-1",
                )

            assert await claim() is None
            assert await follower.wait_for_offset(1, 2.0)
            given_up = follower.state.term.number
            claimed = await claim()
            tasks.cancel_scope.cancel()
        assert claimed is not None
        assert claimed[0].epoch > given_up

    anyio.run(main)
