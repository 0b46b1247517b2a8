from __future__ import annotations

from collections.abc import Awaitable, Callable, Sequence

import anyio
import pytest

from lagoonbeam.errors import (
    AnswerLostError,
    FencedError,
    LagoonbeamError,
    LogUnavailableError,
    LogUncertainError,
    OffsetConflictError,
    SequenceError,
    ServerUnreachableError,
)
from lagoonbeam.site import appender as appender_module
from lagoonbeam.site.appender import JournalAppender, claim_term
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.journal import JournalFollower
from lagoonbeam.site.ports import JournalPage, JournalStore, Snapshot, Writer
from lagoonbeam.site.records import JobCancelled, TermRenewed, decode_record


class FakeStore(JournalStore):
    """A journal in memory that fails as it is told."""

    def __init__(self) -> None:
        self.records: list[bytes] = []
        self.answers: dict[tuple[str, int, int], int] = {}
        self.last: dict[str, tuple[int, int]] = {}
        self.failures: list[LagoonbeamError] = []
        self.is_silent = False
        self.snapshot: Snapshot | None = None

    async def append(
        self,
        records: Sequence[bytes],
        *,
        writer: Writer,
        sequence: int,
        timeout_s: float,
        at: int | None = None,
    ) -> int:
        await anyio.sleep(0.005)
        failure = self.failures.pop(0) if self.failures else None
        if failure is not None and not isinstance(failure, AnswerLostError):
            raise failure
        if self.is_silent:
            await anyio.sleep(timeout_s)
            raise AnswerLostError("silent")
        first = self._append(records, writer, sequence, at)
        if failure is not None:
            raise failure
        return first

    def _append(
        self,
        records: Sequence[bytes],
        writer: Writer,
        sequence: int,
        at: int | None,
    ) -> int:
        key = (writer.name, writer.epoch, sequence)
        epoch, last = self.last.get(writer.name, (-1, -1))
        if writer.epoch < epoch:
            raise FencedError("older")
        if key in self.answers:
            return self.answers[key]
        if writer.epoch == epoch and sequence != last + 1:
            raise SequenceError("gap")
        if at is not None and at != len(self.records):
            raise OffsetConflictError("moved")
        first = self.answers[key] = len(self.records)
        self.last[writer.name] = (writer.epoch, sequence)
        self.records += records
        return first

    async def read(self, first: int, *, wait_s: float) -> JournalPage:
        if first >= len(self.records):
            await anyio.sleep(min(wait_s, 0.02))
        return JournalPage(
            first, tuple(self.records[first:]), len(self.records)
        )

    async def load_snapshot(self) -> Snapshot | None:
        return self.snapshot

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        self.snapshot = snapshot


Test = Callable[[FakeStore, JournalFollower, JournalAppender], Awaitable[None]]


def run_appender(test: Test, *, epoch: int = 0) -> None:
    async def main() -> None:
        store = FakeStore()
        follower = JournalFollower(store, DecisionLog("n0", "z1", descriptor=2))
        writer = Writer("n0-x", epoch)
        appender = JournalAppender(store, writer, follower)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(follower.run)
            tasks.start_soon(appender.run)
            await test(store, follower, appender)
            tasks.cancel_scope.cancel()

    anyio.run(main)


def test_records_of_many_callers_share_an_append() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        async with anyio.create_task_group() as tasks:
            for number in range(20):
                record = JobCancelled(str(number))
                tasks.start_soon(_append, appender, record)
        assert len(store.records) == 20
        assert len(store.answers) < 5

    run_appender(test)


async def _append(
    appender: JournalAppender, record: JobCancelled, timeout_s: float = 5.0
) -> None:
    await appender.append([record], timeout_s=timeout_s)


def test_lost_answer_is_repeated_without_a_second_record() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        store.failures = [AnswerLostError("lost"), AnswerLostError("lost")]
        await _append(appender, JobCancelled("a"))
        assert len(store.records) == 1

    run_appender(test)


def test_refused_append_is_a_true_refusal_and_is_over_at_once() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        store.failures = [ServerUnreachableError("down")]
        with pytest.raises(LogUnavailableError):
            await _append(appender, JobCancelled("a"))
        appender.check(0.0)
        await _append(appender, JobCancelled("b"))
        assert decode_record(store.records[0]) == JobCancelled("b")

    run_appender(test)


def test_refusal_after_a_lost_answer_is_not_called_a_refusal() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        lost = AnswerLostError("lost")
        store.failures = [lost, ServerUnreachableError("down")]
        await _append(appender, JobCancelled("a"))
        assert len(store.records) == 1

    run_appender(test)


def test_silent_store_is_uncertain_and_what_was_not_sent_is_refused() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        store.is_silent = True
        with pytest.raises(LogUncertainError):
            await _append(appender, JobCancelled("sent"), 0.1)
        with pytest.raises(LogUnavailableError):
            await _append(appender, JobCancelled("waits"), 0.1)
        with pytest.raises(LogUnavailableError):
            appender.check(0.1)
        store.is_silent = False
        await _append(appender, JobCancelled("later"))
        records = [decode_record(data) for data in store.records]
        assert records == [JobCancelled("sent"), JobCancelled("later")]

    run_appender(test)


def test_instance_appends_again_after_a_long_silence(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(appender_module, "APPEND_GIVE_UP_S", 0.2)

    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        store.is_silent = True
        with pytest.raises(LogUncertainError):
            await _append(appender, JobCancelled("lost"), 2.0)
        store.is_silent = False
        await _append(appender, JobCancelled("later"))
        assert decode_record(store.records[-1]) == JobCancelled("later")

    run_appender(test)


def test_fenced_writer_ends() -> None:
    async def test(
        store: FakeStore, follower: JournalFollower, appender: JournalAppender
    ) -> None:
        store.last["n0-x"] = (2, 0)
        with pytest.raises(FencedError):
            await appender.append([TermRenewed(1)], timeout_s=1.0)
        assert isinstance(appender.error, FencedError)
        assert not store.records

    run_appender(test, epoch=1)


def test_two_claims_at_once_have_one_winner() -> None:
    async def main() -> None:
        store = FakeStore()
        decisions = DecisionLog("n0", "z1", descriptor=2)
        claims = []
        async with anyio.create_task_group() as tasks:
            for name in ("n0", "n1", "n2"):
                follower = JournalFollower(store, decisions)
                tasks.start_soon(follower.run)

                async def claim(f: JournalFollower, n: str) -> None:
                    claims.append(
                        await claim_term(
                            store,
                            f,
                            writer_name="scheduler",
                            instance=n,
                            incarnation=n,
                        )
                    )

                tasks.start_soon(claim, follower, name)
            await anyio.sleep(0.3)
            tasks.cancel_scope.cancel()
        assert len([c for c in claims if c is not None]) == 1
        assert len(store.records) == 1

    anyio.run(main)
