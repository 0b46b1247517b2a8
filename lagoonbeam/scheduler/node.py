"""The scheduler process: wires its parts together, starts and closes them."""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.faultpoints import FaultPoints
from lagoonbeam.core.jobs import Job, JobStatus
from lagoonbeam.core.link import Link
from lagoonbeam.core.messages import (
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
    NotActiveError,
    make_error,
)
from lagoonbeam.instances import DIRECTORIES
from lagoonbeam.log import LOGS
from lagoonbeam.scheduler.catalog import Catalog
from lagoonbeam.scheduler.housekeeping import Housekeeping
from lagoonbeam.scheduler.intake import Intake
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.known_jobs import KnownJobs
from lagoonbeam.scheduler.leadership import Leadership
from lagoonbeam.scheduler.peers import PeerAddress, Peers
from lagoonbeam.scheduler.service import answer_message
from lagoonbeam.scheduler.term_state import ZoneContext
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler


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
        self.known = KnownJobs(
            zone=settings.availability_zone,
            journal=self.journal,
            intake=self.intake,
            peers=self.peers,
            get_zone=lambda: self.zone,
            is_draining=lambda: self.draining,
        )
        self._housekeeping = Housekeeping(
            settings,
            journal=self.journal,
            intake=self.intake,
            peers=self.peers,
            leadership=self.leadership,
            metrics=self.metrics,
            get_zone=lambda: self.zone,
        )
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
        tasks.start_soon(self._housekeeping.run)
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
                await self.zone.wait_for_launches()
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
            free_slots=planner.pools.free_slots if planner else 0,
            total_slots=planner.pools.total_slots if planner else 0,
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
        self.known.take_notice(status)
        self.peers.broadcast(FinishNotice(status))

    def _on_record(self, record: AnyRecord) -> None:
        if isinstance(record, JobAccepted):
            self.intake.settle(record.job.job_id)
        elif isinstance(record, JobFinished):
            self.known.forget(record.job_id)
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
            on_newer_term=self.leadership.observe,
        )
        zone = ZoneScheduler(context, term)
        self.zone = zone
        for job in list(self.intake.provisional.values()):
            if job.availability_zone == self.settings.availability_zone:
                zone.add_provisional_job(job)
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
            self.zone.update_workers(self.catalog.list_workers(own_zone))
