"""``make bench``: simulates all scenes, deployments and policies.

Prints a table; the last line of the output is one JSON object:
``{scene: {deployment: {policy: {metric: value}}}}``. Each value is the mean
over the seeds.
"""

from __future__ import annotations

import json
import statistics
import sys
import traceback
from collections import defaultdict
from typing import Any

from rich.console import Console
from rich.table import Table

from benchmarks.case_runner import run_cases
from benchmarks.fleets import ARMOR, VESTNES
from benchmarks.metrics import compute_metrics
from benchmarks.scenes import SCENE_FACTORIES
from benchmarks.simulation import POLICIES, Simulation
from lagoonbeam.errors import LagoonbeamError

FLEETS = {fleet.name: fleet for fleet in (ARMOR, VESTNES)}
METRIC_COLUMNS = [
    "mean_completion_s",
    "check_p99_s",
    "urgent_start_p99_s",
    "urgent_refused",
    "fragmentation",
    "stranded",
    "kept",
    "small_to_large",
    "reclaim_p99_s",
    "wasted",
    "violations",
    "errors",
]


def run_case(case: tuple[int, str, str, int]) -> dict[str, Any]:
    """Simulates one scene, deployment, policy and seed.

    A simulation that raises is printed to standard error and counted in
    ``errors``; it has no other metrics.
    """
    try:
        return _simulate_case(*case)
    except (LagoonbeamError, AssertionError):
        print(f"case {case}:\n{traceback.format_exc()}", file=sys.stderr)
        return {"scene": SCENE_FACTORIES[case[0]].__name__, "errors": 1}


def _simulate_case(
    scene_index: int, fleet_name: str, policy: str, seed: int
) -> dict[str, Any]:
    fleet = FLEETS[fleet_name]
    scene = SCENE_FACTORIES[scene_index](fleet, seed)
    without_flood = None
    if scene.has_flood:
        without_flood = Simulation(fleet, scene.without_flood(), policy).run()
    result = Simulation(fleet, scene, policy).run()
    return {
        "scene": scene.name,
        "errors": 0,
        **compute_metrics(result, without_flood),
    }


def main() -> None:
    """Runs the selected cases and prints the mean of each metric."""
    rows_by_key = run_cases(
        run_case,
        description=__doc__,
        scene_factories=SCENE_FACTORIES,
        fleets=FLEETS,
        policies=POLICIES,
        processes=5,
    )
    samples_by_case: dict[tuple[str, str, str], dict[str, list[float]]] = (
        defaultdict(lambda: defaultdict(list))
    )
    for (_, fleet, policy), rows in rows_by_key.items():
        for row in rows:
            scene = str(row.pop("scene"))
            for metric, value in row.items():
                samples_by_case[scene, fleet, policy][metric].append(value)
    results: dict[str, Any] = defaultdict(lambda: defaultdict(dict))
    for (scene, fleet, policy), values in samples_by_case.items():
        results[scene][fleet][policy] = {
            metric: round(statistics.fmean(samples), 4)
            for metric, samples in values.items()
        }
    print_results_table(results)
    print(json.dumps(results))


def print_results_table(results: dict[str, Any]) -> None:
    """Prints the main metrics as a table."""
    table = Table("scene", "deployment", "policy", *METRIC_COLUMNS, box=None)
    for scene, fleets in results.items():
        for fleet, policies in fleets.items():
            for policy, values in policies.items():
                formatted_values = [
                    f"{values[metric]:.3g}" if metric in values else ""
                    for metric in METRIC_COLUMNS
                ]
                table.add_row(scene, fleet, policy, *formatted_values)
    Console(width=220).print(table)


if __name__ == "__main__":
    main()
