from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from lagoonbeam.core.records import (
    JobAccepted,
    LaunchIntended,
    LaunchMember,
    Term,
)
from lagoonbeam.endpoints.base import TaskState
from tests.fakes import ZONE, FakeLog, FakeWorker, make_job, run_zone_scheduler

pytestmark = pytest.mark.anyio
NEXT_TERM = Term(2, "z1-1")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class TestLaunch:
    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_gang_completes(self, idempotent: bool) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=12, idempotent=idempotent))
            await harness.wait_running(12)
            for worker in harness.workers.values():
                worker.complete_all()
            assert await harness.wait_outcome("j1") == "completed"
            entry = harness.log_client.state.jobs["j1"]
            assert entry.finished is not None
            expected = tuple(f"r{i}" for i in range(12))
            assert entry.finished.results == expected

    async def test_refused_reservation_starts_no_member(self) -> None:
        async with run_zone_scheduler() as harness:
            harness.workers["w1"].reject_reservations = True
            await harness.submit(make_job(members=12))
            await anyio.sleep(0.2)
            assert harness.started_task_ids == []
            harness.workers["w1"].reject_reservations = False
            await harness.wait_running(12)

    async def test_refused_launch_is_requeued_once(self) -> None:
        """The report of the released reservation must not queue it again."""
        async with run_zone_scheduler() as harness:
            harness.workers["w1"].reject_reservations = True
            await harness.submit(make_job(members=12))
            await anyio.sleep(0.6)
            harness.workers["w1"].reject_reservations = False
            await harness.wait_running(12)
            for worker in harness.workers.values():
                worker.complete_all()
            assert await harness.wait_outcome("j1") == "completed"
            assert len(harness.started_task_ids) == 12

    async def test_lost_start_answers_start_no_task_twice(self) -> None:
        async with run_zone_scheduler(count=1) as harness:
            worker = harness.workers["w0"]
            await harness.submit(make_job(idempotent=False))
            await harness.wait_running()
            worker.lose_answers = True
            await anyio.sleep(0.1)
            worker.lose_answers = False
            worker.complete_all()
            assert await harness.wait_outcome("j1") == "completed"
            assert len(worker.started_task_ids) == 1

    async def test_non_idempotent_job_is_not_launched_without_the_log(
        self,
    ) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(idempotent=True))
            await harness.wait_running()
            harness.log.down = True
            await anyio.sleep(0.1)
            job = make_job("j2", idempotent=False)
            harness.zone_scheduler.enqueue(job, provisional=True)
            await anyio.sleep(0.5)
            assert len(harness.started_task_ids) == 1

    async def test_intent_of_another_launch_is_not_voided(self) -> None:
        """Another scheduler has launched the job, which must not run twice."""
        async with run_zone_scheduler(count=1) as harness:
            worker = harness.workers["w0"]
            worker.reject_reservations = True
            await harness.submit(make_job("j0", members=8))
            await harness.submit(make_job(idempotent=False, members=8))
            await harness.log_client.append(
                LaunchIntended(
                    job_id="j1",
                    attempt="other-launch",
                    availability_zone=ZONE,
                    term=Term(1, "z1-0"),
                    members=(LaunchMember("w9", "1"),),
                ),
                timeout_s=1.0,
            )
            harness.zone_scheduler.cancel("j0")
            worker.reject_reservations = False
            await anyio.sleep(0.8)
            intent = harness.log_client.state.jobs["j1"].intent
            assert intent is not None
            assert intent.attempt == "other-launch"
            assert harness.started_task_ids == []

    async def test_launch_of_another_scheduler_that_started_nothing_is_voided(
        self,
    ) -> None:
        """The other one was still active, and its workers refused the start."""
        async with run_zone_scheduler(count=1) as harness:
            worker = harness.workers["w0"]
            worker.reject_reservations = True
            await harness.submit(make_job("j0", members=8))
            await harness.submit(make_job(idempotent=False, members=8))
            await harness.log_client.append(
                LaunchIntended(
                    job_id="j1",
                    attempt="other-launch",
                    availability_zone=ZONE,
                    term=Term(1, "z1-0"),
                    members=(LaunchMember("w0", worker.incarnation),),
                ),
                timeout_s=1.0,
            )
            harness.zone_scheduler.cancel("j0")
            worker.reject_reservations = False
            await harness.wait_running(8)
            intent = harness.log_client.state.jobs["j1"].intent
            assert intent is not None
            assert intent.attempt != "other-launch"

    async def test_second_acceptance_for_another_zone_is_not_queued(
        self,
    ) -> None:
        """The caller's retry reached another zone before the log showed it."""
        async with run_zone_scheduler() as harness:
            job = make_job()
            first = replace(job, availability_zone="z2")
            await harness.log_client.append(
                JobAccepted(job=first), timeout_s=1.0
            )
            await harness.submit(job)
            await anyio.sleep(0.2)
            assert harness.started_task_ids == []


class TestMemberLost:
    async def test_crash_of_one_worker_stops_and_relaunches_the_gang(
        self,
    ) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=12))
            await harness.wait_running(12)
            harness.workers["w0"].crash()
            await harness.wait_running(12)
            survivors = harness.workers["w1"].tasks.values()
            attempts = {
                report.attempt
                for report in survivors
                if report.state is TaskState.RUNNING
            }
            assert len(attempts) == 1

    async def test_non_idempotent_job_is_not_rerun_after_a_crash(self) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(idempotent=False))
            await harness.wait_running()
            crashed_worker = next(
                worker
                for worker in harness.workers.values()
                if worker.started_task_ids
            )
            crashed_worker.crash()
            assert await harness.wait_outcome("j1") == "unknown"
            assert len(harness.started_task_ids) == 1

    async def test_silent_worker_ends_lease_renewal_for_its_gang(
        self,
    ) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=12))
            await harness.wait_running(12)
            harness.workers["w0"].silent = True
            await anyio.sleep(0.6)
            assert harness.workers["w1"].renewed_attempts == []
            states = {
                report.state for report in harness.workers["w1"].tasks.values()
            }
            assert TaskState.RUNNING not in states


class TestCancellation:
    async def test_queued_job_gets_did_not_run(self) -> None:
        async with run_zone_scheduler(count=1) as harness:
            await harness.submit(make_job("j0", members=8))
            await harness.wait_running(8)
            await harness.submit(make_job("j1", members=8))
            await anyio.sleep(0.1)
            harness.zone_scheduler.cancel("j1")
            assert await harness.wait_outcome("j1") == "did_not_run"

    async def test_job_started_before_does_not_get_did_not_run(self) -> None:
        """A job that failed on a worker and is queued again was started."""
        async with run_zone_scheduler(count=1) as harness:
            harness.workers["w0"].fail_all = True
            await harness.submit(make_job())
            with anyio.fail_after(5):
                while not harness.workers["w0"].started_task_ids:
                    await anyio.sleep(0.005)
            harness.workers["w0"].reject_reservations = True
            await anyio.sleep(0.1)
            harness.zone_scheduler.cancel("j1")
            assert await harness.wait_outcome("j1") in ("cancelled", "failed")

    @pytest.mark.parametrize(
        "refused", ["reject_reservations", "reject_starts"]
    )
    async def test_cancellation_while_an_intent_is_voided_is_kept(
        self, refused: str
    ) -> None:
        """The log is down while a refused launch is to be voided."""
        async with run_zone_scheduler(count=1) as harness:
            worker = harness.workers["w0"]
            setattr(worker, refused, True)
            await harness.submit(make_job(idempotent=False))
            with anyio.fail_after(5):
                while harness.log_client.state.jobs["j1"].intent is None:
                    await anyio.sleep(0.002)
            harness.log.down = True
            await anyio.sleep(0.2)
            harness.zone_scheduler.cancel("j1")
            setattr(worker, refused, False)
            harness.log.down = False
            outcome = await harness.wait_outcome("j1")
            assert outcome in ("cancelled", "did_not_run")
            assert harness.started_task_ids == []

    async def test_unsynced_worker_prevents_did_not_run(self) -> None:
        """An earlier term may have started the job on the silent worker."""
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job("j1", members=1))
            await harness.wait_running()
            log, workers = harness.log, harness.workers
            await harness.submit(make_job("j2", members=16))
            await anyio.sleep(0.05)
        workers["w0"].silent = True
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            harness.zone_scheduler.cancel("j2")
            assert await harness.wait_outcome("j2") == "cancelled"


class TestTakeover:
    async def test_running_gang_is_adopted(self) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=12, idempotent=False))
            await harness.wait_running(12)
            log, workers = harness.log, harness.workers
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            for worker in workers.values():
                worker.complete_all()
            assert await harness.wait_outcome("j1") == "completed"
            assert len(harness.started_task_ids) == 12

    async def test_gang_reported_after_recovery_is_not_launched_twice(
        self,
    ) -> None:
        """A worker that is silent at the takeover reports a running gang.

        The job is queued again by then. Its queue entry must go with the
        adoption, or the job is launched twice and its end is handled twice.
        """
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=16))
            await harness.wait_running(16)
            log, workers = harness.log, harness.workers
        workers["w1"].silent = True
        workers["w1"].renewed_attempts = []
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            workers["w1"].silent = False
            with anyio.fail_after(5):
                while not workers["w1"].renewed_attempts:
                    await anyio.sleep(0.01)
            for worker in workers.values():
                worker.complete_all()
            assert await harness.wait_outcome("j1") == "completed"
            await harness.submit(make_job("j2"))
            await harness.wait_running()
            assert len(harness.started_task_ids) == 17

    async def test_gang_stopped_before_its_start_is_launched_again(
        self,
    ) -> None:
        async with run_zone_scheduler() as harness:
            await harness.submit(make_job(members=12, idempotent=False))
            await harness.wait_running(12)
            log, workers = harness.log, harness.workers
        for worker in workers.values():
            worker.started_task_ids.clear()
            for task_id in list(worker.tasks):
                worker.set_state(task_id, TaskState.STOPPED)
            worker.tasks = {
                key: type(report)(
                    **{
                        name: getattr(report, name)
                        for name in report.__struct_fields__
                        if name != "started"
                    }
                )
                for key, report in worker.tasks.items()
            }
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            await harness.wait_running(12)
            assert len(harness.started_task_ids) == 12

    async def test_intent_without_a_started_task_is_voided(self) -> None:
        log = FakeLog()
        workers = {name: FakeWorker(name) for name in ("w0", "w1")}
        async with run_zone_scheduler(workers=workers, log=log) as harness:
            for worker in workers.values():
                worker.reject_reservations = True
            await harness.submit(make_job(idempotent=False))
            await anyio.sleep(0.1)
            await harness.log_client.append(
                LaunchIntended(
                    job_id="j1",
                    attempt="1-gone-1",
                    availability_zone=ZONE,
                    term=Term(1, "z1-0"),
                    members=(LaunchMember("w0", "1"),),
                ),
                timeout_s=1.0,
            )
        for worker in workers.values():
            worker.reject_reservations = False
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            await harness.wait_running()
            assert len(harness.started_task_ids) == 1

    async def test_intent_on_restarted_worker_gives_unknown(self) -> None:
        async with run_zone_scheduler(count=1) as harness:
            await harness.submit(make_job(idempotent=False))
            await harness.wait_running()
            log, workers = harness.log, harness.workers
        workers["w0"].crash()
        async with run_zone_scheduler(
            workers=workers, log=log, term=NEXT_TERM
        ) as harness:
            assert await harness.wait_outcome("j1") == "unknown"
            assert len(harness.started_task_ids) == 1

    async def test_newer_term_of_a_worker_is_reported(self) -> None:
        async with run_zone_scheduler() as harness:
            harness.workers["w0"].term = Term(9, "z1-9")
            with anyio.fail_after(5):
                while not harness.newer_terms:
                    await anyio.sleep(0.01)
            assert harness.newer_terms[0] == Term(9, "z1-9")


class TestFailingWorker:
    async def test_failures_of_one_worker_do_not_fail_jobs(self) -> None:
        async with run_zone_scheduler() as harness:
            harness.workers["w0"].fail_all = True
            for index in range(6):
                await harness.submit(make_job(f"j{index}"))
            with anyio.fail_after(5):
                while harness.count_running() < 6:
                    await anyio.sleep(0.01)
            for worker in harness.workers.values():
                worker.complete_all()
            for index in range(6):
                outcome = await harness.wait_outcome(f"j{index}")
                assert outcome == "completed"

    async def test_job_that_fails_on_several_workers_fails(self) -> None:
        async with run_zone_scheduler(count=4) as harness:
            for worker in harness.workers.values():
                worker.fail_all = True
            await harness.submit(make_job())
            assert await harness.wait_outcome("j1") == "failed"
            assert len(harness.started_task_ids) == 3
