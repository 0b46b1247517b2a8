"""Operations on jobs that callers request of an instance."""

from __future__ import annotations

import time
from collections.abc import Iterator

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import (
    DrainingError,
    LagoonbeamError,
    NotReadyError,
    UnauthorizedError,
    UnavailableError,
    UnknownJobError,
    UnknownQueueError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.job_scope import JobIdInUseError, JobScope
from lagoonbeam.site.jobs import SiteJob
from lagoonbeam.site.journal_appender import JournalAppender
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import (
    Configuration,
    JobRequest,
    JobState,
    Organisation,
    QueueRoute,
)
from lagoonbeam.site.records import JobAccepted, JobCancelled
from lagoonbeam.types import OrganisationName

MAX_STATE_AGE_S = 2.5
"""Age up to which the state replica may be used to answer callers; accepted
jobs must be visible on all instances after 3 s."""
RETRY_AFTER_S = 1.0
"""Delay after which refused callers are asked to retry."""
IN_USE_RETRY_S = 60.0
"""Delay after which a caller whose identifier is in use is asked to retry."""
IDENTIFIER_CHECK_S = 0.3
"""Time to read the records before an acceptance, any of which may be another
caller's under the same identifier."""
REFRESH_TIMEOUT_S = 0.3
"""Time to read the newest records before the state of an open job is told; the
replica's own state is told after that."""
CATCH_UP_TIMEOUT_S = 1.0
"""Time to read the newest records before an unknown job is reported as such;
without them, it is not."""
STORE_SILENCE_LIMIT_S = 1.0
"""Time that an append may wait for the store before new work is refused
immediately."""


class JobService:
    """Accepts, cancels and looks up jobs.

    Reads are answered from the instance's replica of the state.

    Args:
        follower: Keeps the replica.
        appender: Appends acceptances and cancellations.
        decisions: The decision log.
        configuration_apply_s: Time after which a published configuration must
            be in force, in seconds.

    Attributes:
        configuration: The current configuration.
        configuration_synced_s: Time on the boot clock up to which all
            published versions have been read.
        is_draining: Whether the instance is shutting down.
    """

    def __init__(
        self,
        follower: JournalFollower,
        appender: JournalAppender,
        decisions: DecisionLog,
        *,
        configuration_apply_s: float = float("inf"),
    ):
        self._configuration_apply_s = configuration_apply_s
        self.configuration = Configuration()
        self.configuration_synced_s = float("-inf")
        self.is_draining = False
        self._follower = follower
        self._appender = appender
        self._decisions = decisions

    @property
    def configuration_age_s(self) -> float:
        """Seconds since the configuration was last known to be the newest."""
        return read_boot_time_s() - self.configuration_synced_s

    @property
    def is_ready(self) -> bool:
        """Whether this instance should receive new callers."""
        try:
            self.check_ready()
        except UnavailableError:
            return False
        return True

    def check_ready(self) -> None:
        """Checks that this instance should receive new callers.

        Raises:
            DrainingError: If the instance is shutting down.
            NotReadyError: If it has no configuration, or its configuration or
                its state is too old.
        """
        if self.is_draining:
            raise DrainingError("the instance is draining")
        if not self.configuration.version:
            raise NotReadyError("no configuration has been read yet")
        self.check_configuration_age()
        self._check_state_age()

    def find_route(
        self, host: str, path: str, api_key: str
    ) -> tuple[QueueRoute, Organisation | None]:
        """Returns the route of a request, and the caller's organisation.

        The organisation is None for a public route without a known key.

        Raises:
            NotReadyError: If no configuration has been read yet, or the
                route or key may be in a version that has not been read.
            UnknownQueueError: If no route matches.
            UnauthorizedError: If the API key is not known.
        """
        if not self.configuration.version:
            raise NotReadyError(
                "no configuration has been read yet",
                retry_after_s=RETRY_AFTER_S,
            )
        route = self.configuration.find_route(host, path)
        if route is None:
            self.check_configuration_age()
            raise UnknownQueueError(f"no queue is configured for {host}{path}")
        organisation = self.configuration.find_organisation(api_key)
        if organisation is None and not route.is_public:
            self.check_configuration_age()
            raise UnauthorizedError("the API key is not known")
        return route, organisation

    def check_configuration_age(self) -> None:
        """Checks that all versions that must be in force by now are known.

        An instance that cannot read the configuration may lack a queue or key
        that other instances serve already, or have one that was removed.

        Raises:
            NotReadyError: If a version that must be in force by now may not
                have been read.
        """
        age_s = self.configuration_age_s
        if age_s > self._configuration_apply_s:
            raise NotReadyError(
                f"the configuration is {age_s:.1f} s old",
                retry_after_s=RETRY_AFTER_S,
            )

    async def submit(
        self, job_request: JobRequest, scope: JobScope, *, timeout_s: float
    ) -> None:
        """Accepts a job, unless it has been accepted before.

        Args:
            job_request: The job.
            scope: The jobs that the caller may reach.
            timeout_s: Time to store it, and to tell whether another caller's
                job came first.

        Raises:
            JobIdInUseError: If another caller's job has its identifier.
            NotReadyError: If the queue or key may have been removed by now.
            LogUnavailableError: If the job was not stored and will not be.
            LogAppendUnconfirmedError: If the job may have been stored.
        """
        if self._is_known_in(scope, job_request.job_id):
            self._decisions.emit(Event.JOB_REPEATED, job=job_request.job_id)
            return
        self.check_configuration_age()
        self._check_store_responsive()
        started_s = time.monotonic()
        end_offset = await self._appender.append(
            [JobAccepted(job_request)], timeout_s=timeout_s
        )
        # The first acceptance of an identifier counts.
        left_s = timeout_s - (time.monotonic() - started_s)
        await self._follower.wait_for_offset(
            end_offset, max(0.0, min(left_s, IDENTIFIER_CHECK_S))
        )
        self._is_known_in(scope, job_request.job_id)
        taken_s = time.monotonic() - started_s
        self._decisions.metrics.acceptance_latency_s.observe(taken_s)
        self._decisions.emit(
            Event.JOB_ACCEPTED,
            job=job_request.job_id,
            queue=job_request.queue.name,
            organisation=job_request.organisation,
            priority=job_request.queue.priority,
            shapes=[
                f"{s.count}x{s.accelerators}{' gang' if s.is_gang else ''}"
                for s in job_request.steps
            ],
            repeats=job_request.repeat_count,
            version=self.configuration.version,
            taken_s=round(taken_s, 3),
        )

    def _is_known_in(self, scope: JobScope, job_id: str) -> bool:
        """Whether a caller's job is known.

        Raises:
            JobIdInUseError: If another caller's job is known under the
                identifier.
        """
        job = self._follower.state.jobs.get(job_id)
        if job is not None and not scope.covers(job.request):
            raise JobIdInUseError(
                f"the identifier {job_id} cannot be used",
                retry_after_s=IN_USE_RETRY_S,
            )
        return job is not None

    async def cancel(
        self, job_id: str, scope: JobScope, *, timeout_s: float
    ) -> None:
        """Cancels a job, whether or not its acceptance has been read yet.

        An identifier without a job stays cancelled, since the acceptance may
        still be on its way to the store.

        Args:
            job_id: The job.
            scope: The jobs that the caller may reach.
            timeout_s: Time to store the cancellation.

        Raises:
            UnknownJobError: If there is no such job in the scope.
            NotReadyError: If the queue or key may have been removed by now.
            LogUnavailableError: If the job was not cancelled.
            LogAppendUnconfirmedError: If the job may have been cancelled.
        """
        self.check_configuration_age()
        self._find_job(job_id, scope)
        self._check_store_responsive()
        end_offset = await self._appender.append(
            [JobCancelled(job_id, scope)], timeout_s=timeout_s
        )
        self._decisions.emit(Event.JOB_CANCELLED, job=job_id)
        if (
            self._find_job(job_id, scope) is None
            and await self._follower.wait_for_offset(
                end_offset, CATCH_UP_TIMEOUT_S
            )
            and self._find_job(job_id, scope) is None
        ):
            raise UnknownJobError(f"unknown job {job_id}")

    def _find_job(self, job_id: str, scope: JobScope) -> SiteJob | None:
        """Returns a job, or None if none is known under the identifier.

        Raises:
            UnknownJobError: If the job is not in the scope.
        """
        job = self._follower.state.jobs.get(job_id)
        if job is not None and not scope.covers(job.request):
            raise UnknownJobError(f"unknown job {job_id}")
        return job

    async def get_job_state(self, job_id: str, scope: JobScope) -> JobState:
        """Returns the state of a job.

        Raises:
            UnknownJobError: If there is no such job in the scope.
            NotReadyError: If the state replica is too old.
        """
        return (await self.get_job(job_id, scope)).state

    async def get_job(self, job_id: str, scope: JobScope) -> SiteJob:
        """Returns a job.

        A job that has ended is returned whatever the age of the replica, since
        its state is final.

        Raises:
            UnknownJobError: If there is no such job in the scope.
            NotReadyError: If the state replica is too old, or it has no such
                job and the newest records cannot be read.
        """
        has_newest_records = (
            job_id in self._follower.state.jobs
            or await self._follower.catch_up(CATCH_UP_TIMEOUT_S)
        )
        job = self._find_job(job_id, scope)
        if job is not None and job.is_open:
            await self._follower.refresh(REFRESH_TIMEOUT_S)
            job = self._find_job(job_id, scope)
        if job is not None and not job.is_open:
            return job
        self._check_state_age()
        if job is None and not has_newest_records:
            raise NotReadyError(
                f"no job {job_id} so far; the newest records cannot be read",
                retry_after_s=RETRY_AFTER_S,
            )
        if job is None:
            raise UnknownJobError(f"unknown job {job_id}")
        return job

    def list_jobs(self, organisation: OrganisationName) -> Iterator[SiteJob]:
        """Yields the known jobs of an organisation, newest first."""
        return (
            job
            for job in reversed(self._follower.state.jobs.values())
            if job.request.organisation == organisation
        )

    def log_refusal(
        self,
        method: str,
        target: str,
        *,
        status: int,
        error: LagoonbeamError,
        job_id: str = "",
    ) -> None:
        """Logs and counts a request that was refused.

        Args:
            method: HTTP method.
            target: Path and query.
            status: HTTP status of the response.
            error: The reason.
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
            version_age_s=round(self.configuration_age_s, 3)
            if self.configuration.version
            else None,
        )

    def log_internal_error(self, target: str, error: Exception) -> None:
        """Logs a request that failed with an unexpected exception."""
        self._decisions.emit(
            Event.REQUEST_BROKEN, target=target, cause=repr(error)
        )

    async def catch_up(self) -> None:
        """Waits until the replica contains all records stored before the call.

        Gives up after `CATCH_UP_TIMEOUT_S`.
        """
        await self._follower.catch_up(CATCH_UP_TIMEOUT_S)

    async def wait_for_change(self) -> None:
        """Waits until the state replica may have changed."""
        await self._follower.wait_for_change()

    def count_pending(self, queue: str) -> int:
        """Returns how many accepted jobs of a queue have not started.

        Raises:
            NotReadyError: If the state replica is too old, or the queue may
                have been removed by now.
        """
        self._check_state_age()
        self.check_configuration_age()
        return self._follower.state.count_pending(queue)

    def _check_state_age(self) -> None:
        if self._follower.age_s > MAX_STATE_AGE_S:
            raise NotReadyError(
                f"the state replica is {self._follower.age_s:.1f} s old",
                retry_after_s=RETRY_AFTER_S,
            )

    def _check_store_responsive(self) -> None:
        self._appender.raise_if_stalled(STORE_SILENCE_LIMIT_S)
