"""Recording of job outcomes in the log and their announcement."""

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
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.types import JobId


class OutcomeWriter:
    """Writes outcomes to the log and announces them.

    An outcome is announced once it is in the log. If the append is not
    confirmed within its timeout, the outcome is announced without it and the
    append continues in the background.

    Args:
        log_client: The log client.
        events: Event log.
        metrics: Receives a count of each outcome.
        faults: Points at which a test can end the process.
        announce: Sends a job's status to the peers and to local waiters.
        append_timeout_s: Timeout of the append of an outcome.

    Attributes:
        provisional: Jobs of this zone that are not in the log yet.
    """

    def __init__(
        self,
        *,
        log_client: LogClient,
        events: EventLog,
        metrics: StatsdMetrics,
        faults: FaultPoints,
        announce: Callable[[JobStatus], None],
        append_timeout_s: float,
    ):
        self.provisional: dict[JobId, Job] = {}
        self._log_client = log_client
        self._events = events
        self._metrics = metrics
        self._faults = faults
        self._announce = announce
        self._append_timeout_s = append_timeout_s
        self._unlogged_outcomes: dict[JobId, JobFinished] = {}
        self._tasks: anyio.abc.TaskGroup | None = None

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets the task group in which outcomes are written."""
        self._tasks = tasks

    def record_outcome(
        self,
        job: Job,
        outcome: JobOutcome,
        detail: str,
        results: tuple[str, ...] = (),
    ) -> None:
        """Records an outcome; writes and announces it in the background."""
        record = JobFinished(
            job_id=job.job_id,
            outcome=outcome.value,
            detail=detail,
            results=results,
            finished_at_s=time.time(),
        )
        self._unlogged_outcomes[job.job_id] = record
        self._events.emit(
            "job.finished",
            job=job.job_id,
            organisation=job.organisation,
            cause=outcome.value,
        )
        self._metrics.count(f"job.{outcome.value}")
        self._faults.reach("finish.before_append")
        assert self._tasks is not None
        self._tasks.start_soon(self._append_and_announce, job, record)

    def is_outcome_in_log(self, job_id: JobId) -> bool:
        """Whether a job's outcome is in the log."""
        entry = self._log_client.state.jobs.get(job_id)
        return entry is not None and entry.finished is not None

    def is_finished(self, job_id: JobId) -> bool:
        """Whether a job has an outcome, in the log or not yet."""
        return job_id in self._unlogged_outcomes or self.is_outcome_in_log(
            job_id
        )

    def discard_logged_outcome(self, job_id: JobId) -> None:
        """Removes the local copy of an outcome that is in the log."""
        self._unlogged_outcomes.pop(job_id, None)

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns the status of a job whose outcome is not in the log yet."""
        unlogged_outcome = self._unlogged_outcomes.get(job_id)
        if unlogged_outcome is None:
            return None
        status = self._log_client.state.describe_job(job_id)
        if status is None and job_id in self.provisional:
            status = describe_job(self.provisional[job_id], JobPhase.QUEUED)
        return _apply_outcome(status, unlogged_outcome) if status else None

    async def _append_and_announce(self, job: Job, record: JobFinished) -> None:
        """Appends an outcome to the log, then announces the job's status.

        The acceptance of a job that is not in the log is appended with it. An
        uncertain append is not repeated here: the log client retries it.
        """
        records: list[AnyRecord] = [record]
        if job.job_id not in self._log_client.state.jobs:
            records.insert(0, JobAccepted(job=job))
        try:
            await self._log_client.append(
                *records, timeout_s=self._append_timeout_s
            )
        except LogAppendUnconfirmedError:
            pass
        except LogUnavailableError:
            self._log_client.append_in_background(*records)
        self._faults.reach("finish.after_append")
        status = None
        if self.is_outcome_in_log(job.job_id):
            status = self._log_client.state.describe_job(job.job_id)
        local_status = _apply_outcome(
            describe_job(job, JobPhase.QUEUED), record
        )
        self._announce(status or local_status)


def describe_job(job: Job, phase: JobPhase) -> JobStatus:
    """Returns the status of a job without an outcome."""
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
