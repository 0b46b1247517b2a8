"""Urgent jobs preempt nothing; a baseline for comparison."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.preemption.base import PREEMPTION_POLICIES, PreemptionPolicy
from lagoonbeam.types import JobId


@PREEMPTION_POLICIES.register("never")
class NeverPreemption(PreemptionPolicy):
    """Forbids preemption for urgent jobs; guarantees are still reclaimed."""

    allows_preemption_within_organisation = False

    def compute_cost(self, victim_ids: Iterable[JobId]) -> float:
        """Returns the number of victims, so that idle cells are preferred."""
        return float(sum(1 for _ in victim_ids))

    def may_preempt(self, planned: PlannedJob, victim_id: JobId) -> bool:
        """Returns False."""
        return False
