"""The sessions with all listed workers."""

from __future__ import annotations

import time

import anyio
import anyio.abc

from lagoonbeam.core.health import HealthTracker
from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.dependency import DependencyWatch
from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import WorkerReport
from lagoonbeam.site.platform_interface import WorkerConnector, WorkerDirectory
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks
from lagoonbeam.site.session import WorkerSession

DIRECTORY_S = 0.4
"""Seconds between two readings of the list of workers; a leaving worker is
known within a fifth of the two seconds after which it must get no work."""
FAILED_STREAK = 2
"""Different jobs failed in a row on one worker, while others do well, that
put it into quarantine."""
QUARANTINE_S = 4.0
"""First quarantine of a worker; doubles each time its probe fails."""
LONGEST_QUARANTINE_S = 60.0
"""Longest quarantine of a worker."""


class Fleet:
    """Keeps a session with each worker of the directory.

    Args:
        directory: The list of workers.
        connector: Makes clients for workers.
        owner: The scheduler.
        lease_s: Seconds of each lease.
        decisions: The decision log.
    """

    def __init__(
        self,
        directory: WorkerDirectory,
        connector: WorkerConnector,
        owner: SchedulerCallbacks,
        *,
        lease_s: float,
        decisions: Decisions,
    ):
        self.sessions: dict[str, WorkerSession] = {}
        self.vacating: set[str] = set()
        self.health = HealthTracker(
            time.monotonic,
            streak=FAILED_STREAK,
            first_pause_s=QUARANTINE_S,
            max_pause_s=LONGEST_QUARANTINE_S,
        )
        self._directory = directory
        self._connector = connector
        self._owner = owner
        self._lease_s = lease_s
        self._decisions = decisions
        self._watch = DependencyWatch("list of workers", decisions)

    def get_usable(self) -> dict[str, WorkerSession]:
        """Returns the sessions with workers that may get new runs."""
        return {
            name: session
            for name, session in self.sessions.items()
            if session.is_usable
            and name not in self.vacating
            and not self.health.is_quarantined(name)
        }

    def find_tasks_outlasting_drain(self) -> list[tuple[str, Task]]:
        """Returns runs that their worker will not let end, with its name."""
        return [
            (name, task)
            for name, session in self.sessions.items()
            if session.report.is_draining
            for task in session.find_tasks_outlasting_drain()
        ]

    async def run(self) -> None:
        """Follows the directory until cancelled."""
        async with anyio.create_task_group() as tasks:
            while True:
                await self._watch.run(lambda: self._follow(tasks))
                await anyio.sleep(DIRECTORY_S)

    async def _follow(self, tasks: anyio.abc.TaskGroup) -> None:
        reports = await self._directory.list_workers()
        self._update(reports)
        for name, report in reports.items():
            if name not in self.sessions:
                session = self._open_session(report)
                tasks.start_soon(self._run_session, session)

    def _update(self, reports: dict[str, WorkerReport]) -> None:
        for name, session in list(self.sessions.items()):
            report = reports.get(name)
            if report is None:
                session.is_listed = False
            elif report.incarnation == session.report.incarnation:
                session.update_report(report)
            else:
                session.close()
                del self.sessions[name]

    def _open_session(self, report: WorkerReport) -> WorkerSession:
        session = WorkerSession(
            report,
            self._connector.connect(report),
            self._owner,
            lease_s=self._lease_s,
            decisions=self._decisions,
        )
        self.sessions[report.worker] = session
        return session

    async def _run_session(self, session: WorkerSession) -> None:
        try:
            await session.run()
        finally:
            if self.sessions.get(session.worker) is session:
                del self.sessions[session.worker]
