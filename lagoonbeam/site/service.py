"""What callers ask of an instance: submit, cancel, state, pending."""

from __future__ import annotations

import time
from collections.abc import Iterator

from lagoonbeam.errors import (
    DrainingError,
    LagoonbeamError,
    NotReadyError,
    UnauthorizedError,
    UnavailableError,
    UnknownJobError,
    UnknownQueueError,
)
from lagoonbeam.site.appender import JournalAppender
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.entries import JobEntry
from lagoonbeam.site.events import Event
from lagoonbeam.site.journal import JournalFollower
from lagoonbeam.site.model import (
    Configuration,
    JobRequest,
    JobState,
    Organisation,
    QueueRoute,
)
from lagoonbeam.site.records import JobAccepted, JobCancelled
from lagoonbeam.types import OrganisationName

FRESH_S = 2.5
"""Age up to which the copy of the state answers callers; accepted jobs must
be visible everywhere after three seconds."""
RETRY_AFTER_S = 1.0
"""Seconds after which a refused caller is asked to come back."""
CATCH_UP_S = 1.0
"""Seconds to read what is new before a job is said not to exist."""
STUCK_S = 1.0
"""Seconds without the store after which new work is refused at once."""


class JobService:
    """Answers callers from the instance's copy of the state.

    Args:
        follower: The copy.
        appender: Appends acceptances and cancellations.
        decisions: The decision log.
    """

    def __init__(
        self,
        follower: JournalFollower,
        appender: JournalAppender,
        decisions: DecisionLog,
    ):
        self.configuration = Configuration()
        self.is_draining = False
        self._follower = follower
        self._appender = appender
        self._decisions = decisions

    @property
    def is_ready(self) -> bool:
        """Whether new callers should be sent here."""
        try:
            self.check_ready()
        except UnavailableError:
            return False
        return True

    def check_ready(self) -> None:
        """Checks that new callers should be sent here.

        Raises:
            DrainingError: If the instance is about to leave.
            NotReadyError: If it lacks a configuration or a fresh state.
        """
        if self.is_draining:
            raise DrainingError("the instance is leaving")
        if not self.configuration.version:
            raise NotReadyError("no configuration yet")
        self._check_fresh()

    def find_route(
        self, host: str, path: str, key: str
    ) -> tuple[QueueRoute, Organisation | None]:
        """Returns the queue that a call is for, and who calls.

        Raises:
            NotReadyError: If there is no configuration yet.
            UnknownQueueError: If no queue fits.
            UnauthorizedError: If the key is not known.
        """
        if not self.configuration.version:
            raise NotReadyError(
                "no configuration yet", retry_after_s=RETRY_AFTER_S
            )
        route = self.configuration.find_route(host, path)
        if route is None:
            raise UnknownQueueError(f"no queue at {host}{path}")
        organisation = self.configuration.find_organisation(key)
        if organisation is None and not route.is_public:
            raise UnauthorizedError("the key is not known")
        return route, organisation

    async def submit(self, request: JobRequest, *, timeout_s: float) -> None:
        """Stores a job, unless it is stored already.

        Raises:
            LogUnavailableError: If it was not stored and never will be.
            LogUncertainError: If it may have been stored.
        """
        if request.job_id in self._follower.state.jobs:
            self._decisions.emit(Event.JOB_REPEATED, job=request.job_id)
            return
        self._check_store()
        started_s = time.monotonic()
        await self._appender.append([JobAccepted(request)], timeout_s=timeout_s)
        taken_s = time.monotonic() - started_s
        self._decisions.metrics.acceptance_latency_s.observe(taken_s)
        self._decisions.emit(
            Event.JOB_ACCEPTED,
            job=request.job_id,
            queue=request.queue.name,
            organisation=request.organisation,
            priority=request.queue.priority,
            shapes=[
                f"{s.count}x{s.accelerators}{' gang' if s.is_gang else ''}"
                for s in request.steps
            ],
            repeats=request.repeat_count,
            version=self.configuration.version,
            taken_s=round(taken_s, 3),
        )

    async def cancel(self, job_id: str, *, timeout_s: float) -> None:
        """Cancels a job.

        Raises:
            UnknownJobError: If there is no such job.
            LogUnavailableError: If it was not cancelled.
            LogUncertainError: If it may have been cancelled.
        """
        await self.get_job(job_id)
        self._check_store()
        await self._appender.append([JobCancelled(job_id)], timeout_s=timeout_s)
        self._decisions.emit(Event.JOB_CANCELLED, job=job_id)

    async def get_state(self, job_id: str) -> JobState:
        """Returns where a job stands.

        Raises:
            UnknownJobError: If there is no such job.
            NotReadyError: If the copy is too old to say.
        """
        return (await self.get_job(job_id)).state

    async def get_job(self, job_id: str) -> JobEntry:
        """Returns a job.

        Raises:
            UnknownJobError: If there is no such job.
            NotReadyError: If the copy is too old to say.
        """
        if job_id not in self._follower.state.jobs:
            await self._follower.catch_up(CATCH_UP_S)
        job = self._follower.state.jobs.get(job_id)
        if job is not None and not job.is_open:
            return job
        self._check_fresh()
        if job is None:
            raise UnknownJobError(f"no job {job_id}")
        return job

    def list_jobs(self, organisation: OrganisationName) -> Iterator[JobEntry]:
        """Yields the known jobs of an organisation, latest first."""
        return (
            job
            for job in reversed(self._follower.state.jobs.values())
            if job.request.organisation == organisation
        )

    def note_refusal(
        self,
        method: str,
        target: str,
        *,
        status: int,
        error: LagoonbeamError,
        job_id: str = "",
    ) -> None:
        """Writes why a call was not served.

        Args:
            method: HTTP method.
            target: Path and query.
            status: What the caller is told.
            error: Why.
            job_id: The job concerned, if known.
        """
        self._decisions.metrics.refusals.labels(error.code).inc()
        self._decisions.emit(
            Event.REQUEST_REFUSED,
            method=method,
            target=target,
            job=job_id,
            status=status,
            reason=error.code,
            cause=str(error),
            version=self.configuration.version,
        )

    def note_fault(self, target: str, error: Exception) -> None:
        """Writes that a call met a fault of the program."""
        self._decisions.emit(
            Event.REQUEST_BROKEN, target=target, cause=repr(error)
        )

    async def catch_up(self) -> None:
        """Brings the copy up to what is stored now, if the store answers."""
        await self._follower.catch_up(CATCH_UP_S)

    async def wait_change(self) -> None:
        """Waits until the copy may have changed."""
        await self._follower.wait_change()

    def count_pending(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue have not started."""
        self._check_fresh()
        return self._follower.state.count_pending(queue)

    def _check_fresh(self) -> None:
        if self._follower.age_s > FRESH_S:
            raise NotReadyError(
                f"the state is {self._follower.age_s:.1f} s old",
                retry_after_s=RETRY_AFTER_S,
            )

    def _check_store(self) -> None:
        self._appender.check(STUCK_S)
