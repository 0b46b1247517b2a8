"""The baseline: strictly in the order of arrival."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.ordering.base import (
    ORDERINGS,
    Candidate,
    OrderingPolicy,
    Route,
)
from lagoonbeam.types import JobId, OrganisationName


@ORDERINGS.register("first_come")
class FirstComeOrdering(OrderingPolicy):
    """Offers the oldest job; a job that does not fit stops the pass."""

    reserves = False

    def __init__(self) -> None:
        self._queue: dict[JobId, PlannedJob] = {}
        self._blocked = False

    def set_rules(
        self, rules: RulesDocument | None, promised: set[OrganisationName]
    ) -> None:
        """Ignores them."""

    def add(self, planned: PlannedJob) -> None:
        """Queues a job last."""
        self._queue[planned.job.job_id] = planned

    def discard(self, planned: PlannedJob) -> None:
        """Takes a job out of the queue."""
        self._queue.pop(planned.job.job_id, None)

    def iterate(self) -> Iterator[Candidate]:
        """Yields the oldest until one does not fit."""
        self._blocked = False
        while self._queue and not self._blocked:
            yield Candidate(next(iter(self._queue.values())), Route.FREE)

    def accept(self, candidate: Candidate) -> None:
        """Takes it out of the queue."""
        self.discard(candidate.planned)

    def skip(self, candidate: Candidate) -> None:
        """Stops the pass."""
        self._blocked = True
