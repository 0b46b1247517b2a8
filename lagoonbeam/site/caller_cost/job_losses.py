"""What a job is still worth to its caller if one of its units ends later."""

from __future__ import annotations

from collections.abc import Callable
from dataclasses import dataclass

from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.run_time_estimator import (
    VALUE_CUTOFF_FACTOR,
    JobValue,
    RunTimeEstimator,
)

VALUE_SHARES = {JobValue.FULL: 1.0, JobValue.REDUCED: 0.5, JobValue.NONE: 0.0}
"""Share of a job's full value. Configurations do not state that of a late
job."""
PRIORITY_WEIGHT_BASE = 0.5
"""Weight of a job relative to one of the next more urgent priority."""


@dataclass(frozen=True, slots=True)
class ValueWindow:
    """The latest times at which a unit may end for a value of its job.

    Attributes:
        full_until_s: Wall clock time until which the job has its full value.
        reduced_until_s: Wall clock time until which it has a reduced one.
    """

    full_until_s: float
    reduced_until_s: float

    def get_value(self, end_s: float) -> JobValue:
        """Returns the value of the job if the unit ends at a time."""
        if end_s <= self.full_until_s:
            return JobValue.FULL
        if end_s <= self.reduced_until_s:
            return JobValue.REDUCED
        return JobValue.NONE


def get_priority_weight(policy: QueuePolicy) -> float:
    """Returns the weight of a queue's jobs; 1 for the most urgent ones."""
    return PRIORITY_WEIGHT_BASE**policy.priority


def has_objective(policy: QueuePolicy) -> bool:
    """Whether the jobs of a queue lose value with time."""
    return policy.stretch > 0 or policy.target_s > 0


class JobLosses:
    """Computes the value that jobs lose by later ends of their units.

    Args:
        estimator: Estimates run times and objectives.
        get_policy: Returns the current policy of a job's queue.
    """

    def __init__(
        self,
        estimator: RunTimeEstimator,
        get_policy: Callable[[SiteJob], QueuePolicy],
    ):
        self._estimator = estimator
        self._get_policy = get_policy

    def get_window(self, unit: PlacementUnit) -> ValueWindow:
        """Returns until when a unit must end for a value of its job."""
        policy = self._get_policy(unit.job)
        job = unit.job
        eligible_at_s = max(
            job.request.accepted_at_s, job.due_s(unit.occurrence)
        )
        objective_end_s = self._estimator.get_objective_end_s(unit, policy)
        full_until_s = self._estimator.get_latest_end_s(unit, policy)
        grace_s = (VALUE_CUTOFF_FACTOR - 1) * (objective_end_s - eligible_at_s)
        return ValueWindow(full_until_s, full_until_s + grace_s)

    def compute_loss(
        self, unit: PlacementUnit, end_s: float, later_end_s: float
    ) -> float:
        """Returns the weighted value that a job is expected to lose.

        How long a stopped unit waits for capacity is not known. The less slack
        there is for each unit of delay, the likelier its job misses the end of
        its full or reduced value.

        Args:
            unit: The unit.
            end_s: Wall clock time of its end otherwise.
            later_end_s: Its earliest end if it is stopped.
        """
        policy = self._get_policy(unit.job)
        if unit.spec.is_long_running or not has_objective(policy):
            return 0.0
        window = self.get_window(unit)
        delay_s = later_end_s - end_s
        reduced_share = VALUE_SHARES[JobValue.REDUCED]
        lost_share = sum(
            share * min(1.0, delay_s / (until_s - end_s))
            for until_s, share in (
                (window.full_until_s, 1.0 - reduced_share),
                (window.reduced_until_s, reduced_share),
            )
            if until_s > end_s
        )
        return get_priority_weight(policy) * lost_share
