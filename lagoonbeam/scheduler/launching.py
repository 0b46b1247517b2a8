"""Carrying out the planner's decisions: launches and stops."""

from __future__ import annotations

import time
from dataclasses import replace
from functools import singledispatchmethod

import anyio

from lagoonbeam.core.allocator import Decision, StartDecision, StopDecision
from lagoonbeam.core.jobs import JobOutcome, JobPhase
from lagoonbeam.scheduler.adoption import build_gang
from lagoonbeam.scheduler.endings import Endings
from lagoonbeam.scheduler.gang_orders import RELAUNCH_PAUSE_S, GangOrders
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.outcome_writer import describe_job
from lagoonbeam.scheduler.term_state import TermState


class Launching:
    """Launches and stops gangs as the planner decides.

    Args:
        term: What the parts of the scheduler share.
        orders: Stops gangs.
        endings: Looks at gangs after their launch.
    """

    def __init__(self, term: TermState, orders: GangOrders, endings: Endings):
        self._term = term
        self._orders = orders
        self._endings = endings
        self._attempts = 0

    @singledispatchmethod
    def act(self, decision: Decision) -> None:
        """Carries out one decision."""
        raise TypeError(type(decision))

    @act.register
    def _(self, decision: StartDecision) -> None:
        assert self._term.tasks is not None
        planned = decision.planned
        if self._term.outcomes.is_finished(planned.job.job_id):
            self._term.planner.finished(planned.job.job_id, completed=False)
            return
        self._attempts += 1
        term = self._term.term
        attempt = f"{term.number}-{term.instance}-{self._attempts}"
        gang = build_gang(
            self._term.planner, planned, decision.placement, attempt
        )
        self._term.gangs[attempt] = gang
        self._term.by_job[planned.job.job_id] = gang
        self._term.tasks.start_soon(self._launch, gang)

    @act.register
    def _(self, decision: StopDecision) -> None:
        gang = self._term.by_job.get(decision.planned.job.job_id)
        if gang is not None:
            checkpoint = gang.job.checkpointable
            self._orders.stop(gang, decision.cause, checkpoint=checkpoint)

    async def _launch(self, gang: Gang) -> None:
        job = gang.job
        self._term.emit("gang.launching", gang)
        launched = await self._term.launcher.launch(gang)
        if not launched and not gang.started:
            await self._requeue_unlaunched(gang)
            return
        gang.launching = False
        self._term.touched.add(job.job_id)
        if launched:
            self._term.planner.started(job.job_id)
            self._term.emit("gang.started", gang)
            self._term.context.metrics.time(
                "job.wait", time.time() - job.accepted_at_s
            )
            status = describe_job(job, JobPhase.RUNNING)
            self._term.context.announce(
                replace(status, started_at_s=time.time())
            )
            if gang.stopping:
                await self._term.launcher.stop(
                    gang, checkpoint=job.checkpointable
                )
        else:
            self._orders.stop(gang, "a member did not start", checkpoint=False)
        self._endings.review(gang)

    async def _requeue_unlaunched(self, gang: Gang) -> None:
        """Queues a gang again that no worker was told to run."""
        self._term.emit("gang.not_launched", gang)
        if not gang.job.idempotent and not await self._orders.void(gang):
            return
        await anyio.sleep(RELAUNCH_PAUSE_S)
        self._term.forget(gang)
        if gang.cancelled:
            self._term.planner.finished(gang.job.job_id, completed=False)
            self._endings.deny(
                gang.job, "cancelled by its caller", JobOutcome.CANCELLED
            )
            return
        self._term.planner.requeue(gang.job.job_id)
        self._term.wake()
