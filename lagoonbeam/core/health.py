"""Which workers fail what they start.

A worker that fails several jobs in a row while the others do well is
quarantined, and probed with single jobs after a growing pause. Jobs that
failed on it are not blamed.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonbeam.types import JobId, WorkerName

STREAK = 3
"""Different jobs failed in a row that make a worker suspect."""
WINDOW = 50
"""Latest outcomes that are compared."""
FIRST_PAUSE_S = 5.0
"""First quarantine; doubles up to `MAX_PAUSE_S`."""
MAX_PAUSE_S = 300.0


@dataclass
class _Record:
    """One worker's recent failures."""

    pause_s: float
    failed_jobs: set[JobId] = field(default_factory=set)
    until_s: float = 0.0
    probing: bool = False


class HealthTracker:
    """Judges workers by outcomes.

    Args:
        now: Source of the time in seconds.
        streak: Different jobs failed in a row that make a worker suspect.
        first_pause_s: First quarantine; doubles up to `max_pause_s`.
        max_pause_s: Longest quarantine.
    """

    def __init__(
        self,
        now: Callable[[], float],
        *,
        streak: int = STREAK,
        first_pause_s: float = FIRST_PAUSE_S,
        max_pause_s: float = MAX_PAUSE_S,
    ):
        self._now = now
        self._streak = streak
        self._first_pause_s = first_pause_s
        self._max_pause_s = max_pause_s
        self._records: dict[WorkerName, _Record] = collections.defaultdict(
            lambda: _Record(pause_s=first_pause_s)
        )
        self._latest: collections.deque[tuple[WorkerName, bool]] = (
            collections.deque(maxlen=WINDOW)
        )

    def observe(self, worker: WorkerName, job_id: JobId, *, ok: bool) -> None:
        """Takes note of how a task of a job ended on a worker."""
        self._latest.append((worker, ok))
        record = self._records[worker]
        if ok:
            record.failed_jobs.clear()
            record.pause_s = self._first_pause_s
            record.probing = False
            return
        record.failed_jobs.add(job_id)
        if record.probing or self._is_suspect(worker, record):
            record.until_s = self._now() + record.pause_s
            record.pause_s = min(2 * record.pause_s, self._max_pause_s)
            record.probing = False

    def is_quarantined(self, worker: WorkerName) -> bool:
        """Returns whether a worker may get no new work now."""
        record = self._records.get(worker)
        if record is None or not record.until_s:
            return False
        if self._now() < record.until_s:
            return True
        record.until_s = 0.0
        record.probing = True
        return False

    def is_blamed(self, worker: WorkerName) -> bool:
        """Returns whether failures on a worker are the worker's own."""
        record = self._records.get(worker)
        return record is not None and (record.until_s > 0 or record.probing)

    def _is_suspect(self, worker: WorkerName, record: _Record) -> bool:
        if len(record.failed_jobs) < self._streak:
            return False
        others = [ok for name, ok in self._latest if name != worker]
        return len(others) >= self._streak and sum(others) * 2 > len(others)
