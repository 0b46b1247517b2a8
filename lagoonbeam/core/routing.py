"""Choice of the availability zone for a job."""

from __future__ import annotations

from collections.abc import Iterable
from dataclasses import dataclass

from lagoonbeam.core.jobs import Job
from lagoonbeam.types import ZoneName

GUARANTEE_BONUS_S = 60.0
"""Extra wait accepted to use a guarantee of the job's organisation."""
TOO_FEW_SLOTS_PENALTY_S = 5.0
"""Penalty of a zone with fewer free slots than the job needs."""
LOCAL_BONUS_S = 1.0
"""Extra wait accepted to stay in the zone where the job arrived."""


@dataclass(frozen=True)
class ZoneCandidate:
    """A zone that a job could be routed to.

    Attributes:
        zone: Name of the zone.
        free_slots: Its free slots.
        expected_wait_s: Expected queueing time of a new job there.
        guaranteed: Whether the job's organisation has a guarantee there.
        is_arrival_zone: Whether the job arrived there.
    """

    zone: ZoneName
    free_slots: int
    expected_wait_s: float
    guaranteed: bool = False
    is_arrival_zone: bool = False


def choose_zone(job: Job, candidates: Iterable[ZoneCandidate]) -> ZoneCandidate:
    """Returns the zone with the lowest cost.

    Args:
        job: The job.
        candidates: The zones that can run it; at least one.
    """
    sorted_candidates = sorted(candidates, key=lambda view: view.zone)
    return min(
        sorted_candidates, key=lambda view: compute_zone_cost_s(job, view)
    )


def compute_zone_cost_s(job: Job, candidate: ZoneCandidate) -> float:
    """Returns the cost of a zone for a job, in seconds of waiting."""
    slots = job.shape.members * max(1, job.shape.accelerators)
    cost_s = candidate.expected_wait_s
    cost_s += TOO_FEW_SLOTS_PENALTY_S if candidate.free_slots < slots else 0.0
    cost_s -= GUARANTEE_BONUS_S if candidate.guaranteed else 0.0
    cost_s -= LOCAL_BONUS_S if candidate.is_arrival_zone else 0.0
    return cost_s
