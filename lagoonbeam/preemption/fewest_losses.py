"""Preempts the jobs that lose the least run time."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonbeam.core.planned_job import PlannedJob, Standing
from lagoonbeam.preemption.base import PREEMPTION_POLICIES, PreemptionPolicy
from lagoonbeam.types import JobId

_CHECKPOINT_COST_S = 1.0
"""Most run time that a job with checkpoints loses by a preemption."""
_RESTART_WAIT_S = 60.0
"""Expected wait of a preempted gang for new cells."""


@PREEMPTION_POLICIES.register("fewest_losses")
class FewestLossesPreemption(PreemptionPolicy):
    """Counts lost run time and the wait for new cells, in slot seconds."""

    def compute_cost(self, victim_ids: Iterable[JobId]) -> float:
        """Returns the sum of the victims' losses."""
        return sum(
            self._compute_job_cost(self._get_job(victim_id))
            for victim_id in victim_ids
        )

    def may_preempt(self, planned: PlannedJob, victim_id: JobId) -> bool:
        """Allows preemption of less urgent jobs on lent cells.

        A victim that itself still waits for its cells is left alone.
        """
        victim_job = self._get_job(victim_id)
        return (
            victim_job.placement is not None
            and victim_job.placement.standing is Standing.LENT
            and victim_job.urgency_rank > planned.urgency_rank
            and not victim_job.blocking_jobs
        )

    def _compute_job_cost(self, victim: PlannedJob) -> float:
        if victim.placement is None:
            return 0.0
        lost_run_s = max(0.0, self._now() - victim.started_at_s)
        if victim.job.checkpointable:
            lost_run_s = min(lost_run_s, _CHECKPOINT_COST_S)
        return victim.placement.slots * (_RESTART_WAIT_S + lost_run_s)
