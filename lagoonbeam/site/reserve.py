"""Reserve policies: how many workers less urgent work leaves free."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lagoonbeam.core.registry import Registry

RESERVED_FRACTIONS = {1: 0.1, 2: 0.2}
"""Part of the workers that work of a priority leaves free for urgent work,
beside those that urgent work uses; lower priorities leave the last one."""


class ReservePolicy(ABC):
    """Bounds the workers that less urgent work may use.

    Attributes:
        reserves_rack_for_gang: Whether lower priorities leave one rack to the
            first waiting gang.
    """

    reserves_rack_for_gang = True

    @abstractmethod
    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use.

        Args:
            priority: The priority; greater than 0.
            worker_count: Usable workers of the service.
            urgent_workers: What urgent work uses, in whole workers.
        """


RESERVE_POLICIES: Registry[type[ReservePolicy]] = Registry("reserve policy")


@RESERVE_POLICIES.register("share")
class FractionReserve(ReservePolicy):
    """Keeps a share of the workers free, by priority."""

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
    """Lets all work use all workers; a baseline."""

    reserves_rack_for_gang = False

    def count_allowed_workers(
        self, priority: int, worker_count: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        del priority, urgent_workers
        return worker_count
