"""Reserve policies: how many workers low-priority work leaves free."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lagoonbeam.core.registry import PluginRegistry

RESERVED_FRACTIONS = {1: 0.1, 2: 0.2}
"""Fraction of the workers that work of each priority leaves free for urgent
work, in addition to those that urgent work uses. Priorities beyond the last
one leave as much as the last one."""

RESERVED_WORKERS_PER_ROOT = 0.5
"""Workers that work of priority 1 leaves free for urgent work, for each root of
the number of workers."""


class ReservePolicy(ABC):
    """Bounds the workers that low-priority work may use.

    Attributes:
        holds_capacity_for_gangs: Whether waiting gangs hold capacity, so that
            narrower work cannot starve them.
    """

    holds_capacity_for_gangs = True

    @abstractmethod
    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use.

        Args:
            priority: The priority, greater than 0.
            worker_count: Usable workers of the service.
            urgent_workers: Capacity that urgent work uses, in workers.
        """


RESERVE_POLICIES: PluginRegistry[type[ReservePolicy]] = PluginRegistry(
    "reserve policy"
)


@RESERVE_POLICIES.register("share")
class FractionReserve(ReservePolicy):
    """Reserves a fraction of the workers, by priority."""

    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        reserved = self.count_reserved_workers(priority, worker_count)
        return max(1, math.floor(worker_count - reserved - urgent_workers))

    def count_reserved_workers(self, priority: int, worker_count: int) -> float:
        """Returns how many workers a priority leaves free."""
        level = min(priority, max(RESERVED_FRACTIONS))
        return RESERVED_FRACTIONS[level] * worker_count


@RESERVE_POLICIES.register("square_root")
class SquareRootReserve(FractionReserve):
    """Reserves a multiple of the square root of the number of workers.

    The demand of many independent urgent jobs varies with the square root of
    its mean, so the first priority below the urgent one leaves a smaller
    fraction of a large fleet free than of a small one. Lower priorities leave
    their whole fraction, part of which the first one uses in its own bursts.
    """

    def count_reserved_workers(self, priority: int, worker_count: int) -> float:
        """Returns how many workers a priority leaves free."""
        reserved = super().count_reserved_workers(priority, worker_count)
        if priority > 1:
            return reserved
        return min(
            reserved, RESERVED_WORKERS_PER_ROOT * math.sqrt(worker_count)
        )


@RESERVE_POLICIES.register("share_without_holds")
class FractionReserveWithoutHolds(FractionReserve):
    """Reserves a fraction of the workers, and holds none for gangs.

    The default: with holds, a long queue of gangs leaves batches too little.
    """

    holds_capacity_for_gangs = False


@RESERVE_POLICIES.register("none")
class NoReserve(ReservePolicy):
    """Lets all work use all workers; a baseline for comparison."""

    holds_capacity_for_gangs = False

    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        del priority, urgent_workers
        return worker_count
