"""Starts that are journaled while the session of their worker changes."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from tests.site.worker_site import (
    FIRST_RUN,
    OLD_TERM_S,
    SECOND_RUN,
    WorkerSite,
    play,
)


def test_start_being_journaled_is_not_ended_with_its_workers_session(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.begin_slow_append(1.5)
        site.add_fault(1, "hold", error=ValueError("unexpected"), count=1)
        held = site.add_fault(1, "hold")
        site.add_worker("w2", 2)
        await site.wait_for_any_begin()
        assert worker.begun == []
        site.network.faults.remove(held)
        await anyio.sleep(5.0)

    assert play(monkeypatch, scenario).violations == []


def test_start_before_the_first_poll_of_a_session_is_not_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Without a reading, the deadline is a guess of the worker's clock."""

    async def scenario(site: WorkerSite) -> None:
        worker = await site.begin_slow_append(6.0)
        site.add_fault(1, "run-start", delay_s=4.0, count=1)
        site.add_fault(1, "run-stop")
        held = site.add_fault(1, "hold")
        await anyio.sleep(3.0)
        entry = site.directory.reports["w1"]
        site.directory.reports["w1"] = replace(entry, incarnation=77)
        await anyio.sleep(0.5)
        site.directory.reports["w1"] = entry
        await anyio.sleep(3.0)
        site.stores["n0"].answer_delay_s = 0.0
        second = site.add_worker("w2", 2)
        await site.wait_for_begin(second, SECOND_RUN)
        site.network.faults.remove(held)
        await anyio.sleep(0.5)
        site.network.faults.append(held)
        await anyio.sleep(15.0)
        assert worker.begun == []
        assert not site.network.late_calls

    assert play(monkeypatch, scenario).violations == []


def test_late_start_of_a_replaced_session_lapses_before_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1, clock_rate=0.98)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.add_fault(1, "run-stop")
        await site.send_late_start(3.0)
        site.add_fault(1, "hold")
        entry = site.directory.reports["w1"]
        site.directory.reports["w1"] = replace(entry, port=9, incarnation=77)
        second = site.add_worker("w2", 2)
        await site.wait_for_begin(second, SECOND_RUN)
        assert worker.begun == [FIRST_RUN]

    assert play(monkeypatch, scenario).violations == []


@pytest.mark.parametrize("absent_s", [0.0, 3.0])
def test_start_being_journaled_is_not_ended_by_a_session_opened_meanwhile(
    monkeypatch: pytest.MonkeyPatch, absent_s: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.begin_slow_append(6.0)
        entry = site.directory.reports["w1"]
        if absent_s:
            del site.directory.reports["w1"]
            await anyio.sleep(absent_s)
        held = site.add_fault(1, "hold")
        await anyio.sleep(2.5)
        site.directory.reports["w1"] = replace(entry, incarnation=77)
        await anyio.sleep(0.5)
        site.directory.reports["w1"] = entry
        site.add_worker("w2", 2)
        await anyio.sleep(8.0)
        site.stores["n0"].answer_delay_s = 0.0
        site.network.faults.remove(held)
        await site.wait_for_any_begin()
        await anyio.sleep(8.0)

    assert play(monkeypatch, scenario).violations == []
