"""What becomes of gangs that have ended, and of jobs that never ran."""

from __future__ import annotations

from lagoonbeam.core.jobs import Job, JobOutcome
from lagoonbeam.endpoints.base import TaskState
from lagoonbeam.scheduler.gang_orders import GangOrders
from lagoonbeam.scheduler.gangs import Gang, Member
from lagoonbeam.scheduler.term_state import TermState


class Endings:
    """Gives jobs their outcomes, or queues their gangs again.

    Args:
        term: What the parts of the scheduler share.
        orders: Stops gangs.
    """

    def __init__(self, term: TermState, orders: GangOrders):
        self._term = term
        self._orders = orders

    def review(self, gang: Gang) -> None:
        """Looks whether a gang has ended or is no longer whole."""
        if gang.launching or gang.attempt not in self._term.gangs:
            return
        if gang.has_completed:
            results = [m.report.result for m in gang.members if m.report]
            self.end(gang, JobOutcome.COMPLETED, "", tuple(results))
        elif gang.has_ended:
            self._review_ended(gang)
        elif not gang.is_whole:
            self._orders.stop(gang, "a member ended", checkpoint=True)

    def _review_ended(self, gang: Gang) -> None:
        job = gang.job
        failed = [m for m in gang.members if m.state is TaskState.FAILED]
        if gang.cancelled:
            self.end(gang, JobOutcome.CANCELLED, "stopped while it ran")
        elif failed:
            self._review_failed(gang, failed)
        elif job.idempotent or gang.saved_s > 0 or gang.never_ran:
            self._run_again(gang)
        else:
            cause = gang.stop_cause or "its worker was lost"
            self.end(
                gang,
                JobOutcome.UNKNOWN,
                f"it started and did not report an end ({cause}); it is not"
                " repeated because it is not idempotent",
            )

    def _review_failed(self, gang: Gang, failed: list[Member]) -> None:
        job = gang.job
        gang.planned.add_excluded_workers(m.worker for m in failed)
        blamed = self._term.blamed.setdefault(job.job_id, set())
        blamed.update(m.worker for m in failed)
        counted = [w for w in blamed if not self._term.health.is_at_fault(w)]
        budget = self._term.context.settings.job_attempts
        if job.idempotent and len(counted) < budget:
            self._run_again(gang)
            return
        detail = next((m.report.result for m in failed if m.report), "")
        self.end(gang, JobOutcome.FAILED, detail)

    def _run_again(self, gang: Gang) -> None:
        """Queues a gang again whose members have all ended."""
        self._term.emit("gang.requeued", gang, cause=gang.stop_cause)
        if self._term.outcomes.is_finished(gang.job.job_id):
            self._term.forget(gang)
            self._term.planner.finished(gang.job.job_id, completed=False)
        elif gang.job.idempotent:
            self._requeue(gang)
        else:
            assert self._term.tasks is not None
            gang.launching = True
            self._term.tasks.start_soon(self._void_and_requeue, gang)

    async def _void_and_requeue(self, gang: Gang) -> None:
        if await self._orders.void(gang):
            self._requeue(gang)

    def _requeue(self, gang: Gang) -> None:
        self._term.forget(gang)
        if len(gang.planned.excluded_workers) >= len(self._term.links):
            gang.planned.clear_excluded_workers()
        self._term.planner.requeue(gang.job.job_id, checkpointed_s=gang.saved_s)
        self._term.wake()

    def end(
        self,
        gang: Gang,
        outcome: JobOutcome,
        detail: str,
        results: tuple[str, ...] = (),
    ) -> None:
        """Gives a gang's job its outcome."""
        self._term.forget(gang)
        completed = outcome is JobOutcome.COMPLETED
        self._term.planner.finished(gang.job.job_id, completed=completed)
        self._term.outcomes.record_outcome(gang.job, outcome, detail, results)
        self._term.wake()

    def deny(self, job: Job, detail: str, doubtful: JobOutcome) -> None:
        """Ends a job that is queued.

        Args:
            job: The job.
            detail: Why it ends.
            doubtful: Outcome to tell if it ran before, or if an earlier term
                may have started it on a worker that has not answered since.
        """
        if self._can_deny(job):
            self._term.outcomes.record_outcome(
                job, JobOutcome.DID_NOT_RUN, detail
            )
        else:
            doubt = "it was started before or may have been"
            self._term.outcomes.record_outcome(
                job, doubtful, f"{detail}; {doubt}"
            )

    def _can_deny(self, job: Job) -> bool:
        """Whether no start can have taken effect and none still can."""
        entry = self._term.log_client.state.jobs.get(job.job_id)
        if entry is not None and entry.intent is not None:
            return False
        if job.job_id in self._term.touched:
            return False
        if job.job_id in self._term.fresh:
            return True
        fenced = all(link.synced for link in self._term.links.values())
        return fenced and bool(self._term.links)

    def drop_duplicate(self, job: Job) -> None:
        """Ends a provisional job whose key another job used first."""
        del self._term.outcomes.provisional[job.job_id]
        entry = self._term.log_client.state.find_job_by_key(
            job.organisation, job.idempotency_key
        )
        if entry is None or job.job_id in self._term.by_job:
            return
        if self._term.planner.cancel(job.job_id):
            self._term.events.emit("job.duplicate", job=job.job_id)
