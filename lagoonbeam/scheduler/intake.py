"""Accepting jobs: checks, the zone, and a place that keeps them."""

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
from lagoonbeam.scheduler.catalog import Catalog
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.peers import Peers
from lagoonbeam.types import InstanceName, JobId, ZoneName

REPLICA_TIMEOUT_S = 1.0
"""Deadline of handing a copy to a peer."""


class Intake:
    """Accepts jobs for all zones.

    Args:
        zone: Zone of this instance.
        journal: The log client.
        peers: The other schedulers.
        catalog: The instance list.
        events: Where events go.
        get_own: Returns this instance's heartbeat.
        enqueue: Gives a job to this instance's own zone scheduler.
        append_timeout_s: Longest wait for the log.

    Attributes:
        provisional: Accepted jobs that the log does not have yet.
    """

    def __init__(
        self,
        *,
        zone: ZoneName,
        journal: Journal,
        peers: Peers,
        catalog: Catalog,
        events: EventLog,
        get_own: Callable[[], Heartbeat],
        enqueue: Callable[[Job, bool], None],
        append_timeout_s: float,
    ):
        self.provisional: dict[JobId, Job] = {}
        self._zone = zone
        self._journal = journal
        self._peers = peers
        self._catalog = catalog
        self._events = events
        self._get_own = get_own
        self._enqueue = enqueue
        self._append_timeout_s = append_timeout_s
        self._keys: dict[tuple[str, str], JobId] = {}

    async def submit(self, job: Job) -> JobStatus:
        """Accepts a job, or returns the one that used its key first.

        Raises:
            LagoonbeamError: If it is refused; it did not and will not run,
                but for `LogAppendUnconfirmedError`.
        """
        known = self._find_known(job)
        if known is not None:
            return known
        job = self._prepare(job)
        self._events.emit(
            "job.arrived", job=job.job_id, organisation=job.organisation
        )
        if self._journal.log_up:
            try:
                return await self._accept_in_log(job)
            except (LogUnavailableError, LogAppendUnconfirmedError):
                if not job.idempotent:
                    raise
        elif not job.idempotent:
            raise LogUnavailableError(
                "the log is down, and a job that is not idempotent needs it",
                retry_after_s=5.0,
            )
        return await self._accept_with_peer(job)

    def keep(self, job: Job) -> None:
        """Keeps a copy of a job that the log does not have yet."""
        if job.job_id in self._journal.state.jobs:
            return
        self.provisional[job.job_id] = job
        if job.idempotency_key:
            key = (job.organisation, job.idempotency_key)
            self._keys.setdefault(key, job.job_id)

    def settle(self, job_id: JobId) -> None:
        """Drops a copy that the log has now."""
        job = self.provisional.pop(job_id, None)
        if job is not None:
            self._keys.pop((job.organisation, job.idempotency_key), None)

    def _find_known(self, job: Job) -> JobStatus | None:
        """Returns the status of the job if it, or its key, was seen."""
        state = self._journal.state
        entry = state.jobs.get(job.job_id)
        if entry is None and job.idempotency_key:
            entry = state.find_job_by_key(job.organisation, job.idempotency_key)
        first = entry.job if entry else self._find_provisional(job)
        if first is None:
            return None
        if first.fingerprint != job.fingerprint:
            raise IdempotencyKeyReusedError(
                f"key {job.idempotency_key!r} was used with another request,"
                f" expected the same or a new key (job {first.job_id})"
            )
        status = state.describe_job(first.job_id)
        return status or JobStatus(
            first.job_id, first.organisation, durability="peer"
        )

    def _find_provisional(self, job: Job) -> Job | None:
        if job.job_id in self.provisional:
            return self.provisional[job.job_id]
        if not job.idempotency_key:
            return None
        job_id = self._keys.get((job.organisation, job.idempotency_key), "")
        return self.provisional.get(job_id)

    def _prepare(self, job: Job) -> Job:
        """Checks a job against the rules and chooses its zone."""
        rules = self._journal.state.rules
        if not self._journal.caught_up:
            raise NotReadyError("the log was not read yet", retry_after_s=1.0)
        if rules is None:
            raise NotReadyError("no rules are in force", retry_after_s=5.0)
        kind = _find_kind(job, rules)
        job = replace(job, urgency=job.urgency or kind.default_urgency)
        if job.urgency == "urgent" and not job.start_within_s:
            job = replace(job, start_within_s=DEFAULT_URGENT_START_WITHIN_S)
        zone, wait_s = self._choose_zone(job, rules)
        state = self._journal.state
        name = job.organisation
        view = QueueView(
            queued_by_organisation=state.queued_by_organisation[name],
            queued_by_caller=state.queued_by_caller[name, job.caller],
            queued_by_kind=state.queued_by_kind[name, job.kind],
            expected_wait_s=wait_s,
        )
        ADMISSIONS.get(rules.policies.admission)().check(job, rules, view)
        return replace(job, availability_zone=zone, accepted_at_s=time.time())

    def _choose_zone(
        self, job: Job, rules: RulesDocument
    ) -> tuple[ZoneName, float]:
        """Returns the zone to run in and the wait to expect there."""
        possible = set(self._catalog.find_possible(job, rules))
        active = {
            heartbeat.availability_zone: heartbeat
            for heartbeat in [*self._peers.iterate_fresh(), self._get_own()]
            if heartbeat.active
        }
        if job.availability_zone:
            if job.availability_zone not in self._catalog.list_zones():
                raise InvalidRequestError(
                    f"got availability zone {job.availability_zone!r},"
                    f" expected one of {self._catalog.list_zones()}"
                )
            possible &= {job.availability_zone}
        reachable = possible & set(active)
        if not reachable:
            raise ZoneUnreachableError(
                f"no active scheduler of zones {sorted(possible)} is reachable",
                retry_after_s=2.0,
            )
        organisation = rules.get_organisation(job.organisation)
        guaranteed = {
            guarantee.availability_zone
            for guarantee in (organisation.guarantees if organisation else ())
        }
        chosen = choose_zone(
            job,
            (
                ZoneCandidate(
                    zone=zone,
                    free_slots=active[zone].free_slots,
                    expected_wait_s=active[zone].expected_wait_s,
                    guaranteed=zone in guaranteed,
                    is_arrival_zone=zone == self._zone,
                )
                for zone in reachable
            ),
        )
        wait_s = 0.0 if chosen.guaranteed else chosen.expected_wait_s
        return chosen.zone, wait_s

    async def _accept_in_log(self, job: Job) -> JobStatus:
        await self._journal.append(
            JobAccepted(job=job), timeout_s=self._append_timeout_s
        )
        known = self._find_known(job)
        if known is None:
            raise LogAppendUnconfirmedError(f"job {job.job_id} was not folded")
        return known

    async def _accept_with_peer(self, job: Job) -> JobStatus:
        """Accepts an idempotent job once a second instance has it."""
        own = self._get_own()
        if own.active and own.availability_zone == job.availability_zone:
            await self._give_to_any(job)
            self._enqueue(job, True)
        else:
            active = self._peers.find_active(job.availability_zone)
            if active is None:
                raise ZoneUnreachableError(
                    f"no active scheduler of zone {job.availability_zone!r}",
                    retry_after_s=2.0,
                )
            await self._give(active.instance, EnqueueJob(job))
        self.keep(job)
        self._events.emit("job.accepted_with_peer", job=job.job_id)
        return JobStatus(
            job.job_id,
            job.organisation,
            availability_zone=job.availability_zone,
            durability="peer",
            accepted_at_s=job.accepted_at_s,
        )

    async def _give_to_any(self, job: Job) -> None:
        for heartbeat in list(self._peers.iterate_fresh()):
            try:
                copy = EnqueueJob(job, is_copy=True)
                await self._give(heartbeat.instance, copy)
                return
            except LagoonbeamError:
                continue
        raise NoReplicaError(
            "the log is down and no peer took a copy", retry_after_s=2.0
        )

    async def _give(self, instance: InstanceName, message: EnqueueJob) -> None:
        try:
            await self._peers.call(
                instance, message, timeout_s=REPLICA_TIMEOUT_S
            )
        except LinkError as error:
            raise NoReplicaError(
                f"{instance!r} did not take a copy: {error.detail}",
                retry_after_s=2.0,
            ) from error


def _find_kind(job: Job, rules: RulesDocument) -> JobKind:
    """Returns a job's kind of work, if its organisation may submit it."""
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
