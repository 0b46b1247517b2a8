"""The baseline: in the order of arrival, with backfill.

The oldest job that does not fit gets a reservation, and younger ones go
before it where they do not delay it.
"""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.planned import ShapeKey
from lagoonbeam.ordering.base import ORDERING_POLICIES, CellSource, JobCandidate
from lagoonbeam.ordering.first_come import FirstComeOrdering

_MAX_JOBS_PER_PASS = 500
"""Queued jobs that one pass looks at."""


@ORDERING_POLICIES.register("backfill")
class BackfillOrdering(FirstComeOrdering):
    """Offers jobs in the order of arrival, whether older ones fit or not."""

    uses_reservations = True

    def __init__(self) -> None:
        super().__init__()
        self._blocked_shapes: set[ShapeKey] = set()

    def iterate_candidates(self) -> Iterator[JobCandidate]:
        """Yields the oldest jobs of shapes that were not skipped."""
        self._blocked_shapes.clear()
        for planned in list(self._queue.values())[:_MAX_JOBS_PER_PASS]:
            if planned.key not in self._blocked_shapes:
                yield JobCandidate(planned, CellSource.FREE)

    def mark_blocked(self, candidate: JobCandidate) -> None:
        """Passes over its shape until the next pass."""
        self._blocked_shapes.add(candidate.planned.key)
