"""Runs of a worker whose session fails within a term."""

from __future__ import annotations

import anyio
import pytest

from tests.site.worker_site import (
    FIRST_RUN,
    WorkerSite,
    play,
)


def test_failed_session_does_not_end_runs_that_hold_a_lease(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        site.add_worker("w2", 2)
        site.add_fault(1, "hold", error=ValueError("unexpected"), count=1)
        await anyio.sleep(5.0)
        worker.finish(FIRST_RUN)
        await anyio.sleep(2.0)

    assert play(monkeypatch, scenario).violations == []


def test_failed_session_without_a_directory_keeps_runs_until_they_lapse(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker(clock_rate=0.98)
        site.add_worker("w2", 2)
        await anyio.sleep(1.0)
        site.directory.is_available = False
        site.add_fault(1, "hold", error=ValueError("unexpected"), count=1)
        await anyio.sleep(20.0)

    audit = play(monkeypatch, scenario)
    assert audit.violations == []
    assert FIRST_RUN in audit.presumed_ends


def test_failed_stop_command_does_not_end_other_runs_of_the_worker(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        site.add_worker("w2", 2)
        worker.life.running["f" * 16 + ".0.0.0", 1] = anyio.current_time()
        site.add_fault(1, "run-stop", error=ValueError("unexpected"), count=1)
        await anyio.sleep(5.0)

    assert play(monkeypatch, scenario).violations == []
