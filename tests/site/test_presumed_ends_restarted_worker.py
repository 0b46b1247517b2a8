"""Late starts that a restarted worker carries out."""

from __future__ import annotations

import anyio
import pytest

from tests.site.worker_model import WorkerModel
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
