"""Ends of runs that are acknowledged to a worker only once they were read."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.errors import ResponseLostError
from lagoonbeam.site.model import Step
from lagoonbeam.site.records import (
    JobAccepted,
    RunKey,
    RunsPlaced,
    decode_record,
    encode_record,
)
from tests.site.builders import make_job
from tests.site.worker_site import (
    FIRST_RUN,
    OLD_TERM_S,
    SECOND_RUN,
    WorkerSite,
    play,
)

EARLIER_JOB_ID = "b" * 16
EARLIER_RUN: RunKey = (f"{EARLIER_JOB_ID}.0.0.0", 1)


def is_placed(site: WorkerSite, key: RunKey) -> bool:
    records = map(decode_record, site.store.records)
    return any(
        (placement.task_id, placement.run) == key
        for record in records
        if isinstance(record, RunsPlaced)
        for placement in record.placements
    )


def test_end_on_a_restarted_worker_is_not_acknowledged_unread(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The first poll of a new life carries the cursor of the earlier one."""

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        step = Step(accelerators=1, estimated_s=60.0)
        earlier = JobAccepted(make_job(EARLIER_JOB_ID, step))
        site.store.records.append(encode_record(earlier))
        await site.wait_for_begin(worker, EARLIER_RUN)
        worker.finish(EARLIER_RUN)
        await anyio.sleep(2.0)
        assert not worker.life.finished
        site.stores["n0"].answer_delay_s = 1.6
        site.accept_job()
        with anyio.fail_after(30.0):
            while not is_placed(site, FIRST_RUN):
                await anyio.sleep(0.001)
        lost = site.add_fault(1, "hold", error=ResponseLostError("reset"))
        await anyio.sleep(1.3)
        worker.restart()
        await site.wait_for_begin(worker, FIRST_RUN)
        site.stores["n0"].answer_delay_s = 0.0
        await anyio.sleep(0.01)
        worker.finish(FIRST_RUN)
        site.network.faults.remove(lost)
        site.list_life(worker, 1)
        second = site.add_worker("w2", 2)
        await anyio.sleep(5.0)
        assert worker.outcomes[FIRST_RUN] == "done"
        assert SECOND_RUN not in worker.begun + second.begun

    play(monkeypatch, scenario)
