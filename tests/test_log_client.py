from __future__ import annotations

from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import pytest

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.records import JobAccepted, JobFinished, decode_batch
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.log_client import LogClient
from tests.fakes import FakeLog, make_job

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


@asynccontextmanager
async def run_log_client(log: FakeLog) -> AsyncIterator[LogClient]:
    events = EventLog(program="scheduler", instance="i", availability_zone="z1")
    log_client = LogClient(log, writer="i", linger_s=0.005, events=events)
    async with anyio.create_task_group() as tasks:
        await log_client.start(tasks)
        with anyio.move_on_after(3):
            while not log_client.caught_up and not log.down:
                await anyio.sleep(0.005)
        yield log_client
        tasks.cancel_scope.cancel()


def make_job_accepted(number: int) -> JobAccepted:
    return JobAccepted(job=make_job(f"j{number}"))


class TestAppend:
    async def test_concurrent_appends_are_batched_into_few_entries(
        self,
    ) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            async with anyio.create_task_group() as tasks:
                for number in range(50):
                    tasks.start_soon(
                        append, log_client, make_job_accepted(number)
                    )
            assert len(log_client.state.jobs) == 50
        assert log.appends <= 3

    async def test_append_with_lost_reply_is_applied_once(self) -> None:
        log = FakeLog()
        log.lose_answers = 2
        async with run_log_client(log) as log_client:
            received_records: list[object] = []
            log_client.add_record_listener(received_records.append)
            await log_client.append(make_job_accepted(1), timeout_s=5)
            await anyio.sleep(1.0)
            assert len(received_records) == 1
        assert log.entries
        batches = [decode_batch(data) for data in log.entries]
        assert len({batch.sequence for batch in batches}) == 1

    async def test_append_during_known_outage_is_refused_and_not_written(
        self,
    ) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            log.down = True
            with anyio.fail_after(5):
                while log_client.log_up:
                    await anyio.sleep(0.01)
            with pytest.raises(LogUnavailableError):
                await log_client.append(make_job_accepted(1), timeout_s=0.1)
            log.down = False
            with anyio.fail_after(5):
                while not log_client.log_up:
                    await anyio.sleep(0.01)
            await anyio.sleep(0.1)
            assert "j1" not in log_client.state.jobs

    async def test_unconfirmed_append_raises_uncertain_and_is_retried(
        self,
    ) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            log.refuses_appends = True
            with pytest.raises(LogAppendUnconfirmedError):
                await log_client.append(make_job_accepted(1), timeout_s=0.2)
            log.refuses_appends = False
            with anyio.fail_after(5):
                while "j1" not in log_client.state.jobs:
                    await anyio.sleep(0.01)


async def append(log_client: LogClient, record: JobAccepted) -> None:
    await log_client.append(record, timeout_s=5)


class TestStartUp:
    async def test_new_instance_starts_from_latest_snapshot(self) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            for number in range(20):
                await log_client.append(make_job_accepted(number), timeout_s=5)
            await log_client.append(
                JobFinished(job_id="j1", outcome="completed"), timeout_s=5
            )
            await log_client.take_snapshot(timeout_s=5)
            await log_client.append(make_job_accepted(99), timeout_s=5)
            expected = log_client.state.encode()
        log.oldest = len(log.entries) - 2
        async with run_log_client(log) as second_client:
            assert second_client.caught_up
            assert second_client.state.encode() == expected

    async def test_truncated_log_without_snapshot_is_not_caught_up(
        self,
    ) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            for number in range(5):
                await log_client.append(make_job_accepted(number), timeout_s=5)
        log.oldest = 3
        async with run_log_client(log) as second_client:
            assert not second_client.caught_up

    async def test_peer_state_is_loaded_while_log_is_down(self) -> None:
        log = FakeLog()
        async with run_log_client(log) as log_client:
            await log_client.append(make_job_accepted(1), timeout_s=5)
            image = log_client.state.encode()
        log.down = True
        async with run_log_client(log) as second_client:
            second_client.load(image)
            assert "j1" in second_client.state.jobs
            log.down = False
            with anyio.fail_after(5):
                while not second_client.caught_up:
                    await anyio.sleep(0.01)
            assert len(second_client.state.jobs) == 1


class TestCatchUp:
    async def test_reads_entries_of_another_instance(self) -> None:
        """`catch_up` must not depend on the tail task, whose long poll may
        return only later."""
        log = FakeLog()
        events = EventLog(
            program="scheduler", instance="i", availability_zone="z1"
        )
        log_client = LogClient(log, writer="i", linger_s=0.005, events=events)
        async with run_log_client(log) as other:
            await other.append(make_job_accepted(1), timeout_s=1.0)
        assert not log_client.state.jobs
        await log_client.catch_up()
        assert "j1" in log_client.state.jobs

    async def test_log_outage_raises_no_error(self) -> None:
        log = FakeLog()
        log.down = True
        async with run_log_client(log) as log_client:
            await log_client.catch_up()
            assert not log_client.state.jobs
