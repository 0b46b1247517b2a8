"""The scheduler process: connects, starts and closes its components."""

from __future__ import annotations

import uuid
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import anyio
import anyio.abc

from lagoonbeam.core.encoded_state import PublicationResult
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.fault_points import FaultPoints
from lagoonbeam.core.jobs import Job, JobStatus
from lagoonbeam.core.messages import (
    FinishNotice,
    Heartbeat,
    LogEntry,
    Message,
)
from lagoonbeam.core.records import (
    AnyRecord,
    JobAccepted,
    JobFinished,
    RulesPublished,
    Term,
)
from lagoonbeam.core.rules import decode_rules
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.errors import (
    DrainingError,
    LogUnavailableError,
    NotActiveError,
    make_error,
)
from lagoonbeam.instances import INSTANCE_DIRECTORIES
from lagoonbeam.log import LOG_STORES
from lagoonbeam.scheduler.instance_catalog import InstanceCatalog
from lagoonbeam.scheduler.job_acceptor import JobAcceptor
from lagoonbeam.scheduler.job_registry import JobRegistry
from lagoonbeam.scheduler.leader_election import LeaderElection
from lagoonbeam.scheduler.link_listener import make_link_server
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.maintenance import PeriodicMaintenance
from lagoonbeam.scheduler.message_handlers import handle_message
from lagoonbeam.scheduler.peer_links import PeerAddress, PeerLinks
from lagoonbeam.scheduler.term_state import ZoneContext
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler


class SchedulerProcess:
    """One scheduler process.

    Args:
        settings: Settings of the process.

    Attributes:
        zone: The zone's scheduler; None unless this instance is active.
        draining: Whether this instance accepts no new jobs.
    """

    def __init__(self, settings: SchedulerSettings):
        self.settings = settings
        self.events = EventLog(
            program="scheduler",
            instance=settings.instance,
            availability_zone=settings.availability_zone,
        )
        self.metrics = StatsdMetrics(
            settings.metrics, instance=settings.instance
        )
        self.log_client = LogClient(
            LOG_STORES.get(settings.log.plugin)(settings.log),
            writer=settings.instance,
            linger_s=settings.log.linger_s,
            events=self.events,
        )
        self.peers = PeerLinks(
            instance=settings.instance,
            log_client=self.log_client,
            events=self.events,
            handler=self.handle_call,
            make_heartbeat=self.make_heartbeat,
            heartbeat_s=settings.heartbeat_s,
        )
        self.instance_catalog = InstanceCatalog(
            INSTANCE_DIRECTORIES.get(settings.instances.plugin)(
                settings.instances
            ),
            self._apply_instance_list,
        )
        self.leader_election = LeaderElection(
            instance=settings.instance,
            zone=settings.availability_zone,
            log_client=self.log_client,
            peers=self.peers,
            events=self.events,
            takeover_s=settings.takeover_s,
        )
        self.job_acceptor = JobAcceptor(
            zone=settings.availability_zone,
            log_client=self.log_client,
            peers=self.peers,
            instance_catalog=self.instance_catalog,
            events=self.events,
            make_own_heartbeat=self.make_heartbeat,
            enqueue=self.enqueue,
            append_timeout_s=settings.append_timeout_s,
        )
        self._link_server = make_link_server(
            settings,
            self.handle_call,
            events=self.events,
            metrics=self.metrics,
        )
        self.zone: ZoneScheduler | None = None
        self.draining = False
        self._open_call_count = 0
        self.job_registry = JobRegistry(
            zone=settings.availability_zone,
            log_client=self.log_client,
            job_acceptor=self.job_acceptor,
            peers=self.peers,
            get_zone_scheduler=lambda: self.zone,
            is_draining=lambda: self.draining,
        )
        self._maintenance = PeriodicMaintenance(
            settings,
            log_client=self.log_client,
            job_acceptor=self.job_acceptor,
            peers=self.peers,
            leader_election=self.leader_election,
            metrics=self.metrics,
            get_zone_scheduler=lambda: self.zone,
        )
        self._faults = FaultPoints(settings.fault_points)
        self._tasks: anyio.abc.TaskGroup | None = None
        self.log_client.add_record_listener(self._on_record)
        self.leader_election.set_change_listener(self._on_leadership_change)

    @asynccontextmanager
    async def running(self) -> AsyncIterator[SchedulerProcess]:
        """Runs the process for the duration of the block.

        All tasks end before the connections that they use are closed.
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
        """Starts all components."""
        self._tasks = tasks
        settings = self.settings
        await tasks.start(
            self._link_server.serve, settings.listen.host, settings.listen.port
        )
        await self.log_client.start(tasks)
        await self.peers.start(tasks)
        self.peers.set_addresses(
            PeerAddress(
                peer.instance, peer.availability_zone, peer.host, peer.port
            )
            for peer in settings.peers
        )
        await self.instance_catalog.start()
        tasks.start_soon(self.instance_catalog.run)
        tasks.start_soon(self.leader_election.run)
        tasks.start_soon(self._maintenance.run)
        self.events.emit("scheduler.started")

    async def close(self) -> None:
        """Closes all components."""
        await self.peers.close()
        await self.instance_catalog.close()
        await self.log_client.close()
        self.metrics.close()
        self.events.emit("scheduler.closed")

    async def drain(self) -> None:
        """Refuses new jobs, hands the zone over and completes open calls.

        The wait of two heartbeats lets the peers learn of the handover.
        """
        self.draining = True
        self.leader_election.draining = True
        self.events.emit("scheduler.draining")
        with anyio.move_on_after(self.settings.drain_s):
            if self.zone is not None:
                await self.zone.wait_for_launches()
            self.leader_election.step_down("draining")
            self.log_client.notify_waiters()
            await self.log_client.flush()
            await anyio.sleep(2 * self.settings.heartbeat_s)
            while self._open_call_count:
                await anyio.sleep(0.05)

    # Requests

    async def handle_call(self, message: Message) -> Message:
        """Handles a call of an entry or a peer; see `handle_message`."""
        self._open_call_count += 1
        try:
            return await handle_message(message, self)
        finally:
            self._open_call_count -= 1

    async def submit(self, job: Job) -> JobStatus:
        """Accepts a job unless draining; see `JobAcceptor.submit`."""
        if self.draining:
            raise DrainingError("this instance is draining", retry_after_s=0.1)
        return await self.job_acceptor.submit(job)

    def enqueue(self, job: Job, provisional: bool) -> None:
        """Queues a job if it belongs to this zone and this instance is active.

        Args:
            job: The job.
            provisional: Whether the job is not in the log yet.
        """
        if provisional:
            self.job_acceptor.add_provisional(job)
        if job.availability_zone != self.settings.availability_zone:
            return
        if self.zone is not None:
            self.zone.enqueue(job, provisional=provisional)

    async def publish_rules(self, document: str, author: str) -> int:
        """Publishes rules and waits until they are accepted or refused.

        Returns:
            The new version.

        Raises:
            RulesInvalidError: If the document is not valid.
            RulesConflictError: If it is not based on the version in force.
            LogUnavailableError: If it was not published.
            LogAppendUnconfirmedError: If it may still come into force.
        """
        decode_rules(document)
        publication_id = uuid.uuid4().hex
        record = RulesPublished(
            publication_id=publication_id, document=document, author=author
        )
        if not self.log_client.log_up:
            raise LogUnavailableError("the log is down", retry_after_s=5.0)
        await self.log_client.append(
            record, timeout_s=self.settings.append_timeout_s
        )
        publication_result = self.log_client.state.publication_results[
            publication_id
        ]
        if publication_result.code:
            raise make_error(
                code=publication_result.code,
                detail=publication_result.detail,
                retry_after_s=0.0,
            )
        return publication_result.version

    def apply_relayed_entries(self, entries: list[LogEntry]) -> None:
        """Applies log entries relayed by a peer."""
        for entry in entries:
            self.log_client.fold(entry)

    def make_heartbeat(self) -> Heartbeat:
        """Returns this instance's heartbeat.

        The rules version is 0 until the log is read: a restarted instance
        replays older versions that are no longer in force.
        """
        stamp = self.events.clock.tick()
        state = self.log_client.state
        own_zone = self.settings.availability_zone
        term = max(self.leader_election.newest_term, state.get_term(own_zone))
        zone = self.zone
        planner = zone.planner if zone else None
        return Heartbeat(
            instance=self.settings.instance,
            availability_zone=own_zone,
            active=self.leader_election.active,
            term_number=term.number,
            term_instance=term.instance,
            next_offset=state.next_offset,
            rules_version=state.rules_version
            if self.log_client.caught_up
            else 0,
            ready=self.log_client.caught_up,
            log_up=self.log_client.log_up,
            free_slots=planner.pools.free_slots if planner else 0,
            total_slots=planner.pools.total_slots if planner else 0,
            queued_slots=planner.queued_slots if planner else 0,
            expected_wait_s=planner.estimate_wait_s() if planner else 0.0,
            wall_s=stamp.wall_s,
            counter=stamp.counter,
            draining=self.draining,
        )

    def require_zone_scheduler(self) -> ZoneScheduler:
        """Returns the zone's scheduler.

        Raises:
            NotActiveError: If this instance is not active.
        """
        if self.zone is None:
            raise NotActiveError(
                f"{self.settings.instance!r} is not the active scheduler of its"
                " zone",
                retry_after_s=1.0,
            )
        return self.zone

    # Callbacks and tasks

    def _announce_status(self, status: JobStatus) -> None:
        self.job_registry.record_announced_status(status)
        self.peers.broadcast(FinishNotice(status))

    def _on_record(self, record: AnyRecord) -> None:
        if isinstance(record, JobAccepted):
            self.job_acceptor.remove_provisional(record.job.job_id)
        elif isinstance(record, JobFinished):
            self.job_registry.discard_announced_status(record.job_id)
        elif isinstance(record, RulesPublished):
            state = self.log_client.state
            publication_result = state.publication_results.get(
                record.publication_id,
                PublicationResult("", state.rules_version),
            )
            self.events.emit(
                "rules.refused"
                if publication_result.code
                else "rules.in_force",
                offset=publication_result.version,
                cause=publication_result.detail,
            )
            self.metrics.gauge("rules.version", publication_result.version)

    def _on_leadership_change(self) -> None:
        assert self._tasks is not None
        if self.zone is not None:
            self.zone.stop()
            self.zone = None
        if self.leader_election.active:
            self._tasks.start_soon(self._run_zone, self.leader_election.term)

    async def _run_zone(self, term: Term) -> None:
        context = ZoneContext(
            settings=self.settings,
            log_client=self.log_client,
            events=self.events,
            metrics=self.metrics,
            faults=self._faults,
            announce=self._announce_status,
            on_newer_term=self.leader_election.observe_term,
        )
        zone = ZoneScheduler(context, term)
        self.zone = zone
        for job in list(self.job_acceptor.provisional.values()):
            if job.availability_zone == self.settings.availability_zone:
                zone.add_provisional_job(job)
        workers = self.instance_catalog.list_workers(
            self.settings.availability_zone
        )
        await zone.run(workers)

    def _apply_instance_list(self) -> None:
        listed_schedulers = self.instance_catalog.list_schedulers()
        self.peers.set_addresses(
            PeerAddress(e.name, e.availability_zone, e.host, e.port)
            for e in listed_schedulers
        )
        configured_peers = {peer.instance for peer in self.settings.peers}
        instance_names = {
            entry.name for entry in listed_schedulers
        } | configured_peers
        self.peers.remove_silent_peers(
            set(self.peers.instance_names) - instance_names
        )
        if self.zone is not None:
            own_zone = self.settings.availability_zone
            self.zone.update_workers(
                self.instance_catalog.list_workers(own_zone)
            )
