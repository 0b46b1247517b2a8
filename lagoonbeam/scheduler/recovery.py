"""Taking over what an earlier term left: gangs, launches, queued jobs."""

from __future__ import annotations

import time

import anyio

from lagoonbeam.core.cluster_state import LoggedJob
from lagoonbeam.core.jobs import JobOutcome
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.records import JobAccepted, Term
from lagoonbeam.endpoints.base import TaskReport
from lagoonbeam.errors import StaleTermError, WorkerError
from lagoonbeam.scheduler.adoption import adopt_gang, read_annotation
from lagoonbeam.scheduler.endings import Endings
from lagoonbeam.scheduler.gang_orders import GangOrders
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.term_state import TermState
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import TaskId, WorkerName

RESOLVE_S = 60.0
"""Time for a worker to come back and tell what became of a launch."""
RESOLVE_LOOK_S = 0.25
"""Time between two looks at whether it has."""


class Recovery:
    """Adopts gangs and resolves launches of earlier terms.

    Args:
        term: What the parts of the scheduler share.
        orders: Takes back launches.
        endings: Looks at adopted gangs.
    """

    def __init__(self, term: TermState, orders: GangOrders, endings: Endings):
        self._term = term
        self._orders = orders
        self._endings = endings
        self._started_s = time.monotonic()

    async def run(self) -> None:
        """Learns what runs before queueing what an earlier term left."""
        with anyio.move_on_after(self._term.lease_s):
            while not (
                self._term.links
                and all(link.synced for link in self._term.links.values())
            ):
                await anyio.sleep(0.05)
        self._term.recovered = True
        attempts = {
            report.attempt
            for reports in self._term.reports.values()
            for report in reports.values()
        }
        for attempt in sorted(attempts):
            self.adopt(attempt)
        adopted = len(self._term.gangs)
        left = [
            entry
            for entry in self._term.log_client.state.iterate_unfinished_jobs(
                self._term.zone
            )
            if entry.job.job_id not in self._term.planner.jobs
            and not self._term.outcomes.is_finished(entry.job.job_id)
        ]
        for entry in left:
            if entry.intent is None:
                self._term.planner.submit(entry.job)
            else:
                assert self._term.tasks is not None
                self._term.tasks.start_soon(self._resolve, entry)
        for job in list(self._term.outcomes.provisional.values()):
            if not self._term.outcomes.is_finished(job.job_id):
                self._term.planner.submit(job)
        self._term.events.emit(
            "scheduler.recovered",
            term=self._term.term.number,
            cause=f"{adopted} gangs adopted, {len(left)} jobs queued, after"
            f" {time.monotonic() - self._started_s:.2f} s",
        )
        self._term.wake()

    def meet_stranger(self, link: WorkerLink, report: TaskReport) -> None:
        """Takes over or ends a task that this term did not launch."""
        self.adopt(report.attempt)
        if report.attempt in self._term.gangs:
            return
        if report.state.has_ended:
            if self._is_settled(report):
                link.forget.add(report.task_id)
            return
        assert self._term.tasks is not None
        self._term.tasks.start_soon(self._stop_stranger, link, report.task_id)

    def _is_settled(self, report: TaskReport) -> bool:
        """Whether nobody needs an ended task's report any more."""
        annotation = read_annotation(report)
        return (
            annotation is None
            or annotation.job.idempotent
            or self._term.outcomes.is_outcome_in_log(report.job_id)
        )

    async def _stop_stranger(self, link: WorkerLink, task_id: TaskId) -> None:
        try:
            await link.driver.stop(self._term.term, [task_id], checkpoint=False)
        except StaleTermError as error:
            self._term.context.on_stale(Term(error.number, error.instance))
        except WorkerError:
            return

    def adopt(self, attempt: str) -> None:
        """Takes over a gang that an earlier term launched, if it is whole."""
        if attempt in self._term.gangs:
            return
        found = [
            (name, report)
            for name, by_task in self._term.reports.items()
            for report in by_task.values()
            if report.attempt == attempt
        ]
        job_id = found[0][1].job_id if found else ""
        if (
            not found
            or job_id in self._term.by_job
            or self._term.outcomes.is_finished(job_id)
        ):
            return
        incarnations = {
            n: link.incarnation for n, link in self._term.links.items()
        }
        gang = adopt_gang(self._term.planner, found, incarnations)
        if gang is None:
            return
        self._term.gangs[attempt] = gang
        self._term.by_job[job_id] = gang
        self._term.touched.add(job_id)
        if job_id not in self._term.log_client.state.jobs:
            self._term.outcomes.provisional[job_id] = gang.job
            self._term.log_client.append_in_background(
                JobAccepted(job=gang.job)
            )
        self._term.emit("gang.adopted", gang)
        self._endings.review(gang)

    async def _resolve(self, entry: LoggedJob) -> None:
        """Finds out what became of a launch that an earlier term intended."""
        job, intent = entry.job, entry.intent
        assert intent is not None
        deadline_s = time.monotonic() + RESOLVE_S
        while time.monotonic() < deadline_s:
            if (
                job.job_id in self._term.by_job
                or self._term.outcomes.is_finished(job.job_id)
            ):
                return
            links = [self._term.links.get(m.worker) for m in intent.members]
            answers = [
                link is not None and link.synced and link.reachable
                for link in links
            ]
            if all(answers):
                break
            await anyio.sleep(RESOLVE_LOOK_S)
        proven = all(
            link is not None
            and link.synced
            and link.incarnation == member.incarnation
            and not self._has_report(member.worker, intent.attempt)
            for link, member in zip(links, intent.members, strict=True)
        )
        if job.job_id in self._term.by_job or self._term.outcomes.is_finished(
            job.job_id
        ):
            return
        if not proven:
            self._term.outcomes.record_outcome(
                job,
                JobOutcome.UNKNOWN,
                "it may have started and its worker cannot tell; it is not"
                " repeated because it is not idempotent",
            )
            return
        planned = PlannedJob(job, time.monotonic())
        await self._orders.void(Gang(planned, intent.attempt))
        self._term.planner.submit(job)
        self._term.wake()

    def _has_report(self, worker: WorkerName, attempt: str) -> bool:
        reports = self._term.reports.get(worker, {}).values()
        return any(
            report.attempt == attempt and report.started for report in reports
        )
