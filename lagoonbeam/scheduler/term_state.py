"""State that the components of a zone scheduler share during one term."""

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
from lagoonbeam.scheduler.gang_launcher import GangLauncher
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.outcome_writer import OutcomeWriter
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import JobId, TaskId, WorkerName


@dataclass
class ZoneContext:
    """Services of the scheduler process that a zone scheduler uses.

    Attributes:
        settings: Settings of the instance.
        log_client: The log client.
        events: Event log.
        metrics: Emits the metrics.
        faults: Fault points, at which a test can end the process.
        announce: Sends the status of a job to the peers and makes it known in
            this process.
        on_newer_term: Called with a newer term of the zone, seen in the log
            or reported by a worker.
    """

    settings: SchedulerSettings
    log_client: LogClient
    events: EventLog
    metrics: StatsdMetrics
    faults: FaultPoints
    announce: Callable[[JobStatus], None]
    on_newer_term: Callable[[Term], None]


class TermState:
    """Queue, gangs and workers of a zone during one term.

    Args:
        context: Services of the scheduler process.
        term: The term.

    Attributes:
        gangs: Gangs by attempt.
        gangs_by_job: Gangs by job.
        task_reports: The latest report of each task, by worker.
        jobs_accepted_in_term: Unfinished jobs that were accepted in this term,
            which no earlier term can have started.
        jobs_launched_in_term: Unfinished jobs of which this term adopted a
            gang or may have started one.
        failed_workers: Workers on which each job failed.
        recovered: Whether the workers have reported the tasks of earlier terms
            or the wait for these reports has timed out.
    """

    def __init__(self, context: ZoneContext, term: Term):
        self.context = context
        self.term = term
        self.zone_name = context.settings.availability_zone
        self.lease_s = context.settings.endpoints.lease_s
        self.events = context.events
        self.log_client = context.log_client
        self.recovered = False
        self.worker_links: dict[WorkerName, WorkerLink] = {}
        self.planner = Planner(self.zone_name, now=time.monotonic)
        self.health = WorkerHealthTracker(time.monotonic)
        self.gangs: dict[str, Gang] = {}
        self.gangs_by_job: dict[JobId, Gang] = {}
        self.task_reports: dict[WorkerName, dict[TaskId, TaskReport]] = {}
        self.jobs_accepted_in_term: set[JobId] = set()
        self.jobs_launched_in_term: set[JobId] = set()
        self.failed_workers: dict[JobId, set[WorkerName]] = {}
        self.gang_launcher = GangLauncher(
            worker_links=self.worker_links,
            term=term,
            zone_name=self.zone_name,
            log_client=context.log_client,
            faults=context.faults,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self.outcome_writer = OutcomeWriter(
            log_client=context.log_client,
            events=context.events,
            metrics=context.metrics,
            faults=context.faults,
            announce=context.announce,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self.task_group: anyio.abc.TaskGroup | None = None
        self._pass_requested = anyio.Event()

    def request_pass(self) -> None:
        """Requests a scheduling pass as soon as possible."""
        self._pass_requested.set()

    async def wait_for_pass_request(self, timeout_s: float) -> None:
        """Waits for a requested scheduling pass, or for the time-out."""
        with anyio.move_on_after(timeout_s):
            await self._pass_requested.wait()
        self._pass_requested = anyio.Event()

    def list_gangs_on_worker(self, worker: WorkerName) -> list[Gang]:
        """Returns the gangs with a member on a worker."""
        return [
            gang
            for gang in self.gangs.values()
            if any(member.worker == worker for member in gang.members)
        ]

    def remove_gang(self, gang: Gang) -> None:
        """Removes a gang that does not run any more.

        The workers may then forget the ended tasks of an idempotent job that
        has not completed. Other reports are kept until the log has the
        outcome: they are evidence that the job was started or completed.
        """
        self.gangs.pop(gang.attempt, None)
        if self.gangs_by_job.get(gang.job.job_id) is gang:
            del self.gangs_by_job[gang.job.job_id]
        if gang.job.idempotent and not gang.has_completed:
            for member in gang.members:
                link = self.worker_links.get(member.worker)
                if link is not None and member.has_ended:
                    link.forgettable_tasks.add(member.task_order.task_id)

    def emit(self, name: str, gang: Gang, *, cause: str = "") -> None:
        """Emits an event about a gang."""
        self.events.emit(
            name,
            job=gang.job.job_id,
            attempt=gang.attempt,
            organisation=gang.job.organisation,
            term=self.term.number,
            cause=cause,
        )
