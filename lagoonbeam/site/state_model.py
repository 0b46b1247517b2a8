"""Parts of the site's state beside its jobs."""

from __future__ import annotations

import math
from collections.abc import Mapping
from dataclasses import dataclass, field

TERM_RENEWAL_INTERVAL_S = 0.4
"""Interval at which the active scheduler renews its term in the journal."""
MAX_WORKER_SPEEDS = 2_000
"""Workers whose speed is kept; those unchanged for longest are dropped."""
MAX_QUEUE_RUN_TIMES = 500
"""Queues whose run time is kept, likewise."""


@dataclass(slots=True)
class Term:
    """The newest term of the active scheduler.

    Attributes:
        number: Number of the term; also its fencing token.
        instance: The instance that claimed it.
        incarnation: Incarnation of that instance.
        is_resigned: Whether the instance gave the term up.
        is_renewed: Whether the instance has renewed it.
    """

    number: int = 0
    instance: str = ""
    incarnation: str = ""
    is_resigned: bool = True
    is_renewed: bool = False


@dataclass(slots=True)
class WaveProgress:
    """Progress of an upkeep wave.

    Attributes:
        begun_at_s: Wall clock time of its beginning.
        serviced: Identifiers of machines whose upkeep has begun.
        ordered: Identifiers of machines whose upkeep has been ordered.
    """

    begun_at_s: float
    serviced: set[str] = field(default_factory=set)
    ordered: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class MachineLoan:
    """A loan of a machine from its spare pool to another pool.

    Attributes:
        pool: The pool that the machine works for.
        home: The spare pool that it belongs to.
    """

    pool: str
    home: str


@dataclass(slots=True)
class SpeedEstimates:
    """Estimates by the active scheduler from which the next one starts.

    Attributes:
        speeds: Speed of each known worker, those unchanged for longest first.
        run_times_s: Mean run time at the usual speed of each queue, likewise.
    """

    speeds: dict[str, float] = field(default_factory=dict)
    run_times_s: dict[str, float] = field(default_factory=dict)

    def update(
        self, speeds: Mapping[str, float], run_times_s: Mapping[str, float]
    ) -> None:
        """Stores estimates that have changed; drops the oldest beyond limits.

        Args:
            speeds: Speed by worker.
            run_times_s: Run time by queue.
        """
        _store_newest(self.speeds, speeds, MAX_WORKER_SPEEDS)
        _store_newest(self.run_times_s, run_times_s, MAX_QUEUE_RUN_TIMES)


def _store_newest(
    known: dict[str, float], changed: Mapping[str, float], limit: int
) -> None:
    """Stores positive finite values at the end of a dictionary."""
    for name, value in changed.items():
        if 0 < value < math.inf:
            known.pop(name, None)
            known[name] = value
    while len(known) > limit:
        del known[next(iter(known))]
