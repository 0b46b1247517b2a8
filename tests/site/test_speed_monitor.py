"""What a scheduler observes of its runs, and what outlives it."""

from __future__ import annotations

from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.model import ActiveRun, Step
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import (
    Placement,
    Record,
    RunsPlaced,
    SpeedsEstimated,
    decode_record,
    encode_record,
)
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.speed_monitor import SpeedMonitor
from tests.site.builders import (
    accept_job,
    make_job,
    make_worker_report,
    record_placement,
)

SPEEDS = {"w0": 0.64, "w1": 1.0, "w2": 1.5625}


class MonitoredTerm:
    """A term whose workers w0, w1 and w2 stand in racks r0, r0 and r1."""

    def __init__(self, state: SiteState):
        self.state = state
        self.planner_state = PlannerState(DecisionLog("n0", "z1", descriptor=2))
        self.observed: list[tuple[str, str]] = []
        record_run = self.planner_state.worker_speeds.record_run

        def observe(worker: str, task: Any, *times_s: float) -> None:
            self.observed.append((worker, task.task_id))
            record_run(worker, task, *times_s)

        self.planner_state.worker_speeds.record_run = (  # type: ignore[method-assign]
            observe
        )
        self.sessions: dict[str, Any] = {
            name: SimpleNamespace(
                report=make_worker_report(name, rack),
                dispatcher=SimpleNamespace(
                    was_start_confirmed_before=lambda task, now_s: True,
                    get_elapsed_s=lambda task: 1.0,
                ),
            )
            for name, rack in (("w0", "r0"), ("w1", "r0"), ("w2", "r1"))
        }
        self.monitor = SpeedMonitor(
            lambda: self.state,
            self.planner_state,
            self.sessions,
            self.append,
        )
        self.monitor.load()

    async def append(self, records: list[Record]) -> bool:
        for record in records:
            self.state.apply(record)
        return True


def restart(state: SiteState) -> SiteState:
    """Returns the state that a new process reads from a snapshot."""
    return decode_state(encode_state(state))


def test_estimates_outlive_a_takeover_and_a_loss_of_all_instances() -> None:
    state = SiteState()
    record = SpeedsEstimated(SPEEDS, {"q1": 5.0})
    state.apply(decode_record(encode_record(record)))
    for next_state in (state, restart(state)):
        planner_state = MonitoredTerm(next_state).planner_state
        assert planner_state.worker_speeds.get_known_speeds() == SPEEDS
        assert planner_state.worker_speeds.is_uneven
        (unit,) = accept_job(SiteState(), make_job("a"))
        estimator = planner_state.estimator
        assert estimator.estimate_run_s(unit) == 5.0
        assert estimator.estimate_run_on_s(unit, ["w2", "w0"]) == 5.0 / 0.64


def test_estimates_are_journaled_only_when_they_change() -> None:
    state = SiteState()
    state.apply(SpeedsEstimated(SPEEDS))
    term = MonitoredTerm(state)
    assert term.monitor.make_record() is None
    term.planner_state.estimator.record_run("q1", 5.0)
    record = term.monitor.make_record()
    assert record == SpeedsEstimated({}, {"q1": 5.0})
    state.apply(record)
    term.planner_state.estimator.record_run("q1", 5.5)
    assert term.monitor.make_record() is None


def test_speed_that_has_faded_is_journaled_as_usual() -> None:
    state = SiteState()
    term = MonitoredTerm(state)
    state.apply(SpeedsEstimated(SPEEDS))
    assert term.monitor.make_record() == SpeedsEstimated({"w0": 1.0, "w2": 1.0})


def test_state_ignores_speeds_that_cannot_be_right() -> None:
    state = SiteState()
    state.apply(
        SpeedsEstimated({"w0": -1.0, "w1": float("nan"), "w2": float("inf")})
    )
    assert not state.speed_estimates.speeds


@pytest.mark.parametrize(
    ("step", "workers", "is_observed"),
    [
        (Step(), ["w0"], True),
        (Step(is_filling=True), ["w0"], False),
        (Step(is_long_running=True), ["w0"], False),
        (Step(data_rack="r0"), ["w0"], True),
        (Step(data_rack="r0"), ["w2"], False),
        (Step(count=2, is_gang=True), ["w0", "w2"], True),
        (Step(count=2, is_gang=True, is_one_rack=True), ["w0", "w1"], True),
        (Step(count=2, is_gang=True, is_one_rack=True), ["w0", "w2"], False),
    ],
)
def test_only_runs_at_full_pace_tell_a_worker_s_speed(
    step: Step, workers: list[str], is_observed: bool
) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", step))
    state.apply(
        RunsPlaced(
            tuple(
                Placement(task.task_id, 1, worker, 1)
                for task, worker in zip(unit.tasks, workers, strict=True)
            )
        )
    )
    term = MonitoredTerm(state)
    for percent in (10, 40):
        for task, worker in zip(unit.tasks, workers, strict=True):
            run = ActiveRun(task.task_id, 1, "", percent)
            term.monitor.observe_progress(worker, {task.task_id: run})
            progress = term.planner_state.run_progress.get(
                worker, (task.task_id, 1)
            )
            if progress is not None:
                progress.since_s -= 1.0
    assert bool(term.observed) is is_observed


def test_resumed_run_does_not_tell_a_worker_s_speed() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(is_checkpointing=True)))
    state.apply(RunsPlaced((Placement(unit.key, 1, "w0", 1, "c1"),)))
    term = MonitoredTerm(state)
    run = ActiveRun(unit.key, 1, "", 50)
    term.monitor.observe_progress("w0", {unit.key: run})
    term.monitor.observe_end("w0", unit.tasks[0], 2.0)
    assert not term.observed


def test_run_times_are_means_at_the_usual_speed() -> None:
    state = SiteState()
    state.apply(SpeedsEstimated(SPEEDS))
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w0")
    term = MonitoredTerm(state)
    term.monitor.observe_end("w0", unit.tasks[0], 10.0)
    assert term.planner_state.estimator.estimate_run_s(unit) == 6.4


@pytest.mark.parametrize(
    ("step", "worker"),
    [
        (Step(data_rack="r0", estimated_s=3.0), "w2"),
        (
            Step(count=2, is_gang=True, is_one_rack=True, estimated_s=3.0),
            "w2",
        ),
    ],
)
def test_run_time_away_from_the_rack_is_left_out(
    step: Step, worker: str
) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", step))
    workers = ["w0", worker][-len(unit.tasks) :]
    placements = tuple(
        Placement(task.task_id, 1, name, 1)
        for task, name in zip(unit.tasks, workers, strict=True)
    )
    state.apply(RunsPlaced(placements))
    term = MonitoredTerm(state)
    term.monitor.observe_end(worker, unit.tasks[-1], 9.0)
    for task in unit.tasks:
        state.clear_placement(task)
    term.monitor.observe_end(worker, unit.tasks[-1], 9.0)
    assert term.planner_state.estimator.estimate_run_s(unit) == 3.0


@pytest.mark.parametrize("run_s", [0.0, -1.0, float("nan")])
def test_run_time_of_a_clock_that_jumped_is_ignored(run_s: float) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(estimated_s=3.0)))
    record_placement(state, unit, "w0")
    term = MonitoredTerm(state)
    term.monitor.observe_end("w0", unit.tasks[0], run_s)
    assert term.planner_state.estimator.estimate_run_s(unit) == 3.0


@pytest.mark.parametrize("first_long", [0, 20])
def test_one_long_run_hardly_changes_the_expected_run_time(
    first_long: int,
) -> None:
    """One of many tasks of 5 s takes seven times as long."""
    (unit,) = accept_job(SiteState(), make_job("a"))
    estimator = RunTimeEstimator()
    for number in range(25):
        estimator.record_run("q1", 35.0 if number == first_long else 5.0)
        if number > first_long:
            assert estimator.estimate_run_s(unit) < 7.0
