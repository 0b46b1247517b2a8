"""Snapshots, what could not be written in an outage, and gauges."""

from __future__ import annotations

import logging
import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.metrics import Metrics
from lagoonbeam.core.records import JobAccepted
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.errors import LogUnavailableError, LogUncertainError
from lagoonbeam.scheduler.intake import Intake
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.leadership import Leadership
from lagoonbeam.scheduler.peers import Peers
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler

HOUSEKEEPING_S = 1.0
"""Time between two looks at snapshots and at what the log misses."""

_LOGGER = logging.getLogger(__name__)


class Housekeeping:
    """Does from time to time what no call asks for.

    Args:
        settings: The instance's settings.
        journal: The log client.
        intake: Accepted jobs that the log does not have yet.
        peers: The other instances.
        leadership: Whether this one schedules its zone.
        metrics: Where gauges go.
        get_zone: Returns the zone's scheduler while active.
    """

    def __init__(
        self,
        settings: SchedulerSettings,
        *,
        journal: Journal,
        intake: Intake,
        peers: Peers,
        leadership: Leadership,
        metrics: Metrics,
        get_zone: Callable[[], ZoneScheduler | None],
    ):
        self._settings = settings
        self._journal = journal
        self._intake = intake
        self._peers = peers
        self._leadership = leadership
        self._metrics = metrics
        self._get_zone = get_zone

    async def run(self) -> None:
        """Keeps house until cancelled."""
        while True:
            await anyio.sleep(HOUSEKEEPING_S)
            self._report_metrics()
            if not (self._journal.log_up and self._journal.caught_up):
                continue
            self._append_provisional()
            if self._is_snapshot_due():
                try:
                    await self._journal.take_snapshot(
                        timeout_s=self._settings.append_timeout_s
                    )
                except (LogUnavailableError, LogUncertainError) as error:
                    _LOGGER.warning("snapshot: %s", error)

    def _append_provisional(self) -> None:
        old_s = time.time() - HOUSEKEEPING_S
        for job in list(self._intake.provisional.values()):
            if job.accepted_at_s < old_s:
                self._intake.settle(job.job_id)
                self._journal.append_later(JobAccepted(job=job))

    def _is_snapshot_due(self) -> bool:
        """The first live instance writes snapshots, for all."""
        due = self._settings.log.snapshot_entries
        if self._journal.entries_since_snapshot < due:
            return False
        others = (h.instance for h in self._peers.iterate_fresh() if h.ready)
        return all(self._settings.instance < other for other in others)

    def _report_metrics(self) -> None:
        self._metrics.gauge("log.up", int(self._journal.log_up))
        self._metrics.gauge("scheduler.active", int(self._leadership.active))
        self._metrics.gauge("log.next_offset", self._journal.state.next_offset)
        zone = self._get_zone()
        if zone is not None:
            planner = zone.planner
            self._metrics.gauge("slots.free", planner.pools.free_slots)
            self._metrics.gauge("slots.total", planner.pools.total_slots)
            self._metrics.gauge("queue.slots", planner.queued_slots)
