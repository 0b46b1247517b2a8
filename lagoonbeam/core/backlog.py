"""The queued jobs of a zone: their sum, their deadlines, their wait."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from lagoonbeam.core.estimates import RunTimeEstimator
from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.types import JobId

LAUNCH_MARGIN_S = 0.25
"""Time that a launch may take; a job is placed so much before its deadline."""


class Backlog:
    """Keeps which jobs are queued; their order is an ordering policy's.

    Attributes:
        waiting: The queued jobs, oldest first.
        queued_slots: Slots they ask for.
        queued_slot_s: Slots times estimated run time.

    Args:
        estimator: Corrects the run times that callers state.
        now: Source of the time in seconds.
    """

    def __init__(self, estimator: RunTimeEstimator, now: Callable[[], float]):
        self.waiting: dict[JobId, PlannedJob] = {}
        self.queued_slots = 0
        self.queued_slot_s = 0.0
        self._estimator = estimator
        self._now = now
        self._deadlines: list[tuple[float, JobId]] = []

    def add(self, planned: PlannedJob) -> None:
        """Queues a job."""
        planned.estimated_run_s = self._estimator.estimate(planned.job)
        self.waiting[planned.job.job_id] = planned
        self._count(planned, 1)

    def remove(self, planned: PlannedJob) -> None:
        """Takes a job out."""
        del self.waiting[planned.job.job_id]
        self._count(planned, -1)

    def watch_deadline(self, planned: PlannedJob) -> None:
        """Notes until when a job must have started, if it says so."""
        job = planned.job
        if job.start_within_s:
            due_s = planned.queued_at_s + job.start_within_s - LAUNCH_MARGIN_S
            heapq.heappush(self._deadlines, (due_s, job.job_id))

    def take_late(self) -> list[PlannedJob]:
        """Returns the queued jobs that did not start in time, each once."""
        late: dict[JobId, PlannedJob] = {}
        while self._deadlines and self._deadlines[0][0] < self._now():
            _, job_id = heapq.heappop(self._deadlines)
            planned = self.waiting.get(job_id)
            if planned is not None and not planned.started_at_s:
                late[job_id] = planned
        return list(late.values())

    def _count(self, planned: PlannedJob, sign: int) -> None:
        shape = planned.job.shape
        slots = shape.members * max(1, shape.accelerators)
        self.queued_slots += sign * slots
        self.queued_slot_s += sign * slots * planned.estimated_run_s
