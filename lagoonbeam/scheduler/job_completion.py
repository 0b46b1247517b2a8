"""Decides whether a job whose gang has ended gets an outcome or runs again.

Also gives outcomes to jobs that have no gang.
"""

from __future__ import annotations

from lagoonbeam.core.jobs import Job, JobOutcome
from lagoonbeam.endpoints.base import TaskState
from lagoonbeam.scheduler.gang_stopper import GangStopper
from lagoonbeam.scheduler.gangs import Gang, GangMember
from lagoonbeam.scheduler.term_state import TermState


class JobCompletionHandler:
    """Gives jobs their outcomes or queues them again.

    Args:
        term_state: State shared by the components of the zone scheduler.
        gang_stopper: Stops gangs and voids launch intents.
    """

    def __init__(self, term_state: TermState, gang_stopper: GangStopper):
        self._term_state = term_state
        self._gang_stopper = gang_stopper

    def handle_gang_change(self, gang: Gang) -> None:
        """Handles a gang one of whose members may have ended.

        If all its members have ended, its job gets an outcome or is queued
        again; if only some have ended without completing, it is stopped.
        """
        if gang.launching or gang.attempt not in self._term_state.gangs:
            return
        if gang.has_completed:
            results = [
                member.report.result for member in gang.members if member.report
            ]
            self.finish_gang(gang, JobOutcome.COMPLETED, "", tuple(results))
        elif gang.has_ended:
            self._handle_ended_gang(gang)
        elif not gang.is_intact:
            self._gang_stopper.stop(
                gang, "a member of the gang ended", checkpoint=True
            )

    def _handle_ended_gang(self, gang: Gang) -> None:
        job = gang.job
        failed_members = [
            member
            for member in gang.members
            if member.state is TaskState.FAILED
        ]
        if gang.cancelled:
            self.finish_gang(
                gang, JobOutcome.CANCELLED, "cancelled while it ran"
            )
        elif failed_members:
            self._handle_failed_gang(gang, failed_members)
        elif (
            job.idempotent
            or gang.checkpointed_run_s > 0
            or gang.is_confirmed_unstarted
        ):
            self._requeue_ended_gang(gang)
        else:
            cause = gang.stop_cause or "worker lost"
            self.finish_gang(
                gang,
                JobOutcome.UNKNOWN,
                f"the job was started and no end was reported ({cause}); it is"
                " not repeated because it is not idempotent",
            )

    def _handle_failed_gang(
        self, gang: Gang, failed_members: list[GangMember]
    ) -> None:
        job = gang.job
        gang.planned.add_excluded_workers(
            member.worker for member in failed_members
        )
        failed_workers = self._term_state.failed_workers.setdefault(
            job.job_id, set()
        )
        failed_workers.update(member.worker for member in failed_members)
        counted_failures = [
            worker_name
            for worker_name in failed_workers
            if not self._term_state.health.is_at_fault(worker_name)
        ]
        max_attempts = self._term_state.context.settings.job_attempts
        if job.idempotent and len(counted_failures) < max_attempts:
            self._requeue_ended_gang(gang)
            return
        detail = next(
            (
                member.report.result
                for member in failed_members
                if member.report
            ),
            "",
        )
        self.finish_gang(gang, JobOutcome.FAILED, detail)

    def _requeue_ended_gang(self, gang: Gang) -> None:
        """Queues the job of a gang again whose members have all ended.

        The launch intent of a non-idempotent job is voided first.
        """
        self._term_state.emit("gang.requeued", gang, cause=gang.stop_cause)
        if self._term_state.outcome_writer.is_finished(gang.job.job_id):
            self._term_state.remove_gang(gang)
            self._term_state.planner.finished(gang.job.job_id, completed=False)
        elif gang.job.idempotent:
            self._requeue(gang)
        else:
            assert self._term_state.task_group is not None
            gang.launching = True
            self._term_state.task_group.start_soon(
                self._void_intent_and_requeue, gang
            )

    async def _void_intent_and_requeue(self, gang: Gang) -> None:
        await self._gang_stopper.void_launch_intent(gang)
        if gang.cancelled:
            self.finish_gang(
                gang, JobOutcome.CANCELLED, "cancelled by its caller"
            )
            return
        self._requeue(gang)

    def _requeue(self, gang: Gang) -> None:
        self._term_state.remove_gang(gang)
        if len(gang.planned.excluded_workers) >= len(
            self._term_state.worker_links
        ):
            gang.planned.clear_excluded_workers()
        self._term_state.planner.requeue(
            gang.job.job_id, checkpointed_s=gang.checkpointed_run_s
        )
        self._term_state.request_pass()

    def finish_gang(
        self,
        gang: Gang,
        outcome: JobOutcome,
        detail: str,
        results: tuple[str, ...] = (),
    ) -> None:
        """Removes a gang that has ended and records the outcome of its job."""
        self._term_state.remove_gang(gang)
        completed = outcome is JobOutcome.COMPLETED
        self._term_state.planner.finished(gang.job.job_id, completed=completed)
        self._term_state.outcome_writer.record_outcome(
            gang.job, outcome, detail, results
        )
        self._term_state.request_pass()

    def finish_job_without_gang(
        self, job: Job, detail: str, outcome_if_uncertain: JobOutcome
    ) -> None:
        """Records the outcome of a job that has no gang.

        The outcome is DID_NOT_RUN if it is certain that the job was never
        started.

        Args:
            job: The job; it must no longer be queued.
            detail: Reason for the outcome.
            outcome_if_uncertain: Outcome if the job was started before, or
                if an earlier term may have started it on a worker that has
                not answered since.
        """
        if self._is_proven_unstarted(job):
            self._term_state.outcome_writer.record_outcome(
                job, JobOutcome.DID_NOT_RUN, detail
            )
        else:
            uncertainty = "it was or may have been started before"
            self._term_state.outcome_writer.record_outcome(
                job, outcome_if_uncertain, f"{detail}; {uncertainty}"
            )

    def _is_proven_unstarted(self, job: Job) -> bool:
        """Returns whether no start has taken effect and none still can.

        A job that was accepted in an earlier term may have been started by
        that term until every worker has answered in this term: from then on,
        workers refuse commands of the earlier term.
        """
        entry = self._term_state.log_client.state.jobs.get(job.job_id)
        if entry is not None and entry.intent is not None:
            return False
        if job.job_id in self._term_state.jobs_launched_in_term:
            return False
        if job.job_id in self._term_state.jobs_accepted_in_term:
            return True
        all_synced = all(
            link.synced for link in self._term_state.worker_links.values()
        )
        return all_synced and bool(self._term_state.worker_links)

    def discard_duplicate_job(self, job: Job) -> None:
        """Drops a provisional job whose key another job has used first."""
        del self._term_state.outcome_writer.provisional[job.job_id]
        entry = self._term_state.log_client.state.find_job_by_key(
            job.organisation, job.idempotency_key
        )
        if entry is None or job.job_id in self._term_state.gangs_by_job:
            return
        if self._term_state.planner.cancel(job.job_id):
            self._term_state.events.emit("job.duplicate", job=job.job_id)
