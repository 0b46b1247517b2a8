"""Plans while very many units wait."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.model import Step
from lagoonbeam.site.ready_queue import ReadyQueue
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job
from tests.site.test_planner import (
    make_recent_job,
    make_sessions,
    make_single_plan,
)


def test_plan_starts_units_although_ranking_them_takes_too_long(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """With 39,000 waiting units, no plan ever started one."""
    now_s = [0.0]
    list_ranked = ReadyQueue.list_ranked

    def list_ranked_slowly(queue: ReadyQueue) -> Any:
        now_s[0] += 1.0
        return list_ranked(queue)

    monkeypatch.setattr(ReadyQueue, "list_ranked", list_ranked_slowly)
    monkeypatch.setattr("lagoonbeam.site.planner.PLAN_TIME_LIMIT_S", 0.02)
    monkeypatch.setattr(
        "lagoonbeam.site.planner.time",
        SimpleNamespace(monotonic=lambda: now_s[0]),
    )
    state = SiteState()
    accept_job(state, make_recent_job("a", Step(count=4, accelerators=1)))
    plan = make_single_plan(state, make_sessions(1))
    assert len(plan.starts) == 4
    assert not plan.is_truncated
