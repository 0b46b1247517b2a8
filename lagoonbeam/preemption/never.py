"""The baseline: running work is never stopped."""

from __future__ import annotations

from collections.abc import Iterable

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.preemption.base import PREEMPTIONS, PreemptionPolicy
from lagoonbeam.types import JobId


@PREEMPTIONS.register("never")
class NeverPreemption(PreemptionPolicy):
    """Stops nothing."""

    allows_nudges = False

    def weigh(self, victims: Iterable[JobId]) -> float:
        """Makes occupied cells the last choice."""
        return float(sum(1 for _ in victims))

    def may_preempt(self, planned: PlannedJob, victim: JobId) -> bool:
        """Forbids it."""
        return False
