"""Which zone a job goes to."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonbeam.core.jobs import Job
from lagoonbeam.types import ZoneName

GUARANTEE_BONUS_S = 60.0
"""Wait that is worth going where the organisation has a guarantee."""
OCCUPIED_COST_S = 5.0
"""Wait that is put on zones whose free slots are too few."""
LOCAL_BONUS_S = 1.0
"""Wait that is worth staying in the zone of arrival."""


@dataclass(frozen=True)
class ZoneView:
    """What is known of a zone that a job could go to.

    Attributes:
        zone: The zone.
        free_slots: Its free slots.
        expected_wait_s: Expected wait of a new job there.
        guaranteed: Whether the job's organisation has a guarantee there.
        local: Whether the job arrived there.
    """

    zone: ZoneName
    free_slots: int
    expected_wait_s: float
    guaranteed: bool = False
    local: bool = False


def choose_zone(job: Job, views: Iterable[ZoneView]) -> ZoneView:
    """Returns the zone with the lowest cost.

    Args:
        job: The job.
        views: The zones that could hold it; at least one.
    """
    in_order = sorted(views, key=lambda view: view.zone)
    return min(in_order, key=lambda view: rate_zone(job, view))


def rate_zone(job: Job, view: ZoneView) -> float:
    """Returns the cost of a zone for a job, as seconds of wait."""
    slots = job.shape.members * max(1, job.shape.accelerators)
    cost_s = view.expected_wait_s
    cost_s += OCCUPIED_COST_S if view.free_slots < slots else 0.0
    cost_s -= GUARANTEE_BONUS_S if view.guaranteed else 0.0
    cost_s -= LOCAL_BONUS_S if view.local else 0.0
    return cost_s
