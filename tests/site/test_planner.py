from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.durations import Durations, Earning
from lagoonbeam.site.guarantees import find_covered
from lagoonbeam.site.model import End, Step
from lagoonbeam.site.packing import FullestFirst
from lagoonbeam.site.placement import place_unit
from lagoonbeam.site.plan_memory import PlanMemory
from lagoonbeam.site.planner import Plan, make_plan
from lagoonbeam.site.records import RunEnd, RunsEnded
from lagoonbeam.site.rooms import make_room
from lagoonbeam.site.state import SiteState
from tests.site.builders import (
    accept,
    make_configuration,
    make_job,
    make_report,
    place,
)

WHOLE = Step(accelerators=8)


def make_sessions(count: int, rack: int = 2, **fields: Any) -> dict[str, Any]:
    return {
        f"w{n}": SimpleNamespace(
            report=make_report(f"w{n}", f"r{n // rack}", **fields),
            is_usable=True,
            orders=SimpleNamespace(get_lost_work_s=lambda task: 3.0),
        )
        for n in range(count)
    }


def plan(state: SiteState, sessions: dict[str, Any]) -> Plan:
    memory = PlanMemory(DecisionLog("n0", "z1", descriptor=2))
    return make_plan(memory, state, sessions, sessions, make_configuration())


def now_job(job_id: str, *steps: Step, **fields: Any) -> Any:
    return make_job(job_id, *steps, accepted_at_s=time.time(), **fields)


def workers_of(made: Plan) -> list[str]:
    return [worker for _, places in made.starts for _, worker in places]


def test_gang_is_placed_whole_or_not_at_all() -> None:
    state = SiteState()
    accept(state, now_job("a", Step(count=3, accelerators=8, is_gang=True)))
    assert not plan(state, make_sessions(2)).starts
    assert len(workers_of(plan(state, make_sessions(4)))) == 3


def test_one_rack_gang_stays_on_one_rack() -> None:
    state = SiteState()
    step = Step(count=2, accelerators=8, is_gang=True, is_one_rack=True)
    accept(state, now_job("a", step))
    assert workers_of(plan(state, make_sessions(6))) in (
        ["w0", "w1"],
        ["w2", "w3"],
        ["w4", "w5"],
    )


def test_label_and_most_per_worker_are_kept() -> None:
    state = SiteState()
    step = Step(count=4, max_per_worker=1, required_label="fast")
    accept(state, now_job("a", step, priority=0))
    sessions = make_sessions(4)
    for name in ("w1", "w2"):
        sessions[name].report = make_report(name, labels=("a", "r0", "fast"))
    assert sorted(workers_of(plan(state, sessions))) == ["w1", "w2"]


def test_steps_wait_for_those_before() -> None:
    state = SiteState()
    first, _ = accept(state, now_job("a", Step(), Step(after=(0,))))
    assert [unit.key for unit, _ in plan(state, make_sessions(2)).starts] == [
        "a.0.0.0"
    ]
    place(state, first, "w0")
    assert not plan(state, make_sessions(2)).starts
    state.apply(RunsEnded((RunEnd("a.0.0.0", 1, End.DONE),)))
    assert [unit.key for unit, _ in plan(state, make_sessions(2)).starts] == [
        "a.0.1.0"
    ]


def test_occurrence_waits_for_its_time() -> None:
    state = SiteState()
    now_s = time.time()
    accept(
        state,
        now_job("a", repeat_count=3, first_due_s=now_s - 1.5, interval_s=1.0),
    )
    starts = plan(state, make_sessions(2)).starts
    assert [unit.occurrence for unit, _ in starts] == [0, 1]


def test_urgent_unit_stops_the_cheapest_lent_work_only() -> None:
    state = SiteState()
    sessions = make_sessions(4)
    for number, cores in enumerate((90_000, 10_000, 50_000, 70_000)):
        step = Step(accelerators=8, cpu_millis=cores)
        (unit,) = accept(state, now_job(f"l{number}", step))
        place(state, unit, f"w{number}")
    accept(state, now_job("u", WHOLE, priority=0))
    made = plan(state, sessions)
    assert [victim.key for victim, _ in made.stops] == ["l1.0.0.0"]
    assert not made.starts


def test_room_of_victims_is_kept_for_the_urgent_unit() -> None:
    state = SiteState()
    sessions = make_sessions(1)
    memory = PlanMemory(DecisionLog("n0", "z1", descriptor=2))
    configuration = make_configuration()
    (lent,) = accept(state, now_job("l", WHOLE))
    place(state, lent, "w0")
    accept(state, now_job("u", WHOLE, priority=0))
    make_plan(memory, state, sessions, sessions, configuration)
    state.apply(RunsEnded((RunEnd(lent.key, 1, End.STOPPED),)))
    accept(state, now_job("v", WHOLE))
    made = make_plan(memory, state, sessions, sessions, configuration)
    assert [unit.key for unit, _ in made.starts] == ["u.0.0.0"]


def test_less_urgent_work_leaves_workers_free() -> None:
    state = SiteState()
    accept(state, now_job("a", Step(count=40, accelerators=8), priority=2))
    assert len(workers_of(plan(state, make_sessions(10)))) == 8


def test_units_in_launch_take_room_and_are_not_planned_twice() -> None:
    state = SiteState()
    memory = PlanMemory(DecisionLog("n0", "z1", descriptor=2))
    accept(state, now_job("a", WHOLE, priority=0))
    accept(state, now_job("b", WHOLE, priority=0))
    sessions = make_sessions(1)
    first = make_plan(memory, state, sessions, sessions, make_configuration())
    again = make_plan(memory, state, sessions, sessions, make_configuration())
    assert len(first.starts) == 1
    assert not again.starts


def test_best_fit_keeps_whole_workers_whole() -> None:
    state = SiteState()
    (unit,) = accept(state, now_job("a", Step(accelerators=2)))
    rooms = {f"w{n}": make_room(make_report(f"w{n}")) for n in range(3)}
    rooms["w1"].accelerators = 4
    rooms["w2"].accelerators = 3
    assignment = place_unit(unit, rooms, allow_far=True, packing=FullestFirst())
    assert assignment is not None
    assert assignment[0][1] == "w1"


def test_guarantee_covers_the_oldest_urgent_jobs() -> None:
    state = SiteState()
    for job_id, count in (("a", 1), ("b", 2), ("c", 1)):
        step = Step(count=count, accelerators=8)
        accept(state, now_job(job_id, step, priority=0))
    covered = find_covered(
        state.open_jobs(),
        make_configuration().organisations,
        lambda job: job.request.queue,
    )
    assert covered == {"a", "c"}


def test_earning_falls_with_the_wait() -> None:
    state = SiteState()
    (unit,) = accept(state, make_job("a", Step(estimated_s=2.0)))
    policy = unit.job.request.queue
    durations = Durations()
    ages = {1.0: Earning.FULL, 10.0: Earning.LATE, 30.0: Earning.NOTHING}
    for age_s, expected in ages.items():
        found = durations.get_earning(unit, policy, 100.0 + age_s)
        assert found is expected
    durations.note("q1", 12.0)
    assert durations.get_earning(unit, policy, 110.0) is Earning.FULL


@pytest.mark.parametrize(
    ("workers", "expected"),
    [(2, "w1"), (1, "w0")],
    ids=["goes_to_another", "failed_everywhere_may_still_start"],
)
def test_unit_that_failed_on_a_worker(workers: int, expected: str) -> None:
    state = SiteState()
    (unit,) = accept(state, now_job("a", WHOLE, priority=0))
    memory = PlanMemory(DecisionLog("n0", "z1", descriptor=2))
    sessions = make_sessions(workers)
    memory.avoid(unit, "w0")
    made = make_plan(memory, state, sessions, sessions, make_configuration())
    assert workers_of(made) == [expected]


def test_gang_of_one_rack_runs_over_racks_when_much_is_idle() -> None:
    state = SiteState()
    step = Step(count=2, accelerators=8, is_gang=True, is_one_rack=True)
    accept(state, make_job("a", step, accepted_at_s=time.time() - 3.0))
    for number in (0, 2):
        (unit,) = accept(state, now_job(f"b{number}"))
        place(state, unit, f"w{number}")
    assert len(workers_of(plan(state, make_sessions(4)))) == 2


def test_work_that_must_not_run_again_is_not_stopped_for_others() -> None:
    state = SiteState()
    (held,) = accept(state, now_job("a", WHOLE, priority=1, runs_once=True))
    place(state, held, "w0")
    accept(state, now_job("b", WHOLE, priority=0))
    made = plan(state, make_sessions(1))
    assert not made.stops
    assert not made.starts


def test_work_that_must_not_be_stopped_leaves_the_guarantees_free() -> None:
    state = SiteState()
    for number in range(4):
        accept(state, now_job(f"a{number}", WHOLE, priority=1, runs_once=True))
    made = plan(state, make_sessions(4))
    assert len(made.starts) == 2


def test_guaranteed_work_that_runs_once_uses_its_own_guarantee() -> None:
    state = SiteState()
    for number in range(4):
        accept(state, now_job(f"a{number}", WHOLE, priority=0, runs_once=True))
    assert len(plan(state, make_sessions(4)).starts) == 4


def test_room_promised_after_a_stop_is_not_told_as_free_or_less() -> None:
    state = SiteState()
    (held,) = accept(state, now_job("a", WHOLE, priority=1))
    place(state, held, "w0")
    accept(state, now_job("b", WHOLE, priority=0))
    told: list[dict[str, Any]] = []
    decisions: Any = SimpleNamespace(
        emit=lambda event, **fields: told.append({"event": event, **fields})
    )
    memory = PlanMemory(decisions)
    sessions = make_sessions(1)
    for _ in range(2):
        make_plan(memory, state, sessions, sessions, make_configuration())
        accept(state, now_job("c", WHOLE, priority=0))
    free = [x["free_accelerators"] for x in told if "free_accelerators" in x]
    assert free and min(free) == 0


def test_urgent_unit_behind_one_of_equal_needs_has_its_line() -> None:
    state = SiteState()
    for job_id in "ab":
        accept(state, now_job(job_id, WHOLE, priority=0))
    (held,) = accept(state, now_job("c", WHOLE, priority=0))
    place(state, held, "w0")
    told: list[str] = []
    decisions: Any = SimpleNamespace(
        emit=lambda event, **fields: told.append(fields["task"])
    )
    sessions = make_sessions(1)
    memory = PlanMemory(decisions)
    make_plan(memory, state, sessions, sessions, make_configuration())
    assert told == ["a.0.0.0", "b.0.0.0"]
