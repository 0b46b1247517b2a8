"""Giving jobs their outcomes, and telling who asks."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.fault_points import FaultPoints
from lagoonbeam.core.jobs import Job, JobOutcome, JobPhase, JobStatus
from lagoonbeam.core.records import AnyRecord, JobAccepted, JobFinished
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.types import JobId


class Outcomes:
    """Writes outcomes to the log, and tells them where that fails.

    Args:
        journal: The log client.
        events: Where events go.
        metrics: Where metrics go.
        faults: Steps at which a test ends the process.
        announce: Tells the peers and the local entry a job's status.
        append_timeout_s: Longest wait for the log to take an outcome.

    Attributes:
        provisional: Jobs of this zone that the log does not have yet.
    """

    def __init__(
        self,
        *,
        journal: Journal,
        events: EventLog,
        metrics: StatsdMetrics,
        faults: FaultPoints,
        announce: Callable[[JobStatus], None],
        append_timeout_s: float,
    ):
        self.provisional: dict[JobId, Job] = {}
        self._journal = journal
        self._events = events
        self._metrics = metrics
        self._faults = faults
        self._announce = announce
        self._append_timeout_s = append_timeout_s
        self._told: dict[JobId, JobFinished] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Allows outcomes to be written."""
        self._tasks = tasks

    def finish(
        self,
        job: Job,
        outcome: JobOutcome,
        detail: str,
        results: tuple[str, ...] = (),
    ) -> None:
        """Gives a job its outcome."""
        record = JobFinished(
            job_id=job.job_id,
            outcome=outcome.value,
            detail=detail,
            results=results,
            finished_at_s=time.time(),
        )
        self._told[job.job_id] = record
        self._events.emit(
            "job.finished",
            job=job.job_id,
            organisation=job.organisation,
            cause=outcome.value,
        )
        self._metrics.count(f"job.{outcome.value}")
        self._faults.reach("finish.before_append")
        assert self._tasks is not None
        self._tasks.start_soon(self._publish, job, record)

    def is_in_log(self, job_id: JobId) -> bool:
        """Whether the log has a job's outcome."""
        entry = self._journal.state.jobs.get(job_id)
        return entry is not None and entry.finished is not None

    def is_finished(self, job_id: JobId) -> bool:
        """Whether a job has an outcome, in the log yet or not."""
        return job_id in self._told or self.is_in_log(job_id)

    def settle(self, job_id: JobId) -> None:
        """Forgets an outcome that the log has now."""
        self._told.pop(job_id, None)

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns the status of a job whose outcome the log lacks."""
        told = self._told.get(job_id)
        if told is None:
            return None
        status = self._journal.state.describe_job(job_id)
        if status is None and job_id in self.provisional:
            status = describe_job(self.provisional[job_id], JobPhase.QUEUED)
        return _apply_outcome(status, told) if status else None

    async def _publish(self, job: Job, record: JobFinished) -> None:
        """Writes an outcome; tells it once it is there, or cannot be."""
        records: list[AnyRecord] = [record]
        if job.job_id not in self._journal.state.jobs:
            records.insert(0, JobAccepted(job=job))
        try:
            await self._journal.append(
                *records, timeout_s=self._append_timeout_s
            )
        except LogAppendUnconfirmedError:
            pass
        except LogUnavailableError:
            self._journal.append_later(*records)
        self._faults.reach("finish.after_append")
        status = None
        if self.is_in_log(job.job_id):
            status = self._journal.state.describe_job(job.job_id)
        told = _apply_outcome(describe_job(job, JobPhase.QUEUED), record)
        self._announce(status or told)


def describe_job(job: Job, phase: JobPhase) -> JobStatus:
    """Returns the status of an unfinished job."""
    return JobStatus(
        job_id=job.job_id,
        organisation=job.organisation,
        phase=phase.value,
        availability_zone=job.availability_zone,
        accepted_at_s=job.accepted_at_s,
    )


def _apply_outcome(status: JobStatus, record: JobFinished) -> JobStatus:
    return replace(
        status,
        phase=JobPhase.FINISHED.value,
        outcome=record.outcome,
        detail=record.detail,
        results=list(record.results),
    )
