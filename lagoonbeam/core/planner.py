"""The planner of one zone: queue, cells and guarantees in one place.

It holds no tasks and does no input or output. Its owner tells it what
happened and asks `decide` what to do; the scheduler does so in real time, the
benchmarks in virtual time.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonbeam.core.backlog import Backlog
from lagoonbeam.core.capacity import check_claims, check_shape
from lagoonbeam.core.cells import Cell
from lagoonbeam.core.choosing import PlaceChooser
from lagoonbeam.core.claims import adopt_claims, take_claims
from lagoonbeam.core.estimates import RunTimeEstimator
from lagoonbeam.core.feasibility import count_promised
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.occupancy import Decision, Occupancy
from lagoonbeam.core.planned import (
    Placement,
    PlannedJob,
    Standing,
)
from lagoonbeam.core.pool import Pool, WorkerHealth, WorkerShape
from lagoonbeam.core.pools import Pools
from lagoonbeam.core.reservation import Reservations
from lagoonbeam.core.rules import PolicyChoice, RulesDocument
from lagoonbeam.core.urgency import UrgentShare
from lagoonbeam.errors import (
    CellError,
    InvariantError,
)
from lagoonbeam.ordering import (
    ORDERING_POLICIES,
    CellSource,
    JobCandidate,
    OrderingPolicy,
)
from lagoonbeam.placement import PLACEMENT_POLICIES
from lagoonbeam.preemption import PREEMPTION_POLICIES
from lagoonbeam.types import JobId, WorkerName, ZoneName


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
        self.decisions = 0
        self.pools = Pools()
        self.jobs: dict[JobId, PlannedJob] = {}
        self.last_run_s = 0.0
        self._now = now
        self._policies = policies or PolicyChoice()
        self._urgent = UrgentShare()
        self._backlog = Backlog(self.estimator, now)
        self._occupancy = Occupancy(self.jobs, self._urgent)
        self._displaced: list[PlannedJob] = []
        self._reservations = Reservations()
        self._ordering: OrderingPolicy = ORDERING_POLICIES.get(
            self._policies.ordering
        )()
        self._chooser = PlaceChooser(
            jobs=self.jobs,
            waiting=self._backlog.waiting,
            promised=self._occupancy.promised,
            reservations=self._reservations,
            urgent=self._urgent,
            now=now,
            stop=self._occupancy.stop,
            placement=PLACEMENT_POLICIES.get(self._policies.placement)(),
            preemption=PREEMPTION_POLICIES.get(self._policies.preemption)(
                self.jobs.__getitem__, now
            ),
        )

    @property
    def waiting(self) -> Iterable[PlannedJob]:
        """The queued jobs, oldest first."""
        return self._backlog.waiting.values()

    @property
    def queued_slots(self) -> int:
        """Slots that the queued jobs ask for."""
        return self._backlog.queued_slots

    def list_promised(self) -> list[PlannedJob]:
        """Returns the placed jobs that wait for others to leave."""
        return self._occupancy.list_promised()

    def add_worker(self, shape: WorkerShape) -> None:
        """Adds a worker, healthy and empty."""
        self.pools.get(accelerated=shape.accelerators > 0).add_worker(shape)
        self._urgent.total_slots = self.pools.total_slots
        self._ordering.retry_blocked(None)

    def set_health(self, worker: WorkerName, health: WorkerHealth) -> bool:
        """Opens or closes a worker to new work.

        Returns:
            Whether its health changed.
        """
        pool = self.pools.find(worker)
        if pool is None or pool.workers[worker].health is health:
            return False
        pool.set_health(worker, health)
        if health is not WorkerHealth.HEALTHY:
            self._call_back(pool, worker)
        self._ordering.retry_blocked(None)
        return True

    def set_rules(self, rules: RulesDocument | None) -> None:
        """Puts rules in force; what runs keeps running."""
        promised = count_promised(rules, self.zone) if rules else {}
        self.pools.get(accelerated=True).book.set_promises(promised)
        self._reservations.forget_refusals()
        if rules:
            self._urgent.fraction = rules.urgent_lent_fraction
            self._set_policies(rules.policies)
        self._ordering.set_rules(rules, set(promised))

    def check_possible(self, job: Job) -> None:
        """Checks that the zone, were it idle, could run a job.

        Raises:
            ImpossibleShapeError: If it could not.
        """
        check_shape(self.zone, self.pools, job)
        if not job.stoppable:
            planned = PlannedJob(job, self._now())
            check_claims(
                self.zone, self.pools.list_for(job), planned, self._chooser
            )

    def submit(self, job: Job, *, queued_at_s: float | None = None) -> None:
        """Queues a job; one that is known already is ignored."""
        if job.job_id in self.jobs:
            return
        planned = PlannedJob(
            job, self._now() if queued_at_s is None else queued_at_s
        )
        self.jobs[job.job_id] = planned
        self._backlog.watch_deadline(planned)
        self._enqueue(planned)

    def adopt(self, job: Job, placement: Placement) -> PlannedJob:
        """Takes over a gang that runs already.

        Args:
            job: The job.
            placement: Where it runs; the standing is kept if it can be.

        Raises:
            CellError: If its cells are not free.
        """
        pool = self.pools.get(accelerated=placement.accelerated)
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
        planned = self._backlog.waiting.get(job_id)
        if planned is None:
            return False
        self._dequeue(planned)
        self._ordering.remove(planned)
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
            self._ordering.retry_blocked(organisation)
        self._start_reserved()
        self._ordering.urgent_first = self._urgent.is_open
        for candidate in self._ordering.iterate_candidates():
            if self._try_place(candidate):
                self.decisions += 1
                self.pools.check()
            else:
                self._ordering.mark_blocked(candidate)
                if candidate.cell_source is CellSource.FREE:
                    self._reservations.note_blocked(candidate.planned)
        if self._ordering.uses_reservations:
            self._reserve()
        for planned in self._displaced:
            self._enqueue(planned)
        self._displaced.clear()
        return self._occupancy.take_decisions()

    def expire(self) -> list[PlannedJob]:
        """Takes out jobs that never started within their deadline."""
        late = self._backlog.take_late()
        for planned in late:
            self.cancel(planned.job.job_id)
        return late

    def estimate_wait_s(self) -> float:
        """Returns the expected wait of a new job without a guarantee."""
        if not self._backlog.waiting or not self.pools.total_slots:
            return 0.0
        return self._backlog.queued_slot_s / self.pools.total_slots

    def abandon(self, job_id: JobId) -> None:
        """Gives up a placement that still waits for others to leave."""
        planned = self.jobs[job_id]
        assert planned.placement is not None
        pool = self.pools.get(accelerated=planned.placement.accelerated)
        self._occupancy.abandon(pool, planned)
        self._ordering.retry_blocked(planned.job.organisation)

    def _set_policies(self, choice: PolicyChoice) -> None:
        if choice.ordering != self._policies.ordering:
            self._ordering = ORDERING_POLICIES.get(choice.ordering)()
            for planned in self._backlog.waiting.values():
                self._ordering.add(planned)
        if choice.placement != self._policies.placement:
            self._chooser.placement = PLACEMENT_POLICIES.get(choice.placement)()
        if choice.preemption != self._policies.preemption:
            self._chooser.preemption = PREEMPTION_POLICIES.get(
                choice.preemption
            )(self.jobs.__getitem__, self._now)
        self._policies = choice

    def _enqueue(self, planned: PlannedJob) -> None:
        self._backlog.add(planned)
        self._ordering.add(planned)

    def _dequeue(self, planned: PlannedJob) -> None:
        self._backlog.remove(planned)
        self._chooser.forget(planned.job.job_id)

    def _leave(self, planned: PlannedJob) -> None:
        """Frees the cells of a job and starts who waited for them."""
        placement = planned.placement
        if placement is None:
            return
        pool = self.pools.get(accelerated=placement.accelerated)
        run_s = max(0.0, self._now() - planned.started_at_s)
        self._ordering.record_run_time(
            planned, run_s if planned.started_at_s else 0.0
        )
        self._occupancy.leave(pool, planned)
        self._ordering.retry_blocked(None)

    def _try_place(self, candidate: JobCandidate) -> bool:
        planned = candidate.planned
        for pool in self.pools.list_for(planned.job):
            if candidate.cell_source is CellSource.GUARANTEED:
                placement = self._chooser.place_guaranteed(pool, planned)
            else:
                placement = self._chooser.place_free(pool, planned)
            if placement is None or self._occupancy.would_loop(pool, placement):
                continue
            try:
                take_claims(pool, planned.job.organisation, placement)
            except InvariantError:
                continue
            self._commit(pool, planned, placement)
            self._ordering.mark_placed(candidate)
            return True
        return False

    def _call_back(self, pool: Pool, worker: WorkerName) -> None:
        """Queues jobs again that were to start on a closed worker."""
        place = pool.workers[worker]
        for planned in self._occupancy.list_not_started():
            placement = planned.placement
            if placement is None or placement.accelerated != pool.accelerated:
                continue
            if any(place in pool.list_workers(c) for c in placement.cells):
                self.abandon(planned.job.job_id)
                self._enqueue(planned)

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
            self._reservations.refuse(planned)
            return
        self._commit(pool, planned, placement)
        self._ordering.remove_placed(planned)
        self.decisions += 1

    def _commit(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> None:
        """Gives a job its cells.

        Jobs that waited for them are queued again after the pass, so that a
        pass always ends.
        """
        self._reservations.drop_for(planned.job.job_id)
        displaced = self._occupancy.commit(pool, planned, placement)
        for each in displaced:
            self._ordering.retry_blocked(each.job.organisation)
        self._displaced += displaced
        self._dequeue(planned)

    def _reserve(self) -> None:
        """Keeps a reservation for the gang whose turn it is."""
        reservations = self._reservations
        if reservations.current is not None:
            if not reservations.is_old(self._now()):
                return
            reservations.drop()
            self._ordering.retry_blocked(None)
        gang = reservations.choose(
            self._backlog.waiting,
            now_s=self._now(),
            compute_order_key=self._ordering.compute_order_key,
        )
        if gang is None:
            return
        for pool in self.pools.list_for(gang.job):
            if reservations.make(
                pool, gang, now_s=self._now(), get_end_s=self._get_end_s
            ):
                return

    def _get_end_s(self, job_id: JobId) -> float:
        return self.jobs[job_id].get_end_s(self._now())
