"""Assignment of cells to jobs, and the jobs waiting for occupied cells."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonbeam.core.cells import Cell
from lagoonbeam.core.claims import adopt_claims, release_claims
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.urgent_quota import UrgentQuota
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.errors import CellAllocationError
from lagoonbeam.types import JobId


@dataclass(frozen=True)
class StartDecision:
    """A gang to launch on its cells."""

    planned: PlannedJob
    placement: Placement


@dataclass(frozen=True)
class StopDecision:
    """A running gang to stop and requeue."""

    planned: PlannedJob
    cause: str


Decision = StartDecision | StopDecision


class Allocator:
    """Assigns and frees cells and collects the resulting decisions.

    Attributes:
        awaiting_cells: Identifiers of placed jobs whose cells are still
            occupied by others, in the order of placement.

    Args:
        jobs: All jobs of the zone.
        urgent_quota: Counts urgent work outside guarantees.
    """

    def __init__(
        self, jobs: Mapping[JobId, PlannedJob], urgent_quota: UrgentQuota
    ):
        self.awaiting_cells: dict[JobId, None] = {}
        self._jobs = jobs
        self._urgent_quota = urgent_quota
        self._pending_decisions: list[Decision] = []
        self._awaiting_by_victim: dict[JobId, set[JobId]] = (
            collections.defaultdict(set)
        )

    def pop_decisions(self) -> list[Decision]:
        """Returns the decisions made since the last call."""
        decisions, self._pending_decisions = self._pending_decisions, []
        return decisions

    def list_awaiting_cells(self) -> list[PlannedJob]:
        """Returns the placed jobs whose cells are still occupied by others."""
        return [self._jobs[job_id] for job_id in self.awaiting_cells]

    def list_unstarted(self) -> list[PlannedJob]:
        """Returns the placed jobs whose start decision was not yet returned."""
        decided_starts = [
            decision.planned
            for decision in self._pending_decisions
            if isinstance(decision, StartDecision)
        ]
        return [*self.list_awaiting_cells(), *decided_starts]

    def commit(
        self, pool: WorkerPool, planned: PlannedJob, placement: Placement
    ) -> list[PlannedJob]:
        """Assigns cells to a job and requests the stop of their occupants.

        Returns:
            The jobs that were waiting for these cells and lost them.
        """
        job_id = planned.job.job_id
        displaced = self._displace_awaiting(pool, placement)
        planned.placement = placement
        for cell in placement.cells:
            planned.blocking_jobs |= pool.assign(cell, job_id)
        self._urgent_quota.update_usage(planned, 1)
        for victim_id in planned.blocking_jobs:
            self._awaiting_by_victim[victim_id].add(job_id)
            self.request_stop(self._jobs[victim_id], "reclaim")
        if planned.blocking_jobs:
            self.awaiting_cells[job_id] = None
        else:
            self._pending_decisions.append(StartDecision(planned, placement))
        return displaced

    def adopt(
        self, pool: WorkerPool, planned: PlannedJob, placement: Placement
    ) -> None:
        """Assigns the cells of a gang that is already running to its job.

        Raises:
            CellAllocationError: If its cells are occupied or claimed by others.
        """
        job = planned.job
        occupied_cells: list[Cell] = []
        try:
            for cell in placement.cells:
                pool.occupy(cell, job.job_id)
                occupied_cells.append(cell)
            planned.placement = adopt_claims(pool, job, placement)
        except CellAllocationError:
            for cell in occupied_cells:
                pool.vacate(cell, job.job_id)
            raise
        self._urgent_quota.update_usage(planned, 1)

    def release(self, pool: WorkerPool, planned: PlannedJob) -> None:
        """Frees the cells of a job for the jobs that are waiting for them.

        A job that has all its cells now gets its start decision.
        """
        placement = planned.placement
        assert placement is not None
        job_id = planned.job.job_id
        for cell in placement.cells:
            pool.vacate(cell, job_id)
        release_claims(pool, planned.job.organisation, placement)
        self._urgent_quota.update_usage(planned, -1)
        planned.placement = None
        for awaiting_job_id in self._awaiting_by_victim.pop(job_id, ()):
            awaiting_job = self._jobs.get(awaiting_job_id)
            if awaiting_job is not None and awaiting_job.placement is not None:
                self._occupy_vacated_cells(pool, awaiting_job, job_id)

    def abandon_placement(self, pool: WorkerPool, planned: PlannedJob) -> None:
        """Cancels a placement whose gang has not been started."""
        placement = planned.placement
        assert placement is not None
        job_id = planned.job.job_id
        for victim_id in planned.blocking_jobs:
            self._awaiting_by_victim[victim_id].discard(job_id)
        for cell in placement.cells:
            pool.unassign(cell, job_id)
        release_claims(pool, planned.job.organisation, placement)
        self._urgent_quota.update_usage(planned, -1)
        planned.placement = None
        planned.blocking_jobs.clear()
        self.awaiting_cells.pop(job_id, None)
        self._pending_decisions = [
            decision
            for decision in self._pending_decisions
            if not (
                isinstance(decision, StartDecision)
                and decision.planned is planned
            )
        ]

    def request_stop(self, victim: PlannedJob, cause: str) -> None:
        """Decides to stop a running job, unless that was already decided."""
        if victim.stop_requested:
            return
        victim.stop_requested = True
        self._pending_decisions.append(StopDecision(victim, cause))

    def would_displace_awaiting(
        self, pool: WorkerPool, placement: Placement
    ) -> bool:
        """Whether lent work would displace jobs that are waiting for cells.

        Only a job with a claim may displace them. Claims never overlap, so no
        two jobs can displace each other repeatedly.
        """
        if placement.standing is not Standing.LENT:
            return False
        return bool(self._list_awaiting(pool, placement))

    def _displace_awaiting(
        self, pool: WorkerPool, placement: Placement
    ) -> list[PlannedJob]:
        displaced = [
            self._jobs[job_id]
            for job_id in self._list_awaiting(pool, placement)
        ]
        for planned in displaced:
            self.abandon_placement(pool, planned)
        return displaced

    def _list_awaiting(
        self, pool: WorkerPool, placement: Placement
    ) -> set[JobId]:
        """Returns the jobs that are waiting for any of these cells."""
        awaiting: set[JobId] = set()
        for cell in placement.cells:
            awaiting |= pool.list_next_occupants(cell)
            awaiting |= pool.list_occupants(cell) & self.awaiting_cells.keys()
        return awaiting

    def _occupy_vacated_cells(
        self, pool: WorkerPool, awaiting_job: PlannedJob, departed_job_id: JobId
    ) -> None:
        assert awaiting_job.placement is not None
        awaiting_job.blocking_jobs.discard(departed_job_id)
        for cell in awaiting_job.placement.cells:
            pool.occupy_vacated(cell, awaiting_job.job.job_id)
        if not awaiting_job.blocking_jobs:
            del self.awaiting_cells[awaiting_job.job.job_id]
            self._pending_decisions.append(
                StartDecision(awaiting_job, awaiting_job.placement)
            )
