"""What one plan holds."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.model import Step
from lagoonbeam.site.placement import Assignment


@dataclass(slots=True)
class Plan:
    """What to do.

    Attributes:
        starts: Units and where their tasks go.
        stops: Units to stop, each with the unit that needs the room.
        lost_core_s: Core-seconds that the stops throw away.
        is_cut_short: Whether units were left for the next plan.
        short: Step of a unit that still earns and found no room, by service.
    """

    starts: list[tuple[UnitState, Assignment]] = field(default_factory=list)
    stops: list[tuple[UnitState, UnitState]] = field(default_factory=list)
    lost_core_s: float = 0.0
    is_cut_short: bool = False
    short: dict[str, Step] = field(default_factory=dict)
