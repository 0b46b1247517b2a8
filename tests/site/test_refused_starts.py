"""A worker that refuses all starts while others have room, or none has."""

from __future__ import annotations

import itertools
from typing import Any

from lagoonbeam.site.caller_cost.refused_starts import (
    FORGET_AFTER_S,
    INITIAL_BACKOFF_S,
    MAX_BACKOFF_S,
    RefusedStarts,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job, make_configuration
from tests.site.test_planner import (
    WHOLE_WORKER_STEP,
    get_assigned_workers,
    make_recent_job,
    make_sessions,
)

PLANNING_INTERVAL_S = 0.02


def test_starts_at_a_worker_that_refuses_them_become_rare() -> None:
    refused_starts = RefusedStarts()
    starts_s = []
    for tick in range(500):
        now_s = tick * PLANNING_INTERVAL_S
        if not refused_starts.list_held_off("a", now_s):
            starts_s.append(now_s)
            refused_starts.record("a", "w0", now_s)
    assert len(starts_s) < 12
    gaps_s = [b - a for a, b in itertools.pairwise(starts_s)]
    assert gaps_s[0] < INITIAL_BACKOFF_S + 1.5 * PLANNING_INTERVAL_S
    assert gaps_s[0] < gaps_s[1] < gaps_s[2]
    assert max(gaps_s) < MAX_BACKOFF_S + 1.5 * PLANNING_INTERVAL_S


def test_repeated_answers_to_one_start_count_once() -> None:
    refused_starts = RefusedStarts()
    for _ in range(13):
        refused_starts.record("a", "w0", 5.0)
    assert not refused_starts.list_held_off("a", 5.01 + INITIAL_BACKOFF_S)


def test_old_refusals_are_forgotten() -> None:
    refused_starts = RefusedStarts()
    refused_starts.record("a", "w0", 0.0)
    refused_starts.record("a", "w0", 1.0)
    refused_starts.record("a", "w0", 2.0 + FORGET_AFTER_S)
    held_until_s = 2.0 + FORGET_AFTER_S + 1.1 * INITIAL_BACKOFF_S
    assert not refused_starts.list_held_off("a", held_until_s)
    refused_starts.drop_stale(held_until_s + FORGET_AFTER_S)
    assert not refused_starts.list_held_off("a", 0.0)


def plan_after_refusal(worker_count: int, **fields: Any) -> tuple[Any, Any]:
    """Returns the plan and the other unit, after w0 has refused the first."""
    state = SiteState()
    planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
    (refused,) = accept_job(
        state, make_recent_job("a", WHOLE_WORKER_STEP, **fields)
    )
    (other,) = accept_job(
        state, make_recent_job("b", WHOLE_WORKER_STEP, **fields)
    )
    planner_state.record_refused_start(refused, "w0")
    sessions = make_sessions(worker_count)
    configuration = make_configuration()
    plan = make_plan(planner_state, state, sessions, sessions, configuration)
    return plan, other


def test_refused_unit_goes_elsewhere_and_others_may_go_there() -> None:
    plan, other = plan_after_refusal(3, priority=0)
    assert sorted(unit.key for unit, _ in plan.starts) == ["a.0.0.0", other.key]
    ((_, worker),) = plan.starts[0][1]
    assert worker != "w0"


def test_unit_waits_if_only_the_refusing_worker_has_room() -> None:
    plan, other = plan_after_refusal(1, priority=0)
    assert [unit for unit, _ in plan.starts] == [other]
    assert get_assigned_workers(plan) == ["w0"]
