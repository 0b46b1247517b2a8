"""Tests that the tools outside the product still start on the present code."""

from __future__ import annotations

import importlib
import random
from pathlib import Path
from types import SimpleNamespace

import pytest

from harness import mutations, soak_faults

ROOT = Path(__file__).parent.parent
TOOL_MODULES = [
    f"{path.parent.name}.{path.stem}"
    for folder in ("benchmarks", "harness")
    for path in sorted((ROOT / folder).glob("*.py"))
    if path.stem != "__init__"
]


@pytest.mark.parametrize("module", TOOL_MODULES)
def test_tool_can_be_imported(module: str) -> None:
    importlib.import_module(module)


def test_guard_of_each_mutation_occurs_once() -> None:
    for mutation in mutations.MUTATIONS:
        source_code = (ROOT / mutation.path).read_text()
        assert source_code.count(mutation.guard_code) == 1, mutation.invariant


def test_mutation_run_reports_a_missing_guard() -> None:
    mutation = next(
        mutation
        for mutation in mutations.MUTATIONS
        if "end of a stale run" in mutation.invariant
    )
    assert mutations.run_mutation(mutation) == "red"


def test_instance_is_chosen_while_another_is_added() -> None:
    """Faults add and remove instances in threads of their own."""
    instances: dict[str, None] = {"z1-0": None}

    def is_running(name: str) -> bool:
        instances["z1-r1"] = None
        return True

    cluster = SimpleNamespace(instances=instances, is_running=is_running)
    run = SimpleNamespace(cluster=cluster, rng=random.Random(1))
    chosen = soak_faults.choose_instance(run)  # type: ignore[arg-type]
    assert chosen in instances
