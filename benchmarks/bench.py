"""``make bench``: all scenes, deployments and policies in virtual time.

Prints a table for a person; the last line is one JSON object:
``{scene: {deployment: {policy: {measure: value}}}}``.
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

from benchmarks.cases import run_cases
from benchmarks.fleets import ARMOR, VESTNES
from benchmarks.measures import measure
from benchmarks.scenes import SCENES
from benchmarks.simulation import POLICIES, Simulation
from lagoonbeam.errors import LagoonbeamError

FLEETS = {fleet.name: fleet for fleet in (ARMOR, VESTNES)}
COLUMNS = [
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
    """Runs one scene, deployment, policy and seed.

    A run that ends in an error is told and counted, and has no measures.
    """
    try:
        return _run_case(*case)
    except (LagoonbeamError, AssertionError):
        print(f"case {case}:\n{traceback.format_exc()}", file=sys.stderr)
        return {"scene": SCENES[case[0]].__name__, "errors": 1}


def _run_case(
    scene_index: int, fleet_name: str, policy: str, seed: int
) -> dict[str, Any]:
    fleet = FLEETS[fleet_name]
    scene = SCENES[scene_index](fleet, seed)
    quiet = None
    if scene.has_flood:
        quiet = Simulation(fleet, scene.quiet(), policy).run()
    tally = Simulation(fleet, scene, policy).run()
    return {"scene": scene.name, "errors": 0, **measure(tally, quiet)}


def main() -> None:
    """Runs everything and prints the results."""
    found = run_cases(
        run_case,
        description=__doc__,
        scenes=SCENES,
        fleets=FLEETS,
        policies=POLICIES,
        processes=5,
    )
    collected: dict[tuple[str, str, str], dict[str, list[float]]] = defaultdict(
        lambda: defaultdict(list)
    )
    for (_, fleet, policy), rows in found.items():
        for row in rows:
            scene = str(row.pop("scene"))
            for name, value in row.items():
                collected[scene, fleet, policy][name].append(value)
    results: dict[str, Any] = defaultdict(lambda: defaultdict(dict))
    for (scene, fleet, policy), values in collected.items():
        results[scene][fleet][policy] = {
            name: round(statistics.fmean(each), 4)
            for name, each in values.items()
        }
    print_table(results)
    print(json.dumps(results))


def print_table(results: dict[str, Any]) -> None:
    """Prints the main measures; each is the mean over the seeds."""
    table = Table("scene", "deployment", "policy", *COLUMNS, box=None)
    for scene, fleets in results.items():
        for fleet, policies in fleets.items():
            for policy, values in policies.items():
                cells = [
                    f"{values[name]:.3g}" if name in values else ""
                    for name in COLUMNS
                ]
                table.add_row(scene, fleet, policy, *cells)
    Console(width=220).print(table)


if __name__ == "__main__":
    main()
