"""Journals the ends of runs, and of jobs that fail, expire or complete."""

from __future__ import annotations

import time
from collections.abc import (
    Awaitable,
    Callable,
    Container,
    Iterable,
    Sequence,
)

from lagoonbeam.site.attempts import find_failed_unit, get_max_attempts
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import (
    EndEvidence,
    JobState,
    QueuePolicy,
    RunEndReason,
)
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import (
    JobDropped,
    JobFailed,
    Record,
    RunEnd,
    RunKey,
    RunsEnded,
)
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts

MAX_ENDS_PER_PASS = 50
"""Failed jobs, and expired ones, that are journaled in one planning pass."""

AppendToJournal = Callable[[Sequence[Record]], Awaitable[bool]]


class TerminationRecorder:
    """Journals the ends of runs and jobs, and logs the outcome of each job.

    Args:
        get_state: Returns the replica of the state.
        get_policy: Returns the current policy of a job's queue.
        append_to_journal: Appends records; returns whether they are stored.
        planner_state: Knows which placements are being journaled.
        decisions: The decision log.
        unanswered_starts: Starts of the term that got no answer.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        get_policy: Callable[[SiteJob], QueuePolicy],
        append_to_journal: AppendToJournal,
        planner_state: PlannerState,
        decisions: DecisionLog,
        unanswered_starts: UnansweredStarts,
    ):
        self._get_state = get_state
        self._get_policy = get_policy
        self._append_to_journal = append_to_journal
        self._planner_state = planner_state
        self._decisions = decisions
        self._unanswered_starts = unanswered_starts

    async def record_run_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        """Journals ends of runs; see `SchedulerCallbacks.record_run_ends`."""
        tasks = self._get_state().tasks
        if evidence is not None:
            self._log_presumed_ends(ends, evidence)
        jobs = {
            task.unit.job.request.job_id: task.unit.job
            for end in ends
            if (task := tasks.get(end.task_id)) is not None
            and task.unit.job.is_open
        }
        marked_ends = self._unanswered_starts.mark_late_starts(ends, evidence)
        if not await self._append_to_journal([RunsEnded(tuple(marked_ends))]):
            return False
        self._unanswered_starts.discard_ended(ends)
        for end in ends:
            self._decisions.metrics.ends.labels(end.end.value).inc()
        for job in jobs.values():
            if job.state in (JobState.COMPLETED, JobState.UNKNOWN):
                self._log_job_end(job)
        return True

    async def end_failed_and_expired_jobs(self) -> None:
        """Ends jobs that used up their attempts or missed their start deadline.

        A job whose placements are being journaled has not missed its deadline.
        """
        now_s = time.time()
        failed_jobs: list[tuple[SiteJob, PlacementUnit, int]] = []
        expired_jobs: list[SiteJob] = []
        for job in self._get_state().open_jobs():
            policy = self._get_policy(job)
            failed_unit = find_failed_unit(job, policy)
            if failed_unit is not None:
                failed_jobs.append(
                    (job, failed_unit, get_max_attempts(job, policy))
                )
            start_limit_s = job.request.start_within_s
            if (
                start_limit_s
                and job.has_certainly_not_run
                and now_s - job.request.accepted_at_s > start_limit_s
                and not self._planner_state.is_launching(job)
            ):
                expired_jobs.append(job)
        # The rest follows in the next pass; an append takes a limited number.
        failed_jobs = failed_jobs[:MAX_ENDS_PER_PASS]
        expired_jobs = expired_jobs[:MAX_ENDS_PER_PASS]
        records: list[Record] = [
            JobFailed(job.request.job_id, failed_unit.key)
            for job, failed_unit, _ in failed_jobs
        ]
        records += [JobDropped(job.request.job_id) for job in expired_jobs]
        if not records or not await self._append_to_journal(records):
            return
        for job, failed_unit, max_attempts in failed_jobs:
            self._log_job_end(
                job,
                task=failed_unit.key,
                failures=failed_unit.failures,
                allowed=max_attempts,
            )
        for job in expired_jobs:
            if job.state is JobState.DID_NOT_RUN:
                self._log_job_end(
                    job, start_within_s=job.request.start_within_s
                )

    async def end_runs_on_lost_workers(
        self,
        workers_with_session: Iterable[str],
        pending_starts: Container[RunKey],
        find_lease_expiry_s: Callable[[str], float],
    ) -> None:
        """Ends the runs placed on workers that have no session.

        Args:
            workers_with_session: Names of the workers that have one.
            pending_starts: Runs whose start may not have been sent yet.
            find_lease_expiry_s: Returns when all leases on a worker have
                expired, in monotonic time.
        """
        known_workers = set(workers_with_session)
        tasks_by_worker = self._get_state().tasks_by_worker
        lost_workers = [
            worker
            for worker, tasks in tasks_by_worker.items()
            if tasks
            and worker not in known_workers
            and time.monotonic() > find_lease_expiry_s(worker)
        ]
        ends = [
            RunEnd(task.task_id, task.run, RunEndReason.LEASE_EXPIRED)
            for worker in lost_workers
            for task in tasks_by_worker[worker].values()
            if (task.task_id, task.run) not in pending_starts
        ]
        if ends:
            self._decisions.emit(
                Event.WORKER_GONE,
                workers=sorted(lost_workers),
                runs=len(ends),
            )
            await self.record_run_ends(ends, EndEvidence.NO_SESSION)

    def _log_presumed_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence
    ) -> None:
        tasks = self._get_state().tasks
        for end in ends:
            task = tasks.get(end.task_id)
            placement = None if task is None else task.placement
            self._decisions.emit(
                Event.RUN_PRESUMED_ENDED,
                task=end.task_id,
                run=end.run,
                worker=None if placement is None else placement.worker,
                incarnation=(
                    None if placement is None else placement.incarnation
                ),
                evidence=evidence.value,
            )

    def _log_job_end(self, job: SiteJob, **fields: object) -> None:
        """Logs the end of a job.

        A job is logged only once, even if several of its runs end at the same
        time and each call sees it ended.
        """
        if job.is_end_logged:
            return
        job.is_end_logged = True
        age_s = time.time() - job.request.accepted_at_s
        progress = job.get_progress()
        self._decisions.metrics.finish_latency_s.observe(max(0.0, age_s))
        self._decisions.emit(
            Event.JOB_ENDED,
            job=job.request.job_id,
            state=job.state.value,
            age_s=round(age_s, 3),
            tasks=sum(step.tasks for step in progress),
            starts=sum(step.starts for step in progress),
            **fields,
        )
