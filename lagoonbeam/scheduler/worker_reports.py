"""Applies the task reports of workers, or the lack of them, to the state."""

from __future__ import annotations

from lagoonbeam.core.worker_pool import WorkerHealth
from lagoonbeam.endpoints.base import SyncReply, TaskReport, TaskState
from lagoonbeam.scheduler.gang_stopper import GangStopper
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.instance_catalog import make_worker_shape
from lagoonbeam.scheduler.job_completion import JobCompletionHandler
from lagoonbeam.scheduler.takeover_recovery import TakeoverRecovery
from lagoonbeam.scheduler.term_state import TermState
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import WorkerName


class WorkerReportHandler:
    """Updates gangs and worker health from the reports of workers.

    Args:
        term_state: State shared by the components of the zone scheduler.
        gang_stopper: Stops gangs.
        completion_handler: Handles gangs whose members changed.
        takeover_recovery: Handles tasks that this term did not launch.
    """

    def __init__(
        self,
        term_state: TermState,
        gang_stopper: GangStopper,
        completion_handler: JobCompletionHandler,
        takeover_recovery: TakeoverRecovery,
    ):
        self._term_state = term_state
        self._gang_stopper = gang_stopper
        self._completion_handler = completion_handler
        self._takeover_recovery = takeover_recovery
        self._reported_shortfall = 0

    def handle_sync_reply(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Applies a reply of a worker.

        Args:
            link: Link to the worker.
            reply: The reply.
            incarnation: Incarnation of the worker before the reply; empty for
                the first reply.
        """
        if incarnation not in ("", reply.incarnation):
            self._term_state.events.emit("worker.restarted", worker=link.name)
        if self._term_state.planner.pools.find_pool(link.name) is None:
            self._term_state.planner.add_worker(make_worker_shape(link.entry))
        link.leaving = reply.leaving
        link.reachable = True
        self.update_worker_health(link.name)
        self._store_reports(link, reply, incarnation)
        changed_gangs = {
            gang.attempt: gang
            for gang in self._term_state.list_gangs_on_worker(link.name)
            if link.have_leases_at_earlier_urls_expired
            and self._mark_members_lost(gang, link.name, reply.incarnation)
        }
        for report in reply.tasks:
            gang = self._apply_report(link, report)
            if gang is not None:
                changed_gangs[gang.attempt] = gang
        for gang in changed_gangs.values():
            self._completion_handler.handle_gang_change(gang)
        self._term_state.request_pass()

    def _store_reports(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Stores the latest reports and removes those of forgotten tasks."""
        stored_reports = self._term_state.task_reports.setdefault(link.name, {})
        if incarnation != reply.incarnation:
            stored_reports.clear()
        for task_id in link.forgotten_tasks:
            stored_reports.pop(task_id, None)
        stored_reports.update(
            (report.task_id, report) for report in reply.tasks
        )

    def _apply_report(
        self, link: WorkerLink, report: TaskReport
    ) -> Gang | None:
        gang = self._term_state.gangs.get(report.attempt)
        if gang is None and self._term_state.recovered:
            self._takeover_recovery.handle_unknown_task(link, report)
            return None
        if gang is None:
            self._takeover_recovery.try_adopt(report.attempt)
            return None
        member = gang.members[report.member]
        if member.worker != link.name:
            return None
        previous_state = member.state
        member.report = report
        if report.state is not previous_state and report.state in (
            TaskState.COMPLETED,
            TaskState.FAILED,
        ):
            ok = report.state is TaskState.COMPLETED
            self._term_state.health.record_outcome(
                link.name, report.job_id, ok=ok
            )
            self.update_worker_health(link.name)
        return gang

    def handle_no_response(self, link: WorkerLink) -> None:
        """Handles a request that a worker did not answer.

        Gangs with several members are stopped after half a lease, so that no
        partial gang keeps running. Members on the worker count as lost only
        when their leases have certainly expired.
        """
        link.reachable = False
        self.update_worker_health(link.name)
        for gang in self._term_state.list_gangs_on_worker(link.name):
            if (
                link.silence_s > self._term_state.lease_s / 2
                and len(gang.members) > 1
            ):
                self._gang_stopper.stop(
                    gang, f"{link.name} does not answer", checkpoint=True
                )
        if link.have_leases_expired:
            for gang in self._term_state.list_gangs_on_worker(link.name):
                for member in gang.members:
                    if member.worker == link.name and not member.has_ended:
                        member.lost = True
                self._completion_handler.handle_gang_change(gang)

    def _mark_members_lost(
        self, gang: Gang, worker: str, incarnation: str
    ) -> bool:
        """Marks members as lost that an earlier incarnation of a worker ran."""
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

    def list_renewable_attempts(self, worker: WorkerName) -> list[str]:
        """Returns the attempts on a worker whose leases are to be renewed."""
        return [
            gang.attempt
            for gang in self._term_state.list_gangs_on_worker(worker)
            if gang.started and not gang.stopping and gang.is_intact
        ]

    def update_worker_health(self, name: WorkerName) -> None:
        """Sets the health of a worker; only a healthy one gets new work."""
        link = self._term_state.worker_links.get(name)
        if (
            link is None
            or self._term_state.planner.pools.find_pool(name) is None
        ):
            return
        if not link.reachable:
            health = WorkerHealth.UNREACHABLE
        elif (
            link.leaving
            or link.entry.state == "leaving"
            or name in self._term_state.log_client.state.drained_workers
        ):
            health = WorkerHealth.LEAVING
        elif self._term_state.health.is_quarantined(name):
            health = WorkerHealth.QUARANTINED
        else:
            health = WorkerHealth.HEALTHY
        if self._term_state.planner.set_health(name, health):
            self._term_state.events.emit(
                "worker.judged", worker=name, cause=health.value
            )
            self._emit_shortfall_change()

    def _emit_shortfall_change(self) -> None:
        shortfall = self._term_state.planner.pools.shortfall_slots
        if shortfall != self._reported_shortfall:
            self._reported_shortfall = shortfall
            self._term_state.events.emit(
                "guarantee.shortfall", cause=f"{shortfall} slots"
            )
            self._term_state.context.metrics.gauge(
                "guarantee.shortfall_slots", shortfall
            )
