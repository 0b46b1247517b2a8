"""Reserve policies: how many workers less urgent work leaves free."""

from __future__ import annotations

import math
from abc import ABC, abstractmethod

from lagoonbeam.core.registry import Registry

KEPT_FREE = {1: 0.1, 2: 0.2}
"""Part of the workers that work of a priority leaves free for urgent work,
beside those that urgent work uses; lower priorities leave the last one."""


class ReservePolicy(ABC):
    """Bounds the workers that less urgent work may use.

    Attributes:
        keeps_racks: Whether the first gang that waits keeps a rack from
            lower priorities.
    """

    keeps_racks = True

    @abstractmethod
    def count_allowed(
        self, priority: int, workers: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use.

        Args:
            priority: The priority; greater than 0.
            workers: Usable workers of the service.
            urgent_workers: What urgent work uses, in whole workers.
        """


RESERVES: Registry[type[ReservePolicy]] = Registry("reserve policy")


@RESERVES.register("share")
class KeptShare(ReservePolicy):
    """Keeps a share of the workers free, by priority."""

    def count_allowed(
        self, priority: int, workers: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        share = KEPT_FREE.get(priority, KEPT_FREE[max(KEPT_FREE)])
        return max(1, math.floor((1 - share) * workers - urgent_workers))


@RESERVES.register("none")
class NoReserve(ReservePolicy):
    """Lets all work use all workers; a baseline."""

    keeps_racks = False

    def count_allowed(
        self, priority: int, workers: int, urgent_workers: float
    ) -> int:
        """Returns how many workers a priority may use."""
        del priority, urgent_workers
        return workers
