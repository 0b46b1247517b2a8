"""Scheduling decisions for one zone: queueing, placement and guarantees.

It runs no tasks and does no I/O. Its caller, the scheduler in real time or a
benchmark in virtual time, reports events and calls `decide` for the actions.
"""

from __future__ import annotations

from collections.abc import Callable, Iterable

from lagoonbeam.core.allocator import Allocator, Decision
from lagoonbeam.core.backlog import Backlog
from lagoonbeam.core.claims import acquire_claims
from lagoonbeam.core.guarantee_feasibility import count_guaranteed_cells
from lagoonbeam.core.job_feasibility import check_claims_fit, check_shape_fits
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.placement_chooser import PlacementChooser
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.reservation import ReservationManager
from lagoonbeam.core.rules import PolicyNames, RulesDocument
from lagoonbeam.core.run_time_estimator import RunTimeEstimator
from lagoonbeam.core.urgent_quota import UrgentQuota
from lagoonbeam.core.worker_pool import WorkerHealth, WorkerPool, WorkerShape
from lagoonbeam.core.worker_pools import WorkerPools
from lagoonbeam.errors import InvariantError
from lagoonbeam.ordering import ORDERING_POLICIES, CellSource, JobCandidate
from lagoonbeam.ordering.base import OrderingPolicy
from lagoonbeam.placement import PLACEMENT_POLICIES
from lagoonbeam.preemption import PREEMPTION_POLICIES
from lagoonbeam.types import JobId, WorkerName, ZoneName


class Planner:
    """Decides which jobs start and stop on which cells of one zone.

    Args:
        zone: Name of the zone.
        now: Returns the current time in seconds.
        policies: Names of the policies to use until rules are set.
    """

    def __init__(
        self,
        zone: ZoneName,
        *,
        now: Callable[[], float],
        policies: PolicyNames | None = None,
    ):
        self.zone = zone
        self.estimator = RunTimeEstimator()
        self.decisions = 0
        self.pools = WorkerPools()
        self.jobs: dict[JobId, PlannedJob] = {}
        self.last_run_s = 0.0
        self._now = now
        self._policies = policies or PolicyNames()
        self._urgent_quota = UrgentQuota()
        self._backlog = Backlog(self.estimator, now)
        self._allocator = Allocator(self.jobs, self._urgent_quota)
        self._displaced_jobs: list[PlannedJob] = []
        self._reservations = ReservationManager()
        self._ordering: OrderingPolicy = ORDERING_POLICIES.get(
            self._policies.ordering
        )()
        self._chooser = PlacementChooser(
            jobs=self.jobs,
            queued_jobs=self._backlog.queued_jobs,
            awaiting_cells=self._allocator.awaiting_cells,
            reservations=self._reservations,
            urgent_quota=self._urgent_quota,
            now=now,
            request_stop=self._allocator.request_stop,
            placement=PLACEMENT_POLICIES.get(self._policies.placement)(),
            preemption=PREEMPTION_POLICIES.get(self._policies.preemption)(
                self.jobs.__getitem__, now
            ),
        )

    @property
    def queued_jobs(self) -> Iterable[PlannedJob]:
        """The queued jobs, in the order in which they were queued."""
        return self._backlog.queued_jobs.values()

    @property
    def queued_slots(self) -> int:
        """Total slots requested by the queued jobs."""
        return self._backlog.queued_slots

    def list_awaiting_cells(self) -> list[PlannedJob]:
        """Returns the placed jobs whose cells are still occupied by others."""
        return self._allocator.list_awaiting_cells()

    def add_worker(self, shape: WorkerShape) -> None:
        """Adds a worker that is healthy and runs nothing."""
        self.pools.get(accelerated=shape.accelerators > 0).add_worker(shape)
        self._urgent_quota.total_slots = self.pools.total_slots
        self._ordering.retry_blocked(None)

    def set_health(self, worker: WorkerName, health: WorkerHealth) -> bool:
        """Sets the health of a worker; only a healthy one gets new work.

        Returns:
            Whether the health changed; False also for an unknown worker.
        """
        pool = self.pools.find_pool(worker)
        if pool is None or pool.workers[worker].health is health:
            return False
        pool.set_health(worker, health)
        if health is not WorkerHealth.HEALTHY:
            self._requeue_unstarted(pool, worker)
        self._ordering.retry_blocked(None)
        return True

    def set_rules(self, rules: RulesDocument | None) -> None:
        """Applies new rules; running jobs are not affected."""
        guarantees = count_guaranteed_cells(rules, self.zone) if rules else {}
        self.pools.get(accelerated=True).guarantee_tracker.set_guarantees(
            guarantees
        )
        self._reservations.clear_rejections()
        if rules:
            self._urgent_quota.fraction = rules.urgent_lent_fraction
            self._set_policies(rules.policies)
        self._ordering.set_rules(rules, set(guarantees))

    def check_job_feasible(self, job: Job) -> None:
        """Checks that the zone could run a job if it were idle.

        Raises:
            ImpossibleShapeError: If the job could never run here.
        """
        check_shape_fits(self.zone, self.pools, job)
        if not job.stoppable:
            planned = PlannedJob(job, self._now())
            check_claims_fit(
                self.zone,
                self.pools.list_eligible_pools(job),
                planned,
                self._chooser,
            )

    def submit(self, job: Job, *, queued_at_s: float | None = None) -> None:
        """Queues a job; a job that is already known is ignored."""
        if job.job_id in self.jobs:
            return
        planned = PlannedJob(
            job, self._now() if queued_at_s is None else queued_at_s
        )
        self.jobs[job.job_id] = planned
        self._backlog.add_start_deadline(planned)
        self._enqueue(planned)

    def adopt(self, job: Job, placement: Placement) -> PlannedJob:
        """Registers a gang that is already running, after a takeover.

        The gang takes the place of the job's queue entry, which exists if the
        gang was reported only after the unfinished jobs were queued.

        Args:
            job: The job.
            placement: Its cells; the standing is kept if the rules allow it.

        Raises:
            CellAllocationError: If its cells are occupied or claimed by others.
        """
        pool = self.pools.get(accelerated=placement.accelerated)
        self._withdraw_placement(job.job_id)
        planned = PlannedJob(job, self._now())
        self._allocator.adopt(pool, planned, placement)
        self.cancel(job.job_id)
        planned.estimated_run_s = self.estimator.estimate(job)
        planned.started_at_s = self._now()
        self.jobs[job.job_id] = planned
        return planned

    def cancel(self, job_id: JobId) -> bool:
        """Removes a queued job.

        Returns:
            Whether the job was queued; a placed job is not affected.
        """
        planned = self._backlog.queued_jobs.get(job_id)
        if planned is None:
            return False
        self._dequeue(planned)
        self._ordering.remove(planned)
        del self.jobs[job_id]
        self._reservations.cancel_for_job(job_id)
        return True

    def started(self, job_id: JobId) -> None:
        """Records that the gang was started."""
        self.jobs[job_id].started_at_s = self._now()

    def finished(self, job_id: JobId, *, completed: bool = True) -> None:
        """Records that the gang has ended and will not run again."""
        planned = self.jobs.pop(job_id)
        if completed and planned.started_at_s:
            run_s = self._now() - planned.started_at_s + planned.checkpointed_s
            self.estimator.observe(planned.job, run_s)
            self.last_run_s = run_s
        self._release_cells(planned)

    def requeue(self, job_id: JobId, *, checkpointed_s: float = 0.0) -> None:
        """Queues a placed job again after its gang has left its cells.

        Args:
            job_id: The job.
            checkpointed_s: Run time preserved by a checkpoint.
        """
        planned = self.jobs[job_id]
        planned.checkpointed_s = checkpointed_s
        self._release_cells(planned)
        planned.stop_requested = False
        self._enqueue(planned)

    def decide(self) -> list[Decision]:
        """Runs a scheduling pass and returns the jobs to start and stop.

        Raises:
            GuaranteeViolatedError: If a placement violated a guarantee.
        """
        for organisation in self._chooser.pop_reclaim_due():
            self._ordering.retry_blocked(organisation)
        self._place_reserved_gang()
        self._ordering.urgent_first = self._urgent_quota.has_remaining_slots
        for candidate in self._ordering.iterate_candidates():
            if self._try_place(candidate):
                self.decisions += 1
                self.pools.check_reclaimable()
            else:
                self._ordering.mark_blocked(candidate)
                if candidate.cell_source is CellSource.FREE:
                    self._reservations.record_blocked_gang(candidate.planned)
        if self._ordering.uses_reservations:
            self._update_reservation()
        for planned in self._displaced_jobs:
            self._enqueue(planned)
        self._displaced_jobs.clear()
        return self._allocator.pop_decisions()

    def expire_overdue_jobs(self) -> list[PlannedJob]:
        """Removes queued jobs that have missed their start deadline."""
        overdue = self._backlog.pop_overdue()
        for planned in overdue:
            self.cancel(planned.job.job_id)
        return overdue

    def estimate_wait_s(self) -> float:
        """Estimates the queueing time of a new job without a guarantee."""
        if not self._backlog.queued_jobs or not self.pools.total_slots:
            return 0.0
        return self._backlog.queued_slot_s / self.pools.total_slots

    def abandon_placement(self, job_id: JobId) -> None:
        """Cancels a placement whose gang has not been started."""
        planned = self.jobs[job_id]
        assert planned.placement is not None
        pool = self.pools.get(accelerated=planned.placement.accelerated)
        self._allocator.abandon_placement(pool, planned)
        self._ordering.retry_blocked(planned.job.organisation)

    def _withdraw_placement(self, job_id: JobId) -> None:
        """Queues a placed job again whose gang has not been started."""
        planned = self.jobs.get(job_id)
        if planned is not None and planned.placement is not None:
            self.abandon_placement(job_id)
            self._enqueue(planned)

    def _set_policies(self, policies: PolicyNames) -> None:
        if policies.ordering != self._policies.ordering:
            self._ordering = ORDERING_POLICIES.get(policies.ordering)()
            for planned in self._backlog.queued_jobs.values():
                self._ordering.add(planned)
        if policies.placement != self._policies.placement:
            self._chooser.placement = PLACEMENT_POLICIES.get(
                policies.placement
            )()
        if policies.preemption != self._policies.preemption:
            self._chooser.preemption = PREEMPTION_POLICIES.get(
                policies.preemption
            )(self.jobs.__getitem__, self._now)
        self._policies = policies

    def _enqueue(self, planned: PlannedJob) -> None:
        self._backlog.add(planned)
        self._ordering.add(planned)

    def _dequeue(self, planned: PlannedJob) -> None:
        self._backlog.remove(planned)
        self._chooser.discard_job(planned.job.job_id)

    def _release_cells(self, planned: PlannedJob) -> None:
        """Frees the cells of a job for the jobs that are waiting for them."""
        placement = planned.placement
        if placement is None:
            return
        pool = self.pools.get(accelerated=placement.accelerated)
        run_s = max(0.0, self._now() - planned.started_at_s)
        self._ordering.end_run(planned, run_s if planned.started_at_s else 0.0)
        self._allocator.release(pool, planned)
        self._ordering.retry_blocked(None)

    def _try_place(self, candidate: JobCandidate) -> bool:
        planned = candidate.planned
        for pool in self.pools.list_eligible_pools(planned.job):
            if candidate.cell_source is CellSource.GUARANTEED:
                placement = self._chooser.place_guaranteed(pool, planned)
            else:
                placement = self._chooser.place_free(pool, planned)
            if placement is None or self._allocator.would_displace_awaiting(
                pool, placement
            ):
                continue
            try:
                acquire_claims(pool, planned.job.organisation, placement)
            except InvariantError:
                continue
            self._commit_placement(pool, planned, placement)
            self._ordering.mark_placed(candidate)
            return True
        return False

    def _requeue_unstarted(self, pool: WorkerPool, worker: WorkerName) -> None:
        """Requeues jobs that were placed on a worker but not yet started."""
        pooled_worker = pool.workers[worker]
        for planned in self._allocator.list_unstarted():
            placement = planned.placement
            if placement is None or placement.accelerated != pool.accelerated:
                continue
            if any(
                pooled_worker in pool.list_workers(c) for c in placement.cells
            ):
                self._withdraw_placement(planned.job.job_id)

    def _place_reserved_gang(self) -> None:
        """Places the gang of the reservation once all its cells are free."""
        reservation = self._reservations.current
        if reservation is None:
            return
        pool, planned = reservation.pool, reservation.planned
        if not all(pool.reserved.is_free(cell) for cell in reservation.cells):
            return
        stoppable = planned.job.stoppable
        placement = Placement(
            pool.accelerated,
            reservation.cells,
            Standing.LENT if stoppable else Standing.EXCLUSIVE,
        )
        self._reservations.cancel_for_job(planned.job.job_id)
        try:
            acquire_claims(pool, planned.job.organisation, placement)
        except InvariantError:
            self._reservations.reject_job(planned)
            return
        self._commit_placement(pool, planned, placement)
        self._ordering.remove_placed(planned)
        self.decisions += 1

    def _commit_placement(
        self, pool: WorkerPool, planned: PlannedJob, placement: Placement
    ) -> None:
        """Assigns the cells of a placement to its job.

        Jobs that were waiting for these cells are requeued only after the
        pass; otherwise a pass might not terminate.
        """
        self._reservations.cancel_for_job(planned.job.job_id)
        displaced = self._allocator.commit(pool, planned, placement)
        for displaced_job in displaced:
            self._ordering.retry_blocked(displaced_job.job.organisation)
        self._displaced_jobs += displaced
        self._dequeue(planned)

    def _update_reservation(self) -> None:
        """Plans a reservation if there is none or it has expired."""
        reservations = self._reservations
        if reservations.current is not None:
            if not reservations.is_expired(self._now()):
                return
            reservations.cancel()
            self._ordering.retry_blocked(None)
        gang = reservations.choose_blocked_gang(
            self._backlog.queued_jobs,
            now_s=self._now(),
            compute_order_key=self._ordering.compute_order_key,
        )
        if gang is None:
            return
        for pool in self.pools.list_eligible_pools(gang.job):
            if reservations.try_reserve(
                pool,
                gang,
                now_s=self._now(),
                estimate_end_s=self._estimate_end_s,
            ):
                return

    def _estimate_end_s(self, job_id: JobId) -> float:
        return self.jobs[job_id].estimate_end_s(self._now())
