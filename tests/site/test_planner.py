from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.guarantees import find_guaranteed_jobs
from lagoonbeam.site.model import RunEndReason, Step
from lagoonbeam.site.packing import FullestWorkerFirst
from lagoonbeam.site.placement import place_unit
from lagoonbeam.site.plan import Plan
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import RunEnd, RunsEnded
from lagoonbeam.site.run_time_estimator import JobValue, RunTimeEstimator
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import make_empty_capacity
from tests.site.builders import (
    accept_job,
    make_configuration,
    make_job,
    make_worker_report,
    record_placement,
)

WHOLE_WORKER_STEP = Step(accelerators=8)


def make_sessions(
    count: int, workers_per_rack: int = 2, **fields: Any
) -> dict[str, Any]:
    return {
        f"w{n}": SimpleNamespace(
            report=make_worker_report(
                f"w{n}", f"r{n // workers_per_rack}", **fields
            ),
            is_usable=True,
            dispatcher=SimpleNamespace(
                get_lost_work_s=lambda task: 3.0,
                get_elapsed_s=lambda task: 3.0,
            ),
            running={},
        )
        for n in range(count)
    }


def make_single_plan(state: SiteState, sessions: dict[str, Any]) -> Plan:
    planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
    return make_plan(
        planner_state, state, sessions, sessions, make_configuration()
    )


def make_recent_job(job_id: str, *steps: Step, **fields: Any) -> Any:
    return make_job(job_id, *steps, accepted_at_s=time.time(), **fields)


def get_assigned_workers(plan: Plan) -> list[str]:
    return [worker for _, assignment in plan.starts for _, worker in assignment]


def test_gang_is_placed_completely_or_not_at_all() -> None:
    state = SiteState()
    accept_job(
        state, make_recent_job("a", Step(count=3, accelerators=8, is_gang=True))
    )
    assert not make_single_plan(state, make_sessions(2)).starts
    assert (
        len(get_assigned_workers(make_single_plan(state, make_sessions(4))))
        == 3
    )


def test_one_rack_gang_stays_on_one_rack() -> None:
    state = SiteState()
    step = Step(count=2, accelerators=8, is_gang=True, is_one_rack=True)
    accept_job(state, make_recent_job("a", step))
    assert get_assigned_workers(make_single_plan(state, make_sessions(6))) in (
        ["w0", "w1"],
        ["w2", "w3"],
        ["w4", "w5"],
    )


def test_required_label_and_max_per_worker_are_respected() -> None:
    state = SiteState()
    step = Step(count=4, max_per_worker=1, required_label="fast")
    accept_job(state, make_recent_job("a", step, priority=0))
    sessions = make_sessions(4)
    for name in ("w1", "w2"):
        sessions[name].report = make_worker_report(
            name, labels=("a", "r0", "fast")
        )
    assert sorted(get_assigned_workers(make_single_plan(state, sessions))) == [
        "w1",
        "w2",
    ]


def test_step_waits_for_its_predecessors() -> None:
    state = SiteState()
    first, _ = accept_job(state, make_recent_job("a", Step(), Step(after=(0,))))
    assert [
        unit.key for unit, _ in make_single_plan(state, make_sessions(2)).starts
    ] == ["a.0.0.0"]
    record_placement(state, first, "w0")
    assert not make_single_plan(state, make_sessions(2)).starts
    state.apply(RunsEnded((RunEnd("a.0.0.0", 1, RunEndReason.DONE),)))
    assert [
        unit.key for unit, _ in make_single_plan(state, make_sessions(2)).starts
    ] == ["a.0.1.0"]


def test_occurrence_does_not_start_before_it_is_due() -> None:
    state = SiteState()
    now_s = time.time()
    accept_job(
        state,
        make_recent_job(
            "a", repeat_count=3, first_due_s=now_s - 1.5, interval_s=1.0
        ),
    )
    starts = make_single_plan(state, make_sessions(2)).starts
    assert [unit.occurrence for unit, _ in starts] == [0, 1]


def test_urgent_unit_evicts_only_the_cheapest_victim() -> None:
    state = SiteState()
    sessions = make_sessions(4)
    for number, cores in enumerate((90_000, 10_000, 50_000, 70_000)):
        step = Step(accelerators=8, cpu_millis=cores)
        (unit,) = accept_job(state, make_recent_job(f"l{number}", step))
        record_placement(state, unit, f"w{number}")
    accept_job(state, make_recent_job("u", WHOLE_WORKER_STEP, priority=0))
    plan = make_single_plan(state, sessions)
    assert [victim.key for victim, _ in plan.stops] == ["l1.0.0.0"]
    assert not plan.starts


def test_capacity_freed_by_eviction_is_reserved_for_the_urgent_unit() -> None:
    state = SiteState()
    sessions = make_sessions(1)
    planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
    configuration = make_configuration()
    (victim,) = accept_job(state, make_recent_job("l", WHOLE_WORKER_STEP))
    record_placement(state, victim, "w0")
    accept_job(state, make_recent_job("u", WHOLE_WORKER_STEP, priority=0))
    make_plan(planner_state, state, sessions, sessions, configuration)
    state.apply(RunsEnded((RunEnd(victim.key, 1, RunEndReason.STOPPED),)))
    accept_job(state, make_recent_job("v", WHOLE_WORKER_STEP))
    plan = make_plan(planner_state, state, sessions, sessions, configuration)
    assert [unit.key for unit, _ in plan.starts] == ["u.0.0.0"]


def test_low_priority_work_leaves_the_reserve_free() -> None:
    state = SiteState()
    accept_job(
        state, make_recent_job("a", Step(count=40, accelerators=8), priority=2)
    )
    assert (
        len(get_assigned_workers(make_single_plan(state, make_sessions(10))))
        == 8
    )


def test_launching_units_hold_capacity_and_are_not_planned_again() -> None:
    state = SiteState()
    planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
    accept_job(state, make_recent_job("a", WHOLE_WORKER_STEP, priority=0))
    accept_job(state, make_recent_job("b", WHOLE_WORKER_STEP, priority=0))
    sessions = make_sessions(1)
    first = make_plan(
        planner_state, state, sessions, sessions, make_configuration()
    )
    second = make_plan(
        planner_state, state, sessions, sessions, make_configuration()
    )
    assert len(first.starts) == 1
    assert not second.starts


def test_fullest_worker_first_chooses_the_best_fit() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_recent_job("a", Step(accelerators=2)))
    capacities = {
        f"w{n}": make_empty_capacity(make_worker_report(f"w{n}"))
        for n in range(3)
    }
    capacities["w1"].accelerators = 4
    capacities["w2"].accelerators = 3
    assignment = place_unit(
        unit, capacities, allow_nonlocal=True, packing=FullestWorkerFirst()
    )
    assert assignment is not None
    assert assignment[0][1] == "w1"


def test_guarantee_covers_the_oldest_urgent_jobs() -> None:
    state = SiteState()
    for job_id, count in (("a", 1), ("b", 2), ("c", 1)):
        step = Step(count=count, accelerators=8)
        accept_job(state, make_recent_job(job_id, step, priority=0))
    guaranteed_job_ids = find_guaranteed_jobs(
        state.open_jobs(),
        make_configuration().organisations,
        lambda job: job.request.queue,
    )
    assert guaranteed_job_ids == {"a", "c"}


def test_job_value_decreases_with_the_wait() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(estimated_s=2.0)))
    policy = unit.job.request.queue
    run_time_estimator = RunTimeEstimator()
    expected_by_age_s = {
        1.0: JobValue.FULL,
        10.0: JobValue.REDUCED,
        30.0: JobValue.NONE,
    }
    for age_s, expected in expected_by_age_s.items():
        job_value = run_time_estimator.get_job_value(
            unit, policy, 100.0 + age_s
        )
        assert job_value is expected
    run_time_estimator.record_run("q1", 12.0)
    assert (
        run_time_estimator.get_job_value(unit, policy, 110.0) is JobValue.FULL
    )


@pytest.mark.parametrize(
    ("workers", "expected"),
    [(2, "w1"), (1, "w0")],
    ids=["starts_on_another_worker", "only_worker_is_used_again"],
)
def test_unit_avoids_worker_on_which_it_failed(
    workers: int, expected: str
) -> None:
    state = SiteState()
    (unit,) = accept_job(
        state, make_recent_job("a", WHOLE_WORKER_STEP, priority=0)
    )
    planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
    sessions = make_sessions(workers)
    planner_state.avoid_worker(unit, "w0")
    plan = make_plan(
        planner_state, state, sessions, sessions, make_configuration()
    )
    assert get_assigned_workers(plan) == [expected]


def test_one_rack_gang_spans_racks_on_an_underused_service() -> None:
    state = SiteState()
    step = Step(count=2, accelerators=8, is_gang=True, is_one_rack=True)
    accept_job(state, make_job("a", step, accepted_at_s=time.time() - 3.0))
    for number in (0, 2):
        (unit,) = accept_job(state, make_recent_job(f"b{number}"))
        record_placement(state, unit, f"w{number}")
    assert (
        len(get_assigned_workers(make_single_plan(state, make_sessions(4))))
        == 2
    )


def test_run_once_job_is_not_evicted() -> None:
    state = SiteState()
    (running_unit,) = accept_job(
        state,
        make_recent_job("a", WHOLE_WORKER_STEP, priority=1, runs_once=True),
    )
    record_placement(state, running_unit, "w0")
    accept_job(state, make_recent_job("b", WHOLE_WORKER_STEP, priority=0))
    plan = make_single_plan(state, make_sessions(1))
    assert not plan.stops
    assert not plan.starts


def test_run_once_jobs_leave_the_guarantees_reclaimable() -> None:
    state = SiteState()
    for number in range(4):
        accept_job(
            state,
            make_recent_job(
                f"a{number}", WHOLE_WORKER_STEP, priority=1, runs_once=True
            ),
        )
    plan = make_single_plan(state, make_sessions(4))
    assert len(plan.starts) == 2


def test_run_once_jobs_may_use_their_own_guarantee() -> None:
    state = SiteState()
    for number in range(4):
        accept_job(
            state,
            make_recent_job(
                f"a{number}", WHOLE_WORKER_STEP, priority=0, runs_once=True
            ),
        )
    assert len(make_single_plan(state, make_sessions(4)).starts) == 4


def test_reserved_capacity_is_logged_neither_as_free_nor_as_negative() -> None:
    state = SiteState()
    (running_unit,) = accept_job(
        state, make_recent_job("a", WHOLE_WORKER_STEP, priority=1)
    )
    record_placement(state, running_unit, "w0")
    accept_job(state, make_recent_job("b", WHOLE_WORKER_STEP, priority=0))
    emitted: list[dict[str, Any]] = []
    decisions: Any = SimpleNamespace(
        emit=lambda event, **kwargs: emitted.append({"event": event, **kwargs})
    )
    planner_state = PlannerState(decisions)
    sessions = make_sessions(1)
    for _ in range(2):
        make_plan(
            planner_state, state, sessions, sessions, make_configuration()
        )
        accept_job(state, make_recent_job("c", WHOLE_WORKER_STEP, priority=0))
    free = [
        fields["free_accelerators"]
        for fields in emitted
        if "free_accelerators" in fields
    ]
    assert free and min(free) == 0


def test_waiting_urgent_unit_behind_an_equivalent_one_is_logged() -> None:
    state = SiteState()
    for job_id in "ab":
        accept_job(
            state, make_recent_job(job_id, WHOLE_WORKER_STEP, priority=0)
        )
    (running_unit,) = accept_job(
        state, make_recent_job("c", WHOLE_WORKER_STEP, priority=0)
    )
    record_placement(state, running_unit, "w0")
    emitted: list[str] = []
    decisions: Any = SimpleNamespace(
        emit=lambda event, **fields: emitted.append(fields["task"])
    )
    sessions = make_sessions(1)
    planner_state = PlannerState(decisions)
    make_plan(planner_state, state, sessions, sessions, make_configuration())
    assert emitted == ["a.0.0.0", "b.0.0.0"]


def test_unit_that_used_up_its_attempts_is_not_started_again() -> None:
    """Its last failure may be known before its job's end is journaled."""
    state = SiteState()
    unit, other = accept_job(state, make_recent_job("a", Step(), Step()))
    for run in (1, 2):
        assert unit in [
            planned
            for planned, _ in make_single_plan(state, make_sessions(2)).starts
        ]
        record_placement(state, unit, "w0", run)
        state.apply(RunsEnded((RunEnd(unit.key, run, RunEndReason.FAILED),)))
    planned_units = [
        planned
        for planned, _ in make_single_plan(state, make_sessions(2)).starts
    ]
    assert planned_units == [other]


def test_long_running_unit_is_restarted_however_often_it_fails() -> None:
    state = SiteState()
    (unit,) = accept_job(
        state, make_recent_job("a", Step(is_long_running=True))
    )
    for run in range(1, 5):
        record_placement(state, unit, "w0", run)
        state.apply(RunsEnded((RunEnd(unit.key, run, RunEndReason.FAILED),)))
    assert make_single_plan(state, make_sessions(2)).starts
