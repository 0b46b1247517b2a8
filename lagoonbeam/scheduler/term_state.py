"""What the parts of a zone's scheduler share during one term."""

from __future__ import annotations

import time
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.fault_points import FaultPoints
from lagoonbeam.core.jobs import JobStatus
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.records import Term
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.core.worker_health import WorkerHealthTracker
from lagoonbeam.endpoints.base import TaskReport
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.launcher import Launcher
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.outcome_writer import OutcomeWriter
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import JobId, TaskId, WorkerName


@dataclass
class ZoneContext:
    """What a term's scheduler shares with its instance.

    Attributes:
        settings: The instance's settings.
        log_client: The log client.
        events: Where events go.
        metrics: Where metrics go.
        faults: Steps at which a test ends the process.
        announce: Tells the peers and the local entry a job's status.
        on_stale: Called when a worker obeys a newer term.
    """

    settings: SchedulerSettings
    log_client: LogClient
    events: EventLog
    metrics: StatsdMetrics
    faults: FaultPoints
    announce: Callable[[JobStatus], None]
    on_stale: Callable[[Term], None]


class TermState:
    """Queue, gangs and workers of a zone during one term.

    Args:
        context: What the term shares with its instance.
        term: The term.

    Attributes:
        gangs: Gangs by attempt.
        by_job: Gangs by job.
        reports: The latest report of each task, by worker.
        fresh: Jobs accepted in this term.
        touched: Jobs that were launched in this term.
        blamed: Workers on which each job failed.
        recovered: Whether it is known what an earlier term left running.
    """

    def __init__(self, context: ZoneContext, term: Term):
        self.context = context
        self.term = term
        self.zone = context.settings.availability_zone
        self.lease_s = context.settings.endpoints.lease_s
        self.events = context.events
        self.log_client = context.log_client
        self.recovered = False
        self.links: dict[WorkerName, WorkerLink] = {}
        self.planner = Planner(self.zone, now=time.monotonic)
        self.health = WorkerHealthTracker(time.monotonic)
        self.gangs: dict[str, Gang] = {}
        self.by_job: dict[JobId, Gang] = {}
        self.reports: dict[WorkerName, dict[TaskId, TaskReport]] = {}
        self.fresh: set[JobId] = set()
        self.touched: set[JobId] = set()
        self.blamed: dict[JobId, set[WorkerName]] = {}
        self.launcher = Launcher(
            links=self.links,
            term=term,
            zone=self.zone,
            log_client=context.log_client,
            faults=context.faults,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self.outcomes = OutcomeWriter(
            log_client=context.log_client,
            events=context.events,
            metrics=context.metrics,
            faults=context.faults,
            announce=context.announce,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self.tasks: anyio.abc.TaskGroup | None = None
        self._wake = anyio.Event()

    def wake(self) -> None:
        """Looks at the queue soon."""
        self._wake.set()

    async def wait(self, longest_s: float) -> None:
        """Waits until the queue is to be looked at."""
        with anyio.move_on_after(longest_s):
            await self._wake.wait()
        self._wake = anyio.Event()

    def list_gangs_on(self, worker: WorkerName) -> list[Gang]:
        """Returns the gangs with a member on a worker."""
        return [
            gang
            for gang in self.gangs.values()
            if any(member.worker == worker for member in gang.members)
        ]

    def forget(self, gang: Gang) -> None:
        """Drops a gang that runs no more."""
        self.gangs.pop(gang.attempt, None)
        if self.by_job.get(gang.job.job_id) is gang:
            del self.by_job[gang.job.job_id]
        if gang.job.idempotent and not gang.has_completed:
            for member in gang.members:
                link = self.links.get(member.worker)
                if link is not None and member.has_ended:
                    link.forget.add(member.order.task_id)

    def emit(self, name: str, gang: Gang, *, cause: str = "") -> None:
        """Writes an event about a gang."""
        self.events.emit(
            name,
            job=gang.job.job_id,
            attempt=gang.attempt,
            organisation=gang.job.organisation,
            term=self.term.number,
            cause=cause,
        )
