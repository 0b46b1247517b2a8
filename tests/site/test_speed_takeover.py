"""A scheduler journals its estimates; the next one starts from them."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.site.records import (
    SpeedsEstimated,
    decode_record,
    encode_record,
)
from lagoonbeam.site.scheduler import Scheduler
from tests.site.worker_site import FIRST_RUN, WorkerSite, play


def list_estimates(site: WorkerSite) -> list[SpeedsEstimated]:
    return [
        record
        for data in site.store.records
        if isinstance(record := decode_record(data), SpeedsEstimated)
    ]


def get_run_times_s(scheduler: Scheduler) -> dict[str, float]:
    return dict(scheduler._planner_state.estimator.get_run_times_s())


def test_run_time_outlives_the_scheduler(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        worker.finish(FIRST_RUN)
        await anyio.sleep(12.0)
        (record,) = list_estimates(site)
        assert record.run_times_s == get_run_times_s(site.scheduler)
        successor = await site.start_scheduler("n1")
        await anyio.sleep(1.0)
        assert get_run_times_s(successor) == record.run_times_s

    play(monkeypatch, scenario)


def test_scheduler_knows_speeds_of_the_last_term_before_any_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        record = SpeedsEstimated({"w1": 0.64, "w2": 1.0})
        site.store.records.append(encode_record(record))
        scheduler = await site.start_scheduler()
        await anyio.sleep(1.0)
        speeds = scheduler._planner_state.worker_speeds
        assert speeds.get_known_speeds() == record.speeds
        await anyio.sleep(12.0)
        assert list_estimates(site) == [record]

    play(monkeypatch, scenario)


def test_estimates_wait_while_the_journal_does_not_answer(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        worker.finish(FIRST_RUN)
        await anyio.sleep(0.5)
        site.stores["n0"].lost_calls.add("append")
        await anyio.sleep(4.0)
        site.stores["n0"].lost_calls.clear()
        await anyio.sleep(20.0)
        assert get_run_times_s(site.scheduler)
        assert list_estimates(site)

    play(monkeypatch, scenario)
