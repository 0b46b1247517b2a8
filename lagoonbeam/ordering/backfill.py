"""First come, first served with backfill; a baseline for comparison.

The oldest job that does not fit gets a reservation. Younger jobs may start
before it as long as they do not delay its start.
"""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.planned_job import ShapeKey
from lagoonbeam.ordering.base import ORDERING_POLICIES, CellSource, JobCandidate
from lagoonbeam.ordering.first_come import FirstComeOrdering

_MAX_JOBS_PER_PASS = 500
"""Queued jobs that a scheduling pass considers at most."""


@ORDERING_POLICIES.register("backfill")
class BackfillOrdering(FirstComeOrdering):
    """Offers jobs by arrival, also those behind a job that does not fit."""

    uses_reservations = True

    def __init__(self) -> None:
        super().__init__()
        self._blocked_shapes: set[ShapeKey] = set()

    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields the oldest jobs whose shapes are not blocked."""
        self._blocked_shapes.clear()
        for planned in list(self._queue.values())[:_MAX_JOBS_PER_PASS]:
            if planned.key not in self._blocked_shapes:
                yield JobCandidate(planned, CellSource.FREE)

    def mark_blocked(self, candidate: JobCandidate) -> None:
        """Excludes the job's shape for the rest of the pass."""
        self._blocked_shapes.add(candidate.planned.key)
