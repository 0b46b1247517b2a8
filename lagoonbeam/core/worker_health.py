"""Quarantine of workers on which tasks fail.

A worker on which several different jobs fail in a row while other workers
succeed is quarantined. After the quarantine it counts as probing: one more
failure quarantines it again, for twice as long. Failures on such a worker do
not count against the jobs.
"""

from __future__ import annotations

import collections
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonbeam.types import JobId, WorkerName

FAILURE_THRESHOLD = 3
"""Different jobs failed in a row after which a worker is quarantined."""
OUTCOME_WINDOW = 50
"""Latest task outcomes of all workers that are compared."""
INITIAL_QUARANTINE_S = 5.0
"""Duration of a first quarantine; doubles up to `MAX_QUARANTINE_S`."""
MAX_QUARANTINE_S = 300.0


@dataclass
class _WorkerHealth:
    """Failure history of one worker.

    Attributes:
        pause_s: Duration of the next quarantine.
        failed_jobs: Different jobs that failed since the last success.
        until_s: End of the current quarantine; 0 for none.
        probing: Whether no task succeeded since the last quarantine ended.
    """

    pause_s: float
    failed_jobs: set[JobId] = field(default_factory=set)
    until_s: float = 0.0
    probing: bool = False


class WorkerHealthTracker:
    """Decides from task outcomes which workers are quarantined.

    Args:
        now: Source of the time in seconds.
        failure_threshold: Different jobs failed in a row after which a worker
            is quarantined.
        initial_quarantine_s: Duration of a first quarantine; doubles up to
            `max_quarantine_s`.
        max_quarantine_s: Upper bound on a quarantine.
    """

    def __init__(
        self,
        now: Callable[[], float],
        *,
        failure_threshold: int = FAILURE_THRESHOLD,
        initial_quarantine_s: float = INITIAL_QUARANTINE_S,
        max_quarantine_s: float = MAX_QUARANTINE_S,
    ):
        self._now = now
        self._failure_threshold = failure_threshold
        self._initial_quarantine_s = initial_quarantine_s
        self._max_quarantine_s = max_quarantine_s
        self._workers: dict[WorkerName, _WorkerHealth] = (
            collections.defaultdict(
                lambda: _WorkerHealth(pause_s=initial_quarantine_s)
            )
        )
        self._recent_outcomes: collections.deque[tuple[WorkerName, bool]] = (
            collections.deque(maxlen=OUTCOME_WINDOW)
        )

    def record_outcome(
        self, worker: WorkerName, job_id: JobId, *, ok: bool
    ) -> None:
        """Records whether a task of a job succeeded on a worker."""
        self._recent_outcomes.append((worker, ok))
        health = self._workers[worker]
        if ok:
            health.failed_jobs.clear()
            health.pause_s = self._initial_quarantine_s
            health.probing = False
            return
        health.failed_jobs.add(job_id)
        if health.probing or self._is_suspect(worker, health):
            health.until_s = self._now() + health.pause_s
            health.pause_s = min(2 * health.pause_s, self._max_quarantine_s)
            health.probing = False

    def is_quarantined(self, worker: WorkerName) -> bool:
        """Returns whether a worker may get no new work now.

        The first call after a quarantine has ended marks the worker as
        probing.
        """
        health = self._workers.get(worker)
        if health is None or not health.until_s:
            return False
        if self._now() < health.until_s:
            return True
        health.until_s = 0.0
        health.probing = True
        return False

    def is_at_fault(self, worker: WorkerName) -> bool:
        """Returns whether failures count against the worker, not the job."""
        health = self._workers.get(worker)
        return health is not None and (health.until_s > 0 or health.probing)

    def _is_suspect(self, worker: WorkerName, health: _WorkerHealth) -> bool:
        if len(health.failed_jobs) < self._failure_threshold:
            return False
        other_outcomes = [
            ok for name, ok in self._recent_outcomes if name != worker
        ]
        return len(other_outcomes) >= self._failure_threshold and sum(
            other_outcomes
        ) * 2 > len(other_outcomes)
