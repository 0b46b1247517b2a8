"""What a run in virtual time is judged by."""

from __future__ import annotations

import statistics
from typing import Any

from benchmarks.scenes import FLOOD_END_S, FLOOD_START_S, HORIZON_S
from benchmarks.simulation import DRAIN_S, Record, Tally


def _percentile(values: list[float], share: float) -> float:
    if not values:
        return 0.0
    return sorted(values)[min(len(values) - 1, int(share * len(values)))]


def _mean(values: list[float]) -> float:
    return statistics.fmean(values) if values else 0.0


def measure(tally: Tally, quiet: Tally | None) -> dict[str, Any]:
    """Returns the measures of a run.

    Args:
        tally: The run.
        quiet: The same work without its flood, if there is one.
    """
    records = [r for r in tally.records.values() if not r.arrival.flood]
    end_s = HORIZON_S + DRAIN_S
    measures: dict[str, Any] = {}
    took = {
        id(r): (r.done_s if r.done_s >= 0 else end_s) - r.arrival.at_s
        for r in records
        if r.arrival.run_s < DRAIN_S
    }
    for group in ("check", "buyer", "render", "train"):
        values = [
            took[id(r)]
            for r in records
            if r.arrival.group == group and id(r) in took
        ]
        if values:
            measures[f"{group}_mean_s"] = _mean(values)
            measures[f"{group}_p99_s"] = _percentile(values, 0.99)
    measures["mean_completion_s"] = _mean(list(took.values()))
    urgent = [
        r.first_start_s - r.accepted_s
        for r in tally.records.values()
        if r.arrival.job.urgency == "urgent" and r.first_start_s >= 0
    ]
    asked = sum(
        1 + r.refusals
        for r in tally.records.values()
        if r.arrival.job.urgency == "urgent"
    )
    refused = sum(r.refusals for r in tally.records.values())
    measures["urgent_start_p99_s"] = _percentile(urgent, 0.99)
    measures["urgent_refused"] = refused / max(1, asked)
    measures["fragmentation"] = _mean(tally.unusable)
    measures["stranded"] = _mean(tally.stranded)
    measures["reclaim_mean_s"] = _mean(tally.reclaims_s)
    measures["reclaim_p99_s"] = _percentile(tally.reclaims_s, 0.99)
    measures["wasted"] = tally.wasted_slot_s / max(1.0, tally.used_slot_s)
    measures["violations"] = tally.violations
    large = _slowdown(records, large=True)
    if large:
        measures["small_to_large"] = _slowdown(records, large=False) / large
    if quiet is not None:
        measures["kept"] = _throughput(tally) / max(1, _throughput(quiet))
    return measures


def _slowdown(records: list[Record], *, large: bool) -> float:
    """Returns the mean of total time to run time."""
    return _mean(
        [
            (r.done_s - r.arrival.at_s) / r.arrival.run_s
            for r in records
            if r.done_s >= 0
            and r.arrival.group == "buyer"
            and r.arrival.job.caller.startswith("large") == large
            and r.arrival.job.organisation == "org2"
        ]
    ) * any(r.arrival.job.caller.startswith("large") for r in records)


def _throughput(tally: Tally) -> float:
    """Returns the run time of other work that ended during the flood."""
    return sum(
        r.arrival.run_s * r.arrival.job.shape.members
        for r in tally.records.values()
        if not r.arrival.flood and FLOOD_START_S <= r.done_s < FLOOD_END_S
    )
