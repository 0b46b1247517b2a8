"""Ordering policies: the order in which ready units are placed."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.site.run_time_estimator import JobValue


@dataclass(frozen=True, slots=True)
class RankingAttributes:
    """Attributes of a ready unit that an ordering policy ranks by.

    Attributes:
        is_guaranteed: Whether its organisation's guarantee covers its job.
        is_long_running: Whether it runs until its job is cancelled.
        priority: Its queue's priority; 0 is the most urgent.
        job_value: Value of its job if the unit starts now.
        eligible_at_s: Wall clock time at which it was accepted or became due.
    """

    is_guaranteed: bool
    is_long_running: bool
    priority: int
    job_value: JobValue
    eligible_at_s: float


class OrderingPolicy(ABC):
    """Ranks ready units."""

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
