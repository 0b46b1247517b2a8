"""Which jobs have cells, and who waits for whom to leave them."""

from __future__ import annotations

import collections
from collections.abc import Mapping
from dataclasses import dataclass

from lagoonbeam.core.claims import release_claims
from lagoonbeam.core.planned import Placement, PlannedJob, Standing
from lagoonbeam.core.pool import Pool
from lagoonbeam.core.urgency import UrgentShare
from lagoonbeam.types import JobId


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


class Occupancy:
    """Gives cells to jobs, takes them back, and notes what is to be done.

    Attributes:
        promised: Placed jobs that wait for others to leave.

    Args:
        jobs: All jobs of the zone.
        urgent: The share of urgent work outside guarantees.
    """

    def __init__(self, jobs: Mapping[JobId, PlannedJob], urgent: UrgentShare):
        self.promised: dict[JobId, None] = {}
        self._jobs = jobs
        self._urgent = urgent
        self._ready: list[Decision] = []
        self._victims: dict[JobId, set[JobId]] = collections.defaultdict(set)

    def take_decisions(self) -> list[Decision]:
        """Returns what is to be started and stopped, each once."""
        decisions, self._ready = self._ready, []
        return decisions

    def list_promised(self) -> list[PlannedJob]:
        """Returns the placed jobs that wait for others to leave."""
        return [self._jobs[job_id] for job_id in self.promised]

    def list_not_started(self) -> list[PlannedJob]:
        """Returns the placed jobs whose start was not handed out yet."""
        ready = [
            each.planned for each in self._ready if isinstance(each, Start)
        ]
        return [*self.list_promised(), *ready]

    def commit(
        self, pool: Pool, planned: PlannedJob, placement: Placement
    ) -> list[PlannedJob]:
        """Gives a job its cells; who has them now is told to stop.

        Returns:
            The jobs that waited for these cells and lost them.
        """
        job_id = planned.job.job_id
        displaced = self._displace(pool, placement)
        planned.placement = placement
        for cell in placement.cells:
            planned.waits_for |= pool.promise(cell, job_id)
        self._urgent.count(planned, 1)
        for victim_id in planned.waits_for:
            self._victims[victim_id].add(job_id)
            self.stop(self._jobs[victim_id], "reclaim")
        if planned.waits_for:
            self.promised[job_id] = None
        else:
            self._ready.append(Start(planned, placement))
        return displaced

    def leave(self, pool: Pool, planned: PlannedJob) -> None:
        """Frees the cells of a job and starts who waited for them."""
        placement = planned.placement
        assert placement is not None
        job_id = planned.job.job_id
        for cell in placement.cells:
            pool.vacate(cell, job_id)
        release_claims(pool, planned.job.organisation, placement)
        self._urgent.count(planned, -1)
        planned.placement = None
        for waiter_id in self._victims.pop(job_id, ()):
            waiter = self._jobs.get(waiter_id)
            if waiter is not None and waiter.placement is not None:
                self._move_in(pool, waiter, job_id)

    def abandon(self, pool: Pool, planned: PlannedJob) -> None:
        """Gives up a placement that still waits for others to leave."""
        placement = planned.placement
        assert placement is not None
        job_id = planned.job.job_id
        for victim in planned.waits_for:
            self._victims[victim].discard(job_id)
        for cell in placement.cells:
            pool.withdraw(cell, job_id)
        release_claims(pool, planned.job.organisation, placement)
        self._urgent.count(planned, -1)
        planned.placement = None
        planned.waits_for.clear()
        self.promised.pop(job_id, None)
        self._ready = [
            each
            for each in self._ready
            if not (isinstance(each, Start) and each.planned is planned)
        ]

    def stop(self, victim: PlannedJob, cause: str) -> None:
        """Tells a running job to stop, once."""
        if victim.stopping:
            return
        victim.stopping = True
        self._ready.append(Stop(victim, cause))

    def would_loop(self, pool: Pool, placement: Placement) -> bool:
        """Whether lent work would displace jobs that wait for cells.

        Only work with a claim may, and claims never overlap, so no two jobs
        can displace each other in turn.
        """
        if placement.standing is not Standing.LENT:
            return False
        return bool(self._list_waiting(pool, placement))

    def _displace(self, pool: Pool, placement: Placement) -> list[PlannedJob]:
        displaced = [
            self._jobs[job_id] for job_id in self._list_waiting(pool, placement)
        ]
        for planned in displaced:
            self.abandon(pool, planned)
        return displaced

    def _list_waiting(self, pool: Pool, placement: Placement) -> set[JobId]:
        """Returns the jobs that wait for any of these cells."""
        waiting: set[JobId] = set()
        for cell in placement.cells:
            waiting |= pool.list_promised(cell)
            waiting |= pool.list_occupants(cell) & self.promised.keys()
        return waiting

    def _move_in(self, pool: Pool, waiter: PlannedJob, left: JobId) -> None:
        assert waiter.placement is not None
        waiter.waits_for.discard(left)
        for cell in waiter.placement.cells:
            pool.move_in(cell, waiter.job.job_id)
        if not waiter.waits_for:
            del self.promised[waiter.job.job_id]
            self._ready.append(Start(waiter, waiter.placement))
