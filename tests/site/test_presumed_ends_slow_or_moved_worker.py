"""Runs of workers that are slow to stop, move, or whose calls fail."""

from __future__ import annotations

from dataclasses import replace
from functools import partial

import anyio
import pytest

from lagoonbeam.errors import ResponseLostError
from lagoonbeam.site.model import (
    Step,
)
from lagoonbeam.site.records import (
    JobAccepted,
    encode_record,
)
from lagoonbeam.site.time_limits import PlatformTimeLimits
from tests.site import worker_site
from tests.site.builders import make_job
from tests.site.test_presumed_ends_earlier_term import (
    claim_without_first_worker,
)
from tests.site.worker_model import RunKey
from tests.site.worker_site import (
    FIRST_RUN,
    OLD_TERM_S,
    SECOND_RUN,
    WorkerSite,
    play,
)

EARLIER_JOB_ID = "b" * 16
EARLIER_RUN: RunKey = (f"{EARLIER_JOB_ID}.0.0.0", 1)


def test_start_being_journaled_is_not_ended_by_failed_polls(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The end would wait behind the placement, and the start leave between."""

    async def scenario(site: WorkerSite) -> None:
        worker = await site.begin_slow_append(6.0)
        held = site.add_fault(1, "hold", error=ResponseLostError("cut"))
        site.add_worker("w2", 2)
        await site.wait_for_begin(worker, FIRST_RUN)
        site.network.faults.remove(held)
        site.stores["n0"].answer_delay_s = 0.0
        await anyio.sleep(8.0)
        assert worker.is_running(FIRST_RUN)

    assert play(monkeypatch, scenario).violations == []


def test_corrected_address_of_an_unreachable_worker_is_used(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The session keeps the client of the address that it was opened for."""

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1)
        entry = site.directory.reports["w1"]
        site.directory.reports["w1"] = replace(entry, port=9)
        await site.start_scheduler()
        await anyio.sleep(3.0)
        site.directory.reports["w1"] = entry
        site.accept_job()
        await site.wait_for_begin(worker, FIRST_RUN)

    play(monkeypatch, scenario)


def test_unexpected_error_of_a_start_does_not_end_the_scheduler(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Such an error of a poll or a stop ends only the worker's session."""

    async def scenario(site: WorkerSite) -> None:
        site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.add_fault(1, "run-start", error=ValueError("unexpected"), count=1)
        site.accept_job()
        await site.wait_for_any_begin()

    play(monkeypatch, scenario)


@pytest.fixture
def slow_stops(monkeypatch: pytest.MonkeyPatch) -> None:
    """Makes the platform allow more time for a stop than the kills take."""
    monkeypatch.setattr(
        worker_site,
        "PlatformTimeLimits",
        partial(PlatformTimeLimits, stop_timeout_s=5.0),
    )


@pytest.mark.usefixtures("slow_stops")
def test_run_of_a_worker_that_is_slow_to_kill_ends_before_its_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker(clock_rate=0.98, kill_delay_ms=4_500.0)
        second = site.add_worker("w2", 2)
        site.add_fault(1, error=ResponseLostError("cut"))
        await site.wait_for_begin(second, SECOND_RUN)

    assert play(monkeypatch, scenario).violations == []


@pytest.mark.usefixtures("slow_stops")
def test_run_of_an_earlier_term_that_is_slow_to_kill_ends_before_its_record(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker(clock_rate=0.98, kill_delay_ms=4_500.0)
        site.stores["n0"].lost_calls = {"append", "read"}
        await claim_without_first_worker(site)

    assert play(monkeypatch, scenario).violations == []


def test_stale_entry_keeps_no_worker_with_a_run_from_new_ones(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        worker.restart()
        await anyio.sleep(1.0)
        site.list_life(worker, 1)
        await site.wait_for_begin(worker, SECOND_RUN)
        entry = site.directory.reports["w1"]
        site.directory.reports["w1"] = replace(entry, port=9, incarnation=1)
        await anyio.sleep(5.0)
        site.directory.reports["w1"] = entry
        earlier = JobAccepted(make_job(EARLIER_JOB_ID, Step(accelerators=1)))
        site.store.records.append(encode_record(earlier))
        await site.wait_for_begin(worker, EARLIER_RUN)
        assert worker.is_running(SECOND_RUN)

    assert play(monkeypatch, scenario).violations == []
