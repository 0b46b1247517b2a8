"""The active scheduler of a zone during one term: its jobs and workers."""

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
from lagoonbeam.scheduler.endings import Endings
from lagoonbeam.scheduler.gang_orders import GangOrders
from lagoonbeam.scheduler.launching import Launching
from lagoonbeam.scheduler.outcome_writer import describe_job
from lagoonbeam.scheduler.recovery import Recovery
from lagoonbeam.scheduler.reports import WorkerReports
from lagoonbeam.scheduler.term_state import TermState, ZoneContext
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import JobId, WorkerName

IDLE_S = 0.25
"""Longest time between two looks at the queue."""


class ZoneScheduler:
    """Schedules one zone for the time of one term.

    Args:
        context: What it shares with its instance.
        term: Its term.
    """

    def __init__(self, context: ZoneContext, term: Term):
        self._term = TermState(context, term)
        self._orders = GangOrders(self._term)
        self._endings = Endings(self._term, self._orders)
        self._launching = Launching(self._term, self._orders, self._endings)
        self._recovery = Recovery(self._term, self._orders, self._endings)
        self._reports = WorkerReports(
            self._term, self._orders, self._endings, self._recovery
        )
        self._settling = False
        self._scopes: dict[WorkerName, anyio.CancelScope] = {}

    @property
    def term(self) -> Term:
        """The term."""
        return self._term.term

    @property
    def planner(self) -> Planner:
        """The queue and the placement."""
        return self._term.planner

    @property
    def links(self) -> dict[WorkerName, WorkerLink]:
        """The zone's workers."""
        return self._term.links

    @property
    def recovered(self) -> bool:
        """Whether it is known what an earlier term left running."""
        return self._term.recovered

    async def run(self, workers: Iterable[InstanceEntry]) -> None:
        """Schedules until cancelled.

        Args:
            workers: The zone's workers, as the instance list has them.
        """
        self._term.log_client.add_record_listener(self.on_record)
        self.planner.set_rules(self._term.log_client.state.rules)
        async with anyio.create_task_group() as tasks:
            self._term.tasks = tasks
            await self._term.outcomes.start(tasks)
            self.set_workers(workers)
            tasks.start_soon(self._recovery.run)
            while True:
                await self._term.wait(IDLE_S)
                self._step()

    def stop(self) -> None:
        """Ends all tasks of the term; gangs keep running on their workers."""
        if self._term.tasks is not None:
            self._term.tasks.cancel_scope.cancel()

    def wake(self) -> None:
        """Looks at the queue soon."""
        self._term.wake()

    async def settle(self) -> None:
        """Waits until no launch is under way, starting no new one."""
        self._settling = True
        while any(gang.launching for gang in self._term.gangs.values()):
            await anyio.sleep(0.02)

    def inherit(self, job: Job) -> None:
        """Takes an accepted job that the log does not have yet.

        It is queued once it is known what an earlier term left running.
        """
        self._term.outcomes.provisional[job.job_id] = job

    def set_workers(self, entries: Iterable[InstanceEntry]) -> None:
        """Takes the zone's workers from the instance list."""
        assert self._term.tasks is not None
        for entry in entries:
            link = self._term.links.get(entry.name)
            if link is not None and link.entry.url == entry.url:
                link.entry = entry
                self._reports.judge(entry.name)
                continue
            if entry.name in self._scopes:
                self._scopes[entry.name].cancel()
            self._add_link(entry)

    def list_workers(self) -> list[WorkerStatus]:
        """Returns what is known of each worker."""
        found = []
        for pool in self._term.planner.pools:
            for place in pool.workers.values():
                first = place.first_slot
                slots = range(first, first + place.shape.slots)
                found.append(
                    WorkerStatus(
                        worker=place.shape.worker,
                        availability_zone=self._term.zone,
                        rack=place.shape.rack,
                        state=place.health.value,
                        slots=place.shape.slots,
                        busy_slots=sum(s in pool.occupants for s in slots),
                    )
                )
        return found

    def enqueue(self, job: Job, *, provisional: bool) -> None:
        """Queues an accepted job.

        Args:
            job: The job.
            provisional: Whether the log does not have it yet.
        """
        if (
            self._term.outcomes.is_finished(job.job_id)
            or job.job_id in self._term.planner.jobs
        ):
            return
        if provisional and job.job_id not in self._term.log_client.state.jobs:
            self._term.outcomes.provisional[job.job_id] = job
        self._term.fresh.add(job.job_id)
        self._term.planner.submit(job)
        self._term.events.emit(
            "job.queued", job=job.job_id, organisation=job.organisation
        )
        self._term.wake()

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job, queued or running.

        Raises:
            UnknownJobError: If it is not a job of this zone.
        """
        if self._term.outcomes.is_finished(job_id):
            return
        gang = self._term.by_job.get(job_id)
        if gang is not None:
            gang.cancelled = True
            self._orders.stop(gang, "cancelled", checkpoint=False)
            return
        planned = self._term.planner.jobs.get(job_id)
        job = planned.job if planned else self._find_in_log(job_id)
        if job is None:
            raise UnknownJobError(
                f"got job {job_id!r}, expected one of zone {self._term.zone!r}"
            )
        if planned is not None and planned.placement is not None:
            self._term.planner.abandon_placement(job_id)
            del self._term.planner.jobs[job_id]
        else:
            self._term.planner.cancel(job_id)
        self._endings.deny(job, "cancelled by its caller", JobOutcome.CANCELLED)

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns a job's status, or None if it is not known here."""
        told = self._term.outcomes.describe(job_id)
        if told is not None:
            return told
        planned = self._term.planner.jobs.get(job_id)
        if planned is None:
            return None
        gang = self._term.by_job.get(job_id)
        running = gang is not None and planned.started_at_s > 0
        launching = JobPhase.LAUNCHING if planned.placement else JobPhase.QUEUED
        status = describe_job(
            planned.job, JobPhase.RUNNING if running else launching
        )
        if running:
            passed_s = time.monotonic() - planned.started_at_s
            status = replace(status, started_at_s=time.time() - passed_s)
        return status

    def on_record(self, record: AnyRecord) -> None:
        """Takes note of a record that was just folded."""
        if (
            self._term.tasks is not None
            and not self._term.tasks.cancel_scope.cancel_called
        ):
            self._note(record)

    @singledispatchmethod
    def _note(self, record: AnyRecord) -> None:
        """Other records change nothing here."""

    @_note.register
    def _(self, record: RulesPublished) -> None:
        self._term.planner.set_rules(self._term.log_client.state.rules)
        self._term.wake()

    @_note.register
    def _(self, record: JobAccepted) -> None:
        job = record.job
        known = job.job_id in self._term.log_client.state.jobs
        if known:
            self._term.outcomes.provisional.pop(job.job_id, None)
        elif job.job_id in self._term.outcomes.provisional:
            self._endings.drop_duplicate(job)
            return
        if known and job.availability_zone == self._term.zone:
            self.enqueue(job, provisional=False)

    @_note.register
    def _(self, record: JobFinished) -> None:
        job_id = record.job_id
        self._term.outcomes.discard_logged_outcome(job_id)
        self._term.fresh.discard(job_id)
        self._term.touched.discard(job_id)
        self._term.blamed.pop(job_id, None)
        gang = self._term.by_job.get(job_id)
        if gang is not None:
            self._orders.stop(gang, "finished elsewhere", checkpoint=False)
        else:
            self._term.planner.cancel(job_id)
        for name, reports in self._term.reports.items():
            ended = [
                report.task_id
                for report in reports.values()
                if report.job_id == job_id and report.state.has_ended
            ]
            if ended and name in self._term.links:
                self._term.links[name].forget.update(ended)

    @_note.register
    def _(self, record: EndpointDrained) -> None:
        self._reports.judge(record.worker)

    @_note.register
    def _(self, record: TermStarted) -> None:
        if (
            record.availability_zone == self._term.zone
            and record.term > self._term.term
        ):
            self._term.context.on_stale(record.term)

    def _step(self) -> None:
        if self._settling:
            return
        for planned in self._term.planner.expire_overdue_jobs():
            self._endings.deny(
                planned.job, "it could not start in time", JobOutcome.UNKNOWN
            )
        for name in list(self._term.links):
            self._reports.judge(name)
        try:
            decisions = self._term.planner.decide()
        except InvariantError as error:
            self._term.events.emit("invariant.broken", cause=str(error))
            self._term.context.metrics.count("invariant.broken")
            raise
        for decision in decisions:
            self._launching.act(decision)

    def _add_link(self, entry: InstanceEntry) -> None:
        assert self._term.tasks is not None
        endpoints = self._term.context.settings.endpoints
        driver = ENDPOINT_DRIVERS.get(endpoints.plugin)(entry.url, endpoints)
        link = WorkerLink(
            entry,
            driver,
            term=self._term.term,
            list_renewals=self._reports.list_renewals,
            on_sync=self._reports.take_sync,
            on_silence=self._reports.take_silence,
            on_stale=self._on_stale,
        )
        self._term.links[entry.name] = link
        scope = anyio.CancelScope()
        self._scopes[entry.name] = scope
        self._term.tasks.start_soon(self._run_link, link, scope)

    async def _run_link(
        self, link: WorkerLink, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await link.run()

    def _on_stale(self, error: StaleTermError) -> None:
        self._term.context.on_stale(Term(error.number, error.instance))

    def _find_in_log(self, job_id: JobId) -> Job | None:
        """Returns a job of this zone that is not planned yet, or None."""
        entry = self._term.log_client.state.jobs.get(job_id)
        if entry is None or entry.job.availability_zone != self._term.zone:
            return None
        return entry.job
