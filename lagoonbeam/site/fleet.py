"""Sessions with all workers of the worker directory."""

from __future__ import annotations

import time
from collections import defaultdict

import anyio
import anyio.abc

from lagoonbeam.core.worker_health import WorkerHealthTracker
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.lease import Lease, LeaseGrants
from lagoonbeam.site.model import WorkerReport
from lagoonbeam.site.platform_interface import (
    WorkerConnector,
    WorkerDirectory,
    ZoneEvacuations,
)
from lagoonbeam.site.records import RunKey
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.silent_workers.lease_durations import (
    SHORT_LEASE_S,
    STEADY_LEASE_S,
    LeaseDurations,
)
from lagoonbeam.site.silent_workers.silent_zones import SilentZones
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts, WorkerFence
from lagoonbeam.types import ZoneName

DIRECTORY_POLL_S = 0.4
"""Seconds between two reads of the worker directory: a fifth of the two seconds
after which a leaving worker must get no new work."""
QUARANTINE_FAILURE_STREAK = 2
"""Different jobs that have to fail in a row on one worker, while other workers
do well, for its quarantine."""
INITIAL_QUARANTINE_S = 4.0
"""Seconds of a worker's first quarantine; doubles each time its probe fails."""
MAX_QUARANTINE_S = 60.0
"""Upper limit of a worker's quarantine, in seconds."""


class WorkerFleet:
    """Keeps one session with each worker of the directory.

    Args:
        directory: The worker directory.
        connector: Creates clients for workers.
        scheduler: The scheduler, which the sessions report to.
        lease_durations: Chooses the duration of each lease.
        stop_timeout_s: Longest time that a worker takes to stop a run.
        unanswered_starts: Starts of the term that got no answer.
        decisions: The decision log.
        zone_evacuations: Zones that operators evacuate; None if the platform
            has no such requests.

    Attributes:
        sessions: The session with each worker, by name.
        evacuations: Workers that are cordoned for evacuation, by name.
        health: Failures and quarantines of the workers.
        pending_starts: Runs whose start is being journaled or has not been
            answered yet; kept here, as sessions may be replaced meanwhile.
        unanswered_starts: Starts that got no answer.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        connector: WorkerConnector,
        scheduler: SchedulerCallbacks,
        *,
        lease_durations: LeaseDurations,
        stop_timeout_s: float = 0.0,
        unanswered_starts: UnansweredStarts | None = None,
        decisions: DecisionLog,
        zone_evacuations: ZoneEvacuations | None = None,
    ):
        self.sessions: dict[str, WorkerSession] = {}
        self.evacuations: set[str] = set()
        self.pending_starts: set[RunKey] = set()
        self.unanswered_starts = unanswered_starts or UnansweredStarts(0.0)
        self.health = WorkerHealthTracker(
            time.monotonic,
            failure_threshold=QUARANTINE_FAILURE_STREAK,
            initial_quarantine_s=INITIAL_QUARANTINE_S,
            max_quarantine_s=MAX_QUARANTINE_S,
        )
        self._directory = directory
        self._connector = connector
        self._scheduler = scheduler
        self._lease_durations = lease_durations
        self._stop_timeout_s = stop_timeout_s
        self._decisions = decisions
        self._zone_evacuations = zone_evacuations
        self._lease_grants: dict[str, LeaseGrants] = defaultdict(LeaseGrants)
        self._fences: dict[str, WorkerFence] = {}
        self._evacuated_zones: frozenset[ZoneName] = frozenset()
        self._silent_zones = SilentZones(decisions)
        self._dependency_monitor = DependencyMonitor(
            "list of workers", decisions
        )

    def get_usable_sessions(self) -> dict[str, WorkerSession]:
        """Returns the sessions with workers that may get new runs, by name."""
        self._update_evacuated_zones()
        self._silent_zones.update(self.sessions.values())
        return {
            name: session
            for name, session in self.sessions.items()
            if session.is_usable
            and self.accepts_runs(name)
            and not self.health.is_quarantined(name)
        }

    def accepts_runs(self, worker: str) -> bool:
        """Whether nobody has asked that a worker get no new runs.

        Checked again after a placement was journaled, which may take seconds:
        the worker may have begun to drain or be evacuated meanwhile.
        """
        session = self.sessions.get(worker)
        return (
            session is not None
            and not session.report.is_draining
            and worker not in self.evacuations
            and session.report.availability_zone
            not in self._list_evacuated_zones()
        )

    def find_lease_expiry_s(self, worker: str) -> float:
        """Returns when all leases that sessions granted have expired.

        In monotonic time; negative infinity if no session granted any.
        """
        grants = self._lease_grants.get(worker)
        if grants is None:
            return float("-inf")
        return max(grants.expire_at_s, grants.longest_expire_at_s)

    def awaits_answer(self, worker: str) -> bool:
        """Whether new runs wait until the worker has answered a poll."""
        session = self.sessions.get(worker)
        return session is not None and session.polls.awaits_answer

    def has_incarnation(self, worker: str, incarnation: int) -> bool:
        """Whether this incarnation of a worker sent its newest poll reply."""
        session = self.sessions.get(worker)
        return session is not None and session.incarnation == incarnation

    def record_outcome(self, worker: str, job_id: str, *, ok: bool) -> None:
        """Records whether a worker completed or failed a run of a job."""
        self.health.record_outcome(worker, job_id, ok=ok)
        if not ok and self.health.is_at_fault(worker):
            self._decisions.emit(
                Event.WORKER_QUARANTINED, worker=worker, job=job_id
            )

    def _list_evacuated_zones(self) -> frozenset[ZoneName]:
        if self._zone_evacuations is None:
            return frozenset()
        return self._zone_evacuations.list_evacuated_zones()

    def _update_evacuated_zones(self) -> None:
        """Logs a change of the evacuated zones."""
        zones = self._list_evacuated_zones()
        if zones == self._evacuated_zones:
            return
        self._evacuated_zones = zones
        workers = [
            name
            for name, session in self.sessions.items()
            if session.report.availability_zone in zones
        ]
        self._decisions.emit(
            Event.ZONES_EVACUATED, zones=sorted(zones), workers=len(workers)
        )

    def find_tasks_outlasting_drain(self) -> list[tuple[str, Task]]:
        """Returns tasks that outlast their draining worker, with its name."""
        return [
            (name, task)
            for name, session in self.sessions.items()
            if session.report.is_draining
            for task in session.find_tasks_outlasting_drain()
        ]

    def stop_unit(self, unit: PlacementUnit, cause: str) -> None:
        """Stops the runs of all tasks of a unit."""
        for task in unit.tasks:
            placement = task.placement
            if placement is None:
                continue
            session = self.sessions.get(placement.worker)
            if session is not None:
                session.dispatcher.request_stop(
                    task.task_id, placement.run, cause
                )

    async def run(self) -> None:
        """Polls the directory and runs the sessions until cancelled."""
        durations = self._lease_durations
        if durations.is_shortened:
            self._decisions.emit(
                Event.LEASES_SHORTENED,
                short_s=SHORT_LEASE_S,
                steady_s=STEADY_LEASE_S,
                longest_s=durations.max_s,
            )
        async with anyio.create_task_group() as tasks:
            while True:
                await self._dependency_monitor.run(
                    lambda: self._refresh_sessions(tasks)
                )
                await anyio.sleep(DIRECTORY_POLL_S)

    async def _refresh_sessions(self, tasks: anyio.abc.TaskGroup) -> None:
        reports = await self._directory.list_workers()
        self._update_sessions(reports)
        for name, report in reports.items():
            if name not in self.sessions:
                session = self._open_session(report)
                tasks.start_soon(self._run_session, session)

    def _update_sessions(self, reports: dict[str, WorkerReport]) -> None:
        for name, session in list(self.sessions.items()):
            report = reports.get(name)
            if report is None:
                session.is_listed = False
            elif (
                report.incarnation == session.report.incarnation
                and not _has_moved(report, session.report)
            ):
                session.update_report(report)
            else:
                self._handle_changed_entry(session, report)

    def _handle_changed_entry(
        self, session: WorkerSession, report: WorkerReport
    ) -> None:
        """Reopens a session, unless its worker proves the entry to be stale.

        A worker that has restarted answers as the incarnation of the entry, or
        no longer answers at the address it had.
        """
        is_stale = session.is_answering and (
            session.incarnation != report.incarnation
            or _has_moved(report, session.report)
        )
        if not is_stale or session.is_listed:
            self._decisions.emit(
                Event.WORKER_ENTRY_CHANGED,
                worker=session.worker,
                incarnation=report.incarnation,
                known=session.incarnation,
                address=f"{report.host}:{report.port}",
                outcome="ignored" if is_stale else "session reopened",
            )
        if is_stale:
            session.is_listed = False
        else:
            session.close()
            del self.sessions[session.worker]

    def _open_session(self, report: WorkerReport) -> WorkerSession:
        grants = self._lease_grants[report.worker]
        lease = Lease(
            self._lease_durations.max_s,
            max(
                self._scheduler.find_prior_lease_expiry_s(report.worker),
                grants.longest_expire_at_s,
            ),
            grants,
            stop_timeout_s=self._stop_timeout_s,
            choose_lease_s=lambda: self._choose_lease_s(report.worker),
        )
        fence = self._fences.setdefault(
            report.worker, WorkerFence(self._scheduler.token)
        )
        session = WorkerSession(
            report,
            self._connector.connect(report),
            self._scheduler,
            lease=lease,
            fence=fence,
            pending_starts=self.pending_starts,
            unanswered_starts=self.unanswered_starts,
            decisions=self._decisions,
        )
        self.sessions[report.worker] = session
        return session

    def _choose_lease_s(self, worker: str) -> float:
        tasks = self._scheduler.state.tasks_by_worker.get(worker, {})
        return self._lease_durations.choose_s(tasks.values())

    async def _run_session(self, session: WorkerSession) -> None:
        try:
            await session.run()
        except Exception as error:
            # A worker that cannot be talked to must not end the scheduler.
            self._decisions.emit(
                Event.WORKER_SESSION_FAILED,
                worker=session.worker,
                cause=repr(error),
            )
        finally:
            if self.sessions.get(session.worker) is session:
                del self.sessions[session.worker]


def _has_moved(report: WorkerReport, known: WorkerReport) -> bool:
    """Whether a report names another address than the known one."""
    return (report.host, report.port) != (known.host, known.port)
