"""The baseline: running work is never stopped."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.preemption.base import PREEMPTION_POLICIES, PreemptionPolicy
from lagoonbeam.types import JobId


@PREEMPTION_POLICIES.register("never")
class NeverPreemption(PreemptionPolicy):
    """Stops nothing."""

    allows_preemption_within_organisation = False

    def compute_cost(self, victim_ids: Iterable[JobId]) -> float:
        """Makes occupied cells the last choice."""
        return float(sum(1 for _ in victim_ids))

    def may_preempt(self, planned: PlannedJob, victim_id: JobId) -> bool:
        """Forbids it."""
        return False
