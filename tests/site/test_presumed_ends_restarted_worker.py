"""Late starts that a restarted worker carries out."""

from __future__ import annotations

import anyio
import pytest

from tests.site.worker_model import RunKey, WorkerModel
from tests.site.worker_site import (
    FIRST_RUN,
    OLD_TERM_S,
    WorkerSite,
    play,
)


async def send_start_before_restart(
    site: WorkerSite, *, start_delay_s: float, restart_after_s: float
) -> WorkerModel:
    """Restarts w1 while a start is on its way to its earlier life."""
    worker = site.add_worker("w1", 1, clock_rate=0.98)
    await site.start_scheduler()
    await anyio.sleep(OLD_TERM_S)
    await site.send_late_start(start_delay_s)
    await anyio.sleep(restart_after_s)
    worker.restart()
    return worker


@pytest.mark.parametrize("start_delay_s", [2.0, 4.0])
def test_late_start_does_not_begin_on_the_life_that_got_the_stop(
    monkeypatch: pytest.MonkeyPatch, start_delay_s: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await send_start_before_restart(
            site, start_delay_s=start_delay_s, restart_after_s=0.5
        )
        site.add_worker("w2", 2)
        await anyio.sleep(30.0)

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


@pytest.mark.parametrize(
    ("silent_after_s", "begun"), [(0.0, [FIRST_RUN]), (0.7, [])]
)
def test_late_start_on_a_restarted_silent_worker_lapses_before_its_end(
    monkeypatch: pytest.MonkeyPatch, silent_after_s: float, begun: list[RunKey]
) -> None:
    """The deadline is on the clock of the earlier life, far ahead.

    The new life refuses the start once a poll has reached it whose token is
    higher than that of the start.
    """

    async def scenario(site: WorkerSite) -> None:
        worker = await send_start_before_restart(
            site, start_delay_s=3.0, restart_after_s=0.5
        )
        site.add_fault(1, "run-stop")
        site.add_worker("w2", 2)
        await anyio.sleep(silent_after_s)
        site.add_fault(1, "hold")
        await anyio.sleep(30.0)
        assert worker.begun == begun

    audit = play(monkeypatch, scenario)
    assert FIRST_RUN in audit.presumed_ends
    assert audit.violations == []


def test_stop_answered_by_an_earlier_life_is_not_confirmed(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The answer to the stop arrives after the new life's first poll."""

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.add_fault(
            1, "run-stop", keeps_answer=True, answer_delay_s=0.6, count=1
        )
        site.add_fault(1, "run-stop", count=1)
        await site.send_late_start(5.0)
        site.add_worker("w2", 2)
        while not worker.life.refused_run:
            await anyio.sleep(0.01)
        worker.restart()
        await anyio.sleep(20.0)

    assert play(monkeypatch, scenario).violations == []
