"""Runs benchmark cases in several processes."""

from __future__ import annotations

import argparse
import multiprocessing
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

BenchmarkCase = tuple[int, str, str, int]
"""Index of the scene, deployment, policy set, seed."""
ResultKey = tuple[str, str, str]
"""Scene, deployment, policy set."""


def run_cases(
    run_case: Callable[[BenchmarkCase], dict[str, Any]],
    *,
    description: str | None,
    scene_factories: Sequence[Callable[..., Any]],
    fleets: Iterable[str],
    policies: Iterable[str],
    processes: int,
) -> dict[ResultKey, list[dict[str, Any]]]:
    """Runs the cases that the command line selects.

    Args:
        run_case: Runs one case; must be picklable.
        description: Description of the program for its help text.
        scene_factories: Functions that make the scenes; ``--scene`` selects
            those whose names contain its value.
        fleets: Names of the deployments; ``--deployments`` selects some.
        policies: Names of the policy sets.
        processes: Default number of processes.

    Returns:
        One row of metrics for each seed, by scene, deployment and policy set.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--processes", type=int, default=processes)
    parser.add_argument("--scene", default="")
    parser.add_argument("--policies", default=",".join(policies))
    parser.add_argument("--deployments", default=",".join(fleets))
    arguments = parser.parse_args()
    cases = [
        (scene_index, fleet, policy, seed)
        for scene_index, make_scene in enumerate(scene_factories)
        if arguments.scene in make_scene.__name__
        for fleet in arguments.deployments.split(",")
        for policy in arguments.policies.split(",")
        for seed in range(1, arguments.seeds + 1)
    ]
    with multiprocessing.Pool(arguments.processes) as pool:
        rows = pool.map(run_case, cases, chunksize=1)
    rows_by_key: dict[ResultKey, list[dict[str, Any]]] = defaultdict(list)
    for (scene_index, fleet, policy, _), row in zip(cases, rows, strict=True):
        rows_by_key[
            scene_factories[scene_index].__name__, fleet, policy
        ].append(row)
    return rows_by_key
