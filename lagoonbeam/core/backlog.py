"""The queued jobs of a zone, their total demand and their start deadlines."""

from __future__ import annotations

import heapq
from collections.abc import Callable

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.run_time_estimator import RunTimeEstimator
from lagoonbeam.types import JobId

LAUNCH_MARGIN_S = 0.25
"""Time allowed for a launch; a job must be placed this long before its
deadline."""


class Backlog:
    """Tracks the queued jobs; the ordering policy decides their order.

    Attributes:
        queued_jobs: The queued jobs by identifier, in insertion order.
        queued_slots: Total slots they request.
        queued_slot_s: Sum of slots times estimated run time.

    Args:
        estimator: Corrects the run times declared by callers.
        now: Returns the current time in seconds.
    """

    def __init__(self, estimator: RunTimeEstimator, now: Callable[[], float]):
        self.queued_jobs: dict[JobId, PlannedJob] = {}
        self.queued_slots = 0
        self.queued_slot_s = 0.0
        self._estimator = estimator
        self._now = now
        self._deadlines: list[tuple[float, JobId]] = []

    def add(self, planned: PlannedJob) -> None:
        """Adds a job and estimates its run time."""
        planned.estimated_run_s = self._estimator.estimate(planned.job)
        self.queued_jobs[planned.job.job_id] = planned
        self._update_totals(planned, 1)

    def remove(self, planned: PlannedJob) -> None:
        """Removes a queued job."""
        del self.queued_jobs[planned.job.job_id]
        self._update_totals(planned, -1)

    def add_start_deadline(self, planned: PlannedJob) -> None:
        """Registers the start deadline of a job, if it has one."""
        job = planned.job
        if job.start_within_s:
            deadline_s = (
                planned.queued_at_s + job.start_within_s - LAUNCH_MARGIN_S
            )
            heapq.heappush(self._deadlines, (deadline_s, job.job_id))

    def pop_overdue(self) -> list[PlannedJob]:
        """Returns the queued jobs past their start deadline, each once."""
        overdue: dict[JobId, PlannedJob] = {}
        while self._deadlines and self._deadlines[0][0] < self._now():
            _, job_id = heapq.heappop(self._deadlines)
            planned = self.queued_jobs.get(job_id)
            if planned is not None and not planned.started_at_s:
                overdue[job_id] = planned
        return list(overdue.values())

    def _update_totals(self, planned: PlannedJob, sign: int) -> None:
        shape = planned.job.shape
        slots = shape.members * max(1, shape.accelerators)
        self.queued_slots += sign * slots
        self.queued_slot_s += sign * slots * planned.estimated_run_s
