"""``make bench-site``: simulates the site's policies and baselines.

Prints a table; the last line of the output is one JSON object:
``{scene: {deployment: {policies: {metric: value}}}}``. Each value is the mean
over the seeds.
"""

from __future__ import annotations

import json
import statistics
from collections import defaultdict
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.case_runner import run_cases
from benchmarks.site_metrics import compute_site_metrics
from benchmarks.site_scenes import ARMOR, LARGE, SCENE_FACTORIES, TAUVERK
from benchmarks.site_simulation import SiteSimulation
from lagoonbeam.site.policies import PolicyNames

FLEETS = {fleet.name: fleet for fleet in (ARMOR, TAUVERK, LARGE)}
POLICIES = {
    "site": (PolicyNames(), True),
    "priority order": (PolicyNames(ordering="priority"), True),
    "first fit": (PolicyNames(packing="first_fit"), True),
    "fullest first": (PolicyNames(packing="fullest"), True),
    "no reserve": (PolicyNames(reserve="none"), True),
    "holds": (PolicyNames(reserve="square_root"), True),
    "fraction, holds": (PolicyNames(reserve="share"), True),
    "youngest stopped": (PolicyNames(eviction="youngest_job"), True),
    "never stopped": (PolicyNames(eviction="never"), True),
    "no quarantine": (PolicyNames(), False),
    "first come": (
        PolicyNames("first_come", "first_fit", "none", "never"),
        False,
    ),
}
METRIC_COLUMNS = (
    "worth",
    "worth_checks",
    "worth_renders",
    "worth_batches",
    "urgent_start_p90_s",
    "lost",
    "stops",
    "unfinished",
    "plan_mean_ms",
    "plan_max_ms",
)


def run_case(case: tuple[int, str, str, int]) -> dict[str, float]:
    """Simulates one scene, deployment, policy set and seed."""
    scene_index, fleet_name, policy, seed = case
    fleet = FLEETS[fleet_name]
    policy_names, is_quarantining = POLICIES[policy]
    scene = SCENE_FACTORIES[scene_index](fleet, seed)
    simulation = SiteSimulation(
        fleet, scene, policy_names, seed, is_quarantining=is_quarantining
    )
    return compute_site_metrics(simulation.run())


def main() -> None:
    """Runs the selected cases and prints the mean of each metric."""
    rows_by_key = run_cases(
        run_case,
        description=__doc__,
        scene_factories=SCENE_FACTORIES,
        fleets=FLEETS,
        policies=POLICIES,
        processes=3,
    )
    results: dict[str, Any] = defaultdict(lambda: defaultdict(dict))
    table = Table("scene", "deployment", "policies", *METRIC_COLUMNS, box=None)
    for (scene, fleet, policy), rows in rows_by_key.items():
        mean_by_metric = {
            metric: statistics.fmean(row[metric] for row in rows)
            for metric in rows[0].keys() & set(METRIC_COLUMNS)
        }
        results[scene][fleet][policy] = {
            metric: round(value, 4) for metric, value in mean_by_metric.items()
        }
        formatted_values = [
            f"{mean_by_metric.get(metric, 0.0):.3g}"
            for metric in METRIC_COLUMNS
        ]
        table.add_row(scene, fleet, policy, *formatted_values)
    Console(width=200).print(table)
    print(json.dumps(results))


if __name__ == "__main__":
    main()
