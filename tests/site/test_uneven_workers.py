"""Loads of a site whose workers have unequal speeds."""

from __future__ import annotations

import statistics
from collections.abc import Iterable

import pytest

from benchmarks.site_simulation import SiteJobOutcome
from tests.site.uneven_site import UnevenSite, compute_value, make_scene

LARGE_GANG_ACCELERATORS = 128


@pytest.fixture(autouse=True)
def keep_plans_whole(monkeypatch: pytest.MonkeyPatch) -> None:
    """Keeps the speed of the machine from deciding where a plan ends."""
    monkeypatch.setattr("lagoonbeam.site.planner.PLAN_TIME_LIMIT_S", 10.0)


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


def test_loaded_day_serves_urgent_work_and_starves_none() -> None:
    """At three times a calm day's rates, every kind of work keeps its value.

    Urgent work is mostly in time, and fast workers are not kept for it at the
    cost of the largest gangs or of batches.
    """
    outcomes = play(3.0, 2)
    assert measure_share_in_time(outcomes, 0) >= 0.85
    gangs: dict[bool, list[float]] = {True: [], False: []}
    for outcome in outcomes:
        step = outcome.arrival.request.steps[0]
        if outcome.arrival.kind.policy.priority == 1:
            is_large = step.count * step.accelerators >= LARGE_GANG_ACCELERATORS
            gangs[is_large].append(compute_value(outcome))
    assert statistics.mean(gangs[True]) >= statistics.mean(gangs[False]) / 2
    batch_values = [
        compute_value(outcome)
        for outcome in outcomes
        if outcome.arrival.kind.policy.priority == 2
    ]
    assert statistics.mean(batch_values) >= 0.9
