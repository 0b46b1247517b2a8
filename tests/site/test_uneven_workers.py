"""Loads of a site whose workers have unequal speeds."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import pytest

from benchmarks.site_simulation import SiteJobOutcome
from tests.site.uneven_site import UnevenSite, compute_value, make_scene

LARGE_GANG_ACCELERATORS = 128


def play(scale: float, seed: int) -> list[SiteJobOutcome]:
    site = UnevenSite(make_scene(scale, seed), seed, knows_speeds=True)
    return list(site.run().outcomes.values())


def measure_share_in_time(
    outcomes: Iterable[SiteJobOutcome], priority: int
) -> float:
    return statistics.mean(
        compute_value(outcome) == 1.0
        for outcome in outcomes
        if outcome.arrival.kind.policy.priority == priority
    )


@pytest.mark.parametrize("seed", [1, 2, 3])
def test_urgent_gangs_are_in_time_while_capacity_is_free(seed: int) -> None:
    """On a calm day, half of the urgent gangs met a slow worker and were late.

    Nothing waits, so whoever asks for urgent work may expect it in time; the
    few that need one rack and more fast workers than it has are the exception.
    """
    outcomes = play(1.0, seed)
    assert measure_share_in_time(outcomes, 0) >= 0.9
    assert measure_share_in_time(outcomes, 1) >= 0.95
    assert measure_share_in_time(outcomes, 2) >= 0.95
