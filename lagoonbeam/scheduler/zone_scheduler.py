"""The active scheduler of an availability zone during one term."""

from __future__ import annotations

import time
from collections.abc import Iterable
from dataclasses import replace
from functools import singledispatchmethod

import anyio

from lagoonbeam.core.jobs import Job, JobOutcome, JobPhase, JobStatus
from lagoonbeam.core.messages import WorkerStatus
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.records import (
    AnyRecord,
    EndpointDrained,
    JobAccepted,
    JobFinished,
    RulesPublished,
    Term,
    TermStarted,
)
from lagoonbeam.endpoints import ENDPOINT_DRIVERS
from lagoonbeam.errors import InvariantError, StaleTermError, UnknownJobError
from lagoonbeam.instances.base import InstanceEntry
from lagoonbeam.scheduler.decision_executor import DecisionExecutor
from lagoonbeam.scheduler.gang_stopper import GangStopper
from lagoonbeam.scheduler.job_completion import JobCompletionHandler
from lagoonbeam.scheduler.outcome_writer import describe_job
from lagoonbeam.scheduler.takeover_recovery import TakeoverRecovery
from lagoonbeam.scheduler.term_state import TermState, ZoneContext
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.scheduler.worker_reports import WorkerReportHandler
from lagoonbeam.types import JobId, WorkerName

MAX_PASS_INTERVAL_S = 0.25
"""Longest interval between two scheduling passes."""


class ZoneScheduler:
    """Schedules the jobs of one zone during one term.

    Args:
        context: Services of the scheduler process.
        term: The term.
    """

    def __init__(self, context: ZoneContext, term: Term):
        self._term_state = TermState(context, term)
        self._gang_stopper = GangStopper(self._term_state)
        self._completion_handler = JobCompletionHandler(
            self._term_state, self._gang_stopper
        )
        self._takeover_recovery = TakeoverRecovery(
            self._term_state, self._gang_stopper, self._completion_handler
        )
        self._decision_executor = DecisionExecutor(
            self._term_state,
            self._gang_stopper,
            self._completion_handler,
            self._takeover_recovery,
        )
        self._report_handler = WorkerReportHandler(
            self._term_state,
            self._gang_stopper,
            self._completion_handler,
            self._takeover_recovery,
        )
        self._launches_paused = False
        self._link_scopes: dict[WorkerName, anyio.CancelScope] = {}

    @property
    def term(self) -> Term:
        """The term."""
        return self._term_state.term

    @property
    def planner(self) -> Planner:
        """Planner of the zone, which holds the queue and the placements."""
        return self._term_state.planner

    @property
    def worker_links(self) -> dict[WorkerName, WorkerLink]:
        """Links to the workers of the zone."""
        return self._term_state.worker_links

    @property
    def recovered(self) -> bool:
        """Whether the tasks of earlier terms are known; see `TermState`."""
        return self._term_state.recovered

    async def run(self, workers: Iterable[InstanceEntry]) -> None:
        """Schedules until cancelled.

        Args:
            workers: Entries of the zone's workers in the instance list.
        """
        self._term_state.log_client.add_record_listener(self.on_record)
        self.planner.set_rules(self._term_state.log_client.state.rules)
        async with anyio.create_task_group() as task_group:
            self._term_state.task_group = task_group
            await self._term_state.outcome_writer.start(task_group)
            self.update_workers(workers)
            task_group.start_soon(self._takeover_recovery.run)
            while True:
                await self._term_state.wait_for_pass_request(
                    MAX_PASS_INTERVAL_S
                )
                self._run_pass()

    def stop(self) -> None:
        """Cancels the work of the term; gangs keep running on their workers."""
        if self._term_state.task_group is not None:
            self._term_state.task_group.cancel_scope.cancel()

    def request_pass(self) -> None:
        """Requests a scheduling pass as soon as possible."""
        self._term_state.request_pass()

    async def wait_for_launches(self) -> None:
        """Pauses scheduling and waits until no launch is in progress."""
        self._launches_paused = True
        while any(gang.launching for gang in self._term_state.gangs.values()):
            await anyio.sleep(0.02)

    def add_provisional_job(self, job: Job) -> None:
        """Adds an accepted job that the log does not contain yet.

        It is queued once the gangs of earlier terms have been adopted.
        """
        self._term_state.outcome_writer.provisional[job.job_id] = job

    def update_workers(self, entries: Iterable[InstanceEntry]) -> None:
        """Adds and replaces workers according to the instance list.

        Workers that are missing from the list are kept.
        """
        assert self._term_state.task_group is not None
        for entry in entries:
            link = self._term_state.worker_links.get(entry.name)
            if link is not None and link.entry.url == entry.url:
                link.entry = entry
                self._report_handler.update_worker_health(entry.name)
                continue
            if entry.name in self._link_scopes:
                self._link_scopes[entry.name].cancel()
            self._add_worker_link(entry)

    def list_worker_statuses(self) -> list[WorkerStatus]:
        """Returns the status of each worker."""
        statuses = []
        for pool in self._term_state.planner.pools:
            for pooled_worker in pool.workers.values():
                first = pooled_worker.first_slot
                slots = range(first, first + pooled_worker.shape.slots)
                statuses.append(
                    WorkerStatus(
                        worker=pooled_worker.shape.worker,
                        availability_zone=self._term_state.zone_name,
                        rack=pooled_worker.shape.rack,
                        state=pooled_worker.health.value,
                        slots=pooled_worker.shape.slots,
                        busy_slots=sum(
                            slot in pool.occupants for slot in slots
                        ),
                    )
                )
        return statuses

    def enqueue(self, job: Job, *, provisional: bool) -> None:
        """Queues an accepted job.

        Args:
            job: The job.
            provisional: Whether the log may not contain the job yet.
        """
        if (
            self._term_state.outcome_writer.is_finished(job.job_id)
            or job.job_id in self._term_state.planner.jobs
        ):
            return
        if (
            provisional
            and job.job_id not in self._term_state.log_client.state.jobs
        ):
            self._term_state.outcome_writer.provisional[job.job_id] = job
        self._term_state.jobs_accepted_in_term.add(job.job_id)
        self._term_state.planner.submit(job)
        self._term_state.events.emit(
            "job.queued", job=job.job_id, organisation=job.organisation
        )
        self._term_state.request_pass()

    def cancel(self, job_id: JobId) -> None:
        """Cancels a queued, launching or running job.

        Raises:
            UnknownJobError: If the job is not a job of this zone.
        """
        if self._term_state.outcome_writer.is_finished(job_id):
            return
        gang = self._term_state.gangs_by_job.get(job_id)
        if gang is not None:
            gang.cancelled = True
            self._gang_stopper.stop(gang, "cancelled", checkpoint=False)
            return
        planned = self._term_state.planner.jobs.get(job_id)
        job = planned.job if planned else self._find_logged_job(job_id)
        if job is None:
            raise UnknownJobError(
                f"got job {job_id!r}, expected one of zone"
                f" {self._term_state.zone_name!r}"
            )
        if planned is not None and planned.placement is not None:
            self._term_state.planner.abandon_placement(job_id)
            del self._term_state.planner.jobs[job_id]
        else:
            self._term_state.planner.cancel(job_id)
        self._completion_handler.finish_job_without_gang(
            job, "cancelled by its caller", JobOutcome.CANCELLED
        )

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns the status of a job, or None if it has none in this term.

        An outcome that the log contains is not included.
        """
        unlogged_status = self._term_state.outcome_writer.describe(job_id)
        if unlogged_status is not None:
            return unlogged_status
        planned = self._term_state.planner.jobs.get(job_id)
        if planned is None:
            return None
        gang = self._term_state.gangs_by_job.get(job_id)
        is_running = gang is not None and planned.started_at_s > 0
        phase_before_start = (
            JobPhase.LAUNCHING if planned.placement else JobPhase.QUEUED
        )
        status = describe_job(
            planned.job, JobPhase.RUNNING if is_running else phase_before_start
        )
        if is_running:
            running_s = time.monotonic() - planned.started_at_s
            status = replace(status, started_at_s=time.time() - running_s)
        return status

    def on_record(self, record: AnyRecord) -> None:
        """Handles a record that was just applied to the state of the log."""
        if (
            self._term_state.task_group is not None
            and not self._term_state.task_group.cancel_scope.cancel_called
        ):
            self._handle_record(record)

    @singledispatchmethod
    def _handle_record(self, record: AnyRecord) -> None:
        """Ignores records of other types."""

    @_handle_record.register
    def _(self, record: RulesPublished) -> None:
        self._term_state.planner.set_rules(
            self._term_state.log_client.state.rules
        )
        self._term_state.request_pass()

    @_handle_record.register
    def _(self, record: JobAccepted) -> None:
        job = record.job
        entry = self._term_state.log_client.state.jobs.get(job.job_id)
        provisional = self._term_state.outcome_writer.provisional
        if entry is None:
            if job.job_id in provisional:
                self._completion_handler.discard_duplicate_job(job)
            return
        provisional.pop(job.job_id, None)
        # The first acceptance in the log counts, also for the zone.
        if entry.job.availability_zone == self._term_state.zone_name:
            self.enqueue(entry.job, provisional=False)

    @_handle_record.register
    def _(self, record: JobFinished) -> None:
        job_id = record.job_id
        self._term_state.outcome_writer.discard_logged_outcome(job_id)
        self._term_state.jobs_accepted_in_term.discard(job_id)
        self._term_state.jobs_launched_in_term.discard(job_id)
        self._term_state.failed_workers.pop(job_id, None)
        gang = self._term_state.gangs_by_job.get(job_id)
        if gang is not None:
            self._gang_stopper.stop(
                gang, "the log has an outcome of the job", checkpoint=False
            )
        else:
            self._term_state.planner.cancel(job_id)
        for worker_name, task_reports in self._term_state.task_reports.items():
            ended_task_ids = [
                report.task_id
                for report in task_reports.values()
                if report.job_id == job_id and report.state.has_ended
            ]
            if ended_task_ids and worker_name in self._term_state.worker_links:
                self._term_state.worker_links[
                    worker_name
                ].forgettable_tasks.update(ended_task_ids)

    @_handle_record.register
    def _(self, record: EndpointDrained) -> None:
        self._report_handler.update_worker_health(record.worker)

    @_handle_record.register
    def _(self, record: TermStarted) -> None:
        if (
            record.availability_zone == self._term_state.zone_name
            and record.term > self._term_state.term
        ):
            self._term_state.context.on_newer_term(record.term)

    def _run_pass(self) -> None:
        if self._launches_paused:
            return
        for planned in self._term_state.planner.expire_overdue_jobs():
            self._completion_handler.finish_job_without_gang(
                planned.job, "the start deadline passed", JobOutcome.UNKNOWN
            )
        for worker_name in list(self._term_state.worker_links):
            self._report_handler.update_worker_health(worker_name)
        try:
            decisions = self._term_state.planner.decide()
        except InvariantError as error:
            self._term_state.events.emit("invariant.broken", cause=str(error))
            self._term_state.context.metrics.count("invariant.broken")
            raise
        for decision in decisions:
            self._decision_executor.execute(decision)

    def _add_worker_link(self, entry: InstanceEntry) -> None:
        assert self._term_state.task_group is not None
        endpoints = self._term_state.context.settings.endpoints
        driver = ENDPOINT_DRIVERS.get(endpoints.plugin)(entry.url, endpoints)
        link = WorkerLink(
            entry,
            driver,
            term=self._term_state.term,
            list_renewable_attempts=self._report_handler.list_renewable_attempts,
            on_sync_reply=self._report_handler.handle_sync_reply,
            on_no_response=self._report_handler.handle_no_response,
            on_stale_term=self._on_stale_term,
        )
        if entry.name in self._term_state.worker_links:
            link.record_url_change()
        self._term_state.worker_links[entry.name] = link
        scope = anyio.CancelScope()
        self._link_scopes[entry.name] = scope
        self._term_state.task_group.start_soon(
            self._run_worker_link, link, scope
        )

    async def _run_worker_link(
        self, link: WorkerLink, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await link.run()

    def _on_stale_term(self, error: StaleTermError) -> None:
        self._term_state.context.on_newer_term(
            Term(error.number, error.instance)
        )

    def _find_logged_job(self, job_id: JobId) -> Job | None:
        """Returns a job of this zone that only the log contains, or None."""
        entry = self._term_state.log_client.state.jobs.get(job_id)
        if (
            entry is None
            or entry.job.availability_zone != self._term_state.zone_name
        ):
            return None
        return entry.job
