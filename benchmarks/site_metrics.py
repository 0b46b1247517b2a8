"""Metrics of a site simulation."""

from __future__ import annotations

import statistics
from collections import defaultdict

from benchmarks.site_scenes import SiteArrival
from benchmarks.site_simulation import SiteJobOutcome, SiteSimulationResult
from lagoonbeam.site.model import JobState
from lagoonbeam.site.run_time_estimator import VALUE_CUTOFF_FACTOR
from lagoonbeam.site.worker_capacity import count_core_equivalents


def compute_worth(
    outcome: SiteJobOutcome, mean_core_s: dict[str, float]
) -> float:
    """Returns the worth of a job that completes in time.

    Of the worth of a mean job of the kind, 30 % is fixed and 70 % grows with
    the job's core seconds; the sum is at most four times that worth.
    """
    kind = outcome.arrival.kind
    core_s = _compute_core_s(outcome.arrival)
    return min(
        4 * kind.worth,
        kind.worth * (0.3 + 0.7 * core_s / mean_core_s[kind.policy.name]),
    )


def compute_earned_share(outcome: SiteJobOutcome) -> float:
    """Returns the share of its worth that a job earned."""
    if outcome.ended_s < 0:
        return 0.0
    arrival = outcome.arrival
    is_expected_state = (
        outcome.state is JobState.FAILED
    ) == arrival.always_fails
    policy = arrival.kind.policy
    objective_s = policy.stretch * arrival.run_s + policy.target_s
    completion_s = outcome.ended_s - arrival.at_s
    if (
        not is_expected_state
        or completion_s > VALUE_CUTOFF_FACTOR * objective_s
    ):
        return 0.0
    return 1.0 if completion_s <= objective_s else arrival.kind.late_worth


def _compute_core_s(arrival: SiteArrival) -> float:
    (step,) = arrival.request.steps
    return arrival.run_s * count_core_equivalents(step) * step.count


def compute_site_metrics(result: SiteSimulationResult) -> dict[str, float]:
    """Returns the metrics of a simulation.

    ``worth`` is the earned share of the attainable worth, overall and for each
    kind; ``lost`` is the ratio of lost to completed core seconds.
    """
    outcomes = list(result.outcomes.values())
    core_s_by_kind: dict[str, list[float]] = defaultdict(list)
    for outcome in outcomes:
        core_s_by_kind[outcome.arrival.kind.policy.name].append(
            _compute_core_s(outcome.arrival)
        )
    mean_core_s = {
        name: statistics.fmean(samples)
        for name, samples in core_s_by_kind.items()
    }
    earned_worth: dict[str, float] = defaultdict(float)
    attainable_worth: dict[str, float] = defaultdict(float)
    for outcome in outcomes:
        worth = compute_worth(outcome, mean_core_s)
        for group in ("all", outcome.arrival.kind.policy.name):
            earned_worth[group] += worth * compute_earned_share(outcome)
            attainable_worth[group] += worth
    urgent_start_waits_s = sorted(
        job_outcome.first_start_s - job_outcome.arrival.at_s
        for job_outcome in outcomes
        if job_outcome.first_start_s >= 0
        and job_outcome.arrival.kind.policy.priority == 0
    )
    return {
        "worth": earned_worth["all"] / attainable_worth["all"],
        **{
            f"worth_{name}": earned_worth[name] / attainable_worth[name]
            for name in attainable_worth
            if name != "all"
        },
        "urgent_start_p90_s": urgent_start_waits_s[
            int(0.9 * (len(urgent_start_waits_s) - 1))
        ],
        "lost": result.lost_core_s / max(1.0, result.used_core_s),
        "stops": result.stops,
        "unfinished": sum(job_outcome.ended_s < 0 for job_outcome in outcomes),
        "plan_mean_ms": 1000 * statistics.fmean(result.planning_times_s),
        "plan_max_ms": 1000 * max(result.planning_times_s),
    }
