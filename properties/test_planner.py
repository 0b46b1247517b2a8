from __future__ import annotations

import random

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonbeam.core.cells import (
    LEVELS,
    Cell,
    CellSpace,
    get_level,
    pack_counts,
)
from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.occupancy import Start, Stop
from lagoonbeam.core.planned import Standing
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.pool import WorkerHealth, WorkerShape
from lagoonbeam.core.rules import (
    Guarantee,
    JobKind,
    Organisation,
    RulesDocument,
)
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


class Driver:
    """Drives a planner at random and checks it from outside."""

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
        self.alive: set[str] = set()
        self.count = 0

    def submit(self) -> None:
        self.count += 1
        rng = self.rng
        job = Job(
            f"j{self.count}",
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
        self.alive.add(job.job_id)
        self.planner.submit(job)

    def end_one(self) -> None:
        if not self.running:
            return
        job_id = self.rng.choice(sorted(self.running))
        self.running.discard(job_id)
        if job_id in self.stopping:
            self.stopping.remove(job_id)
        if self.rng.random() < 0.2:
            self.planner.requeue(job_id)
            return
        self.alive.discard(job_id)
        self.planner.finished(job_id)

    def leave_one(self) -> None:
        if self.stopping:
            job_id = self.stopping.pop(0)
            self.running.discard(job_id)
            self.planner.requeue(job_id)

    def cancel_one(self) -> None:
        waiting = [planned.job.job_id for planned in self.planner.waiting]
        if waiting:
            job_id = self.rng.choice(waiting)
            assert self.planner.cancel(job_id)
            self.alive.discard(job_id)

    def abandon_one(self) -> None:
        promised = self.planner.list_promised()
        if promised:
            job_id = promised[0].job.job_id
            self.planner.abandon(job_id)
            del self.planner.jobs[job_id]
            self.alive.discard(job_id)

    def change_health(self) -> None:
        worker = self.rng.choice(self.workers)
        health = self.rng.choice(list(WorkerHealth))
        self.planner.set_health(worker, health)

    def change_rules(self) -> None:
        self.rules = make_rules(self.rng)
        self.planner.set_rules(self.rules)

    def expire(self) -> None:
        for planned in self.planner.expire():
            assert not planned.started_at_s
            self.alive.discard(planned.job.job_id)

    def decide(self) -> None:
        for decision in self.planner.decide():
            job_id = decision.planned.job.job_id
            if isinstance(decision, Start):
                assert job_id not in self.running
                self.planner.started(job_id)
                self.running.add(job_id)
            elif isinstance(decision, Stop):
                assert decision.planned.job.stoppable
                self.stopping.append(job_id)

    def step(self) -> None:
        self.now_s += self.rng.uniform(0, 4)
        actions = [
            (self.submit, 8),
            (self.end_one, 5),
            (self.leave_one, 4),
            (self.cancel_one, 1),
            (self.abandon_one, 1),
            (self.change_health, 1),
            (self.change_rules, 1),
            (self.expire, 1),
        ]
        names, weights = zip(*actions, strict=True)
        self.rng.choices(names, weights)[0]()
        self.decide()
        self.check()

    def check(self) -> None:
        pool = self.planner.pools.accelerated
        owned: dict[int, str] = {}
        for job_id in self.running:
            placement = self.planner.jobs[job_id].placement
            assert placement is not None
            for cell in placement.cells:
                for slot in cell.range:
                    assert slot not in owned, (job_id, owned[slot])
                    owned[slot] = job_id
                    assert pool.occupants[slot] == job_id
        assert set(self.planner.jobs) == self.alive
        self.check_guarantees()

    def check_guarantees(self) -> None:
        """Packs the unused guarantees into what has no claim, anew."""
        pool = self.planner.pools.accelerated
        claimed: set[int] = set()
        needed = [0] * LEVELS
        for organisation in self.rules.organisations:
            for guarantee in organisation.guarantees:
                needed[get_level(guarantee.slots)] += guarantee.count
            for bound in pool.book.list_bound(organisation.name):
                needed[get_level(bound.cell.slots)] -= 1
        for name in ORGANISATIONS:
            for cell in pool.book.list_claimed(name):
                claimed.update(cell.range)
        for planned in self.planner.jobs.values():
            placement = planned.placement
            if placement and placement.standing is Standing.EXCLUSIVE:
                for cell, owner in placement.members:
                    claimed.update(() if owner else cell.range)
        space = CellSpace()
        for place in pool.workers.values():
            if place.health is not WorkerHealth.HEALTHY:
                continue
            for slot in range(place.first_slot, place.first_slot + 8):
                if slot not in claimed:
                    space.release(Cell(slot, 1))
        missing = pack_counts(space.counts, needed)
        assert missing <= self.planner.pools.shortfall_slots


class TestPlanner:
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_random_life_keeps_the_promises(self, seed: int) -> None:
        driver = Driver(seed)
        for _ in range(150):
            driver.step()

    @settings(max_examples=300, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_possible_job_starts_when_all_is_idle(self, seed: int) -> None:
        """What is not refused at the door can run."""
        driver = Driver(seed)
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
            driver.planner.check_possible(job)
        except ImpossibleShapeError:
            return
        driver.planner.submit(job)
        for _ in range(5):
            decisions = driver.planner.decide()
            if decisions:
                break
            driver.now_s += 100.0
        assert isinstance(decisions[0], Start)
