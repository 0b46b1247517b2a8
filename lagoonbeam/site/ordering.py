"""Ordering policies: which ready unit is placed first."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.durations import Earning


@dataclass(frozen=True, slots=True)
class UnitStanding:
    """What an ordering may weigh of a ready unit.

    Attributes:
        is_covered: Whether its organisation's guarantee covers its job.
        is_long_running: Whether it runs until its job is cancelled.
        priority: Its queue's priority; 0 goes first.
        earning: What finishing its job is still worth.
        due_s: Wall clock time at which it was accepted or due.
    """

    is_covered: bool
    is_long_running: bool
    priority: int
    earning: Earning
    due_s: float


class OrderingPolicy(ABC):
    """Ranks ready units."""

    @abstractmethod
    def rank(self, standing: UnitStanding) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""


ORDERINGS: Registry[type[OrderingPolicy]] = Registry("ordering policy")


@ORDERINGS.register("earning")
class EarningFirst(OrderingPolicy):
    """Guarantees, then what still earns, then priority, then age."""

    def rank(self, standing: UnitStanding) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
        return (
            not standing.is_covered,
            not standing.is_long_running,
            standing.earning is Earning.NOTHING,
            standing.priority,
            standing.earning,
            standing.due_s,
        )


@ORDERINGS.register("priority")
class PriorityFirst(OrderingPolicy):
    """Priority, then age; a baseline."""

    def rank(self, standing: UnitStanding) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
        return (standing.priority, standing.due_s)


@ORDERINGS.register("first_come")
class FirstCome(OrderingPolicy):
    """Age alone; a baseline."""

    def rank(self, standing: UnitStanding) -> tuple[float, ...]:
        """Returns a unit's rank; lower goes first."""
        return (standing.due_s,)
