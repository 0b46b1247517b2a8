"""The worker speed that a unit needs to end in time."""

from __future__ import annotations

import math

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.run_time_estimator import RunTimeEstimator

RUN_TIME_MARGIN = 1.35
"""Factor on the expected run time; one standard deviation of run times whose
logarithm varies by 0.3."""


def compute_needed_speed(
    unit: PlacementUnit,
    policy: QueuePolicy,
    estimator: RunTimeEstimator,
    now_s: float,
) -> float:
    """Returns the speed that a unit's slowest worker needs to end it in time.

    Args:
        unit: A unit that could start now, with a local placement.
        policy: The current policy of its queue.
        estimator: Run time estimates.
        now_s: Wall clock time.

    Returns:
        A speed relative to the usual worker; infinite if it is too late.
    """
    left_s = estimator.get_latest_end_s(unit, policy) - now_s
    if left_s <= 0:
        return math.inf
    return RUN_TIME_MARGIN * estimator.estimate_run_s(unit) / left_s
