"""Running scenes, deployments, policies and seeds in several processes."""

from __future__ import annotations

import argparse
import multiprocessing
from collections import defaultdict
from collections.abc import Callable, Iterable, Sequence
from typing import Any

Case = tuple[int, str, str, int]
"""Number of the scene, deployment, policies, seed."""
Key = tuple[str, str, str]
"""Scene, deployment, policies."""


def run_cases(
    run_case: Callable[[Case], dict[str, Any]],
    *,
    description: str | None,
    scenes: Sequence[Callable[..., Any]],
    fleets: Iterable[str],
    policies: Iterable[str],
    processes: int,
) -> dict[Key, list[dict[str, Any]]]:
    """Runs all cases that the command line asks for.

    Args:
        run_case: Runs one; it must be importable by name.
        description: What the program does.
        scenes: Make the scenes; their names choose.
        fleets: Names of the deployments.
        policies: Names of the policies.
        processes: Processes, unless told otherwise.

    Returns:
        The results of all seeds.
    """
    parser = argparse.ArgumentParser(description=description)
    parser.add_argument("--seeds", type=int, default=10)
    parser.add_argument("--processes", type=int, default=processes)
    parser.add_argument("--scene", default="")
    parser.add_argument("--policies", default=",".join(policies))
    arguments = parser.parse_args()
    cases = [
        (index, fleet, policy, seed)
        for index, make in enumerate(scenes)
        if arguments.scene in make.__name__
        for fleet in fleets
        for policy in arguments.policies.split(",")
        for seed in range(1, arguments.seeds + 1)
    ]
    with multiprocessing.Pool(arguments.processes) as pool:
        rows = pool.map(run_case, cases, chunksize=1)
    found: dict[Key, list[dict[str, Any]]] = defaultdict(list)
    for (index, fleet, policy, _), row in zip(cases, rows, strict=True):
        found[scenes[index].__name__, fleet, policy].append(row)
    return found
