"""Evictions for bursts of urgent gangs on a fleet full of other work."""

from __future__ import annotations

import random
import time
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.model import Step
from lagoonbeam.site.plan import Plan
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.policies import PolicyNames, make_policies
from lagoonbeam.site.state import SiteState
from tests.site.builders import (
    accept_job,
    make_configuration,
    make_job,
    make_worker_report,
    record_placement,
)

RUN_S = 10.0
URGENT_RUN_S = 2.0
"""With a stretch of 3, an urgent job has its full value for 6 s and a reduced
one for 18 s."""
VICTIM_STEP = Step(accelerators=8, estimated_s=RUN_S, is_checkpointing=True)
URGENT_STEP = Step(accelerators=8, estimated_s=URGENT_RUN_S)


class FullFleet:
    """Workers that are all in use, and the plan for what waits.

    Attributes:
        elapsed_s: For each worker, the time that its run has taken.
        lost_s: Run time that a stopped task loses.
    """

    def __init__(self, *elapsed_s: float):
        self.state = SiteState()
        self.now_s = time.time()
        self.events: list[tuple[str, dict[str, Any]]] = []
        self._elapsed_by_worker_s = {
            f"w{n}": value for n, value in enumerate(elapsed_s)
        }

    def run(self, worker: str, run: int = 1, **fields: Any) -> None:
        values = {"accepted_at_s": self.now_s - RUN_S, **fields}
        step = values.pop("step", VICTIM_STEP)
        (unit,) = accept_job(self.state, make_job(worker, step, **values))
        record_placement(self.state, unit, worker, run)

    def wait(self, age_s: float, job_id: str = "u", **fields: Any) -> None:
        accepted_at_s = self.now_s - age_s
        step = fields.pop("step", URGENT_STEP)
        accept_job(
            self.state,
            make_job(
                job_id, step, priority=0, accepted_at_s=accepted_at_s, **fields
            ),
        )

    def plan(self, guaranteed: int = 0, policy: str = "caller_cost") -> Plan:
        sessions: Any = {
            worker: SimpleNamespace(
                report=make_worker_report(worker),
                dispatcher=SimpleNamespace(
                    get_lost_work_s=lambda task, elapsed_s=elapsed_s: (
                        min(0.5, elapsed_s)
                        if task.unit.spec.is_checkpointing
                        else elapsed_s
                    ),
                    get_elapsed_s=lambda _, elapsed_s=elapsed_s: elapsed_s,
                ),
                running={},
            )
            for worker, elapsed_s in self._elapsed_by_worker_s.items()
        }
        decisions = DecisionLog("n0", "z1", descriptor=2)
        decisions.emit = lambda event, **fields: self.events.append(  # type: ignore[method-assign]
            (event.value, fields)
        )
        planner_state = PlannerState(
            decisions, policies=make_policies(PolicyNames(eviction=policy))
        )
        configuration = make_configuration(guaranteed)
        return make_plan(
            planner_state, self.state, sessions, sessions, configuration
        )

    def get_fields(self, event: str) -> dict[str, Any]:
        (fields,) = [fields for name, fields in self.events if name == event]
        return fields


def list_victims(plan: Plan) -> list[str]:
    return [victim.job.request.job_id for victim, _ in plan.stops]


def test_urgent_unit_in_time_evicts() -> None:
    fleet = FullFleet(1.0)
    fleet.run("w0")
    fleet.wait(age_s=0.0)
    assert list_victims(fleet.plan()) == ["w0"]
    fields = fleet.get_fields("unit.evicts")
    assert fields["value"] == "full"
    ((victim, lost_core_s, lost_value),) = fields["victim_losses"]
    assert (victim, lost_core_s) == ("w0.0.0.0", 32.0)
    assert 0.0 < lost_value < 0.25


def test_nothing_is_evicted_for_a_worthless_urgent_unit() -> None:
    fleet = FullFleet(1.0)
    fleet.run("w0")
    fleet.wait(age_s=20.0)
    assert list_victims(fleet.plan(policy="least_lost")) == ["w0"]
    fleet.events.clear()
    assert not fleet.plan().stops
    fields = fleet.get_fields("unit.eviction_held")
    assert fields["cause"] == "its job would have no value left"


def test_late_unit_evicts_before_its_job_is_worthless() -> None:
    fleet = FullFleet(1.0)
    fleet.run("w0")
    fleet.wait(age_s=13.0)
    assert list_victims(fleet.plan()) == ["w0"]


@pytest.mark.parametrize("age_s", [0.0, 6.0, 20.0, 60.0])
def test_guaranteed_unit_evicts_however_late_it_is(age_s: float) -> None:
    fleet = FullFleet(8.0)
    fleet.run("w0")
    fleet.wait(age_s=age_s)
    assert list_victims(fleet.plan(guaranteed=8)) == ["w0"]


def test_victim_that_can_restart_in_time_precedes_one_that_cannot() -> None:
    fleet = FullFleet(1.0, 1.0)
    fleet.run("w0", accepted_at_s=fleet.now_s - 19.0)
    fleet.run("w1", accepted_at_s=fleet.now_s - 2.0)
    fleet.wait(age_s=0.0)
    assert list_victims(fleet.plan()) == ["w1"]


def test_late_victim_precedes_one_that_an_eviction_makes_late() -> None:
    fleet = FullFleet(1.0, 1.0)
    fleet.run("w0", accepted_at_s=fleet.now_s - 19.0)
    fleet.run("w1", accepted_at_s=fleet.now_s - 40.0)
    fleet.wait(age_s=0.0)
    assert list_victims(fleet.plan()) == ["w1"]


def test_victim_that_was_stopped_before_comes_last() -> None:
    """Its earlier run has left its job less slack."""
    fleet = FullFleet(1.0, 1.0)
    fleet.run("w0", run=2, accepted_at_s=fleet.now_s - 15.0)
    fleet.run("w1", accepted_at_s=fleet.now_s - 1.0)
    fleet.wait(age_s=0.0)
    assert list_victims(fleet.plan()) == ["w1"]


def test_unit_without_checkpoints_loses_its_whole_run() -> None:
    step = Step(accelerators=8, estimated_s=RUN_S)
    fleet = FullFleet(4.0, 4.0)
    fleet.run("w0", step=step, accepted_at_s=fleet.now_s - 4.0)
    fleet.run("w1", accepted_at_s=fleet.now_s - 4.0)
    fleet.wait(age_s=0.0)
    assert list_victims(fleet.plan()) == ["w1"]


@pytest.mark.parametrize("seed", range(10))
def test_plans_are_those_of_before_with_room_for_all(seed: int) -> None:
    """Random jobs on half of the workers; nothing waits."""
    rng = random.Random(seed)
    plans = []
    requests = [
        (
            str(number),
            Step(
                count=rng.randint(1, 4),
                accelerators=rng.choice((1, 2)),
                is_gang=rng.random() < 0.5,
                estimated_s=rng.uniform(1.0, 20.0),
            ),
            rng.randint(0, 2),
            rng.uniform(0.0, 60.0),
        )
        for number in range(10)
    ]
    for eviction in ("least_lost", "caller_cost"):
        fleet = FullFleet(*[0.0] * 20)
        for job_id, step, priority, age_s in requests:
            accepted_at_s = fleet.now_s - age_s
            job = make_job(
                job_id, step, priority=priority, accepted_at_s=accepted_at_s
            )
            accept_job(fleet.state, job)
        plan = fleet.plan(policy=eviction)
        assert not plan.stops
        plans.append(
            [
                (task.task_id, worker)
                for _, assignment in plan.starts
                for task, worker in assignment
            ]
        )
    assert len(plans[0]) == sum(step.count for _, step, _, _ in requests)
    assert plans[0] == plans[1]
