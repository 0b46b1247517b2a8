"""Placement by the speed that a unit needs."""

from __future__ import annotations

from typing import Any

import pytest

from benchmarks.site_simulation import SiteSimulation
from benchmarks.virtual_clock import VirtualClock
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.model import Step
from lagoonbeam.site.placement import place_unit
from lagoonbeam.site.plan import Plan
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.speed_aware_placement.placer import SpeedAwarePlacer
from lagoonbeam.site.state import SiteState
from tests.site.builders import (
    accept_job,
    make_configuration,
    make_job,
    record_placement,
)
from tests.site.test_planner import get_assigned_workers, make_sessions
from tests.site.uneven_site import KnownSpeeds, UnevenSite, make_scene

SPEED_BY_WORKER = dict(
    zip(
        ("w0", "w1", "w2", "w3", "w4", "w5"),
        (0.6, 1.6, 1.0, 0.6, 1.6, 1.0),
        strict=True,
    )
)
SLOW, USUAL, FAST = {"w0", "w3"}, {"w2", "w5"}, {"w1", "w4"}
ACCEPTED_AT_S = 100.0
RUN_S = 2.0
"""Run time at usual speed; the objective is three times as long."""


def make_pair(**fields: Any) -> Step:
    return Step(
        count=2, accelerators=8, is_gang=True, estimated_s=RUN_S, **fields
    )


class UnevenWorkers:
    """Six workers of three speeds, in racks of six unless stated."""

    def __init__(self, workers_per_rack: int = 6):
        self.state = SiteState()
        self.sessions = make_sessions(6, workers_per_rack)
        self._clock = VirtualClock()
        self.decisions = DecisionLog("n0", "z1", descriptor=2)

    def occupy(self, *workers: str) -> None:
        """Runs urgent work on all accelerators of workers."""
        for worker in workers:
            job = make_job(f"on-{worker}", Step(accelerators=8), priority=0)
            (unit,) = accept_job(self.state, job)
            record_placement(self.state, unit, worker)

    def make_plan(self, waited_s: float = 0.0) -> Plan:
        self._clock.now_s = ACCEPTED_AT_S + waited_s
        planner_state = PlannerState(self.decisions, clock=self._clock)
        planner_state.worker_speeds = KnownSpeeds(SPEED_BY_WORKER)
        return make_plan(
            planner_state,
            self.state,
            self.sessions,
            self.sessions,
            make_configuration(0),
        )

    def place_pair(
        self, waited_s: float = 0.0, priority: int = 0, **fields: Any
    ) -> set[str]:
        job = make_job("a", make_pair(**fields), priority=priority)
        accept_job(self.state, job)
        return set(get_assigned_workers(self.make_plan(waited_s)))

    def count_starts(self, speed: str) -> float | None:
        return self.decisions.metrics.registry.get_sample_value(
            "lagoonbeam_speed_placements_total", {"speed": speed}
        )


@pytest.mark.parametrize("priority", [0, 1])
def test_unit_with_time_to_spare_leaves_fast_workers(priority: int) -> None:
    assert UnevenWorkers().place_pair(priority=priority) == SLOW


def test_urgent_unit_short_of_time_uses_plentiful_fast_workers() -> None:
    assert UnevenWorkers().place_pair(waited_s=2.5) == FAST


def test_urgent_unit_leaves_scarce_fast_workers_if_usual_ones_suffice() -> None:
    workers = UnevenWorkers()
    workers.occupy("w1")
    assert workers.place_pair(waited_s=2.5) == USUAL


def test_unit_of_low_priority_short_of_time_uses_the_slowest_sufficient() -> (
    None
):
    workers = UnevenWorkers()
    assert workers.place_pair(waited_s=2.5, priority=1) == USUAL
    assert workers.count_starts("fast_enough") == 1


def test_unit_that_needs_fast_workers_gets_them() -> None:
    workers = UnevenWorkers()
    workers.occupy("w2")
    assert workers.place_pair(waited_s=3.8) == FAST


def test_earliest_end_wins_if_no_placement_is_in_time() -> None:
    workers = UnevenWorkers()
    workers.occupy("w1", "w2")
    assert workers.place_pair(waited_s=5.5) == {"w4", "w5"}
    assert workers.count_starts("too_slow") == 1


def test_unit_starts_on_slow_workers_if_no_others_are_free() -> None:
    workers = UnevenWorkers()
    workers.occupy(*USUAL, *FAST)
    assert workers.place_pair(waited_s=3.8) == SLOW


def test_rack_binds_before_speed() -> None:
    workers = UnevenWorkers(workers_per_rack=3)
    assert workers.place_pair(waited_s=2.5, is_one_rack=True) in (
        {"w1", "w2"},
        {"w4", "w5"},
    )
    workers = UnevenWorkers(workers_per_rack=3)
    assert workers.place_pair(waited_s=1.0, data_rack="r1") <= {
        *("w3", "w4", "w5")
    }


def test_equal_single_tasks_fill_the_slowest_workers_first() -> None:
    workers = UnevenWorkers()
    step = Step(count=20, accelerators=1, estimated_s=RUN_S)
    accept_job(workers.state, make_job("a", step, priority=0))
    used = get_assigned_workers(workers.make_plan())
    assert len(used) == 20
    assert set(used[:16]) == SLOW
    assert set(used[16:]) <= USUAL


def test_low_priority_work_may_use_slow_workers_first() -> None:
    """The workers that it leaves for urgent work are not slow."""
    workers = UnevenWorkers()
    step = Step(count=6, accelerators=8, estimated_s=RUN_S)
    accept_job(workers.state, make_job("a", step, priority=2))
    used = set(get_assigned_workers(workers.make_plan()))
    assert len(used) == 4
    assert used > SLOW


@pytest.mark.parametrize("seed", [1, 2])
def test_equal_speeds_leave_placement_as_it_is(
    monkeypatch: pytest.MonkeyPatch, seed: int
) -> None:
    """Plans that know of no speed equal those of `place_unit` alone."""
    monkeypatch.setattr("lagoonbeam.site.planner.PLAN_TIME_LIMIT_S", 10.0)

    def play() -> list[tuple[str, float, float]]:
        site: SiteSimulation = UnevenSite(
            make_scene(2.0, seed), seed, knows_speeds=False
        )
        return [
            (job_id, outcome.first_start_s, outcome.ended_s)
            for job_id, outcome in site.run().outcomes.items()
        ]

    def place(
        placer: Any, unit: Any, capacities: Any, *, allow_nonlocal: bool
    ) -> Any:
        assignment = place_unit(
            unit,
            capacities,
            allow_nonlocal=allow_nonlocal,
            packing=placer._packing,
        )
        return assignment, None if assignment is None else capacities

    with_speeds = play()
    monkeypatch.setattr(SpeedAwarePlacer, "place", place)
    assert play() == with_speeds
