"""Recovers gangs, launches and queued jobs of earlier terms."""

from __future__ import annotations

import time

import anyio

from lagoonbeam.core.encoded_state import LoggedJob
from lagoonbeam.core.jobs import JobOutcome
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.records import JobAccepted, Term
from lagoonbeam.endpoints.base import TaskReport
from lagoonbeam.errors import StaleTermError, WorkerError
from lagoonbeam.scheduler.gang_builder import adopt_gang, decode_annotation
from lagoonbeam.scheduler.gang_stopper import GangStopper
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.job_completion import JobCompletionHandler
from lagoonbeam.scheduler.term_state import TermState
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import TaskId, WorkerName

LAUNCH_RESOLUTION_TIMEOUT_S = 60.0
"""Longest wait until all workers of an intended launch are reachable."""
LAUNCH_RESOLUTION_POLL_S = 0.25
"""Interval at which it is checked whether they are."""


class TakeoverRecovery:
    """Adopts running gangs and resolves launch intents of earlier terms.

    Args:
        term_state: State shared by the components of the zone scheduler.
        gang_stopper: Voids launch intents.
        completion_handler: Handles adopted gangs whose members have ended.
    """

    def __init__(
        self,
        term_state: TermState,
        gang_stopper: GangStopper,
        completion_handler: JobCompletionHandler,
    ):
        self._term_state = term_state
        self._gang_stopper = gang_stopper
        self._completion_handler = completion_handler
        self._created_s = time.monotonic()

    async def run(self) -> None:
        """Adopts running gangs, then queues the unfinished jobs of the log.

        Waits first, for at most one lease, until every worker has reported
        its tasks, so that a job that still runs is not queued.
        """
        with anyio.move_on_after(self._term_state.lease_s):
            while not (
                self._term_state.worker_links
                and all(
                    link.synced
                    for link in self._term_state.worker_links.values()
                )
            ):
                await anyio.sleep(0.05)
        self._term_state.recovered = True
        attempts = {
            report.attempt
            for task_reports in self._term_state.task_reports.values()
            for report in task_reports.values()
        }
        for attempt in sorted(attempts):
            self.try_adopt(attempt)
        adopted_count = len(self._term_state.gangs)
        unfinished_entries = [
            entry
            for entry in (
                self._term_state.log_client.state
            ).iterate_unfinished_jobs(self._term_state.zone_name)
            if entry.job.job_id not in self._term_state.planner.jobs
            and not self._term_state.outcome_writer.is_finished(
                entry.job.job_id
            )
        ]
        for entry in unfinished_entries:
            if entry.intent is None:
                self._term_state.planner.submit(entry.job)
            else:
                self.resolve_intended_launch(entry)
        for job in list(self._term_state.outcome_writer.provisional.values()):
            if not self._term_state.outcome_writer.is_finished(job.job_id):
                self._term_state.planner.submit(job)
        self._term_state.events.emit(
            "scheduler.recovered",
            term=self._term_state.term.number,
            cause=f"{adopted_count} gangs adopted,"
            f" {len(unfinished_entries)} jobs queued, after"
            f" {time.monotonic() - self._created_s:.2f} s",
        )
        self._term_state.request_pass()

    def resolve_intended_launch(self, entry: LoggedJob) -> None:
        """Starts to determine whether another scheduler launched a job."""
        assert self._term_state.task_group is not None
        self._term_state.task_group.start_soon(
            self._resolve_intended_launch, entry
        )

    def handle_unknown_task(self, link: WorkerLink, report: TaskReport) -> None:
        """Adopts, stops or discards a task that this term did not launch."""
        self.try_adopt(report.attempt)
        if report.attempt in self._term_state.gangs:
            return
        if report.state.has_ended:
            if self._is_report_disposable(report):
                link.forgettable_tasks.add(report.task_id)
            return
        assert self._term_state.task_group is not None
        self._term_state.task_group.start_soon(
            self._stop_unknown_task, link, report.task_id
        )

    def _is_report_disposable(self, report: TaskReport) -> bool:
        """Returns whether the worker may forget an ended task.

        The report of a non-idempotent job is kept until the log has the
        outcome, as evidence that the job was started.
        """
        annotation = decode_annotation(report)
        return (
            annotation is None
            or annotation.job.idempotent
            or self._term_state.outcome_writer.is_outcome_in_log(report.job_id)
        )

    async def _stop_unknown_task(
        self, link: WorkerLink, task_id: TaskId
    ) -> None:
        try:
            await link.driver.stop(
                self._term_state.term, [task_id], checkpoint=False
            )
        except StaleTermError as error:
            self._term_state.context.on_newer_term(
                Term(error.number, error.instance)
            )
        except WorkerError:
            return

    def try_adopt(self, attempt: str) -> None:
        """Adopts a gang of an earlier term if all its members are reported."""
        if attempt in self._term_state.gangs:
            return
        attempt_reports = [
            (name, report)
            for name, reports_by_task in self._term_state.task_reports.items()
            for report in reports_by_task.values()
            if report.attempt == attempt
        ]
        job_id = attempt_reports[0][1].job_id if attempt_reports else ""
        if (
            not attempt_reports
            or job_id in self._term_state.gangs_by_job
            or self._term_state.outcome_writer.is_finished(job_id)
        ):
            return
        incarnations = {
            worker_name: link.incarnation
            for worker_name, link in self._term_state.worker_links.items()
        }
        gang = adopt_gang(
            self._term_state.planner, attempt_reports, incarnations
        )
        if gang is None:
            return
        self._term_state.gangs[attempt] = gang
        self._term_state.gangs_by_job[job_id] = gang
        self._term_state.jobs_launched_in_term.add(job_id)
        if job_id not in self._term_state.log_client.state.jobs:
            self._term_state.outcome_writer.provisional[job_id] = gang.job
            self._term_state.log_client.append_in_background(
                JobAccepted(job=gang.job)
            )
        self._term_state.emit("gang.adopted", gang)
        self._completion_handler.handle_gang_change(gang)

    async def _resolve_intended_launch(self, entry: LoggedJob) -> None:
        """Determines whether a launch that an earlier term intended took place.

        The job is queued again if all workers of the launch have answered,
        have not restarted since the intent and report no started task of it.
        Otherwise its outcome is unknown.
        """
        job, intent = entry.job, entry.intent
        assert intent is not None
        deadline_s = time.monotonic() + LAUNCH_RESOLUTION_TIMEOUT_S
        while time.monotonic() < deadline_s:
            if (
                job.job_id in self._term_state.gangs_by_job
                or self._term_state.outcome_writer.is_finished(job.job_id)
            ):
                return
            worker_links = [
                self._term_state.worker_links.get(m.worker)
                for m in intent.members
            ]
            workers_reachable = [
                link is not None and link.synced and link.reachable
                for link in worker_links
            ]
            if all(workers_reachable):
                break
            await anyio.sleep(LAUNCH_RESOLUTION_POLL_S)
        is_proven_unstarted = all(
            link is not None
            and link.synced
            and link.incarnation == member.incarnation
            and not self._has_started_task(member.worker, intent.attempt)
            for link, member in zip(worker_links, intent.members, strict=True)
        )
        if (
            job.job_id in self._term_state.gangs_by_job
            or self._term_state.outcome_writer.is_finished(job.job_id)
        ):
            return
        if not is_proven_unstarted:
            self._term_state.outcome_writer.record_outcome(
                job,
                JobOutcome.UNKNOWN,
                "the job may have been started and its workers cannot rule it"
                " out; it is not repeated because it is not idempotent",
            )
            return
        planned = PlannedJob(job, time.monotonic())
        await self._gang_stopper.void_launch_intent(
            Gang(planned, intent.attempt)
        )
        self._term_state.planner.submit(job)
        self._term_state.request_pass()

    def _has_started_task(self, worker: WorkerName, attempt: str) -> bool:
        task_reports = self._term_state.task_reports.get(worker, {}).values()
        return any(
            report.attempt == attempt and report.started
            for report in task_reports
        )
