"""The planner of one zone: queue, cells and guarantees in one place.

It holds no tasks and does no input or output. Its owner tells it what
happened and asks `decide` what to do; the scheduler does so in real time, the
benchmarks in virtual time.
"""

from __future__ import annotations

import collections
import heapq
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonbeam.core.capacity import find_fault
from lagoonbeam.core.cells import LEVELS, Cell, get_level
from lagoonbeam.core.choosing import PlaceChooser
from lagoonbeam.core.claims import adopt_claims, release_claims, take_claims
from lagoonbeam.core.estimates import RunTimeEstimator
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned import (
    Placement,
    PlannedJob,
    Standing,
)
from lagoonbeam.core.pool import Pool, WorkerHealth, WorkerShape
from lagoonbeam.core.reservation import Reservations
from lagoonbeam.core.rules import PolicyChoice, RulesDocument
from lagoonbeam.core.urgency import UrgentShare
from lagoonbeam.errors import (
    CellError,
    ImpossibleShapeError,
    InvariantError,
)
from lagoonbeam.ordering import ORDERINGS, Candidate, OrderingPolicy, Route
from lagoonbeam.placement import PLACEMENTS, Reach
from lagoonbeam.preemption import PREEMPTIONS
from lagoonbeam.types import JobId, OrganisationName, WorkerName, ZoneName

LAUNCH_MARGIN_S = 0.25
"""Time that a launch may take; a job is placed so much before its deadline."""


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
        self._urgent = UrgentShare()
        self._waiting: dict[JobId, PlannedJob] = {}
        self._promised: dict[JobId, None] = {}
        self._displaced: list[PlannedJob] = []
        self._deadlines: list[tuple[float, JobId]] = []
        self._ready: list[Decision] = []
        self._victims: dict[JobId, set[JobId]] = collections.defaultdict(set)
        self._reservations = Reservations()
        self._ordering: OrderingPolicy = ORDERINGS.get(
            self._policies.ordering
        )()
        self._chooser = PlaceChooser(
            jobs=self.jobs,
            waiting=self._waiting,
            promised=self._promised,
            reservations=self._reservations,
            urgent=self._urgent,
            now=now,
            stop=self._stop,
            placement=PLACEMENTS.get(self._policies.placement)(),
            preemption=PREEMPTIONS.get(self._policies.preemption)(
                self.jobs.__getitem__, now
            ),
        )

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
        self._urgent.total_slots = self.total_slots
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
        if health is not WorkerHealth.HEALTHY:
            self._call_back(pool, worker)
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
        self._reservations.forget_refusals()
        if rules:
            self._urgent.fraction = rules.urgent_lent_fraction
            self._set_policies(rules.policies)
        self._ordering.set_rules(rules, set(promised))

    def check_possible(self, job: Job) -> None:
        """Checks that the workers of an idle zone could hold a gang.

        Raises:
            ImpossibleShapeError: If they could not, even when empty.
        """
        faults = [
            fault
            for pool in self.pools
            if (fault := find_fault(pool, job.shape))
        ]
        if len(faults) == len(self.pools):
            raise ImpossibleShapeError(f"zone {self.zone!r}: {faults[0]}")
        if not job.stoppable:
            self._check_claims(job)

    def submit(self, job: Job, *, queued_at_s: float | None = None) -> None:
        """Queues a job; one that is known already is ignored."""
        if job.job_id in self.jobs:
            return
        planned = PlannedJob(
            job, self._now() if queued_at_s is None else queued_at_s
        )
        self.jobs[job.job_id] = planned
        if job.start_within_s:
            due_s = planned.queued_at_s + job.start_within_s - LAUNCH_MARGIN_S
            heapq.heappush(self._deadlines, (due_s, job.job_id))
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
            planned.placement = adopt_claims(pool, job, placement)
        except CellError:
            for cell in taken:
                pool.vacate(cell, job.job_id)
            raise
        planned.estimated_run_s = self.estimator.estimate(job)
        planned.started_at_s = self._now()
        self.jobs[job.job_id] = planned
        self._urgent.count(planned, 1)
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
        self._reservations.drop_for(job_id)
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
        for organisation in self._chooser.take_due():
            self._ordering.reopen(organisation)
        self._start_reserved()
        self._ordering.urgent_first = self._urgent.is_open
        for candidate in self._ordering.iterate():
            self.counters.attempts += 1
            if self._try_place(candidate):
                self.counters.decisions += 1
                self._check_guarantees()
            else:
                self._ordering.skip(candidate)
                if candidate.route is Route.FREE:
                    self._reservations.note_blocked(candidate.planned)
        if self._ordering.reserves:
            self._reserve()
        for planned in self._displaced:
            self._enqueue(planned)
        self._displaced.clear()
        decisions, self._ready = self._ready, []
        return decisions

    def expire(self) -> list[PlannedJob]:
        """Takes out jobs that never started within their deadline."""
        late = []
        while self._deadlines and self._deadlines[0][0] < self._now():
            _, job_id = heapq.heappop(self._deadlines)
            planned = self._waiting.get(job_id)
            if planned is not None and not planned.started_at_s:
                late.append(planned)
                self.cancel(job_id)
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
            pool.withdraw(cell, job_id)
        release_claims(pool, planned.job.organisation, placement)
        self._urgent.count(planned, -1)
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
            self._chooser.placement = PLACEMENTS.get(choice.placement)()
        if choice.preemption != self._policies.preemption:
            self._chooser.preemption = PREEMPTIONS.get(choice.preemption)(
                self.jobs.__getitem__, self._now
            )
        self._policies = choice

    def _list_pools(self, job: Job) -> list[Pool]:
        """Returns the pools to try; plain slots go before accelerators."""
        accelerated, plain = self.pools
        if job.shape.accelerators or not plain.total_slots:
            return [accelerated]
        return [plain, accelerated]

    def _check_claims(self, job: Job) -> None:
        """Checks that work that cannot be stopped has cells to run on.

        Raises:
            ImpossibleShapeError: If the guarantees leave too few.
        """
        planned = PlannedJob(job, self._now())
        for pool in self._list_pools(job):
            for placement in (
                self._chooser.reach(pool, planned, Reach.IDLE),
                self._chooser.placement.place_free(pool, planned, pool.free),
            ):
                if placement is None:
                    continue
                try:
                    take_claims(pool, planned.job.organisation, placement)
                except InvariantError:
                    continue
                release_claims(pool, planned.job.organisation, placement)
                return
        raise ImpossibleShapeError(
            f"zone {self.zone!r}: a job that can be neither stopped nor"
            " repeated may use its organisation's guarantee and slots that no"
            f" organisation is guaranteed; {job.shape.members} members do not"
            " fit there"
        )

    def _enqueue(self, planned: PlannedJob) -> None:
        planned.estimated_run_s = self.estimator.estimate(planned.job)
        self._waiting[planned.job.job_id] = planned
        self._count_queued(planned, 1)
        self._ordering.add(planned)

    def _dequeue(self, planned: PlannedJob) -> None:
        del self._waiting[planned.job.job_id]
        self._chooser.forget(planned.job.job_id)
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
        release_claims(pool, planned.job.organisation, placement)
        self._urgent.count(planned, -1)
        planned.placement = None
        for waiter_id in self._victims.pop(job_id, ()):
            waiter = self.jobs.get(waiter_id)
            if waiter is not None and waiter.placement is not None:
                self._move_in(pool, waiter, job_id)
        self._ordering.reopen(None)

    def _move_in(self, pool: Pool, waiter: PlannedJob, left: JobId) -> None:
        assert waiter.placement is not None
        waiter.waits_for.discard(left)
        for cell in waiter.placement.cells:
            pool.move_in(cell, waiter.job.job_id)
        if not waiter.waits_for:
            del self._promised[waiter.job.job_id]
            self._ready.append(Start(waiter, waiter.placement))

    def _try_place(self, candidate: Candidate) -> bool:
        planned = candidate.planned
        for pool in self._list_pools(planned.job):
            if candidate.route is Route.GUARANTEED:
                placement = self._chooser.place_guaranteed(pool, planned)
            else:
                placement = self._chooser.place_free(pool, planned)
            if placement is None or self._would_loop(pool, placement):
                continue
            try:
                take_claims(pool, planned.job.organisation, placement)
            except InvariantError:
                self.counters.refused_claims += 1
                continue
            self._commit(pool, planned, placement)
            self._ordering.accept(candidate)
            return True
        return False

    def _call_back(self, pool: Pool, worker: WorkerName) -> None:
        """Queues jobs again that were to start on a closed worker."""
        place = pool.workers[worker]
        ready = [
            each.planned for each in self._ready if isinstance(each, Start)
        ]
        for planned in [*self.list_promised(), *ready]:
            placement = planned.placement
            if placement is None or placement.accelerated != pool.accelerated:
                continue
            if any(place in pool.list_workers(c) for c in placement.cells):
                self.abandon(planned.job.job_id)
                self._enqueue(planned)

    def _would_loop(self, pool: Pool, placement: Placement) -> bool:
        """Whether lent work would displace jobs that wait for cells.

        Only work with a claim may, and claims never overlap, so no two jobs
        can displace each other in turn.
        """
        if placement.standing is not Standing.LENT:
            return False
        return any(
            pool.list_promised(cell)
            or pool.list_occupants(cell) & self._promised.keys()
            for cell in placement.cells
        )

    def _start_reserved(self) -> None:
        """Places the gang of the reservation once all its cells are free."""
        reservation = self._reservations.current
        if reservation is None:
            return
        pool, planned = reservation.pool, reservation.planned
        if not all(pool.held.is_free(cell) for cell in reservation.cells):
            return
        stoppable = planned.job.stoppable
        placement = Placement(
            pool.accelerated,
            reservation.cells,
            Standing.LENT if stoppable else Standing.EXCLUSIVE,
        )
        self._reservations.drop_for(planned.job.job_id)
        try:
            take_claims(pool, planned.job.organisation, placement)
        except InvariantError:
            self.counters.refused_claims += 1
            self._reservations.refuse(planned)
            return
        self._commit(pool, planned, placement)
        self._ordering.take(planned)
        self.counters.decisions += 1

    def _commit(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> None:
        job_id = planned.job.job_id
        self._reservations.drop_for(job_id)
        self._displace(pool, placement)
        planned.placement = placement
        for cell in placement.cells:
            planned.waits_for |= pool.promise(cell, job_id)
        self._urgent.count(planned, 1)
        self._dequeue(planned)
        for victim_id in planned.waits_for:
            self._victims[victim_id].add(job_id)
            self._stop(self.jobs[victim_id], "reclaim")
        if planned.waits_for:
            self._promised[job_id] = None
        else:
            self._ready.append(Start(planned, placement))

    def _displace(self, pool: Pool, placement: Placement) -> None:
        """Takes out jobs that wait for cells another job now gets.

        They are queued again after the pass, so that a pass always ends.
        """
        waiting: set[JobId] = set()
        for cell in placement.cells:
            waiting |= pool.list_promised(cell)
            waiting |= pool.list_occupants(cell) & self._promised.keys()
        for job_id in waiting:
            self.abandon(job_id)
            self._displaced.append(self.jobs[job_id])

    def _stop(self, victim: PlannedJob, cause: str) -> None:
        if victim.stopping:
            return
        victim.stopping = True
        self.counters.preemptions += 1
        self._ready.append(Stop(victim, cause))

    def _check_guarantees(self) -> None:
        for pool in self.pools:
            pool.book.check()

    def _reserve(self) -> None:
        """Keeps a reservation for the gang whose turn it is."""
        reservations = self._reservations
        if reservations.current is not None:
            if not reservations.is_old(self._now()):
                return
            reservations.drop()
            self._ordering.reopen(None)
        gang = reservations.choose(
            self._waiting, now_s=self._now(), rate=self._ordering.rate
        )
        if gang is None:
            return
        for pool in self._list_pools(gang.job):
            if reservations.make(
                pool, gang, now_s=self._now(), get_end_s=self._get_end_s
            ):
                self.counters.reservations += 1
                return

    def _get_end_s(self, job_id: JobId) -> float:
        return self.jobs[job_id].get_end_s(self._now())
