"""What a run of a site in virtual time is judged by."""

from __future__ import annotations

import statistics
from collections import defaultdict

from benchmarks.site_scenes import Arrival
from benchmarks.site_simulation import Outcome, SiteTally
from lagoonbeam.site.model import JobState
from lagoonbeam.site.run_time_estimator import VALUE_CUTOFF_FACTOR
from lagoonbeam.site.worker_capacity import count_core_equivalents


def get_worth(outcome: Outcome, mean_work: dict[str, float]) -> float:
    """Returns what a job could earn: more for larger ones, within bounds."""
    kind = outcome.arrival.kind
    work = _get_work(outcome.arrival)
    return min(
        4 * kind.worth,
        kind.worth * (0.3 + 0.7 * work / mean_work[kind.policy.name]),
    )


def get_earned(outcome: Outcome) -> float:
    """Returns the part of its worth that a job earned."""
    if outcome.ended_s < 0:
        return 0.0
    arrival = outcome.arrival
    is_right = (outcome.state is JobState.FAILED) == arrival.is_hopeless
    policy = arrival.kind.policy
    objective_s = policy.stretch * arrival.run_s + policy.target_s
    taken_s = outcome.ended_s - arrival.at_s
    if not is_right or taken_s > VALUE_CUTOFF_FACTOR * objective_s:
        return 0.0
    return 1.0 if taken_s <= objective_s else arrival.kind.late_worth


def _get_work(arrival: Arrival) -> float:
    (step,) = arrival.request.steps
    return arrival.run_s * count_core_equivalents(step) * step.count


def measure(tally: SiteTally) -> dict[str, float]:
    """Returns the measures of a run.

    ``worth`` is earned by owed, over all and for each kind; ``lost`` is work
    thrown away by work done; times are in seconds.
    """
    outcomes = list(tally.outcomes.values())
    works: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        works[outcome.arrival.kind.policy.name].append(
            _get_work(outcome.arrival)
        )
    mean_work = {name: statistics.fmean(each) for name, each in works.items()}
    earned: dict[str, float] = defaultdict(float)
    owed: dict[str, float] = defaultdict(float)
    for outcome in outcomes:
        worth = get_worth(outcome, mean_work)
        for key in ("all", outcome.arrival.kind.policy.name):
            earned[key] += worth * get_earned(outcome)
            owed[key] += worth
    starts = sorted(
        o.first_start_s - o.arrival.at_s
        for o in outcomes
        if o.first_start_s >= 0 and o.arrival.kind.policy.priority == 0
    )
    return {
        "worth": earned["all"] / owed["all"],
        **{
            f"worth_{name}": earned[name] / owed[name]
            for name in owed
            if name != "all"
        },
        "urgent_start_p90_s": starts[int(0.9 * (len(starts) - 1))],
        "lost": tally.lost_core_s / max(1.0, tally.used_core_s),
        "stops": tally.stops,
        "unfinished": sum(o.ended_s < 0 for o in outcomes),
        "plan_mean_ms": 1000 * statistics.fmean(tally.plan_s),
        "plan_max_ms": 1000 * max(tally.plan_s),
    }
