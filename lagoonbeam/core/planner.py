"""The planner of one zone: queue, cells and guarantees in one place.

It holds no tasks and does no input or output. Its owner tells it what
happened and asks `decide` what to do; the scheduler does so in real time, the
benchmarks in virtual time.
"""

from __future__ import annotations

import collections
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonbeam.core.cells import LEVELS, WORKER_SPAN, Cell, get_level, round_up
from lagoonbeam.core.estimates import RunTimeEstimator
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned import Placement, PlannedJob, Standing
from lagoonbeam.core.pool import Pool, WorkerHealth, WorkerShape
from lagoonbeam.core.reservation import Reservation, plan_reservation
from lagoonbeam.core.rules import PolicyChoice, RulesDocument
from lagoonbeam.errors import (
    CellError,
    ImpossibleShapeError,
    InvariantError,
)
from lagoonbeam.ordering import ORDERINGS, Candidate, OrderingPolicy, Route
from lagoonbeam.placement import PLACEMENTS, PlacementPolicy
from lagoonbeam.preemption import PREEMPTIONS, PreemptionPolicy
from lagoonbeam.types import JobId, OrganisationName, WorkerName, ZoneName

RESERVE_AFTER_S = 1.0
"""Wait after which a gang that does not fit gets a reservation."""
REPLAN_AFTER_S = 30.0
"""Age at which a reservation is planned anew."""
MOVE_AFTER_S = 10.0
"""Wait after which lent work may be moved to make room for a gang."""


@dataclass(frozen=True)
class Start:
    """A gang is to be launched on its cells."""

    planned: PlannedJob
    placement: Placement


@dataclass(frozen=True)
class Stop:
    """A running gang is to be stopped and queued again."""

    planned: PlannedJob
    cause: str


Decision = Start | Stop


@dataclass
class PlannerCounters:
    """Running totals, for metrics and benchmarks."""

    decisions: int = 0
    attempts: int = 0
    preemptions: int = 0
    moves: int = 0
    reservations: int = 0
    refused_claims: int = 0


class Planner:
    """Decides what runs where in one zone.

    Args:
        zone: The zone.
        now: Source of the time in seconds.
        policies: Names of the policies to use until rules are set.
    """

    def __init__(
        self,
        zone: ZoneName,
        *,
        now: Callable[[], float],
        policies: PolicyChoice | None = None,
    ):
        self.zone = zone
        self.estimator = RunTimeEstimator()
        self.counters = PlannerCounters()
        self.pools = [Pool(accelerated=True), Pool(accelerated=False)]
        self.jobs: dict[JobId, PlannedJob] = {}
        self.queued_slots = 0
        self.queued_slot_s = 0.0
        self.last_run_s = 0.0
        self._now = now
        self._policies = policies or PolicyChoice()
        self._urgent_fraction = 0.1
        self._urgent_lent_slots = 0
        self._waiting: dict[JobId, PlannedJob] = {}
        self._promised: dict[JobId, None] = {}
        self._ready: list[Decision] = []
        self._victims: dict[JobId, set[JobId]] = collections.defaultdict(set)
        self._reservation: Reservation | None = None
        self._ordering: OrderingPolicy = ORDERINGS.get(
            self._policies.ordering
        )()
        self._placement: PlacementPolicy = PLACEMENTS.get(
            self._policies.placement
        )()
        self._preemption: PreemptionPolicy = PREEMPTIONS.get(
            self._policies.preemption
        )(self.jobs.__getitem__, now)

    @property
    def free_slots(self) -> int:
        """Free slots of all pools."""
        return sum(pool.free.free_slots for pool in self.pools)

    @property
    def total_slots(self) -> int:
        """Slots of all known workers."""
        return sum(pool.total_slots for pool in self.pools)

    @property
    def shortfall_slots(self) -> int:
        """Guaranteed slots that healthy workers cannot hold."""
        return sum(pool.book.shortfall_slots for pool in self.pools)

    @property
    def waiting(self) -> Iterable[PlannedJob]:
        """The queued jobs, oldest first."""
        return self._waiting.values()

    def get_pool(self, *, accelerated: bool) -> Pool:
        """Returns the pool with or without accelerators."""
        return self.pools[0 if accelerated else 1]

    def find_pool(self, worker: WorkerName) -> Pool | None:
        """Returns the pool of a worker, or None if it was not added."""
        return next(
            (pool for pool in self.pools if worker in pool.workers), None
        )

    def list_promised(self) -> list[PlannedJob]:
        """Returns the placed jobs that wait for others to leave."""
        return [self.jobs[job_id] for job_id in self._promised]

    def add_worker(self, shape: WorkerShape) -> None:
        """Adds a worker, healthy and empty."""
        self.get_pool(accelerated=shape.accelerators > 0).add_worker(shape)
        self._ordering.reopen(None)

    def has_worker(self, worker: WorkerName) -> bool:
        """Returns whether the worker was added."""
        return any(worker in pool.workers for pool in self.pools)

    def set_health(self, worker: WorkerName, health: WorkerHealth) -> bool:
        """Opens or closes a worker to new work.

        Returns:
            Whether its health changed.
        """
        pool = self.find_pool(worker)
        if pool is None or pool.workers[worker].health is health:
            return False
        pool.set_health(worker, health)
        self._ordering.reopen(None)
        return True

    def set_rules(self, rules: RulesDocument | None) -> None:
        """Puts rules in force; what runs keeps running."""
        promised: dict[OrganisationName, list[int]] = {}
        for organisation in rules.organisations if rules else ():
            counts = [0] * LEVELS
            for guarantee in organisation.guarantees:
                if guarantee.availability_zone == self.zone:
                    counts[get_level(guarantee.slots)] += guarantee.count
            if any(counts):
                promised[organisation.name] = counts
        self.get_pool(accelerated=True).book.set_promises(promised)
        if rules:
            self._urgent_fraction = rules.urgent_lent_fraction
            self._set_policies(rules.policies)
        self._ordering.set_rules(rules, set(promised))

    def check_possible(self, job: Job) -> None:
        """Checks that the zone's workers could ever hold a gang.

        Raises:
            ImpossibleShapeError: If they could not, even when empty.
        """
        faults = [
            fault
            for pool in self.pools
            if (fault := self._find_fault(pool, job))
        ]
        if len(faults) == len(self.pools):
            raise ImpossibleShapeError(f"zone {self.zone!r}: {faults[0]}")

    def submit(self, job: Job, *, queued_at_s: float | None = None) -> None:
        """Queues a job; one that is known already is ignored."""
        if job.job_id in self.jobs:
            return
        planned = PlannedJob(
            job, self._now() if queued_at_s is None else queued_at_s
        )
        self.jobs[job.job_id] = planned
        self._enqueue(planned)

    def adopt(self, job: Job, placement: Placement) -> PlannedJob:
        """Takes over a gang that runs already.

        Args:
            job: The job.
            placement: Where it runs; the standing is kept if it can be.

        Raises:
            CellError: If its cells are not free.
        """
        pool = self.get_pool(accelerated=placement.accelerated)
        planned = PlannedJob(job, self._now())
        taken: list[Cell] = []
        try:
            for cell in placement.cells:
                pool.occupy(cell, job.job_id)
                taken.append(cell)
            planned.placement = self._adopt_claims(pool, planned, placement)
        except CellError:
            for cell in taken:
                pool.vacate(cell, job.job_id)
            raise
        planned.estimated_run_s = self.estimator.estimate(job)
        planned.started_at_s = self._now()
        self.jobs[job.job_id] = planned
        if self._is_urgent_lent(planned):
            self._urgent_lent_slots += placement.slots
        return planned

    def cancel(self, job_id: JobId) -> bool:
        """Takes a queued job out of the queue.

        Returns:
            Whether it was queued. A running one is not touched.
        """
        planned = self._waiting.get(job_id)
        if planned is None:
            return False
        self._dequeue(planned)
        self._ordering.discard(planned)
        del self.jobs[job_id]
        self._drop_reservation(job_id)
        return True

    def started(self, job_id: JobId) -> None:
        """The gang runs."""
        self.jobs[job_id].started_at_s = self._now()

    def finished(self, job_id: JobId, *, completed: bool = True) -> None:
        """The gang left its cells for good."""
        planned = self.jobs.pop(job_id)
        if completed and planned.started_at_s:
            run_s = self._now() - planned.started_at_s + planned.done_s
            self.estimator.observe(planned.job, run_s)
            self.last_run_s = run_s
        self._leave(planned)

    def requeue(self, job_id: JobId, *, done_s: float = 0.0) -> None:
        """The gang left its cells and is to run (again).

        Args:
            job_id: The job.
            done_s: Run time that a checkpoint preserved.
        """
        planned = self.jobs[job_id]
        planned.done_s = done_s
        self._leave(planned)
        planned.stopping = False
        self._enqueue(planned)

    def decide(self) -> list[Decision]:
        """Returns what is to be started and stopped now.

        Raises:
            GuaranteeViolatedError: If a decision broke a guarantee.
        """
        for candidate in self._ordering.iterate():
            self.counters.attempts += 1
            if self._try_place(candidate):
                self.counters.decisions += 1
                self._check_guarantees()
            else:
                self._ordering.skip(candidate)
        if self._ordering.reserves:
            self._reserve()
        decisions, self._ready = self._ready, []
        return decisions

    def expire(self) -> list[PlannedJob]:
        """Takes out jobs that never started within their deadline."""
        now_s = self._now()
        late = [
            planned
            for planned in self._waiting.values()
            if planned.job.start_within_s
            and not planned.started_at_s
            and now_s > planned.queued_at_s + planned.job.start_within_s
        ]
        for planned in late:
            self.cancel(planned.job.job_id)
        return late

    def estimate_wait_s(self) -> float:
        """Returns the expected wait of a new job without a guarantee."""
        if not self._waiting or not self.total_slots:
            return 0.0
        return self.queued_slot_s / self.total_slots

    def abandon(self, job_id: JobId) -> None:
        """Gives up a placement that still waits for others to leave."""
        planned = self.jobs[job_id]
        placement = planned.placement
        assert placement is not None
        pool = self.get_pool(accelerated=placement.accelerated)
        for victim in planned.waits_for:
            self._victims[victim].discard(job_id)
        for cell in placement.cells:
            for slot in cell.range:
                if pool.occupants.get(slot) == job_id:
                    pool.vacate(Cell(slot, 1), job_id)
        self._release_claims(pool, planned, placement)
        if self._is_urgent_lent(planned):
            self._urgent_lent_slots -= placement.slots
        planned.placement = None
        planned.waits_for.clear()
        self._promised.pop(job_id, None)
        self._ready = [
            each
            for each in self._ready
            if not (isinstance(each, Start) and each.planned is planned)
        ]
        self._ordering.reopen(planned.job.organisation)

    def _set_policies(self, choice: PolicyChoice) -> None:
        if choice.ordering != self._policies.ordering:
            self._ordering = ORDERINGS.get(choice.ordering)()
            for planned in self._waiting.values():
                self._ordering.add(planned)
        if choice.placement != self._policies.placement:
            self._placement = PLACEMENTS.get(choice.placement)()
        if choice.preemption != self._policies.preemption:
            self._preemption = PREEMPTIONS.get(choice.preemption)(
                self.jobs.__getitem__, self._now
            )
        self._policies = choice

    def _list_pools(self, job: Job) -> list[Pool]:
        """Returns the pools to try; plain slots go before accelerators."""
        accelerated, plain = self.pools
        if job.shape.accelerators or not plain.total_slots:
            return [accelerated]
        return [plain, accelerated]

    def _find_fault(self, pool: Pool, job: Job) -> str:
        """Returns why a pool could never hold a gang, or an empty text."""
        shape = job.shape
        if shape.accelerators and not pool.accelerated:
            return "it has no accelerators"
        if not pool.total_slots:
            return "it has no workers"
        exact = pool.count_member_slots(shape)
        slots = round_up(exact)
        if exact > WORKER_SPAN:
            return (
                f"a member needs {exact} slots (accelerators, cores and"
                f" memory), expected at most {WORKER_SPAN}"
            )
        workers = [
            min(each.shape.slots, each.shape.accelerators or each.shape.slots)
            for each in pool.workers.values()
        ]
        if shape.adjacency == "worker" and shape.members > 1:
            room = max(int(max(workers) >= round_up(slots * shape.members)), 0)
            members = 1
        elif shape.adjacency == "rack":
            per_rack: collections.Counter[str] = collections.Counter()
            for each in pool.workers.values():
                usable = min(
                    each.shape.slots,
                    each.shape.accelerators or each.shape.slots,
                )
                per_rack[each.shape.rack] += usable // slots
            room, members = max(per_rack.values()), shape.members
        else:
            room = sum(each // slots for each in workers)
            members = shape.members
        if room >= members:
            return ""
        return (
            f"{shape.members} members of {slots} slots with adjacency"
            f" {shape.adjacency!r}, expected at most {room} members"
        )

    def _enqueue(self, planned: PlannedJob) -> None:
        planned.estimated_run_s = self.estimator.estimate(planned.job)
        self._waiting[planned.job.job_id] = planned
        self._count_queued(planned, 1)
        self._ordering.add(planned)

    def _dequeue(self, planned: PlannedJob) -> None:
        del self._waiting[planned.job.job_id]
        self._count_queued(planned, -1)

    def _count_queued(self, planned: PlannedJob, sign: int) -> None:
        shape = planned.job.shape
        slots = shape.members * max(1, shape.accelerators)
        self.queued_slots += sign * slots
        self.queued_slot_s += sign * slots * planned.estimated_run_s

    def _leave(self, planned: PlannedJob) -> None:
        """Frees the cells of a job and starts who waited for them."""
        placement = planned.placement
        if placement is None:
            return
        job_id = planned.job.job_id
        pool = self.get_pool(accelerated=placement.accelerated)
        run_s = max(0.0, self._now() - planned.started_at_s)
        self._ordering.settle(planned, run_s if planned.started_at_s else 0.0)
        for cell in placement.cells:
            pool.vacate(cell, job_id)
        self._release_claims(pool, planned, placement)
        if self._is_urgent_lent(planned):
            self._urgent_lent_slots -= placement.slots
        planned.placement = None
        for waiter_id in self._victims.pop(job_id, ()):
            waiter = self.jobs.get(waiter_id)
            if waiter is not None and waiter.placement is not None:
                self._move_in(pool, waiter, job_id)
        self._ordering.reopen(planned.job.organisation)

    def _move_in(self, pool: Pool, waiter: PlannedJob, left: JobId) -> None:
        assert waiter.placement is not None
        waiter.waits_for.discard(left)
        for cell in waiter.placement.cells:
            for slot in cell.range:
                if slot not in pool.occupants:
                    pool.occupy(Cell(slot, 1), waiter.job.job_id)
        if not waiter.waits_for:
            del self._promised[waiter.job.job_id]
            self._ready.append(Start(waiter, waiter.placement))

    def _release_claims(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> None:
        name = planned.job.organisation
        for cell, owner in placement.members:
            if owner is not None:
                self._release_bound(pool, name, cell, owner)
            elif placement.standing is Standing.EXCLUSIVE:
                pool.book.release(cell)
                pool.claim_released(cell)

    def _release_bound(
        self, pool: Pool, name: OrganisationName, cell: Cell, owner: Cell
    ) -> None:
        bound = pool.book.get_bound(name, owner)
        bound.room.release(cell)
        if bound.is_idle:
            pool.book.unbind(bound)
            pool.claim_released(owner)

    def _try_place(self, candidate: Candidate) -> bool:
        planned = candidate.planned
        for pool in self._list_pools(planned.job):
            if candidate.route is Route.GUARANTEED:
                placement = self._place_guaranteed(pool, planned)
            else:
                placement = self._place_free(pool, planned)
            if placement is None:
                continue
            try:
                self._take_claims(pool, planned, placement)
            except InvariantError:
                self.counters.refused_claims += 1
                continue
            self._commit(pool, candidate, placement)
            return True
        return False

    def _place_guaranteed(
        self, pool: Pool, planned: PlannedJob
    ) -> Placement | None:
        if not pool.book.has_promise(planned.job.organisation):
            return None
        return self._placement.place_guaranteed(pool, planned, self._preemption)

    def _place_free(self, pool: Pool, planned: PlannedJob) -> Placement | None:
        reservation = self._reservation
        if reservation and reservation.planned is planned:
            return self._place_reserved(reservation)
        if planned.key.urgent and self._exceeds_urgent_share(planned):
            return None
        placement = self._placement.place_free(pool, planned, pool.free)
        if placement is None and reservation and reservation.pool is pool:
            end_s = self._now() + planned.estimated_run_s
            if end_s <= reservation.start_s:
                placement = self._placement.place_free(pool, planned, pool.held)
        if placement is None and planned.key.urgent:
            placement = self._place_over_lent(pool, planned)
        return placement

    def _place_reserved(self, reservation: Reservation) -> Placement | None:
        pool = reservation.pool
        self._reservation = None
        pool.unhold()
        placement = self._placement.place_free(
            pool, reservation.planned, pool.free
        )
        if placement is None:
            self._reservation = reservation
            pool.hold(list(reservation.cells))
        return placement

    def _place_over_lent(
        self, pool: Pool, planned: PlannedJob
    ) -> Placement | None:
        """Places urgent work over lent work that is less urgent."""
        shape = planned.job.shape
        slots = round_up(pool.count_member_slots(shape))
        if shape.members > 1 or slots > WORKER_SPAN:
            return None
        if not planned.job.stoppable:
            return None
        victims = (
            other
            for other in self.jobs.values()
            if other.placement is not None
            and other.placement.accelerated == pool.accelerated
            and not other.stopping
            and any(cell.slots >= slots for cell in other.placement.cells)
            and self._preemption.may_preempt(planned, other.job.job_id)
        )
        victim = min(
            victims,
            key=lambda each: self._preemption.weigh([each.job.job_id]),
            default=None,
        )
        if victim is None or victim.placement is None:
            return None
        cell = next(
            (
                cell
                for cell in victim.placement.cells
                if cell.slots >= slots and not pool.is_closed(cell)
            ),
            None,
        )
        if cell is None:
            return None
        return Placement(
            pool.accelerated, (Cell(cell.start, slots),), Standing.LENT
        )

    def _exceeds_urgent_share(self, planned: PlannedJob) -> bool:
        shape = planned.job.shape
        wanted = shape.members * max(1, shape.accelerators)
        room = max(1.0, self._urgent_fraction * self.total_slots)
        return self._urgent_lent_slots + wanted > room

    def _is_urgent_lent(self, planned: PlannedJob) -> bool:
        placement = planned.placement
        return (
            planned.key.urgent
            and placement is not None
            and placement.standing is not Standing.GUARANTEED
        )

    def _commit(
        self, pool: Pool, candidate: Candidate, placement: Placement
    ) -> None:
        planned = candidate.planned
        job_id = planned.job.job_id
        self._drop_reservation(job_id)
        planned.placement = placement
        for cell in placement.cells:
            planned.waits_for |= pool.promise(cell, job_id)
        if self._is_urgent_lent(planned):
            self._urgent_lent_slots += placement.slots
        self._dequeue(planned)
        self._ordering.accept(candidate)
        for victim_id in planned.waits_for:
            self._victims[victim_id].add(job_id)
            self._stop(self.jobs[victim_id], "reclaim")
        if planned.waits_for:
            self._promised[job_id] = None
        else:
            self._ready.append(Start(planned, placement))

    def _stop(self, victim: PlannedJob, cause: str) -> None:
        if victim.stopping:
            return
        victim.stopping = True
        self.counters.preemptions += 1
        self._ready.append(Stop(victim, cause))

    def _take_claims(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> None:
        """Claims what a placement needs.

        Raises:
            InvariantError: If it cannot be had; nothing is claimed then.
        """
        name = planned.job.organisation
        taken: list[tuple[Cell, Cell | None]] = []
        try:
            for cell, owner in placement.members:
                if owner is not None:
                    self._take_bound(pool, name, cell, owner)
                elif placement.standing is Standing.EXCLUSIVE:
                    pool.book.claim(cell)
                else:
                    continue
                taken.append((cell, owner))
        except InvariantError:
            for cell, owner in taken:
                if owner is not None:
                    self._release_bound(pool, name, cell, owner)
                else:
                    pool.book.release(cell)
            raise

    def _take_bound(
        self, pool: Pool, name: OrganisationName, cell: Cell, owner: Cell
    ) -> None:
        if pool.book.is_bound(name, owner):
            bound = pool.book.get_bound(name, owner)
        else:
            bound = pool.book.bind(name, owner)
        bound.room.take(cell)

    def _adopt_claims(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> Placement:
        """Claims a running gang's cells as far as the rules allow."""
        try:
            self._take_claims(pool, planned, placement)
            return placement
        except InvariantError:
            pass
        if planned.job.stoppable:
            return Placement(
                placement.accelerated, placement.cells, Standing.LENT
            )
        claimable = all(
            pool.book.unclaimed.is_free(cell) for cell in placement.cells
        )
        if not claimable:
            raise CellError(f"cells of {planned.job.job_id} are claimed")
        for cell in placement.cells:
            pool.book.claim_occupied(cell)
        return Placement(
            placement.accelerated, placement.cells, Standing.EXCLUSIVE
        )

    def _check_guarantees(self) -> None:
        for pool in self.pools:
            pool.book.check()

    def _reserve(self) -> None:
        """Keeps a reservation for the oldest gang that does not fit."""
        now_s = self._now()
        current = self._reservation
        if current is not None:
            if now_s - current.made_s < REPLAN_AFTER_S:
                return
            self._drop_reservation(current.planned.job.job_id)
            self._ordering.reopen(None)
        oldest = next(
            (
                planned
                for planned in self._waiting.values()
                if planned.job.shape.members > 1
                or planned.job.shape.accelerators > 1
            ),
            None,
        )
        if oldest is None or now_s - oldest.queued_at_s < RESERVE_AFTER_S:
            return
        for pool in self._list_pools(oldest.job):
            reservation = plan_reservation(
                pool, oldest, now_s=now_s, get_end_s=self._get_end_s
            )
            if reservation is not None:
                self._reservation = reservation
                pool.hold(list(reservation.cells))
                self.counters.reservations += 1
                return

    def _get_end_s(self, job_id: JobId) -> float:
        return self.jobs[job_id].get_end_s(self._now())

    def _drop_reservation(self, job_id: JobId) -> None:
        reservation = self._reservation
        if reservation and reservation.planned.job.job_id == job_id:
            reservation.pool.unhold()
            self._reservation = None
