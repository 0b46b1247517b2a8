"""Executes the decisions of the planner to start and stop gangs."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import singledispatchmethod

import anyio

from lagoonbeam.core.allocator import Decision, StartDecision, StopDecision
from lagoonbeam.core.jobs import JobOutcome, JobPhase
from lagoonbeam.scheduler.gang_builder import build_gang
from lagoonbeam.scheduler.gang_stopper import RELAUNCH_DELAY_S, GangStopper
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.job_completion import JobCompletionHandler
from lagoonbeam.scheduler.outcome_writer import describe_job
from lagoonbeam.scheduler.takeover_recovery import TakeoverRecovery
from lagoonbeam.scheduler.term_state import TermState


class DecisionExecutor:
    """Launches and stops gangs as the planner decides.

    Args:
        term_state: State shared by the components of the zone scheduler.
        gang_stopper: Stops gangs.
        completion_handler: Handles gangs whose members ended during the
            launch.
        takeover_recovery: Resolves launches of other schedulers.
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
        self._attempt_count = 0

    @singledispatchmethod
    def execute(self, decision: Decision) -> None:
        """Executes one decision."""
        raise TypeError(type(decision))

    @execute.register
    def _(self, decision: StartDecision) -> None:
        assert self._term_state.task_group is not None
        planned = decision.planned
        if self._term_state.outcome_writer.is_finished(planned.job.job_id):
            self._term_state.planner.finished(
                planned.job.job_id, completed=False
            )
            return
        self._attempt_count += 1
        term = self._term_state.term
        attempt = f"{term.number}-{term.instance}-{self._attempt_count}"
        gang = build_gang(
            self._term_state.planner, planned, decision.placement, attempt
        )
        self._term_state.gangs[attempt] = gang
        self._term_state.gangs_by_job[planned.job.job_id] = gang
        self._term_state.task_group.start_soon(self._launch, gang)

    @execute.register
    def _(self, decision: StopDecision) -> None:
        gang = self._term_state.gangs_by_job.get(decision.planned.job.job_id)
        if gang is not None:
            checkpoint = gang.job.checkpointable
            self._gang_stopper.stop(gang, decision.cause, checkpoint=checkpoint)

    async def _launch(self, gang: Gang) -> None:
        job = gang.job
        self._term_state.emit("gang.launching", gang)
        launched = await self._term_state.gang_launcher.launch(gang)
        if not launched and not gang.started:
            await self._requeue_unlaunched(gang)
            return
        gang.launching = False
        self._term_state.jobs_launched_in_term.add(job.job_id)
        if launched:
            self._term_state.planner.started(job.job_id)
            self._term_state.emit("gang.started", gang)
            self._term_state.context.metrics.time(
                "job.wait", time.time() - job.accepted_at_s
            )
            status = describe_job(job, JobPhase.RUNNING)
            self._term_state.context.announce(
                replace(status, started_at_s=time.time())
            )
            if gang.stopping:
                await self._term_state.gang_launcher.stop(
                    gang, checkpoint=job.checkpointable
                )
        else:
            self._gang_stopper.stop(
                gang,
                "the start of a member was not confirmed",
                checkpoint=False,
            )
        self._completion_handler.handle_gang_change(gang)

    async def _requeue_unlaunched(self, gang: Gang) -> None:
        """Queues the job of a gang again of which no start was sent."""
        self._term_state.emit("gang.not_launched", gang)
        if not gang.job.idempotent:
            await self._gang_stopper.void_launch_intent(gang)
        await anyio.sleep(RELAUNCH_DELAY_S)
        self._term_state.remove_gang(gang)
        if gang.cancelled:
            self._term_state.planner.finished(gang.job.job_id, completed=False)
            self._completion_handler.finish_job_without_gang(
                gang.job, "cancelled by its caller", JobOutcome.CANCELLED
            )
            return
        entry = self._term_state.log_client.state.jobs.get(gang.job.job_id)
        if entry is not None and entry.intent is not None:
            # A scheduler of an older term was still active meanwhile.
            self._term_state.planner.finished(gang.job.job_id, completed=False)
            self._takeover_recovery.resolve_intended_launch(entry)
            return
        self._term_state.planner.requeue(gang.job.job_id)
        self._term_state.request_pass()
