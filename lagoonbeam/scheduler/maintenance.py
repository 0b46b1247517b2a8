"""Periodic maintenance: snapshots, delayed log records and metrics."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.records import JobAccepted
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.job_acceptor import JobAcceptor
from lagoonbeam.scheduler.leader_election import LeaderElection
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.peer_links import PeerLinks
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler

MAINTENANCE_INTERVAL_S = 1.0
"""Interval between two rounds of maintenance."""

_LOGGER = logging.getLogger(__name__)


class PeriodicMaintenance:
    """Writes snapshots, logs provisional jobs and updates gauges.

    Args:
        settings: Settings of the process.
        log_client: The log client.
        job_acceptor: Has the accepted jobs that are not in the log yet.
        peers: Links to the other schedulers.
        leader_election: Tells whether this instance is active.
        metrics: Receives the gauges.
        get_zone_scheduler: Returns the zone's scheduler; None unless this
            instance is active.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        *,
        log_client: LogClient,
        job_acceptor: JobAcceptor,
        peers: PeerLinks,
        leader_election: LeaderElection,
        metrics: StatsdMetrics,
        get_zone_scheduler: Callable[[], ZoneScheduler | None],
    ):
        self._settings = settings
        self._log_client = log_client
        self._job_acceptor = job_acceptor
        self._peers = peers
        self._leader_election = leader_election
        self._metrics = metrics
        self._get_zone_scheduler = get_zone_scheduler

    async def run(self) -> None:
        """Runs the maintenance rounds until cancelled."""
        while True:
            await anyio.sleep(MAINTENANCE_INTERVAL_S)
            self._report_metrics()
            if not (self._log_client.log_up and self._log_client.caught_up):
                continue
            self._append_provisional_jobs()
            if self._is_snapshot_due():
                try:
                    await self._log_client.take_snapshot(
                        timeout_s=self._settings.append_timeout_s
                    )
                except (
                    LogUnavailableError,
                    LogAppendUnconfirmedError,
                ) as error:
                    _LOGGER.warning("could not write a snapshot: %s", error)

    def _append_provisional_jobs(self) -> None:
        max_accepted_at_s = time.time() - MAINTENANCE_INTERVAL_S
        for job in list(self._job_acceptor.provisional.values()):
            if job.accepted_at_s < max_accepted_at_s:
                self._job_acceptor.remove_provisional(job.job_id)
                self._log_client.append_in_background(JobAccepted(job=job))

    def _is_snapshot_due(self) -> bool:
        """Whether this instance should write a snapshot now.

        Of the live instances that are ready, the one with the lowest name
        writes snapshots.
        """
        min_records = self._settings.log.snapshot_entries
        if self._log_client.records_since_snapshot < min_records:
            return False
        other_instances = (
            heartbeat.instance
            for heartbeat in self._peers.iterate_live_heartbeats()
            if heartbeat.ready
        )
        return all(self._settings.instance < other for other in other_instances)

    def _report_metrics(self) -> None:
        self._metrics.gauge("log.up", int(self._log_client.log_up))
        self._metrics.gauge(
            "scheduler.active", int(self._leader_election.active)
        )
        self._metrics.gauge(
            "log.next_offset", self._log_client.state.next_offset
        )
        zone = self._get_zone_scheduler()
        if zone is not None:
            planner = zone.planner
            self._metrics.gauge("slots.free", planner.pools.free_slots)
            self._metrics.gauge("slots.total", planner.pools.total_slots)
            self._metrics.gauge("queue.slots", planner.queued_slots)
