"""Strictly first come, first served; a baseline for comparison."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.ordering.base import (
    ORDERING_POLICIES,
    CellSource,
    JobCandidate,
    OrderingPolicy,
)
from lagoonbeam.types import JobId, OrganisationName


@ORDERING_POLICIES.register("first_come")
class FirstComeOrdering(OrderingPolicy):
    """Offers the oldest job; one that does not fit ends the pass."""

    uses_reservations = False

    def __init__(self) -> None:
        self._queue: dict[JobId, PlannedJob] = {}
        self._is_blocked = False

    def set_rules(
        self,
        rules: RulesDocument | None,
        guaranteed_organisations: set[OrganisationName],
    ) -> None:
        """Ignores the rules."""

    def add(self, planned: PlannedJob) -> None:
        """Adds a job at the end of the queue."""
        self._queue[planned.job.job_id] = planned

    def remove(self, planned: PlannedJob) -> None:
        """Removes a job from the queue."""
        self._queue.pop(planned.job.job_id, None)

    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields the oldest job until one does not fit."""
        self._is_blocked = False
        while self._queue and not self._is_blocked:
            yield JobCandidate(
                next(iter(self._queue.values())), CellSource.FREE
            )

    def mark_placed(self, candidate: JobCandidate) -> None:
        """Removes a placed job from the queue."""
        self.remove(candidate.planned)

    def mark_blocked(self, candidate: JobCandidate) -> None:
        """Ends the pass."""
        self._is_blocked = True
