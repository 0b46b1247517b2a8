from __future__ import annotations

import anyio
import pytest

from lagoonbeam.core.records import LaunchIntended, LaunchMember, Term
from lagoonbeam.endpoints.base import TaskState
from tests.fakes import ZONE, FakeLog, FakeWorker, make_job, run_zone

pytestmark = pytest.mark.anyio
NEXT_TERM = Term(2, "z1-1")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class TestLaunch:
    @pytest.mark.parametrize("idempotent", [True, False])
    async def test_gang_completes(self, idempotent: bool) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(members=12, idempotent=idempotent))
            await bench.wait_running(12)
            for worker in bench.workers.values():
                worker.complete_all()
            assert await bench.wait_outcome("j1") == "completed"
            entry = bench.log_client.state.jobs["j1"]
            assert entry.finished is not None
            expected = tuple(f"r{i}" for i in range(12))
            assert entry.finished.results == expected

    async def test_refused_gang_starts_no_member(self) -> None:
        async with run_zone() as bench:
            bench.workers["w1"].refuse = True
            await bench.submit(make_job(members=12))
            await anyio.sleep(0.2)
            assert bench.starts == []
            bench.workers["w1"].refuse = False
            await bench.wait_running(12)

    async def test_refused_launch_is_queued_once(self) -> None:
        """A report of the released reservation must not queue it again."""
        async with run_zone() as bench:
            bench.workers["w1"].refuse = True
            await bench.submit(make_job(members=12))
            await anyio.sleep(0.6)
            bench.workers["w1"].refuse = False
            await bench.wait_running(12)
            for worker in bench.workers.values():
                worker.complete_all()
            assert await bench.wait_outcome("j1") == "completed"
            assert len(bench.starts) == 12

    async def test_lost_start_answers_start_nothing_twice(self) -> None:
        async with run_zone(count=1) as bench:
            worker = bench.workers["w0"]
            await bench.submit(make_job(idempotent=False))
            await bench.wait_running()
            worker.lose_answers = True
            await anyio.sleep(0.1)
            worker.lose_answers = False
            worker.complete_all()
            assert await bench.wait_outcome("j1") == "completed"
            assert len(worker.starts) == 1

    async def test_non_idempotent_job_waits_for_the_log(self) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(idempotent=True))
            await bench.wait_running()
            bench.log.down = True
            await anyio.sleep(0.1)
            job = make_job("j2", idempotent=False)
            bench.zone.enqueue(job, provisional=True)
            await anyio.sleep(0.5)
            assert len(bench.starts) == 1


class TestMemberLost:
    async def test_crash_of_one_worker_stops_the_gang(self) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(members=12))
            await bench.wait_running(12)
            bench.workers["w0"].crash()
            await bench.wait_running(12)
            survivors = bench.workers["w1"].tasks.values()
            attempts = {
                report.attempt
                for report in survivors
                if report.state is TaskState.RUNNING
            }
            assert len(attempts) == 1

    async def test_non_idempotent_job_is_not_repeated(self) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(idempotent=False))
            await bench.wait_running()
            holder = next(w for w in bench.workers.values() if w.starts)
            holder.crash()
            assert await bench.wait_outcome("j1") == "unknown"
            assert len(bench.starts) == 1

    async def test_silent_worker_gets_no_renewal_of_a_broken_gang(
        self,
    ) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(members=12))
            await bench.wait_running(12)
            bench.workers["w0"].silent = True
            await anyio.sleep(0.6)
            assert bench.workers["w1"].renewed == []
            states = {r.state for r in bench.workers["w1"].tasks.values()}
            assert TaskState.RUNNING not in states


class TestDenial:
    async def test_queued_job_did_not_run(self) -> None:
        async with run_zone(count=1) as bench:
            await bench.submit(make_job("j0", members=8))
            await bench.wait_running(8)
            await bench.submit(make_job("j1", members=8))
            await anyio.sleep(0.1)
            bench.zone.cancel("j1")
            assert await bench.wait_outcome("j1") == "did_not_run"

    async def test_requeued_job_may_have_run(self) -> None:
        """A job that failed on a worker and waits again is not denied."""
        async with run_zone(count=1) as bench:
            bench.workers["w0"].fail_all = True
            await bench.submit(make_job())
            with anyio.fail_after(5):
                while not bench.workers["w0"].starts:
                    await anyio.sleep(0.005)
            bench.workers["w0"].refuse = True
            await anyio.sleep(0.1)
            bench.zone.cancel("j1")
            assert await bench.wait_outcome("j1") in ("cancelled", "failed")

    async def test_earlier_term_may_have_started_it(self) -> None:
        """With a worker silent since the takeover, nothing is denied."""
        async with run_zone() as bench:
            await bench.submit(make_job("j1", members=1))
            await bench.wait_running()
            log, workers = bench.log, bench.workers
            await bench.submit(make_job("j2", members=16))
            await anyio.sleep(0.05)
        workers["w0"].silent = True
        async with run_zone(workers=workers, log=log, term=NEXT_TERM) as bench:
            bench.zone.cancel("j2")
            assert await bench.wait_outcome("j2") == "cancelled"


class TestTakeover:
    async def test_running_gang_is_adopted(self) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(members=12, idempotent=False))
            await bench.wait_running(12)
            log, workers = bench.log, bench.workers
        async with run_zone(workers=workers, log=log, term=NEXT_TERM) as bench:
            for worker in workers.values():
                worker.complete_all()
            assert await bench.wait_outcome("j1") == "completed"
            assert len(bench.starts) == 12

    async def test_reserved_gang_is_released_and_launched_again(self) -> None:
        async with run_zone() as bench:
            await bench.submit(make_job(members=12, idempotent=False))
            await bench.wait_running(12)
            log, workers = bench.log, bench.workers
        for worker in workers.values():
            worker.starts.clear()
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
        async with run_zone(workers=workers, log=log, term=NEXT_TERM) as bench:
            await bench.wait_running(12)
            assert len(bench.starts) == 12

    async def test_intent_with_no_trace_is_proven_not_started(self) -> None:
        log = FakeLog()
        workers = {name: FakeWorker(name) for name in ("w0", "w1")}
        async with run_zone(workers=workers, log=log) as bench:
            for worker in workers.values():
                worker.refuse = True
            await bench.submit(make_job(idempotent=False))
            await anyio.sleep(0.1)
            await bench.log_client.append(
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
            worker.refuse = False
        async with run_zone(workers=workers, log=log, term=NEXT_TERM) as bench:
            await bench.wait_running()
            assert len(bench.starts) == 1

    async def test_intent_on_restarted_worker_is_unknown(self) -> None:
        async with run_zone(count=1) as bench:
            await bench.submit(make_job(idempotent=False))
            await bench.wait_running()
            log, workers = bench.log, bench.workers
        workers["w0"].crash()
        async with run_zone(workers=workers, log=log, term=NEXT_TERM) as bench:
            assert await bench.wait_outcome("j1") == "unknown"
            assert len(bench.starts) == 1

    async def test_older_term_is_refused(self) -> None:
        async with run_zone() as bench:
            bench.workers["w0"].term = Term(9, "z1-9")
            with anyio.fail_after(5):
                while not bench.stale:
                    await anyio.sleep(0.01)
            assert bench.stale[0] == Term(9, "z1-9")


class TestFailingWorker:
    async def test_job_is_not_blamed_for_its_worker(self) -> None:
        async with run_zone() as bench:
            bench.workers["w0"].fail_all = True
            for number in range(6):
                await bench.submit(make_job(f"j{number}"))
            with anyio.fail_after(5):
                while bench.count_running() < 6:
                    await anyio.sleep(0.01)
            for worker in bench.workers.values():
                worker.complete_all()
            for number in range(6):
                outcome = await bench.wait_outcome(f"j{number}")
                assert outcome == "completed"

    async def test_job_that_fails_everywhere_fails(self) -> None:
        async with run_zone(count=4) as bench:
            for worker in bench.workers.values():
                worker.fail_all = True
            await bench.submit(make_job())
            assert await bench.wait_outcome("j1") == "failed"
            assert len(bench.starts) == 3
