"""What an instance knows of all jobs, from the log, its zone and its peers."""

from __future__ import annotations

from collections.abc import Callable
from itertools import islice

import anyio

from lagoonbeam.core.jobs import JobStatus
from lagoonbeam.core.messages import CancelJob
from lagoonbeam.errors import (
    DrainingError,
    UnknownJobError,
    ZoneUnreachableError,
)
from lagoonbeam.scheduler.intake import Intake
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.peers import Peers
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler
from lagoonbeam.types import JobId, ZoneName

FORWARD_TIMEOUT_S = 2.0
"""Deadline of a call that is passed on to another instance."""
MAX_NOTICES = 10_000
"""Statuses kept that only a peer has told."""


class KnownJobs:
    """Tells where jobs stand, and cancels them wherever they are.

    Args:
        zone: This instance's zone.
        journal: The log client.
        intake: Accepted jobs that the log does not have yet.
        peers: The other instances.
        get_zone: Returns the zone's scheduler while active.
        is_draining: Whether this instance is leaving.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        journal: Journal,
        intake: Intake,
        peers: Peers,
        get_zone: Callable[[], ZoneScheduler | None],
        is_draining: Callable[[], bool],
    ):
        self._zone = zone
        self._journal = journal
        self._intake = intake
        self._peers = peers
        self._get_zone = get_zone
        self._is_draining = is_draining
        self._notices: dict[JobId, JobStatus] = {}

    async def wait_job(self, job_id: JobId, wait_s: float) -> JobStatus:
        """Returns a job's status once it is finished, or after `wait_s`.

        Raises:
            UnknownJobError: If no such job is known.
            DrainingError: If this instance leaves before the job is finished.
        """
        if self.describe(job_id) is None:
            await self._journal.catch_up()
        with anyio.move_on_after(wait_s):
            while not self._is_draining():
                status = self.describe(job_id)
                if status is not None and status.outcome:
                    break
                await self._journal.wait_changed()
        status = self.describe(job_id)
        if self._is_draining() and wait_s and not (status and status.outcome):
            raise DrainingError("this instance is leaving", retry_after_s=0.1)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return status

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns what is known of a job here."""
        status = self._journal.state.describe_job(job_id)
        if status is not None and status.outcome:
            return status
        scheduler = self._get_zone()
        live = scheduler.describe(job_id) if scheduler else None
        if live is not None:
            return live
        notice = self._notices.get(job_id)
        if notice is not None:
            return notice
        if status is None and job_id in self._intake.provisional:
            job = self._intake.provisional[job_id]
            return JobStatus(
                job_id,
                job.organisation,
                availability_zone=job.availability_zone,
                durability="peer",
                accepted_at_s=job.accepted_at_s,
            )
        return status

    async def cancel(self, job_id: JobId) -> JobStatus:
        """Cancels a job in whatever zone it is.

        Raises:
            UnknownJobError: If no such job is known.
            ZoneUnreachableError: If its zone cannot be told.
        """
        if self.describe(job_id) is None:
            await self._journal.catch_up()
        status = self.describe(job_id)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        if status.outcome:
            return status
        zone = status.availability_zone
        scheduler = self._get_zone()
        if scheduler is not None and zone == self._zone:
            scheduler.cancel(job_id)
            return self.describe(job_id) or status
        active = self._peers.find_active(zone)
        if active is None:
            raise ZoneUnreachableError(
                f"the active scheduler of zone {zone!r} is not reachable; the"
                " job was not cancelled",
                retry_after_s=2.0,
            )
        reply = await self._peers.call(
            active.instance, CancelJob(job_id), timeout_s=FORWARD_TIMEOUT_S
        )
        return reply if isinstance(reply, JobStatus) else status

    def list_jobs(self, organisation: str, limit: int) -> list[JobStatus]:
        """Returns the latest jobs of an organisation (empty for all)."""
        entries = reversed(self._journal.state.jobs.values())
        found = (
            entry.job.job_id
            for entry in entries
            if organisation in ("", entry.job.organisation)
        )
        statuses = (self.describe(job_id) for job_id in islice(found, limit))
        return [status for status in statuses if status is not None]

    def take_notice(self, status: JobStatus) -> None:
        """Takes a peer's word for what became of a job."""
        job_id = status.job_id
        known = self._notices.get(job_id)
        if known is not None and known.outcome and not status.outcome:
            return
        self._notices[job_id] = status
        if len(self._notices) > MAX_NOTICES:
            del self._notices[next(iter(self._notices))]
        if status.outcome:
            self._intake.settle(job_id)
        self._journal.poke()

    def forget(self, job_id: JobId) -> None:
        """Drops a peer's word once the log has the outcome."""
        self._notices.pop(job_id, None)
