"""Chooses a placement: guaranteed cells, free cells or preempted lent work."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Mapping

from lagoonbeam.core.planned_job import Placement, PlannedJob
from lagoonbeam.core.preemption_victims import (
    find_victim_in_own_guarantee,
    place_by_preempting_lent,
)
from lagoonbeam.core.reservation import ReservationManager
from lagoonbeam.core.urgent_quota import UrgentQuota
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.placement import GuaranteeReach, PlacementPolicy
from lagoonbeam.preemption import PreemptionPolicy
from lagoonbeam.types import JobId, OrganisationName

STARVATION_THRESHOLD_S = 60.0
"""Queueing time after which the other jobs of an organisation, unless urgent,
can no longer use its guarantee."""
RECLAIM_DELAY_S = {"urgent": 0.0, "normal": 30.0, "batch": 120.0}
"""Queueing time, by urgency, before lent work is preempted for a job's
guarantee. Slots often become free in that time, which costs less than the work
that a stopped gang loses."""


class PlacementChooser:
    """Chooses cells for queued jobs; the planner commits the placement.

    Args:
        jobs: All jobs of the zone.
        queued_jobs: The jobs that are queued.
        awaiting_cells: The placed jobs whose cells are occupied by others.
        reservations: Holds the reservation of a blocked gang.
        urgent_quota: Limits urgent work outside guarantees.
        now: Returns the current time in seconds.
        request_stop: Stops a running job, for a given cause.
        placement: The placement policy.
        preemption: The preemption policy.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[JobId, PlannedJob],
        queued_jobs: Mapping[JobId, PlannedJob],
        awaiting_cells: Mapping[JobId, None],
        reservations: ReservationManager,
        urgent_quota: UrgentQuota,
        now: Callable[[], float],
        request_stop: Callable[[PlannedJob, str], None],
        placement: PlacementPolicy,
        preemption: PreemptionPolicy,
    ):
        self.placement = placement
        self.preemption = preemption
        self._jobs = jobs
        self._queued_jobs = queued_jobs
        self._awaiting_cells = awaiting_cells
        self._reservations = reservations
        self._urgent_quota = urgent_quota
        self._now = now
        self._request_stop = request_stop
        self._own_victims: dict[JobId, JobId] = {}
        self._starving_jobs: dict[OrganisationName, JobId] = {}
        self._reclaim_due: list[tuple[float, OrganisationName]] = []

    def discard_job(self, job_id: JobId) -> None:
        """Forgets the preemption made for a job that is no longer queued."""
        self._own_victims.pop(job_id, None)

    def place_guaranteed(
        self, pool: WorkerPool, planned: PlannedJob
    ) -> Placement | None:
        """Places a job of an organisation that has a guarantee.

        Idle parts of cells that are already bound are used first. A job that
        may be stopped then uses free cells, which keeps whole workers unbound;
        any other job binds idle cells. Occupied cells are reclaimed last.
        """
        organisation_name = planned.job.organisation
        if not pool.guarantee_tracker.has_guarantee(organisation_name):
            return None
        if self._is_guarantee_withheld(planned):
            return None
        placement = self.reach(pool, planned, GuaranteeReach.BOUND)
        if placement is None and planned.job.stoppable:
            placement = self.placement.place_free(pool, planned, pool.free)
        elif placement is None:
            placement = self.reach(pool, planned, GuaranteeReach.IDLE)
        if placement is None and self._may_reclaim(planned):
            placement = self._choose_lower_cost(
                pool,
                self.reach(pool, planned, GuaranteeReach.ANY),
                self._place_urgent_over_lent(pool, planned),
            )
        if placement is None and planned.key.urgent:
            self._preempt_on_own_guarantee(pool, planned)
        elif placement is None and self._is_starving(planned):
            self._starving_jobs.setdefault(
                organisation_name, planned.job.job_id
            )
        return placement

    def reach(
        self, pool: WorkerPool, planned: PlannedJob, reach: GuaranteeReach
    ) -> Placement | None:
        """Places a job within its organisation's guarantee, or returns None."""
        return self.placement.place_guaranteed(
            pool, planned, self.preemption, reach=reach
        )

    def _choose_lower_cost(
        self,
        pool: WorkerPool,
        one: Placement | None,
        other: Placement | None,
    ) -> Placement | None:
        """Returns the placement with the lower preemption cost."""
        placements = [
            placement for placement in (one, other) if placement is not None
        ]
        return min(
            placements,
            key=lambda placement: self.preemption.compute_cost(
                set().union(*map(pool.list_occupants, placement.cells))
            ),
            default=None,
        )

    def _is_starving(self, planned: PlannedJob) -> bool:
        return self._now() - planned.queued_at_s > STARVATION_THRESHOLD_S

    def _is_guarantee_withheld(self, planned: PlannedJob) -> bool:
        """Whether the guarantee is held back for another, starving job.

        Without this, a steady arrival of small jobs would starve a large job
        of the same organisation.
        """
        organisation_name = planned.job.organisation
        starving_job_id = self._starving_jobs.get(organisation_name)
        if (
            starving_job_id is not None
            and starving_job_id not in self._queued_jobs
        ):
            del self._starving_jobs[organisation_name]
            starving_job_id = None
        return (
            starving_job_id not in (None, planned.job.job_id)
            and not planned.key.urgent
        )

    def _may_reclaim(self, planned: PlannedJob) -> bool:
        """Whether a job has been queued long enough to reclaim its guarantee.

        If not, the time at which it may do so is recorded.
        """
        delay_s = RECLAIM_DELAY_S[planned.job.urgency or "normal"]
        reclaim_at_s = planned.queued_at_s + delay_s
        if self._now() >= reclaim_at_s:
            return True
        heapq.heappush(
            self._reclaim_due, (reclaim_at_s, planned.job.organisation)
        )
        return False

    def pop_reclaim_due(self) -> Iterator[OrganisationName]:
        """Yields the organisations with a job that may now reclaim cells."""
        while self._reclaim_due and self._reclaim_due[0][0] <= self._now():
            yield heapq.heappop(self._reclaim_due)[1]

    def _preempt_on_own_guarantee(
        self, pool: WorkerPool, planned: PlannedJob
    ) -> None:
        """Preempts less urgent work on the same organisation's guarantee.

        The cells are not assigned to the urgent job in advance: once they are
        free, its organisation's guarantee is offered to it first.
        """
        if self._own_victims.get(planned.job.job_id) in self._jobs:
            return
        running_jobs = self._iterate_running_jobs()
        victim = find_victim_in_own_guarantee(
            pool, planned, running_jobs, self.preemption
        )
        if victim is not None:
            self._own_victims[planned.job.job_id] = victim.job.job_id
            self._request_stop(victim, "own urgent work")

    def place_free(
        self, pool: WorkerPool, planned: PlannedJob
    ) -> Placement | None:
        """Places a job outside guarantees.

        A job that is expected to end before the reservation starts may also
        use reserved cells (backfill).
        """
        reservation = self._reservations.current
        placement = self.placement.place_free(pool, planned, pool.free)
        if placement is None and reservation and reservation.pool is pool:
            expected_end_s = self._now() + planned.estimated_run_s
            if expected_end_s <= reservation.expected_start_s:
                placement = self.placement.place_free(
                    pool, planned, pool.reserved
                )
        return placement or self._place_urgent_over_lent(pool, planned)

    def _place_urgent_over_lent(
        self, pool: WorkerPool, planned: PlannedJob
    ) -> Placement | None:
        """Places urgent work by preempting lent work, within its quota."""
        if not planned.key.urgent or not self._urgent_quota.admits(planned):
            return None
        running_jobs = self._iterate_running_jobs()
        return place_by_preempting_lent(
            pool, planned, running_jobs, self.preemption
        )

    def _iterate_running_jobs(self) -> Iterator[PlannedJob]:
        """Yields the running jobs that have not been asked to stop."""
        return (
            planned
            for planned in self._jobs.values()
            if planned.started_at_s
            and planned.placement is not None
            and planned.job.job_id not in self._awaiting_cells
            and not planned.stop_requested
        )
