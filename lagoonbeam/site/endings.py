"""Ending jobs and runs: completed, failed too often, late, or lost."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Iterable, Sequence

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.entries import JobEntry, UnitState
from lagoonbeam.site.events import Event
from lagoonbeam.site.model import End, JobState, QueuePolicy
from lagoonbeam.site.plan_memory import PlanMemory
from lagoonbeam.site.records import (
    JobDropped,
    JobFailed,
    Record,
    RunEnd,
    RunsEnded,
)
from lagoonbeam.site.state import SiteState

Journal = Callable[[Sequence[Record]], Awaitable[bool]]


class Endings:
    """Journals ends and notes what became of jobs.

    Args:
        get_state: Returns the state in force.
        get_policy: Returns the policy in force of a job.
        journal: Appends records; returns whether they are stored.
        memory: Knows which placements are being journaled.
        decisions: The decision log.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        get_policy: Callable[[JobEntry], QueuePolicy],
        journal: Journal,
        memory: PlanMemory,
        decisions: DecisionLog,
    ):
        self._get_state = get_state
        self._get_policy = get_policy
        self._journal = journal
        self._memory = memory
        self._decisions = decisions

    async def end_runs(self, ends: Sequence[RunEnd]) -> bool:
        """Journals ends; returns whether they are stored."""
        tasks = self._get_state().tasks
        jobs = {
            task.unit.job.request.job_id: task.unit.job
            for end in ends
            if (task := tasks.get(end.task_id)) is not None
            and task.unit.job.is_open
        }
        if not await self._journal([RunsEnded(tuple(ends))]):
            return False
        for end in ends:
            self._decisions.metrics.ends.labels(end.end.value).inc()
        for job in jobs.values():
            if job.state in (JobState.COMPLETED, JobState.UNKNOWN):
                self._note_ended(job)
        return True

    async def end_hopeless(self) -> None:
        """Ends jobs that failed too often, or were not started in time."""
        now_s = time.time()
        failed: list[tuple[JobEntry, UnitState, int]] = []
        late: list[JobEntry] = []
        for job in self._get_state().open_jobs():
            worst = job.most_failed
            if worst is not None and not worst.is_done:
                most = self._get_attempts(job)
                if worst.failures >= most:
                    failed.append((job, worst, most))
            within_s = job.request.start_within_s
            if (
                within_s
                and not job.has_started
                and now_s - job.request.accepted_at_s > within_s
                and not self._memory.is_launching(job)
            ):
                late.append(job)
        records: list[Record] = [
            JobFailed(job.request.job_id, worst.key) for job, worst, _ in failed
        ]
        records += [JobDropped(job.request.job_id) for job in late]
        if not records or not await self._journal(records):
            return
        for job, worst, most in failed:
            self._note_ended(
                job, task=worst.key, failures=worst.failures, allowed=most
            )
        for job in late:
            if job.state is JobState.DID_NOT_RUN:
                self._note_ended(job, start_within_s=job.request.start_within_s)

    async def end_lost_workers(self, known: Iterable[str]) -> None:
        """Ends runs on workers that are not listed and have no session.

        Args:
            known: Names of the workers that have a session.
        """
        names = set(known)
        ends = [
            RunEnd(task.task_id, task.run, End.LAPSED)
            for worker, tasks in self._get_state().placed.items()
            if worker not in names
            for task in tasks.values()
        ]
        if ends:
            self._decisions.emit(Event.WORKER_GONE, runs=len(ends))
            await self.end_runs(ends)

    def _get_attempts(self, job: JobEntry) -> int:
        """Returns how often a task of a job may fail."""
        if job.request.runs_once:
            return 1
        return self._get_policy(job).max_attempts

    def _note_ended(self, job: JobEntry, **inputs: object) -> None:
        """Writes a job's end once, however many of its runs end at a time."""
        if job.is_noted:
            return
        job.is_noted = True
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
            **inputs,
        )
