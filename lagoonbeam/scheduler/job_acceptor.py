"""Acceptance of jobs: validation, choice of the zone and durable storage."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import replace

from lagoonbeam.admission import ADMISSIONS, QueueView
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.jobs import DEFAULT_URGENT_START_WITHIN_S, Job, JobStatus
from lagoonbeam.core.messages import EnqueueJob, Heartbeat
from lagoonbeam.core.records import JobAccepted
from lagoonbeam.core.routing import ZoneCandidate, choose_zone
from lagoonbeam.core.rules import JobKind, RulesDocument
from lagoonbeam.errors import (
    IdempotencyKeyReusedError,
    InvalidRequestError,
    LagoonbeamError,
    LinkError,
    LogAppendUnconfirmedError,
    LogUnavailableError,
    NoReplicaError,
    NotReadyError,
    UnknownKindError,
    UnknownOrganisationError,
    ZoneUnreachableError,
)
from lagoonbeam.scheduler.instance_catalog import InstanceCatalog
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.peer_links import PeerLinks
from lagoonbeam.types import InstanceName, JobId, ZoneName

REPLICATION_TIMEOUT_S = 1.0
"""Timeout of sending a copy of a job to a peer."""


class JobAcceptor:
    """Accepts jobs for all zones.

    A job is accepted once it is in the log. While the log is down, an
    idempotent job is accepted once a second instance has a copy of it.

    Args:
        zone: Zone of this instance.
        log_client: The log client.
        peers: Links to the other schedulers.
        instance_catalog: The instance list.
        events: Event log.
        make_own_heartbeat: Returns this instance's heartbeat.
        enqueue: Queues a job in this instance's zone; the second argument
            tells whether the job is not in the log yet.
        append_timeout_s: Timeout of an append to the log.

    Attributes:
        provisional: Accepted jobs that are not in the log yet.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        log_client: LogClient,
        peers: PeerLinks,
        instance_catalog: InstanceCatalog,
        events: EventLog,
        make_own_heartbeat: Callable[[], Heartbeat],
        enqueue: Callable[[Job, bool], None],
        append_timeout_s: float,
    ):
        self.provisional: dict[JobId, Job] = {}
        self._zone = zone
        self._log_client = log_client
        self._peers = peers
        self._instance_catalog = instance_catalog
        self._events = events
        self._make_own_heartbeat = make_own_heartbeat
        self._enqueue = enqueue
        self._append_timeout_s = append_timeout_s
        self._provisional_ids_by_key: dict[tuple[str, str], JobId] = {}

    async def submit(self, job: Job) -> JobStatus:
        """Accepts a job, or returns the job that used its key first.

        Raises:
            LogAppendUnconfirmedError: If the job may have been accepted.
            LagoonbeamError: If it is refused; it has not run and will not.
        """
        existing_status = self._find_existing(job)
        if existing_status is not None:
            return existing_status
        job = self._validate_and_route(job)
        self._events.emit(
            "job.arrived", job=job.job_id, organisation=job.organisation
        )
        if self._log_client.log_up:
            try:
                return await self._accept_via_log(job)
            except (LogUnavailableError, LogAppendUnconfirmedError):
                if not job.idempotent:
                    raise
        elif not job.idempotent:
            raise LogUnavailableError(
                "the log is down; only idempotent jobs are accepted without it",
                retry_after_s=5.0,
            )
        return await self._accept_via_peer(job)

    def add_provisional(self, job: Job) -> None:
        """Stores a copy of a job that is not in the log yet."""
        if job.job_id in self._log_client.state.jobs:
            return
        self.provisional[job.job_id] = job
        if job.idempotency_key:
            key = (job.organisation, job.idempotency_key)
            self._provisional_ids_by_key.setdefault(key, job.job_id)

    def remove_provisional(self, job_id: JobId) -> None:
        """Removes the copy of a job that is, or will be, in the log."""
        job = self.provisional.pop(job_id, None)
        if job is not None:
            self._provisional_ids_by_key.pop(
                (job.organisation, job.idempotency_key), None
            )

    def _find_existing(self, job: Job) -> JobStatus | None:
        """Returns the status of a job with the same ID or key, if any."""
        state = self._log_client.state
        entry = state.jobs.get(job.job_id)
        if entry is None and job.idempotency_key:
            entry = state.find_job_by_key(job.organisation, job.idempotency_key)
        existing_job = entry.job if entry else self._find_provisional(job)
        if existing_job is None:
            return None
        if existing_job.fingerprint != job.fingerprint:
            raise IdempotencyKeyReusedError(
                f"key {job.idempotency_key!r} was used with another request,"
                f" expected the same or a new key (job {existing_job.job_id})"
            )
        status = state.describe_job(existing_job.job_id)
        return status or JobStatus(
            existing_job.job_id, existing_job.organisation, durability="peer"
        )

    def _find_provisional(self, job: Job) -> Job | None:
        if job.job_id in self.provisional:
            return self.provisional[job.job_id]
        if not job.idempotency_key:
            return None
        job_id = self._provisional_ids_by_key.get(
            (job.organisation, job.idempotency_key), ""
        )
        return self.provisional.get(job_id)

    def _validate_and_route(self, job: Job) -> Job:
        """Checks a job against the rules and chooses its zone."""
        rules = self._log_client.state.rules
        if not self._log_client.caught_up:
            raise NotReadyError(
                "the log has not been read yet", retry_after_s=1.0
            )
        if rules is None:
            raise NotReadyError("no rules are in force", retry_after_s=5.0)
        kind = _find_kind(job, rules)
        job = replace(job, urgency=job.urgency or kind.default_urgency)
        if job.urgency == "urgent" and not job.start_within_s:
            job = replace(job, start_within_s=DEFAULT_URGENT_START_WITHIN_S)
        zone, wait_s = self._choose_zone(job, rules)
        state = self._log_client.state
        organisation_name = job.organisation
        queue_view = QueueView(
            queued_by_organisation=state.queued_by_organisation[
                organisation_name
            ],
            queued_by_caller=state.queued_by_caller[
                organisation_name, job.caller
            ],
            queued_by_kind=state.queued_by_kind[organisation_name, job.kind],
            expected_wait_s=wait_s,
        )
        ADMISSIONS.get(rules.policies.admission)().check(job, rules, queue_view)
        return replace(job, availability_zone=zone, accepted_at_s=time.time())

    def _choose_zone(
        self, job: Job, rules: RulesDocument
    ) -> tuple[ZoneName, float]:
        """Returns the zone to run in and the expected wait there."""
        feasible_zones = set(
            self._instance_catalog.find_feasible_zones(job, rules)
        )
        active = {
            heartbeat.availability_zone: heartbeat
            for heartbeat in [
                *self._peers.iterate_live_heartbeats(),
                self._make_own_heartbeat(),
            ]
            if heartbeat.active
        }
        if job.availability_zone:
            if job.availability_zone not in self._instance_catalog.list_zones():
                raise InvalidRequestError(
                    f"got availability zone {job.availability_zone!r},"
                    f" expected one of {self._instance_catalog.list_zones()}"
                )
            feasible_zones &= {job.availability_zone}
        reachable_zones = feasible_zones & set(active)
        if not reachable_zones:
            raise ZoneUnreachableError(
                f"no active scheduler of zones {sorted(feasible_zones)} is"
                " reachable",
                retry_after_s=2.0,
            )
        organisation = rules.get_organisation(job.organisation)
        guaranteed = {
            guarantee.availability_zone
            for guarantee in (organisation.guarantees if organisation else ())
        }
        chosen_zone = choose_zone(
            job,
            (
                ZoneCandidate(
                    zone=zone,
                    free_slots=active[zone].free_slots,
                    expected_wait_s=active[zone].expected_wait_s,
                    guaranteed=zone in guaranteed,
                    is_arrival_zone=zone == self._zone,
                )
                for zone in reachable_zones
            ),
        )
        wait_s = 0.0 if chosen_zone.guaranteed else chosen_zone.expected_wait_s
        return chosen_zone.zone, wait_s

    async def _accept_via_log(self, job: Job) -> JobStatus:
        await self._log_client.append(
            JobAccepted(job=job), timeout_s=self._append_timeout_s
        )
        existing_status = self._find_existing(job)
        if existing_status is None:
            raise LogAppendUnconfirmedError(
                f"job {job.job_id} is not in the state after its append"
            )
        return existing_status

    async def _accept_via_peer(self, job: Job) -> JobStatus:
        """Accepts an idempotent job once a second instance has a copy."""
        own_heartbeat = self._make_own_heartbeat()
        if (
            own_heartbeat.active
            and own_heartbeat.availability_zone == job.availability_zone
        ):
            await self._copy_to_any_peer(job)
            self._enqueue(job, True)
        else:
            active = self._peers.find_active_scheduler(job.availability_zone)
            if active is None:
                raise ZoneUnreachableError(
                    f"no active scheduler of zone {job.availability_zone!r}",
                    retry_after_s=2.0,
                )
            await self._send_to_peer(active.instance, EnqueueJob(job))
        self.add_provisional(job)
        self._events.emit("job.accepted_with_peer", job=job.job_id)
        return JobStatus(
            job.job_id,
            job.organisation,
            availability_zone=job.availability_zone,
            durability="peer",
            accepted_at_s=job.accepted_at_s,
        )

    async def _copy_to_any_peer(self, job: Job) -> None:
        for heartbeat in list(self._peers.iterate_live_heartbeats()):
            try:
                copy_message = EnqueueJob(job, is_copy=True)
                await self._send_to_peer(heartbeat.instance, copy_message)
                return
            except LagoonbeamError:
                continue
        raise NoReplicaError(
            "the log is down and no peer accepted a copy of the job",
            retry_after_s=2.0,
        )

    async def _send_to_peer(
        self, instance: InstanceName, message: EnqueueJob
    ) -> None:
        try:
            await self._peers.call(
                instance, message, timeout_s=REPLICATION_TIMEOUT_S
            )
        except LinkError as error:
            raise NoReplicaError(
                f"{instance!r} did not accept a copy: {error.detail}",
                retry_after_s=2.0,
            ) from error


def _find_kind(job: Job, rules: RulesDocument) -> JobKind:
    """Returns the job's kind as configured for its organisation."""
    organisation = rules.get_organisation(job.organisation)
    if organisation is None:
        raise UnknownOrganisationError(
            f"got organisation {job.organisation!r}, expected one of"
            f" {sorted(each.name for each in rules.organisations)}"
        )
    kinds = {kind.name: kind for kind in organisation.kinds}
    if job.kind not in kinds:
        raise UnknownKindError(
            f"got kind {job.kind!r}, expected one of {sorted(kinds)}"
        )
    return kinds[job.kind]
