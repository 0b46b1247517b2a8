"""What the zones' scheduler concludes from replies of another worker."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.instances.base import InstanceEntry
from tests.fakes import FAKE_WORKERS, ZONE, FakeWorker, run_zone_scheduler
from tests.fakes import make_job as make_zone_job


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_task_of_a_worker_at_a_new_url_runs_again_after_its_lease(
    anyio_backend: str,
) -> None:
    """A worker restarted at a new URL must not hold its tasks for ever."""
    async with run_zone_scheduler() as harness:
        await harness.submit(make_zone_job(idempotent=True))
        await harness.wait_running()
        (name,) = (
            worker.name
            for worker in harness.workers.values()
            if worker.started_task_ids
        )
        FAKE_WORKERS["new"] = FakeWorker("new", incarnation="9")
        entry = InstanceEntry(name, "worker", ZONE, url="new", rack="r0")
        harness.zone_scheduler.update_workers([entry])
        with anyio.fail_after(5):
            while (
                sum(len(w.started_task_ids) for w in FAKE_WORKERS.values()) < 2
            ):
                await anyio.sleep(0.01)


@pytest.mark.anyio
@pytest.mark.parametrize("anyio_backend", ["asyncio"])
async def test_zone_ends_no_task_by_the_reply_of_another_worker(
    anyio_backend: str,
) -> None:
    """An outdated entry of a worker has the URL that another one has now."""
    async with run_zone_scheduler() as harness:
        await harness.submit(make_zone_job(idempotent=True))
        await harness.wait_running()
        (name,) = (
            worker.name
            for worker in harness.workers.values()
            if worker.started_task_ids
        )
        FAKE_WORKERS["other"] = FakeWorker("other", incarnation="9")
        entry = InstanceEntry(name, "worker", ZONE, url="other", rack="r0")
        harness.zone_scheduler.update_workers([entry])
        await anyio.sleep(0.4)  # less than a lease
        started = [w.name for w in FAKE_WORKERS.values() if w.started_task_ids]
        assert started == [name]
