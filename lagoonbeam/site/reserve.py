"""Reserve policies: how many workers low-priority work leaves free."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lagoonbeam.core.registry import PluginRegistry

RESERVED_FRACTIONS = {1: 0.1, 2: 0.2}
"""Fraction of the workers that work of each priority leaves free for urgent
work, in addition to those that urgent work uses. Priorities beyond the last
one leave as much as the last one."""


class ReservePolicy(ABC):
    """Bounds the workers that low-priority work may use.

    Attributes:
        reserves_rack_for_gang: Whether lower priorities leave one rack to the
            first waiting gang of a priority.
    """

    reserves_rack_for_gang = True

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
        reserved_fraction = RESERVED_FRACTIONS.get(
            priority, RESERVED_FRACTIONS[max(RESERVED_FRACTIONS)]
        )
        return max(
            1,
            math.floor((1 - reserved_fraction) * worker_count - urgent_workers),
        )


@RESERVE_POLICIES.register("none")
class NoReserve(ReservePolicy):
    """Lets all work use all workers; a baseline for comparison."""

    reserves_rack_for_gang = False

    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        del priority, urgent_workers
        return worker_count
