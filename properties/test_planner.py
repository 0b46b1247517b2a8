from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonbeam.core.allocator import StartDecision, StopDecision
from lagoonbeam.core.cells import (
    LEVEL_COUNT,
    BuddyFreeList,
    Cell,
    count_unpacked_slots,
    get_cell_level,
)
from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.planned_job import Standing
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.rules import (
    Guarantee,
    JobKind,
    Organisation,
    RulesDocument,
)
from lagoonbeam.core.worker_pool import WorkerHealth, WorkerShape
from lagoonbeam.errors import ImpossibleShapeError

ORGANISATIONS = ("a", "b", "c")


def make_rules(rng: random.Random) -> RulesDocument:
    return RulesDocument(
        0,
        tuple(
            Organisation(
                name,
                kinds=(JobKind("k"),),
                guarantees=tuple(
                    Guarantee("z", slots, rng.randrange(1, 3))
                    for slots in rng.sample([1, 2, 4, 8], rng.randrange(3))
                ),
            )
            for name in ORGANISATIONS
        ),
    )


class PlannerDriver:
    """Drives a planner with random actions and checks its invariants."""

    def __init__(self, seed: int):
        self.rng = random.Random(seed)
        self.now_s = 0.0
        self.planner = Planner("z", now=lambda: self.now_s)
        self.workers = [f"w{index}" for index in range(6)]
        for index, worker in enumerate(self.workers):
            self.planner.add_worker(WorkerShape(worker, f"r{index // 3}"))
        self.rules = make_rules(self.rng)
        self.planner.set_rules(self.rules)
        self.running: set[str] = set()
        self.stopping: list[str] = []
        self.unfinished_job_ids: set[str] = set()
        self.submitted_count = 0

    def submit(self) -> None:
        self.submitted_count += 1
        rng = self.rng
        job = Job(
            f"j{self.submitted_count}",
            rng.choice(ORGANISATIONS),
            rng.choice("xy"),
            "k",
            shape=GangShape(
                rng.choice([1, 1, 2, 4]),
                rng.choice([1, 2, 4, 8]),
                adjacency=rng.choice(["none", "rack", "worker"]),
            ),
            urgency=rng.choice(["batch", "normal", "urgent"]),
            declared_run_s=rng.choice([1.0, 10.0, 100.0]),
            start_within_s=rng.choice([0.0, 0.0, 5.0]),
            idempotent=rng.random() < 0.7,
        )
        self.unfinished_job_ids.add(job.job_id)
        self.planner.submit(job)

    def end_random_job(self) -> None:
        if not self.running:
            return
        job_id = self.rng.choice(sorted(self.running))
        self.running.discard(job_id)
        if job_id in self.stopping:
            self.stopping.remove(job_id)
        if self.rng.random() < 0.2:
            self.planner.requeue(job_id)
            return
        self.unfinished_job_ids.discard(job_id)
        self.planner.finished(job_id)

    def requeue_oldest_stopping_job(self) -> None:
        if self.stopping:
            job_id = self.stopping.pop(0)
            self.running.discard(job_id)
            self.planner.requeue(job_id)

    def cancel_random_job(self) -> None:
        queued_jobs = [
            planned.job.job_id for planned in self.planner.queued_jobs
        ]
        if queued_jobs:
            job_id = self.rng.choice(queued_jobs)
            assert self.planner.cancel(job_id)
            self.unfinished_job_ids.discard(job_id)

    def abandon_first_placement(self) -> None:
        awaiting_jobs = self.planner.list_awaiting_cells()
        if awaiting_jobs:
            job_id = awaiting_jobs[0].job.job_id
            self.planner.abandon_placement(job_id)
            del self.planner.jobs[job_id]
            self.unfinished_job_ids.discard(job_id)

    def change_random_health(self) -> None:
        worker = self.rng.choice(self.workers)
        health = self.rng.choice(list(WorkerHealth))
        self.planner.set_health(worker, health)

    def replace_rules(self) -> None:
        self.rules = make_rules(self.rng)
        self.planner.set_rules(self.rules)

    def expire_overdue_jobs(self) -> None:
        for planned in self.planner.expire_overdue_jobs():
            assert not planned.started_at_s
            self.unfinished_job_ids.discard(planned.job.job_id)

    def decide(self) -> None:
        for decision in self.planner.decide():
            job_id = decision.planned.job.job_id
            if isinstance(decision, StartDecision):
                assert job_id not in self.running
                self.planner.started(job_id)
                self.running.add(job_id)
            elif isinstance(decision, StopDecision):
                assert decision.planned.job.stoppable
                self.stopping.append(job_id)

    def run_random_action(self) -> None:
        self.now_s += self.rng.uniform(0, 4)
        actions = [
            (self.submit, 8),
            (self.end_random_job, 5),
            (self.requeue_oldest_stopping_job, 4),
            (self.cancel_random_job, 1),
            (self.abandon_first_placement, 1),
            (self.change_random_health, 1),
            (self.replace_rules, 1),
            (self.expire_overdue_jobs, 1),
        ]
        callbacks, weights = zip(*actions, strict=True)
        self.rng.choices(callbacks, weights)[0]()
        self.decide()
        self.check_invariants()

    def check_invariants(self) -> None:
        pool = self.planner.pools.accelerated
        job_by_slot: dict[int, str] = {}
        for job_id in self.running:
            placement = self.planner.jobs[job_id].placement
            assert placement is not None
            for cell in placement.cells:
                for slot in cell.range:
                    assert slot not in job_by_slot, (job_id, job_by_slot[slot])
                    job_by_slot[slot] = job_id
                    assert pool.occupants[slot] == job_id
        assert set(self.planner.jobs) == self.unfinished_job_ids
        self.check_guarantees()

    def check_guarantees(self) -> None:
        """Recomputes independently whether the unbound guarantees still fit."""
        pool = self.planner.pools.accelerated
        claimed_slots: set[int] = set()
        required_cells = [0] * LEVEL_COUNT
        for organisation in self.rules.organisations:
            for guarantee in organisation.guarantees:
                required_cells[get_cell_level(guarantee.slots)] += (
                    guarantee.count
                )
            for bound_cell in pool.guarantee_tracker.list_retained_bound_cells(
                organisation.name
            ):
                required_cells[get_cell_level(bound_cell.cell.slots)] -= 1
        for name in ORGANISATIONS:
            for cell in pool.guarantee_tracker.list_all_bound_cells(name):
                claimed_slots.update(cell.range)
        for planned in self.planner.jobs.values():
            placement = planned.placement
            if placement and placement.standing is Standing.EXCLUSIVE:
                for cell, guaranteed_cell in placement.members:
                    claimed_slots.update(() if guaranteed_cell else cell.range)
        free_list = BuddyFreeList()
        for pooled_worker in pool.workers.values():
            if pooled_worker.health is not WorkerHealth.HEALTHY:
                continue
            for slot in range(
                pooled_worker.first_slot, pooled_worker.first_slot + 8
            ):
                if slot not in claimed_slots:
                    free_list.release(Cell(slot, 1))
        missing_slots = count_unpacked_slots(
            free_list.level_counts, required_cells
        )
        assert missing_slots <= self.planner.pools.shortfall_slots


class TestPlanner:
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_random_actions_keep_invariants(self, seed: int) -> None:
        driver = PlannerDriver(seed)
        for _ in range(150):
            driver.run_random_action()

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_feasible_job_starts_in_idle_zone(self, seed: int) -> None:
        """A job that passes the feasibility check starts in an idle zone."""
        driver = PlannerDriver(seed)
        rng = driver.rng
        job = Job(
            "j",
            rng.choice(ORGANISATIONS),
            "x",
            "k",
            shape=GangShape(
                rng.randrange(1, 49),
                rng.choice([1, 2, 3, 4, 8]),
                adjacency=rng.choice(["none", "rack", "worker"]),
            ),
            idempotent=rng.random() < 0.5,
        )
        try:
            driver.planner.check_job_feasible(job)
        except ImpossibleShapeError:
            return
        driver.planner.submit(job)
        for _ in range(5):
            decisions = driver.planner.decide()
            if decisions:
                break
            driver.now_s += 100.0
        assert isinstance(decisions[0], StartDecision)
