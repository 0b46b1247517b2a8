"""The baseline: in the order of arrival, with backfill.

The oldest job that does not fit gets a reservation, and younger ones go
before it where they do not delay it.
"""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.planned_job import ShapeKey
from lagoonbeam.ordering.base import ORDERINGS, Candidate, Route
from lagoonbeam.ordering.first_come import FirstComeOrdering

_DEPTH = 500
"""Queued jobs that one pass looks at."""


@ORDERINGS.register("backfill")
class BackfillOrdering(FirstComeOrdering):
    """Offers jobs in the order of arrival, whether older ones fit or not."""

    reserves = True

    def __init__(self) -> None:
        super().__init__()
        self._skipped: set[ShapeKey] = set()

    def iterate(self) -> Iterator[Candidate]:
        """Yields the oldest jobs of shapes that were not skipped."""
        self._skipped.clear()
        for planned in list(self._queue.values())[:_DEPTH]:
            if planned.key not in self._skipped:
                yield Candidate(planned, Route.FREE)

    def skip(self, candidate: Candidate) -> None:
        """Passes over its shape until the next pass."""
        self._skipped.add(candidate.planned.key)
