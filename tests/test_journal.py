from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.records import JobAccepted, JobFinished, decode_batch
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.journal import Journal
from tests.fakes import FakeLog, make_job

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def run_journal(log: FakeLog) -> AsyncIterator[Journal]:
    events = EventLog(program="scheduler", instance="i", availability_zone="z1")
    journal = Journal(log, writer="i", linger_s=0.005, events=events)
    async with anyio.create_task_group() as tasks:
        await journal.start(tasks)
        with anyio.move_on_after(3):
            while not journal.caught_up and not log.down:
                await anyio.sleep(0.005)
        yield journal
        tasks.cancel_scope.cancel()


def accept(number: int) -> JobAccepted:
    return JobAccepted(job=make_job(f"j{number}"))


class TestAppend:
    async def test_records_that_wait_share_one_entry(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            async with anyio.create_task_group() as tasks:
                for number in range(50):
                    tasks.start_soon(append, journal, accept(number))
            assert len(journal.state.jobs) == 50
        assert log.appends <= 3

    async def test_lost_answer_is_no_repeat(self) -> None:
        log = FakeLog()
        log.lose_answers = 2
        async with run_journal(log) as journal:
            seen: list[object] = []
            journal.listen(seen.append)
            await journal.append(accept(1), timeout_s=5)
            await anyio.sleep(1.0)
            assert len(seen) == 1
        assert log.entries
        batches = [decode_batch(data) for data in log.entries]
        assert len({batch.sequence for batch in batches}) == 1

    async def test_known_outage_is_a_clean_refusal(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            log.down = True
            with anyio.fail_after(5):
                while journal.log_up:
                    await anyio.sleep(0.01)
            with pytest.raises(LogUnavailableError):
                await journal.append(accept(1), timeout_s=0.1)
            log.down = False
            with anyio.fail_after(5):
                while not journal.log_up:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            assert "j1" not in journal.state.jobs

    async def test_unconfirmed_append_is_uncertain_and_goes_on(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            log.refuses_appends = True
            with pytest.raises(LogAppendUnconfirmedError):
                await journal.append(accept(1), timeout_s=0.2)
            log.refuses_appends = False
            with anyio.fail_after(5):
                while "j1" not in journal.state.jobs:
                    await anyio.sleep(0.01)


async def append(journal: Journal, record: JobAccepted) -> None:
    await journal.append(record, timeout_s=5)


class TestStart:
    async def test_new_instance_starts_from_a_snapshot(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            for number in range(20):
                await journal.append(accept(number), timeout_s=5)
            await journal.append(
                JobFinished(job_id="j1", outcome="completed"), timeout_s=5
            )
            await journal.take_snapshot(timeout_s=5)
            await journal.append(accept(99), timeout_s=5)
            expected = journal.state.encode()
        log.oldest = len(log.entries) - 2
        async with run_journal(log) as second:
            assert second.caught_up
            assert second.state.encode() == expected

    async def test_no_snapshot_is_not_ready(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            for number in range(5):
                await journal.append(accept(number), timeout_s=5)
        log.oldest = 3
        async with run_journal(log) as second:
            assert not second.caught_up

    async def test_peer_state_is_taken_while_the_log_is_down(self) -> None:
        log = FakeLog()
        async with run_journal(log) as journal:
            await journal.append(accept(1), timeout_s=5)
            image = journal.state.encode()
        log.down = True
        async with run_journal(log) as second:
            second.load(image)
            assert "j1" in second.state.jobs
            log.down = False
            with anyio.fail_after(5):
                while not second.caught_up:
                    await anyio.sleep(0.01)
            assert len(second.state.jobs) == 1


class TestCatchUp:
    async def test_what_another_instance_appended_is_known(self) -> None:
        """Without the tail: its long poll may be answered later."""
        log = FakeLog()
        events = EventLog(
            program="scheduler", instance="i", availability_zone="z1"
        )
        journal = Journal(log, writer="i", linger_s=0.005, events=events)
        async with run_journal(log) as other:
            await other.append(accept(1), timeout_s=1.0)
        assert not journal.state.jobs
        await journal.catch_up()
        assert "j1" in journal.state.jobs

    async def test_log_that_is_down_is_no_error(self) -> None:
        log = FakeLog()
        log.down = True
        async with run_journal(log) as journal:
            await journal.catch_up()
            assert not journal.state.jobs
