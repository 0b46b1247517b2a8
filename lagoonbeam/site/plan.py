"""The outcome of one planning pass."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.model import Step
from lagoonbeam.site.placement import Assignment

MAX_STARTS_PER_PLAN = 40
"""Most units placed in one plan, so that a plan stays short."""
PLAN_TIME_LIMIT_S = 0.02
"""Seconds after which a plan leaves the rest to the next one; the loop must
not pause for 50 ms."""


@dataclass(slots=True)
class Plan:
    """What to do.

    Attributes:
        starts: Units and where their tasks go.
        stops: Units to stop, each with the unit that needs the room.
        lost_core_s: Core-seconds that the stops throw away.
        is_truncated: Whether units were left for the next plan.
        unplaced_steps: By service, the step of a unit that found no capacity
            although its job still has its full value.
    """

    starts: list[tuple[UnitState, Assignment]] = field(default_factory=list)
    stops: list[tuple[UnitState, UnitState]] = field(default_factory=list)
    lost_core_s: float = 0.0
    is_truncated: bool = False
    unplaced_steps: dict[str, Step] = field(default_factory=dict)
