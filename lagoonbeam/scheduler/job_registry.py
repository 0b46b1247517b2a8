"""Status of all jobs, from the log, the zone's scheduler and the peers."""

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
from lagoonbeam.scheduler.job_acceptor import JobAcceptor
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.peer_links import PeerLinks
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler
from lagoonbeam.types import JobId, ZoneName

FORWARD_TIMEOUT_S = 2.0
"""Timeout of a call that is forwarded to another instance."""
MAX_ANNOUNCED_STATUSES = 10_000
"""Maximum number of announced statuses that are kept."""


class JobRegistry:
    """Looks up, lists and cancels the jobs of all zones.

    Args:
        zone: Zone of this instance.
        log_client: The log client.
        job_acceptor: Has the accepted jobs that are not in the log yet.
        peers: Links to the other schedulers.
        get_zone_scheduler: Returns the zone's scheduler; None unless this
            instance is active.
        is_draining: Returns whether this instance is draining.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        log_client: LogClient,
        job_acceptor: JobAcceptor,
        peers: PeerLinks,
        get_zone_scheduler: Callable[[], ZoneScheduler | None],
        is_draining: Callable[[], bool],
    ):
        self._zone = zone
        self._log_client = log_client
        self._job_acceptor = job_acceptor
        self._peers = peers
        self._get_zone_scheduler = get_zone_scheduler
        self._is_draining = is_draining
        self._announced_statuses: dict[JobId, JobStatus] = {}

    async def wait_job(self, job_id: JobId, wait_s: float) -> JobStatus:
        """Returns a job's status when it is finished, or after `wait_s`.

        Raises:
            UnknownJobError: If there is no such job.
            DrainingError: If this instance drains before the job is finished.
        """
        if self.describe(job_id) is None:
            await self._log_client.catch_up()
        with anyio.move_on_after(wait_s):
            while not self._is_draining():
                status = self.describe(job_id)
                if status is not None and status.outcome:
                    break
                await self._log_client.wait_for_change()
        status = self.describe(job_id)
        if self._is_draining() and wait_s and not (status and status.outcome):
            raise DrainingError("this instance is draining", retry_after_s=0.1)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return status

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns a job's status, or None if the job is unknown here.

        The order of precedence is: an outcome in the log, the zone's scheduler,
        an announced status, any other status.
        """
        status = self._log_client.state.describe_job(job_id)
        if status is not None and status.outcome:
            return status
        zone_scheduler = self._get_zone_scheduler()
        zone_status = (
            zone_scheduler.describe(job_id) if zone_scheduler else None
        )
        if zone_status is not None:
            return zone_status
        announced_status = self._announced_statuses.get(job_id)
        if announced_status is not None:
            return announced_status
        if status is None and job_id in self._job_acceptor.provisional:
            job = self._job_acceptor.provisional[job_id]
            return JobStatus(
                job_id,
                job.organisation,
                availability_zone=job.availability_zone,
                durability="peer",
                accepted_at_s=job.accepted_at_s,
            )
        return status

    async def cancel(self, job_id: JobId) -> JobStatus:
        """Cancels a job of any zone.

        Raises:
            UnknownJobError: If there is no such job.
            ZoneUnreachableError: If its zone's scheduler is unreachable.
        """
        if self.describe(job_id) is None:
            await self._log_client.catch_up()
        status = self.describe(job_id)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        if status.outcome:
            return status
        zone = status.availability_zone
        zone_scheduler = self._get_zone_scheduler()
        if zone_scheduler is not None and zone == self._zone:
            zone_scheduler.cancel(job_id)
            return self.describe(job_id) or status
        active_heartbeat = self._peers.find_active_scheduler(zone)
        if active_heartbeat is None:
            raise ZoneUnreachableError(
                f"the active scheduler of zone {zone!r} is not reachable; the"
                " job was not cancelled",
                retry_after_s=2.0,
            )
        reply = await self._peers.call(
            active_heartbeat.instance,
            CancelJob(job_id),
            timeout_s=FORWARD_TIMEOUT_S,
        )
        return reply if isinstance(reply, JobStatus) else status

    def list_jobs(self, organisation: str, limit: int) -> list[JobStatus]:
        """Returns the latest jobs of an organisation; of all if it is empty."""
        entries = reversed(self._log_client.state.jobs.values())
        job_ids = (
            entry.job.job_id
            for entry in entries
            if organisation in ("", entry.job.organisation)
        )
        statuses = (self.describe(job_id) for job_id in islice(job_ids, limit))
        return [status for status in statuses if status is not None]

    def record_announced_status(self, status: JobStatus) -> None:
        """Stores a status announced by this zone's scheduler or by a peer.

        A status with an outcome is not replaced by one without.
        """
        job_id = status.job_id
        previous_status = self._announced_statuses.get(job_id)
        if (
            previous_status is not None
            and previous_status.outcome
            and not status.outcome
        ):
            return
        self._announced_statuses[job_id] = status
        if len(self._announced_statuses) > MAX_ANNOUNCED_STATUSES:
            del self._announced_statuses[next(iter(self._announced_statuses))]
        if status.outcome:
            self._job_acceptor.remove_provisional(job_id)
        self._log_client.notify_waiters()

    def discard_announced_status(self, job_id: JobId) -> None:
        """Removes an announced status; the log has the outcome now."""
        self._announced_statuses.pop(job_id, None)
