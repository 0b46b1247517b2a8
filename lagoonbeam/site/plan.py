"""The result of one planning pass, and the bounds of a pass."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import Step
from lagoonbeam.site.placement import Assignment

MAX_STARTS_PER_PLAN = 40
"""Most units placed in one plan, to bound its duration."""
PLAN_TIME_LIMIT_S = 0.02
"""Time after which the remaining units are left to the next plan. Planning
runs on the event loop, which must not be blocked for 50 ms."""


@dataclass(slots=True)
class Plan:
    """Units to start and to stop.

    Attributes:
        starts: Units to start, each with the workers of its tasks.
        stops: Evicted units, each with the unit that needs the capacity.
        lost_core_s: Core-seconds of work lost through the evictions.
        is_truncated: Whether units were left to the next plan.
        unplaced_steps: By service, the step of a unit that found no capacity
            although its job still has its full value.
    """

    starts: list[tuple[PlacementUnit, Assignment]] = field(default_factory=list)
    stops: list[tuple[PlacementUnit, PlacementUnit]] = field(
        default_factory=list
    )
    lost_core_s: float = 0.0
    is_truncated: bool = False
    unplaced_steps: dict[str, Step] = field(default_factory=dict)
