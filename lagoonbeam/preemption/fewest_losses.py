"""Stops the work that loses the least of what it has done."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonbeam.core.planned_job import PlannedJob, Standing
from lagoonbeam.preemption.base import PREEMPTIONS, PreemptionPolicy
from lagoonbeam.types import JobId

_CHECKPOINT_COST_S = 1.0
"""Run time that a stop costs work that keeps its progress."""
_RESTART_COST_S = 60.0
"""Time that a stopped gang is expected to wait for its cells again."""


@PREEMPTIONS.register("fewest_losses")
class FewestLossesPreemption(PreemptionPolicy):
    """Counts the slot seconds that would have to be done again."""

    def weigh(self, victims: Iterable[JobId]) -> float:
        """Adds up what the victims would lose."""
        return sum(self._weigh_one(self._find(victim)) for victim in victims)

    def may_preempt(self, planned: PlannedJob, victim: JobId) -> bool:
        """Allows stopping less urgent lent work."""
        other = self._find(victim)
        return (
            other.placement is not None
            and other.placement.standing is Standing.LENT
            and other.urgency_rank > planned.urgency_rank
            and not other.blocking_jobs
        )

    def _weigh_one(self, victim: PlannedJob) -> float:
        if victim.placement is None:
            return 0.0
        done_s = max(0.0, self._now() - victim.started_at_s)
        if victim.job.checkpointable:
            done_s = min(done_s, _CHECKPOINT_COST_S)
        return victim.placement.slots * (_RESTART_COST_S + done_s)
