"""Runs of a worker whose directory entry is replaced for a time."""

from __future__ import annotations

from dataclasses import replace

import anyio
import pytest

from tests.site.worker_site import FIRST_RUN, SiteScenario, WorkerSite, play


def show_entry_for(
    address_number: int, incarnation: int, duration_s: float
) -> SiteScenario:
    """Plays a directory that shows another entry of w1 for some time."""

    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker(clock_rate=0.98)
        site.add_worker("w2", 2)
        site.add_worker("w3", 3)
        entry = site.directory.reports["w1"]
        site.directory.reports["w1"] = replace(
            entry, port=address_number, incarnation=incarnation
        )
        await anyio.sleep(duration_s)
        site.directory.reports["w1"] = entry
        await anyio.sleep(5.0)
        worker.finish(FIRST_RUN)
        await anyio.sleep(2.0)

    return scenario


@pytest.mark.parametrize("duration_s", [0.5, 2.0, 20.0])
def test_foreign_entry_with_an_unused_address_ends_no_run(
    monkeypatch: pytest.MonkeyPatch, duration_s: float
) -> None:
    scenario = show_entry_for(9, 77, duration_s)
    assert play(monkeypatch, scenario).violations == []


@pytest.mark.parametrize("duration_s", [0.5, 2.0, 20.0])
def test_entry_with_a_wrong_incarnation_ends_no_run(
    monkeypatch: pytest.MonkeyPatch, duration_s: float
) -> None:
    scenario = show_entry_for(1, 77, duration_s)
    assert play(monkeypatch, scenario).violations == []


def test_entry_that_changes_only_its_address_ends_no_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    scenario = show_entry_for(3, 1, 5.0)
    assert play(monkeypatch, scenario).violations == []


@pytest.mark.parametrize("duration_s", [0.5, 2.0, 20.0])
def test_foreign_entry_with_the_address_of_another_worker_ends_no_run(
    monkeypatch: pytest.MonkeyPatch, duration_s: float
) -> None:
    scenario = show_entry_for(3, 77, duration_s)
    assert play(monkeypatch, scenario).violations == []


@pytest.mark.parametrize("address_number", [3, 9])
def test_entry_of_another_writer_does_not_cut_off_an_answering_worker(
    monkeypatch: pytest.MonkeyPatch, address_number: int
) -> None:
    """The run would lapse on a worker that is no longer polled."""
    scenario = show_entry_for(address_number, 77, 20.0)
    audit = play(monkeypatch, scenario)
    assert audit.violations == []
    assert FIRST_RUN not in audit.presumed_ends
    assert [key for worker in audit.workers for key in worker.begun] == [
        FIRST_RUN
    ]
