"""Ordering policies: which ready unit is placed first."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.run_time_estimator import JobValue


@dataclass(frozen=True, slots=True)
class RankingAttributes:
    """What an ordering may weigh of a ready unit.

    Attributes:
        is_guaranteed: Whether its organisation's guarantee covers its job.
        is_long_running: Whether it runs until its job is cancelled.
        priority: Its queue's priority; 0 goes first.
        job_value: What finishing its job is still worth.
        eligible_at_s: Wall clock time at which it was accepted or due.
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
        """Returns a unit's rank; lower goes first."""


ORDERING_POLICIES: Registry[type[OrderingPolicy]] = Registry("ordering policy")


@ORDERING_POLICIES.register("earning")
class JobValueFirst(OrderingPolicy):
    """Guarantees, then what still earns, then priority, then age."""

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
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
    """Priority, then age; a baseline."""

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
        return (attributes.priority, attributes.eligible_at_s)


@ORDERING_POLICIES.register("first_come")
class FirstComeFirstServed(OrderingPolicy):
    """Age alone; a baseline."""

    def rank(self, attributes: RankingAttributes) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
        return (attributes.eligible_at_s,)
