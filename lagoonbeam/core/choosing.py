"""Where a job may go: its guarantee, free cells, or cells with lent work."""

from __future__ import annotations

import heapq
from collections.abc import Callable, Iterator, Mapping

from lagoonbeam.core.planned import Placement, PlannedJob
from lagoonbeam.core.pool import Pool
from lagoonbeam.core.reservation import Reservations
from lagoonbeam.core.urgency import UrgentShare
from lagoonbeam.core.victims import find_own_victim, place_over_lent
from lagoonbeam.placement import GuaranteeReach, PlacementPolicy
from lagoonbeam.preemption import PreemptionPolicy
from lagoonbeam.types import JobId, OrganisationName

GUARD_AFTER_S = 60.0
"""Wait after which a job keeps its organisation's guarantee for itself."""
RECLAIM_AFTER_S = {"urgent": 0.0, "normal": 30.0, "batch": 120.0}
"""Wait for free cells, by urgency, before lent work is stopped for a job's
guarantee; slots often become free sooner than what a stopped gang loses."""


class PlaceChooser:
    """Chooses cells for queued jobs; the planner takes them.

    Args:
        jobs: All jobs of the zone.
        waiting: Those that are queued.
        promised: Those placed that wait for others to leave.
        reservations: The reservation of the oldest starving gang.
        urgent: The share of urgent work outside guarantees.
        now: Source of the time in seconds.
        stop: Stops a running job, with a cause.
        placement: Chooses cells.
        preemption: Weighs work that would have to leave.
    """

    def __init__(
        self,
        *,
        jobs: Mapping[JobId, PlannedJob],
        waiting: Mapping[JobId, PlannedJob],
        promised: Mapping[JobId, None],
        reservations: Reservations,
        urgent: UrgentShare,
        now: Callable[[], float],
        stop: Callable[[PlannedJob, str], None],
        placement: PlacementPolicy,
        preemption: PreemptionPolicy,
    ):
        self.placement = placement
        self.preemption = preemption
        self._jobs = jobs
        self._waiting = waiting
        self._promised = promised
        self._reservations = reservations
        self._urgent = urgent
        self._now = now
        self._stop = stop
        self._nudged: dict[JobId, JobId] = {}
        self._guards: dict[OrganisationName, JobId] = {}
        self._due: list[tuple[float, OrganisationName]] = []

    def forget(self, job_id: JobId) -> None:
        """Drops what was done for a job that is queued no more."""
        self._nudged.pop(job_id, None)

    def place_guaranteed(
        self, pool: Pool, planned: PlannedJob
    ) -> Placement | None:
        """Places work on its guarantee.

        Idle cells that are bound already go first. Work that may be stopped
        then takes free cells, which leaves whole workers unbound. Others are
        reclaimed last.
        """
        name = planned.job.organisation
        if not pool.book.has_promise(name):
            return None
        if self._is_guarded(planned):
            return None
        placement = self.reach(pool, planned, GuaranteeReach.BOUND)
        if placement is None and planned.job.stoppable:
            placement = self.placement.place_free(pool, planned, pool.free)
        elif placement is None:
            placement = self.reach(pool, planned, GuaranteeReach.IDLE)
        if placement is None and self._is_out_of_patience(planned):
            placement = self._choose_cheaper(
                pool,
                self.reach(pool, planned, GuaranteeReach.ANY),
                self._place_urgent(pool, planned),
            )
        if placement is None and planned.key.urgent:
            self._nudge(pool, planned)
        elif placement is None and self._is_starving(planned):
            self._guards.setdefault(name, planned.job.job_id)
        return placement

    def reach(
        self, pool: Pool, planned: PlannedJob, reach: GuaranteeReach
    ) -> Placement | None:
        """Returns cells in the organisation's own guarantee, or None."""
        return self.placement.place_guaranteed(
            pool, planned, self.preemption, reach=reach
        )

    def _choose_cheaper(
        self, pool: Pool, first: Placement | None, second: Placement | None
    ) -> Placement | None:
        """Returns the placement whose victims lose the least."""
        found = [each for each in (first, second) if each is not None]
        return min(
            found,
            key=lambda each: self.preemption.compute_cost(
                set().union(*map(pool.list_occupants, each.cells))
            ),
            default=None,
        )

    def _is_starving(self, planned: PlannedJob) -> bool:
        return self._now() - planned.queued_at_s > GUARD_AFTER_S

    def _is_guarded(self, planned: PlannedJob) -> bool:
        """Whether a starving job of the organisation keeps its guarantee.

        Without this, small work that comes all the time would never leave
        room for a large job on the same guarantee.
        """
        name = planned.job.organisation
        guard = self._guards.get(name)
        if guard is not None and guard not in self._waiting:
            del self._guards[name]
            guard = None
        return (
            guard not in (None, planned.job.job_id) and not planned.key.urgent
        )

    def _is_out_of_patience(self, planned: PlannedJob) -> bool:
        """Whether a job has waited long enough to reclaim its guarantee."""
        patience_s = RECLAIM_AFTER_S[planned.job.urgency or "normal"]
        due_s = planned.queued_at_s + patience_s
        if self._now() >= due_s:
            return True
        heapq.heappush(self._due, (due_s, planned.job.organisation))
        return False

    def take_due(self) -> Iterator[OrganisationName]:
        """Yields who has a job that now has waited long enough."""
        while self._due and self._due[0][0] <= self._now():
            yield heapq.heappop(self._due)[1]

    def _nudge(self, pool: Pool, planned: PlannedJob) -> None:
        """Stops less urgent work on the same organisation's guarantee.

        The cells are not promised: the urgent job is the first that its
        organisation's guarantee is offered to once they are free.
        """
        if self._nudged.get(planned.job.job_id) in self._jobs:
            return
        running = self._iterate_running()
        victim = find_own_victim(pool, planned, running, self.preemption)
        if victim is not None:
            self._nudged[planned.job.job_id] = victim.job.job_id
            self._stop(victim, "own urgent work")

    def place_free(self, pool: Pool, planned: PlannedJob) -> Placement | None:
        """Places work outside guarantees, also beside a reservation."""
        reservation = self._reservations.current
        placement = self.placement.place_free(pool, planned, pool.free)
        if placement is None and reservation and reservation.pool is pool:
            end_s = self._now() + planned.estimated_run_s
            if end_s <= reservation.start_s:
                placement = self.placement.place_free(pool, planned, pool.held)
        return placement or self._place_urgent(pool, planned)

    def _place_urgent(
        self, pool: Pool, planned: PlannedJob
    ) -> Placement | None:
        """Places urgent work over lent work, within the share it may have."""
        if not planned.key.urgent or not self._urgent.has_room(planned):
            return None
        running = self._iterate_running()
        return place_over_lent(pool, planned, running, self.preemption)

    def _iterate_running(self) -> Iterator[PlannedJob]:
        """Yields the jobs that run and have not been told to stop."""
        return (
            planned
            for planned in self._jobs.values()
            if planned.started_at_s
            and planned.placement is not None
            and planned.job.job_id not in self._promised
            and not planned.stopping
        )
