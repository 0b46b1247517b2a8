"""The scheduler process: wires its parts together, starts and closes them."""

from __future__ import annotations

import logging
import time
import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager
from itertools import islice

import anyio
import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.faultpoints import FaultPoints
from lagoonbeam.core.jobs import Job, JobStatus
from lagoonbeam.core.link import Link
from lagoonbeam.core.messages import (
    CancelJob,
    FinishNotice,
    Heartbeat,
    LogEntry,
    Message,
)
from lagoonbeam.core.metrics import Metrics
from lagoonbeam.core.records import (
    AnyRecord,
    JobAccepted,
    JobFinished,
    RulesPublished,
    Term,
)
from lagoonbeam.core.rules import decode_rules
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.errors import (
    DrainingError,
    LogUnavailableError,
    LogUncertainError,
    NotActiveError,
    UnknownJobError,
    ZoneUnreachableError,
    make_error,
)
from lagoonbeam.instances import DIRECTORIES
from lagoonbeam.log import LOGS
from lagoonbeam.scheduler.catalog import Catalog
from lagoonbeam.scheduler.intake import Intake
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.leadership import Leadership
from lagoonbeam.scheduler.peers import PeerAddress, Peers
from lagoonbeam.scheduler.service import answer_message
from lagoonbeam.scheduler.term_state import ZoneContext
from lagoonbeam.scheduler.zone import ZoneScheduler
from lagoonbeam.types import JobId

HOUSEKEEPING_S = 1.0
"""Time between two rounds of housekeeping."""
MAX_NOTICES = 10_000
"""Statuses from peers kept for jobs whose outcome the log lacks."""
FORWARD_TIMEOUT_S = 2.0
"""Deadline of a call that is passed on to another instance."""

_LOGGER = logging.getLogger(__name__)


class SchedulerNode:
    """One scheduler process.

    Args:
        settings: Its settings.
    """

    def __init__(self, settings: SchedulerSettings):
        self.settings = settings
        self.events = EventLog(
            program="scheduler",
            instance=settings.instance,
            availability_zone=settings.availability_zone,
        )
        self.metrics = Metrics(settings.metrics, instance=settings.instance)
        self.journal = Journal(
            LOGS.get(settings.log.plugin)(settings.log),
            writer=settings.instance,
            linger_s=settings.log.linger_s,
            events=self.events,
        )
        self.peers = Peers(
            instance=settings.instance,
            journal=self.journal,
            events=self.events,
            handler=self.answer,
            make_heartbeat=self.make_heartbeat,
            heartbeat_s=settings.heartbeat_s,
        )
        self.catalog = Catalog(
            DIRECTORIES.get(settings.instances.plugin)(settings.instances),
            self._take_catalog,
        )
        self.leadership = Leadership(
            instance=settings.instance,
            zone=settings.availability_zone,
            journal=self.journal,
            peers=self.peers,
            events=self.events,
            takeover_s=settings.takeover_s,
        )
        self.intake = Intake(
            zone=settings.availability_zone,
            journal=self.journal,
            peers=self.peers,
            catalog=self.catalog,
            events=self.events,
            get_own=self.make_heartbeat,
            enqueue=self.enqueue,
            append_timeout_s=settings.append_timeout_s,
        )
        self.zone: ZoneScheduler | None = None
        self.draining = False
        self._open_calls = 0
        self._notices: dict[JobId, JobStatus] = {}
        self._faults = FaultPoints(settings.fault_points)
        self._tasks: anyio.abc.TaskGroup | None = None
        self.journal.listen(self._on_record)
        self.leadership.on_change(self._on_leadership)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[SchedulerNode]:
        """Starts the node, and closes it at the end of the block.

        Its tasks end before the connections that they use are closed.
        """
        try:
            async with anyio.create_task_group() as tasks:
                await self.start(tasks)
                try:
                    yield self
                finally:
                    tasks.cancel_scope.cancel()
        finally:
            with anyio.CancelScope(shield=True):
                await self.close()

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts all parts."""
        self._tasks = tasks
        settings = self.settings
        listener = await anyio.create_tcp_listener(
            local_host=settings.listen.host, local_port=settings.listen.port
        )
        tasks.start_soon(listener.serve, self._serve_stream)
        await self.journal.start(tasks)
        await self.peers.start(tasks)
        self.peers.set_addresses(
            PeerAddress(p.instance, p.availability_zone, p.host, p.port)
            for p in settings.peers
        )
        await self.catalog.start()
        tasks.start_soon(self.catalog.run)
        tasks.start_soon(self.leadership.run)
        tasks.start_soon(self._keep_house)
        self.events.emit("scheduler.started")

    async def close(self) -> None:
        """Closes all parts."""
        await self.peers.close()
        await self.catalog.close()
        await self.journal.close()
        self.metrics.close()
        self.events.emit("scheduler.closed")

    async def drain(self) -> None:
        """Takes no new work, hands the zone over and finishes calls."""
        self.draining = True
        self.leadership.draining = True
        self.events.emit("scheduler.draining")
        with anyio.move_on_after(self.settings.drain_s):
            if self.zone is not None:
                await self.zone.settle()
            self.leadership.step_down("draining")
            self.journal.poke()
            await self.journal.flush()
            await anyio.sleep(2 * self.settings.heartbeat_s)
            while self._open_calls:
                await anyio.sleep(0.05)

    # Calls

    async def answer(self, message: Message) -> Message:
        """Answers a call of an entry or a peer; see `answer_message`."""
        self._open_calls += 1
        try:
            return await answer_message(message, self)
        finally:
            self._open_calls -= 1

    async def submit(self, job: Job) -> JobStatus:
        """Accepts a job; see `Intake.submit`."""
        if self.draining:
            raise DrainingError("this instance is leaving", retry_after_s=0.1)
        return await self.intake.submit(job)

    def enqueue(self, job: Job, provisional: bool) -> None:
        """Takes a job for this zone."""
        if provisional:
            self.intake.keep(job)
        if job.availability_zone != self.settings.availability_zone:
            return
        if self.zone is not None:
            self.zone.enqueue(job, provisional=provisional)

    async def wait_job(self, job_id: JobId, wait_s: float) -> JobStatus:
        """Returns a job's status once it is finished, or after `wait_s`.

        Raises:
            UnknownJobError: If no such job is known.
            DrainingError: If this instance leaves before the job is finished.
        """
        if self.describe(job_id) is None:
            await self.journal.catch_up()
        with anyio.move_on_after(wait_s):
            while not self.draining:
                status = self.describe(job_id)
                if status is not None and status.outcome:
                    break
                await self.journal.wait_changed()
        status = self.describe(job_id)
        if self.draining and wait_s and not (status and status.outcome):
            raise DrainingError("this instance is leaving", retry_after_s=0.1)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        return status

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns what is known of a job here."""
        status = self.journal.state.describe_job(job_id)
        if status is not None and status.outcome:
            return status
        live = self.zone.describe(job_id) if self.zone else None
        if live is not None:
            return live
        notice = self._notices.get(job_id)
        if notice is not None:
            return notice
        if status is None and job_id in self.intake.provisional:
            job = self.intake.provisional[job_id]
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
            await self.journal.catch_up()
        status = self.describe(job_id)
        if status is None:
            raise UnknownJobError(f"got job {job_id!r}, which is not known")
        if status.outcome:
            return status
        zone = status.availability_zone
        if self.zone is not None and zone == self.settings.availability_zone:
            self.zone.cancel(job_id)
            return self.describe(job_id) or status
        active = self.peers.find_active(zone)
        if active is None:
            raise ZoneUnreachableError(
                f"the active scheduler of zone {zone!r} is not reachable; the"
                " job was not cancelled",
                retry_after_s=2.0,
            )
        reply = await self.peers.call(
            active.instance, CancelJob(job_id), timeout_s=FORWARD_TIMEOUT_S
        )
        return reply if isinstance(reply, JobStatus) else status

    def list_jobs(self, organisation: str, limit: int) -> list[JobStatus]:
        """Returns the latest jobs of an organisation (empty for all)."""
        entries = reversed(self.journal.state.jobs.values())
        found = (
            entry.job.job_id
            for entry in entries
            if organisation in ("", entry.job.organisation)
        )
        statuses = (self.describe(job_id) for job_id in islice(found, limit))
        return [status for status in statuses if status is not None]

    async def publish_rules(self, document: str, author: str) -> int:
        """Publishes rules and waits for the verdict.

        Returns:
            The new version.

        Raises:
            RulesInvalidError: If the document is not valid.
            RulesConflictError: If it is not based on the version in force.
            LogUnavailableError: If it was not published.
            LogUncertainError: If it may yet come into force.
        """
        decode_rules(document)
        publication_id = uuid.uuid4().hex
        record = RulesPublished(
            publication_id=publication_id, document=document, author=author
        )
        if not self.journal.log_up:
            raise LogUnavailableError("the log is down", retry_after_s=5.0)
        await self.journal.append(
            record, timeout_s=self.settings.append_timeout_s
        )
        verdict = self.journal.state.verdicts[publication_id]
        if verdict.code:
            raise make_error(
                code=verdict.code, detail=verdict.detail, retry_after_s=0.0
            )
        return verdict.version

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
            self.intake.settle(job_id)
        self.journal.poke()

    def take_entries(self, entries: list[LogEntry]) -> None:
        """Folds entries that a peer passed on."""
        for entry in entries:
            self.journal.fold(entry)

    def make_heartbeat(self) -> Heartbeat:
        """Returns what this instance tells its peers."""
        stamp = self.events.clock.tick()
        state = self.journal.state
        own_zone = self.settings.availability_zone
        term = max(self.leadership.newest, state.get_term(own_zone))
        zone = self.zone
        planner = zone.planner if zone else None
        return Heartbeat(
            instance=self.settings.instance,
            availability_zone=own_zone,
            active=self.leadership.active,
            term_number=term.number,
            term_instance=term.instance,
            next_offset=state.next_offset,
            rules_version=state.version if self.journal.caught_up else 0,
            ready=self.journal.caught_up,
            log_up=self.journal.log_up,
            free_slots=planner.free_slots if planner else 0,
            total_slots=planner.total_slots if planner else 0,
            queued_slots=planner.queued_slots if planner else 0,
            expected_wait_s=planner.estimate_wait_s() if planner else 0.0,
            wall_s=stamp.wall_s,
            counter=stamp.counter,
            draining=self.draining,
        )

    def require_zone(self) -> ZoneScheduler:
        """Returns the zone's scheduler.

        Raises:
            NotActiveError: If this instance is not the active one.
        """
        if self.zone is None:
            raise NotActiveError(
                f"{self.settings.instance!r} is not active for its zone",
                retry_after_s=1.0,
            )
        return self.zone

    # What happens

    async def _serve_stream(self, stream: anyio.abc.SocketStream) -> None:
        link = Link(stream, clock=self.events.clock, handler=self.answer)
        await link.run()

    def _announce(self, status: JobStatus) -> None:
        self.take_notice(status)
        self.peers.broadcast(FinishNotice(status))

    def _on_record(self, record: AnyRecord) -> None:
        if isinstance(record, JobAccepted):
            self.intake.settle(record.job.job_id)
        elif isinstance(record, JobFinished):
            self._notices.pop(record.job_id, None)
        elif isinstance(record, RulesPublished):
            verdict = self.journal.state.verdicts[record.publication_id]
            self.events.emit(
                "rules.refused" if verdict.code else "rules.in_force",
                offset=verdict.version,
                cause=verdict.detail,
            )
            self.metrics.gauge("rules.version", verdict.version)

    def _on_leadership(self) -> None:
        assert self._tasks is not None
        if self.zone is not None:
            self.zone.stop()
            self.zone = None
        if self.leadership.active:
            self._tasks.start_soon(self._run_zone, self.leadership.term)

    async def _run_zone(self, term: Term) -> None:
        context = ZoneContext(
            settings=self.settings,
            journal=self.journal,
            events=self.events,
            metrics=self.metrics,
            faults=self._faults,
            announce=self._announce,
            on_stale=self.leadership.observe,
        )
        zone = ZoneScheduler(context, term)
        self.zone = zone
        for job in list(self.intake.provisional.values()):
            if job.availability_zone == self.settings.availability_zone:
                zone.inherit(job)
        workers = self.catalog.list_workers(self.settings.availability_zone)
        await zone.run(workers)

    def _take_catalog(self) -> None:
        listed = self.catalog.list_schedulers()
        self.peers.set_addresses(
            PeerAddress(e.name, e.availability_zone, e.host, e.port)
            for e in listed
        )
        seeds = {peer.instance for peer in self.settings.peers}
        names = {entry.name for entry in listed} | seeds
        self.peers.forget(set(self.peers.names) - names)
        if self.zone is not None:
            own_zone = self.settings.availability_zone
            self.zone.set_workers(self.catalog.list_workers(own_zone))

    async def _keep_house(self) -> None:
        """Writes snapshots and what could not be written in an outage."""
        while True:
            await anyio.sleep(HOUSEKEEPING_S)
            self._report_metrics()
            if not (self.journal.log_up and self.journal.caught_up):
                continue
            self._append_provisional()
            if self._is_snapshot_due():
                try:
                    await self.journal.take_snapshot(
                        timeout_s=self.settings.append_timeout_s
                    )
                except (LogUnavailableError, LogUncertainError) as error:
                    _LOGGER.warning("snapshot: %s", error)

    def _append_provisional(self) -> None:
        old_s = time.time() - HOUSEKEEPING_S
        for job in list(self.intake.provisional.values()):
            if job.accepted_at_s < old_s:
                self.intake.settle(job.job_id)
                self.journal.append_later(JobAccepted(job=job))

    def _is_snapshot_due(self) -> bool:
        """The first live instance writes snapshots, for all."""
        due = self.settings.log.snapshot_entries
        if self.journal.entries_since_snapshot < due:
            return False
        others = (h.instance for h in self.peers.iterate_fresh() if h.ready)
        return all(self.settings.instance < other for other in others)

    def _report_metrics(self) -> None:
        self.metrics.gauge("log.up", int(self.journal.log_up))
        self.metrics.gauge("scheduler.active", int(self.leadership.active))
        self.metrics.gauge("log.next_offset", self.journal.state.next_offset)
        if self.zone is not None:
            planner = self.zone.planner
            self.metrics.gauge("slots.free", planner.free_slots)
            self.metrics.gauge("slots.total", planner.total_slots)
            self.metrics.gauge("queue.slots", planner.queued_slots)
