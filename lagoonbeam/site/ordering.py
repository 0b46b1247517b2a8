"""Ordering policies: the order in which ready units are placed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.site.run_time_estimator import JobValue

MAX_DEFERRAL = 0.5
"""Longest time by which much work defers a job, as a share of the time in which
the job has its value."""


@dataclass(frozen=True, slots=True)
class RankingAttributes:
    """Attributes of a ready unit that an ordering policy ranks by.

    Attributes:
        is_guaranteed: Whether its organisation's guarantee covers its job.
        is_long_running: Whether it runs until its job is cancelled.
        priority: Its queue's priority; 0 is the most urgent.
        job_value: Value of its job if the unit starts now.
        eligible_at_s: Wall clock time at which it was accepted or became due.
        latest_start_s: Wall clock time until which it has to start so that its
            job keeps the value.
        value_period_s: Time from `eligible_at_s` to the end of that value.
        relative_work: Work of its step in core-seconds, relative to the median
            of the ready steps of its priority. This and the two before are set
            only for policies that rank by slack.
    """

    is_guaranteed: bool
    is_long_running: bool
    priority: int
    job_value: JobValue
    eligible_at_s: float
    latest_start_s: float = 0.0
    value_period_s: float = 0.0
    relative_work: float = 1.0


class OrderingPolicy(ABC):
    """Ranks ready units.

    Attributes:
        ranks_by_slack: Whether it needs the attributes of slack and work.
    """

    ranks_by_slack = False

    @abstractmethod
    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""


ORDERING_POLICIES: PluginRegistry[type[OrderingPolicy]] = PluginRegistry(
    "ordering policy"
)


@ORDERING_POLICIES.register("earning")
class JobValueFirst(OrderingPolicy):
    """Ranks by guarantee, long-running, remaining value, priority and age.

    Within a priority, jobs of full value precede those of reduced value.
    """

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""
        return (
            not attributes.is_guaranteed,
            not attributes.is_long_running,
            attributes.job_value is JobValue.NONE,
            attributes.priority,
            attributes.job_value,
            attributes.eligible_at_s,
        )


@ORDERING_POLICIES.register("priority")
class PriorityFirst(OrderingPolicy):
    """Ranks by priority, then age; a baseline for comparison."""

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""
        return (attributes.priority, attributes.eligible_at_s)


@ORDERING_POLICIES.register("first_come")
class FirstComeFirstServed(OrderingPolicy):
    """Ranks by age alone; a baseline for comparison."""

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""
        return (attributes.eligible_at_s,)


@ORDERING_POLICIES.register("least_slack")
class LeastSlackFirst(JobValueFirst):
    """Ranks like `JobValueFirst`, but by slack in place of age.

    Jobs that are late already follow those that can still be in time, and the
    worthless come last, each by the slack to the end of its present value.
    """

    ranks_by_slack = True

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""
        return (*super().rank(attributes)[:-1], attributes.latest_start_s)


@ORDERING_POLICIES.register("value_density")
class ValueDensityFirst(LeastSlackFirst):
    """Ranks by slack, and defers jobs that need much work for their value.

    The deferral is bounded: no job is overtaken by one that became eligible
    later than a share of its own objective after it.
    """

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; the lowest is placed first."""
        *precedence, latest_start_s = super().rank(attributes)
        work = attributes.relative_work
        deferral = MAX_DEFERRAL * work / (1.0 + work)
        return (
            *precedence,
            latest_start_s + deferral * attributes.value_period_s,
        )
