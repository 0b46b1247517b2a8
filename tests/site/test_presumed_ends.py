"""Runs whose end is recorded without the word of their worker."""

from __future__ import annotations

import anyio
import pytest

from lagoonbeam.errors import ServerUnreachableError
from lagoonbeam.site.lease import Lease
from tests.site.worker_model import MAX_HOLD_MS
from tests.site.worker_site import (
    FIRST_RUN,
    SECOND_RUN,
    WorkerSite,
    play,
)


def test_run_goes_on_while_its_worker_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker(clock_rate=0.98)
        site.add_worker("w2", 2)
        await anyio.sleep(60.0)
        assert worker.is_running(FIRST_RUN)
        worker.finish(FIRST_RUN)
        await anyio.sleep(1.0)
        assert site.scheduler.state.tasks[FIRST_RUN[0]].is_done

    audit = play(monkeypatch, scenario)
    assert audit.presumed_ends == {}
    assert audit.violations == []


@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
def test_run_on_a_silent_worker_lapses_before_its_end_is_recorded(
    monkeypatch: pytest.MonkeyPatch, clock_rate: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker(clock_rate=clock_rate)
        second = site.add_worker("w2", 2)
        site.add_fault(1)
        await site.wait_for_begin(second, SECOND_RUN)

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


@pytest.mark.parametrize("delay_s", [0.0, 1.5])
def test_poll_without_an_answer_counts_as_a_renewal(
    monkeypatch: pytest.MonkeyPatch, delay_s: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker(clock_rate=0.98)
        second = site.add_worker("w2", 2)
        held_until_ms = worker.life.deadline_ms
        site.add_fault(1, "hold", delay_s=delay_s, count=1)
        site.add_fault(1, error=ServerUnreachableError("refused"))
        await site.wait_for_begin(second, SECOND_RUN)
        assert worker.life.deadline_ms > held_until_ms

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


@pytest.mark.parametrize("clock_rate", [0.98, 1.0, 1.02])
@pytest.mark.parametrize("reading_age_s", [0.0, 0.5, 4.0])
def test_lease_expires_only_after_its_worker_has_killed_its_runs(
    monkeypatch: pytest.MonkeyPatch, clock_rate: float, reading_age_s: float
) -> None:
    """The worker's clock and its lease are looked at each millisecond."""

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1, clock_rate=clock_rate)
        lease = Lease(MAX_HOLD_MS / 1000, 0.0)
        lease.record_clock(int(worker.clock_ms))
        await anyio.sleep(reading_age_s)
        order = {"task": FIRST_RUN[0], "run": 1, "deadline_ms": lease.grant()}
        await worker.handle("run-start", order)
        with anyio.fail_after(20.0):
            while not lease.has_expired:
                await anyio.sleep(0.001)
        assert worker.begun == [FIRST_RUN]
        assert not worker.is_running(FIRST_RUN)

    play(monkeypatch, scenario)
