"""What workers say, and what their silence means."""

from __future__ import annotations

from lagoonbeam.core.worker_pool import WorkerHealth
from lagoonbeam.endpoints.base import SyncReply, TaskReport, TaskState
from lagoonbeam.scheduler.endings import Endings
from lagoonbeam.scheduler.gang_orders import GangOrders
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.instance_catalog import make_worker_shape
from lagoonbeam.scheduler.recovery import Recovery
from lagoonbeam.scheduler.term_state import TermState
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import WorkerName


class WorkerReports:
    """Keeps gangs and the health of workers in step with their reports.

    Args:
        term: What the parts of the scheduler share.
        orders: Stops gangs.
        endings: Looks at gangs that changed.
        recovery: Takes over what this term did not launch.
    """

    def __init__(
        self,
        term: TermState,
        orders: GangOrders,
        endings: Endings,
        recovery: Recovery,
    ):
        self._term = term
        self._orders = orders
        self._endings = endings
        self._recovery = recovery
        self._shortfall = 0

    def take_sync(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Takes a worker's reply; it had `incarnation` before."""
        if incarnation not in ("", reply.incarnation):
            self._term.events.emit("worker.restarted", worker=link.name)
        if self._term.planner.pools.find_pool(link.name) is None:
            self._term.planner.add_worker(make_worker_shape(link.entry))
        link.leaving = reply.leaving
        link.reachable = True
        self.judge(link.name)
        self._keep_reports(link, reply, incarnation)
        touched = {
            gang.attempt: gang
            for gang in self._term.list_gangs_on(link.name)
            if self._mark_lost(gang, link.name, reply.incarnation)
        }
        for report in reply.tasks:
            gang = self._take_report(link, report)
            if gang is not None:
                touched[gang.attempt] = gang
        for gang in touched.values():
            self._endings.review(gang)
        self._term.wake()

    def _keep_reports(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Keeps the latest report of each task that is not forgotten."""
        kept = self._term.reports.setdefault(link.name, {})
        if incarnation != reply.incarnation:
            kept.clear()
        for task_id in link.forgotten:
            kept.pop(task_id, None)
        kept.update((report.task_id, report) for report in reply.tasks)

    def _take_report(self, link: WorkerLink, report: TaskReport) -> Gang | None:
        gang = self._term.gangs.get(report.attempt)
        if gang is None and self._term.recovered:
            self._recovery.meet_stranger(link, report)
            return None
        if gang is None:
            self._recovery.adopt(report.attempt)
            return None
        member = gang.members[report.member]
        if member.worker != link.name:
            return None
        before = member.state
        member.report = report
        if report.state is not before and report.state in (
            TaskState.COMPLETED,
            TaskState.FAILED,
        ):
            ok = report.state is TaskState.COMPLETED
            self._term.health.record_outcome(link.name, report.job_id, ok=ok)
            self.judge(link.name)
        return gang

    def take_silence(self, link: WorkerLink) -> None:
        """A worker did not answer."""
        link.reachable = False
        self.judge(link.name)
        for gang in self._term.list_gangs_on(link.name):
            if link.silent_s > self._term.lease_s / 2 and len(gang.members) > 1:
                self._orders.stop(
                    gang, f"{link.name} is silent", checkpoint=True
                )
        if link.has_lapsed:
            for gang in self._term.list_gangs_on(link.name):
                for member in gang.members:
                    if member.worker == link.name and not member.has_ended:
                        member.lost = True
                self._endings.review(gang)

    def _mark_lost(self, gang: Gang, worker: str, incarnation: str) -> bool:
        """Marks members that an earlier worker process has lost."""
        lost = [
            member
            for member in gang.members
            if member.worker == worker
            and member.incarnation not in ("", incarnation)
            and not member.has_ended
        ]
        for member in lost:
            member.lost = True
        return bool(lost)

    def list_renewals(self, worker: WorkerName) -> list[str]:
        """Returns the attempts on a worker whose gangs are whole."""
        return [
            gang.attempt
            for gang in self._term.list_gangs_on(worker)
            if gang.started and not gang.stopping and gang.is_whole
        ]

    def judge(self, name: WorkerName) -> None:
        """Opens or closes a worker to new work."""
        link = self._term.links.get(name)
        if link is None or self._term.planner.pools.find_pool(name) is None:
            return
        if not link.reachable:
            health = WorkerHealth.UNREACHABLE
        elif (
            link.leaving
            or link.entry.state == "leaving"
            or name in self._term.log_client.state.drained_workers
        ):
            health = WorkerHealth.LEAVING
        elif self._term.health.is_quarantined(name):
            health = WorkerHealth.QUARANTINED
        else:
            health = WorkerHealth.HEALTHY
        if self._term.planner.set_health(name, health):
            self._term.events.emit(
                "worker.judged", worker=name, cause=health.value
            )
            self._report_shortfall()

    def _report_shortfall(self) -> None:
        shortfall = self._term.planner.pools.shortfall_slots
        if shortfall != self._shortfall:
            self._shortfall = shortfall
            self._term.events.emit(
                "guarantee.shortfall", cause=f"{shortfall} slots"
            )
            self._term.context.metrics.gauge(
                "guarantee.shortfall_slots", shortfall
            )
