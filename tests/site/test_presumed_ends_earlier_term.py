"""Runs of an earlier term on a worker that the new term cannot reach."""

from __future__ import annotations

import re

import anyio
import pytest

from lagoonbeam.errors import ResponseLostError
from lagoonbeam.site.records import JobCancelled, RunKey, encode_record
from tests.site.worker_model import get_address, make_report
from tests.site.worker_site import (
    FIRST_RUN,
    SECOND_RUN,
    ModelDirectory,
    WorkerSite,
    play,
)


async def claim_without_first_worker(site: WorkerSite) -> None:
    """Lets n1 claim a term in which w1 is missing in the directory."""
    directory = ModelDirectory()
    second = site.add_worker("w2", 2)
    directory.reports["w2"] = site.directory.reports.pop("w2")
    await site.start_scheduler("n1", directory)
    await site.wait_for_begin(second, SECOND_RUN)


@pytest.mark.parametrize("clock_rate", [0.98, 1.0])
@pytest.mark.parametrize("cut_after_s", [0.0, 0.25, 0.5, 0.75])
def test_run_renewed_by_a_cut_off_term_lapses_before_its_end(
    monkeypatch: pytest.MonkeyPatch, clock_rate: float, cut_after_s: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker(clock_rate=clock_rate)
        await anyio.sleep(cut_after_s)
        site.stores["n0"].lost_calls = {"append", "read"}
        await claim_without_first_worker(site)

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


@pytest.mark.parametrize(
    ("answer_delay_s", "begun"), [(2.0, [FIRST_RUN]), (9.5, [])]
)
def test_start_after_a_late_confirmation_lapses_before_its_end(
    monkeypatch: pytest.MonkeyPatch, answer_delay_s: float, begun: list[RunKey]
) -> None:
    """A frozen instance finds the confirmation when it wakes."""

    async def scenario(site: WorkerSite) -> None:
        worker = await site.begin_slow_append(answer_delay_s)
        site.stores["n0"].lost_calls = {"append", "read"}
        await claim_without_first_worker(site)
        assert worker.begun == begun

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


async def confirm_by_late_read(site: WorkerSite) -> None:
    """Plays a placement whose record is read with the newer claim."""
    record = encode_record(JobCancelled("f" * 16))

    def lose_reads() -> None:
        site.store.before_placement = lambda: None
        site.store.records.append(record)
        site.stores["n0"].lost_calls = {"append", "read"}

    site.store.before_placement = lose_reads
    worker = await site.begin_slow_append(0.0)
    site.tasks.start_soon(claim_without_first_worker, site)
    await anyio.sleep(8.0)
    assert not worker.begun
    site.stores["n0"].lost_calls = {"append"}
    await anyio.sleep(30.0)
    assert FIRST_RUN in site.audit.presumed_ends


def test_start_after_a_late_read_of_the_journal_lapses_before_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The read that ends the wait for the placement also shows the claim."""
    assert play(monkeypatch, confirm_by_late_read).violations == []


def test_cancelled_start_is_not_counted_as_started(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await confirm_by_late_read(site)
        begun = [key for worker in site.audit.workers for key in worker.begun]
        assert begun == [SECOND_RUN]
        rendered = site.decisions.metrics.render().decode()
        (started,) = re.findall(
            r'starts_total{outcome="started"} (\S+)', rendered
        )
        assert float(started) == len(begun)

    play(monkeypatch, scenario)


def test_first_reading_of_a_worker_that_restarts_bounds_no_earlier_term(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The new life has not seen the term's token and takes an older start."""

    async def scenario(site: WorkerSite) -> None:
        worker = await site.begin_slow_append(7.5)
        site.stores["n0"].lost_calls = {"append", "read"}
        site.add_fault(1, "hold", error=ResponseLostError("cut"))
        directory = ModelDirectory()
        report = make_report("w1", 11)
        site.network.workers[get_address(report)] = worker
        directory.reports["w1"] = report
        await site.start_scheduler("n1", directory)
        with anyio.fail_after(5.0):
            while worker.life.fencing_token < 2:
                await anyio.sleep(0.0005)
        await anyio.sleep(0.002)
        site.add_fault(11, error=ResponseLostError("cut"))
        await anyio.sleep(0.5)
        worker.restart()
        second = site.add_worker("w2", 2)
        directory.reports["w2"] = site.directory.reports.pop("w2")
        await site.wait_for_begin(second, SECOND_RUN)
        assert worker.begun == [FIRST_RUN]

    assert play(monkeypatch, scenario).violations == []
