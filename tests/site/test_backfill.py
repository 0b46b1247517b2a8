"""Wide gangs beside narrow work: what is held for them, and for how long."""

from __future__ import annotations

import time
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site import backfill as backfill_module
from lagoonbeam.site import planner as planner_module
from lagoonbeam.site.backfill import plan_hold
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import RunEndReason, Step
from lagoonbeam.site.plan import Plan
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.policies import PolicyNames, make_policies
from lagoonbeam.site.records import Placement, RunEnd, RunsEnded, RunsPlaced
from lagoonbeam.site.release_times import ReleaseTimes
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import WorkerCapacity, make_empty_capacity
from tests.site.builders import (
    accept_job,
    make_configuration,
    make_job,
    make_queue_policy,
    make_worker_report,
)

NARROW_STEP = Step(accelerators=1)
NARROW_RUN_S = 6.0
WIDE_STEP = Step(count=2, accelerators=8, is_gang=True)


class FullSite:
    """Four workers of 8 accelerators, full of narrow tasks of one run time."""

    def __init__(self, reserve: str = "square_root"):
        self.state = SiteState()
        self.planner_state = PlannerState(
            DecisionLog("n0", "z1", descriptor=2),
            policies=make_policies(PolicyNames(reserve=reserve)),
        )
        self.planner_state.estimator.record_run("q2", NARROW_RUN_S)
        self.planner_state.estimator.record_run("q1", NARROW_RUN_S)
        self.elapsed_s = dict.fromkeys(range(4), 0.0)
        self.sessions: dict[str, Any] = {
            f"w{n}": SimpleNamespace(
                report=make_worker_report(f"w{n}"),
                running={},
                dispatcher=SimpleNamespace(
                    get_lost_work_s=lambda task: 3.0,
                    get_elapsed_s=lambda task, n=n: self.elapsed_s[n],
                ),
            )
            for n in range(4)
        }
        self.running: dict[str, list[PlacementUnit]] = {}
        for name in self.sessions:
            units = accept_job(
                self.state, self.make_job(f"f{name}", *[NARROW_STEP] * 8)
            )
            for unit in units:
                self.place(unit, name)
            self.running[name] = units

    def make_job(
        self,
        job_id: str,
        *steps: Step,
        priority: int = 2,
        waited_s: float = 0.0,
    ) -> Any:
        return make_job(
            job_id,
            *steps,
            priority=priority,
            accepted_at_s=time.time() - waited_s,
        )

    def place(self, unit: PlacementUnit, *workers: str) -> None:
        pairs = zip(unit.tasks, workers, strict=True)
        self.state.apply(
            RunsPlaced(
                tuple(
                    Placement(task.task_id, unit.next_run, worker, 1)
                    for task, worker in pairs
                )
            )
        )

    def end_one(self, worker: str) -> None:
        unit = self.running[worker].pop()
        end = RunEnd(unit.key, unit.tasks[0].run, RunEndReason.DONE)
        self.state.apply(RunsEnded((end,)))

    def make_plan(self) -> Plan:
        return make_plan(
            self.planner_state,
            self.state,
            self.sessions,
            self.sessions,
            make_configuration(0),
        )

    def plan(self) -> list[PlacementUnit]:
        """Plans, applies the starts, and returns the started units."""
        plan = self.make_plan()
        for unit, assignment in plan.starts:
            self.place(unit, *(worker for _, worker in assignment))
            del self.planner_state.launching_assignments[unit.key]
        return [unit for unit, _ in plan.starts]

    def release_workers_while_planning(
        self, workers: Sequence[str]
    ) -> list[PlacementUnit]:
        started = self.plan()
        for _ in range(8):
            for worker in workers:
                self.end_one(worker)
            started += self.plan()
        return started


@pytest.fixture(autouse=True)
def unlimited_planning_time(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(planner_module, "PLAN_TIME_LIMIT_S", 60.0)


def accept_wide_and_narrow(site: FullSite) -> PlacementUnit:
    (wide,) = accept_job(
        site.state, site.make_job("wide", WIDE_STEP, priority=1)
    )
    accept_job(site.state, site.make_job("narrow", *[NARROW_STEP] * 40))
    return wide


def test_wide_gang_starts_although_narrow_tasks_wait() -> None:
    """Each accelerator is released alone, and forty narrow tasks wait."""
    site = FullSite()
    wide = accept_wide_and_narrow(site)
    site.elapsed_s.update({0: 5.0, 1: 5.0})
    assert site.release_workers_while_planning(["w0", "w1"]) == [wide]


def test_wide_gang_starves_without_holds() -> None:
    site = FullSite("share_without_holds")
    wide = accept_wide_and_narrow(site)
    site.elapsed_s.update({0: 5.0, 1: 5.0})
    assert wide not in site.release_workers_while_planning(["w0", "w1"])


def test_narrow_tasks_use_capacity_that_is_not_held() -> None:
    site = FullSite()
    accept_wide_and_narrow(site)
    site.elapsed_s.update({0: 5.0, 1: 5.0})
    site.plan()
    site.end_one("w2")
    (started,) = site.plan()
    assert started.job.request.job_id == "narrow"


def test_work_that_ends_before_the_gang_starts_is_backfilled() -> None:
    site = FullSite()
    accept_wide_and_narrow(site)
    site.planner_state.estimator = SimpleNamespace(  # type: ignore[assignment]
        estimate_run_s=lambda unit: 1.0,
        get_job_value=site.planner_state.estimator.get_job_value,
    )
    site.planner_state.release_times = ReleaseTimes(lambda unit: NARROW_RUN_S)
    site.elapsed_s.update({0: 1.0, 1: 1.0})
    site.plan()
    site.end_one("w0")
    (started,) = site.plan()
    assert started.job.request.job_id == "narrow"


def release_two_workers_for_two_gangs(
    site: FullSite, *, waited_s: float
) -> tuple[list[str], list[str]]:
    """Two workers end their work in turn while an old and a new gang wait."""
    accept_job(
        site.state,
        site.make_job("old", WIDE_STEP, priority=1, waited_s=waited_s),
    )
    accept_job(
        site.state,
        site.make_job("new", Step(accelerators=8, is_gang=True), priority=1),
    )
    site.elapsed_s.update({0: 5.0, 1: 2.0})
    site.plan()
    started: list[list[str]] = []
    for worker in ("w0", "w1"):
        while site.running[worker]:
            site.end_one(worker)
        started.append([unit.job.request.job_id for unit in site.plan()])
    return started[0], started[1]


def test_gang_is_not_overtaken_once_its_job_is_late() -> None:
    """The objective of 6 s runs and a stretch of 3 is 18 s."""
    started = release_two_workers_for_two_gangs(FullSite(), waited_s=30.0)
    assert started == ([], ["old"])


def test_gang_in_time_may_be_overtaken_by_one_that_fits(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(backfill_module, "MAX_HOLD_AGE_S", 0.0)
    started = release_two_workers_for_two_gangs(FullSite(), waited_s=1.0)
    assert started == (["new"], [])


def test_equal_gangs_of_one_task_do_not_overbook_a_held_worker() -> None:
    """Half of a worker is held for a late gang when the whole is released."""
    site = FullSite()
    step = Step(count=2, accelerators=4, is_gang=True)
    accept_job(
        site.state, site.make_job("late", step, priority=1, waited_s=30.0)
    )
    small_step = Step(accelerators=4, is_gang=True)
    for name in "abc":
        accept_job(site.state, site.make_job(name, small_step, priority=1))
    site.elapsed_s.update({0: 5.0, 1: 4.0, 2: 1.0, 3: 1.0})
    assert site.plan() == []
    late_hold = site.planner_state.capacity_holds["late.0.0.0"]
    assert late_hold.tasks_by_worker == {"w0": 1, "w1": 1}
    for _ in range(8):
        site.end_one("w0")
    started = [unit.job.request.job_id for unit in site.plan()]
    assert started == ["a"]


def test_urgent_work_may_use_held_capacity() -> None:
    site = FullSite()
    accept_wide_and_narrow(site)
    site.elapsed_s.update({0: 5.0, 1: 5.0})
    site.plan()
    site.end_one("w0")
    (urgent,) = accept_job(
        site.state, site.make_job("urgent", NARROW_STEP, priority=0)
    )
    assert site.plan() == [urgent]


def test_hold_ends_with_its_job() -> None:
    site = FullSite()
    wide = accept_wide_and_narrow(site)
    site.elapsed_s.update({0: 5.0, 1: 5.0})
    site.plan()
    assert wide.key in site.planner_state.capacity_holds
    site.state.end_job(wide.job, wide.job.state.CANCELLED)
    site.end_one("w0")
    (started,) = site.plan()
    assert started.job.request.job_id == "narrow"
    assert not site.planner_state.capacity_holds


def test_waiting_gang_counts_as_a_shortage_in_each_plan() -> None:
    """Spare machines are asked for after two seconds without a break."""
    site = FullSite()
    (wide,) = accept_job(
        site.state, site.make_job("wide", WIDE_STEP, priority=1)
    )
    for _ in range(2):
        plan = site.make_plan()
        assert not plan.starts
        assert plan.unplaced_steps == {"compute": wide.spec}


def make_capacities(*racks: str) -> dict[str, WorkerCapacity]:
    return {
        f"w{n}": make_empty_capacity(make_worker_report(f"w{n}", rack))
        for n, rack in enumerate(racks)
    }


def test_hold_chooses_the_rack_that_is_free_first() -> None:
    step = Step(count=2, accelerators=8, is_gang=True, is_one_rack=True)
    (wide,) = accept_job(SiteState(), make_job("wide", step))
    (filler,) = accept_job(SiteState(), make_job("f", Step(accelerators=8)))
    capacities = make_capacities("r0", "r0", "r1", "r1")
    for name in ("w0", "w2", "w3"):
        capacities[name].allocate(filler)
    ends_s = {"w0": 9.0, "w1": 0.0, "w2": 3.0, "w3": 4.0}
    hold = plan_hold(
        wide,
        make_queue_policy(1),
        capacities,
        lambda worker: [(ends_s[worker], filler)] if ends_s[worker] else [],
        is_late=False,
        allow_nonlocal=False,
        now_s=1.0,
    )
    assert hold is not None
    assert hold.tasks_by_worker == {"w2": 1, "w3": 1}
    assert hold.start_s == 4.0


def test_gang_with_data_holds_workers_near_it() -> None:
    step = Step(count=2, accelerators=8, is_gang=True, data_rack="r0")
    (wide,) = accept_job(SiteState(), make_job("wide", step))
    (filler,) = accept_job(SiteState(), make_job("f", Step(accelerators=8)))
    capacities = make_capacities("r0", "r0", "r1", "r1")
    capacities["w0"].allocate(filler)
    hold = plan_hold(
        wide,
        make_queue_policy(1),
        capacities,
        lambda worker: [(9.0, filler)] if worker == "w0" else [],
        is_late=False,
        allow_nonlocal=False,
        now_s=1.0,
    )
    assert hold is not None
    assert hold.tasks_by_worker.keys() == {"w0", "w1"}


def test_gang_wider_than_the_workers_gets_no_hold() -> None:
    step = Step(count=3, accelerators=8, is_gang=True)
    (wide,) = accept_job(SiteState(), make_job("wide", step))
    hold = plan_hold(
        wide,
        make_queue_policy(1),
        make_capacities("r0", "r0"),
        lambda worker: [],
        is_late=False,
        allow_nonlocal=True,
        now_s=0.0,
    )
    assert hold is None
