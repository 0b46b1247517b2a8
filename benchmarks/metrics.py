"""Metrics of a simulation."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.scenes import ARRIVAL_PERIOD_S, FLOOD_END_S, FLOOD_START_S
from benchmarks.simulation import DRAIN_PERIOD_S, JobOutcome, SimulationResult


def _percentile(values: list[float], quantile: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(quantile * len(values)))]


def _mean(values: list[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def compute_metrics(
    result: SimulationResult, without_flood: SimulationResult | None
) -> dict[str, Any]:
    """Returns the metrics of a simulation.

    ``kept`` is the throughput of the other jobs during the flood, as a share of
    that without it; ``small_to_large`` compares the mean slowdown of small
    callers with that of large ones; ``wasted`` is the share of slot seconds
    whose work was lost. Jobs of the flood count only in the refusals, the waits
    of urgent jobs and the slot totals.

    Args:
        result: Result of the simulation.
        without_flood: Result of the same scene without its flood, if it has
            one.
    """
    outcomes = [
        outcome
        for outcome in result.outcomes.values()
        if not outcome.arrival.is_flood
    ]
    end_s = ARRIVAL_PERIOD_S + DRAIN_PERIOD_S
    metrics: dict[str, Any] = {}
    completion_times_s = {
        id(outcome): (outcome.done_s if outcome.done_s >= 0 else end_s)
        - outcome.arrival.at_s
        for outcome in outcomes
        if outcome.arrival.run_s < DRAIN_PERIOD_S
    }
    for job_class in ("check", "buyer", "render", "train"):
        values = [
            completion_times_s[id(outcome)]
            for outcome in outcomes
            if outcome.arrival.job_class == job_class
            and id(outcome) in completion_times_s
        ]
        if values:
            metrics[f"{job_class}_mean_s"] = _mean(values)
            metrics[f"{job_class}_p99_s"] = _percentile(values, 0.99)
    metrics["mean_completion_s"] = _mean(list(completion_times_s.values()))
    urgent_start_waits_s = [
        outcome.first_start_s - outcome.accepted_s
        for outcome in result.outcomes.values()
        if outcome.arrival.job.urgency == "urgent"
        and outcome.first_start_s >= 0
    ]
    urgent_submissions = sum(
        1 + outcome.refusals
        for outcome in result.outcomes.values()
        if outcome.arrival.job.urgency == "urgent"
    )
    refusal_count = sum(
        outcome.refusals for outcome in result.outcomes.values()
    )
    metrics["urgent_start_p99_s"] = _percentile(urgent_start_waits_s, 0.99)
    metrics["urgent_refused"] = refusal_count / max(1, urgent_submissions)
    metrics["fragmentation"] = _mean(result.unusable_free_shares)
    metrics["stranded"] = _mean(result.stranded)
    metrics["reclaim_mean_s"] = _mean(result.reclaim_waits_s)
    metrics["reclaim_p99_s"] = _percentile(result.reclaim_waits_s, 0.99)
    metrics["wasted"] = result.wasted_slot_s / max(1.0, result.used_slot_s)
    metrics["violations"] = result.violation_count
    large = _compute_mean_slowdown(outcomes, large=True)
    if large:
        metrics["small_to_large"] = (
            _compute_mean_slowdown(outcomes, large=False) / large
        )
    if without_flood is not None:
        metrics["kept"] = _compute_flood_throughput(result) / max(
            1, _compute_flood_throughput(without_flood)
        )
    return metrics


def _compute_mean_slowdown(outcomes: list[JobOutcome], *, large: bool) -> float:
    """Returns the mean ratio of completion time to run time."""
    return _mean(
        [
            (outcome.done_s - outcome.arrival.at_s) / outcome.arrival.run_s
            for outcome in outcomes
            if outcome.done_s >= 0
            and outcome.arrival.job_class == "buyer"
            and outcome.arrival.job.caller.startswith("large") == large
            and outcome.arrival.job.organisation == "org2"
        ]
    ) * any(
        outcome.arrival.job.caller.startswith("large") for outcome in outcomes
    )


def _compute_flood_throughput(result: SimulationResult) -> float:
    """Returns the member seconds of other jobs that ended during the flood."""
    return sum(
        outcome.arrival.run_s * outcome.arrival.job.shape.members
        for outcome in result.outcomes.values()
        if not outcome.arrival.is_flood
        and FLOOD_START_S <= outcome.done_s < FLOOD_END_S
    )
