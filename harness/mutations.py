"""Mutation tests: disables each guard in a scratch copy and runs its test.

Prints a row per mutation; exits with 1 if a test passes without its guard.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from pathlib import Path

from harness.incident_mutations import INCIDENT_MUTATIONS
from harness.mutation import Mutation
from harness.presumed_end_mutations import PRESUMED_END_MUTATIONS
from harness.site_mutations import SITE_MUTATIONS
from harness.zone_mutations import ZONE_MUTATIONS

PROJECT_ROOT = Path(__file__).parent.parent
COPIED_PATHS = [
    "lagoonbeam",
    "standins",
    "harness",
    "tests",
    "properties",
    "docs",
]
COPIED_PATHS += ["benchmarks", "platform", "deploy"]
COPIED_PATHS += ["pyproject.toml", "CONTRIBUTING.md", "KNOWN-RED.txt"]
TEST_TIMEOUT_S = 180.0

MUTATIONS = [
    *ZONE_MUTATIONS,
    *SITE_MUTATIONS,
    *INCIDENT_MUTATIONS,
    *PRESUMED_END_MUTATIONS,
]


def run_mutation(mutation: Mutation) -> str:
    """Returns ``red`` if the test fails without the guard, as it must."""
    with tempfile.TemporaryDirectory() as folder:
        copied_project = Path(folder)
        platform = copied_project / "platform"
        for name in COPIED_PATHS:
            source = PROJECT_ROOT / name
            if source.is_dir():
                shutil.copytree(source, copied_project / name)
            else:
                shutil.copy(source, copied_project / name)
        module = copied_project / mutation.path
        source_code = module.read_text()
        if source_code.count(mutation.guard_code) != 1:
            return (
                "guard code found"
                f" {source_code.count(mutation.guard_code)} times"
            )
        module.write_text(
            source_code.replace(mutation.guard_code, mutation.replacement_code)
        )
        completed_process = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mutation.failing_test],
            cwd=copied_project,
            env={"PYTHONPATH": f"{copied_project}:{platform}", "PATH": ""},
            capture_output=True,
            timeout=TEST_TIMEOUT_S,
            check=False,
        )
    return {0: "GREEN", 1: "red"}.get(
        completed_process.returncode, "did not run"
    )


def main() -> int:
    """Runs the mutations whose invariant contains the first argument."""
    invariant_filter = sys.argv[1] if len(sys.argv) > 1 else ""
    undetected_count = 0
    for mutation in MUTATIONS:
        if invariant_filter not in mutation.invariant:
            continue
        result = run_mutation(mutation)
        undetected_count += result != "red"
        print(
            f"{result:6} {mutation.invariant}: {mutation.failing_test}",
            flush=True,
        )
    return int(undetected_count > 0)


if __name__ == "__main__":
    sys.exit(main())
