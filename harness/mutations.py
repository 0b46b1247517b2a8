"""Switches each guard off in a scratch copy and sees its proof fail.

Prints a row per guard; exits with 1 if a proof passes without its guard.
"""

from __future__ import annotations

import shutil
import subprocess
import sys
import tempfile
from dataclasses import dataclass
from pathlib import Path

ROOT = Path(__file__).parent.parent
COPIED = ["lagoonbeam", "standins", "harness", "tests", "properties", "docs"]
COPIED += ["benchmarks", "pyproject.toml", "CONTRIBUTING.md"]
TIMEOUT_S = 180.0


@dataclass(frozen=True)
class Mutation:
    """A guard and the proof that needs it.

    Attributes:
        promise: What the guard is for.
        path: The module.
        guard: Its text.
        without: What replaces it.
        proof: The test that must fail then.
    """

    promise: str
    path: str
    guard: str
    without: str
    proof: str


MUTATIONS = [
    Mutation(
        "guarantees can be reclaimed",
        "lagoonbeam/core/guarantees.py",
        "        if missing > self.shortfall_slots:",
        "        if False:",
        "properties/test_planner.py",
    ),
    Mutation(
        "no partial gang: all reserved before any starts",
        "lagoonbeam/scheduler/launcher.py",
        "        return len(succeeded) == len(groups)",
        "        return True",
        "tests/test_zone.py::TestLaunch::test_refused_gang_starts_no_member",
    ),
    Mutation(
        "no partial gang: a lost member stops the rest",
        "lagoonbeam/scheduler/zone.py",
        "        elif not gang.is_whole:",
        "        elif False:",
        "tests/test_zone.py::TestMemberLost"
        "::test_crash_of_one_worker_stops_the_gang",
    ),
    Mutation(
        "denials are true: what ran is not denied",
        "lagoonbeam/scheduler/zone.py",
        "        if job.job_id in self._touched:",
        "        if False:",
        "tests/test_zone.py::TestDenial::test_requeued_job_may_have_run",
    ),
    Mutation(
        "denials are true: workers are fenced first",
        "lagoonbeam/scheduler/zone.py",
        "        return fenced and bool(self.links)",
        "        return True",
        "tests/test_zone.py::TestDenial::test_earlier_term_may_have_started_it",
    ),
    Mutation(
        "at most once: the claim comes first",
        "lagoonbeam/scheduler/launcher.py",
        "        if not gang.job.idempotent and not await self._claim(gang):",
        "        if False:",
        "tests/test_zone.py::TestLaunch"
        "::test_non_idempotent_job_waits_for_the_log",
    ),
    Mutation(
        "at most once: a lost launch is not repeated",
        "lagoonbeam/scheduler/zone.py",
        "        elif job.idempotent or gang.saved_s > 0 or gang.never_ran:",
        "        elif True:",
        "tests/test_zone.py::TestMemberLost"
        "::test_non_idempotent_job_is_not_repeated",
    ),
    Mutation(
        "at most once: the first use of a key wins",
        "lagoonbeam/core/state.py",
        "            if key in self._keys:",
        "            if False:",
        "tests/test_state.py::TestKeys::test_first_use_of_a_key_wins",
    ),
    Mutation(
        "at most once: an older term's intent is void",
        "lagoonbeam/core/state.py",
        "        if record.term < self.get_term(record.availability_zone):",
        "        if False:",
        "tests/test_state.py::TestLaunches"
        "::test_intent_of_an_older_term_is_void",
    ),
    Mutation(
        "repeats of an append are dropped",
        "lagoonbeam/core/state.py",
        "        if batch.sequence <= self._writers.get(batch.writer, -1):",
        "        if False:",
        "tests/test_state.py::TestRepeats",
    ),
    Mutation(
        "rules: one of two racing operators is refused",
        "lagoonbeam/core/state.py",
        "            if document.based_on != self.version:",
        "            if False:",
        "tests/test_state.py::TestRules::test_racing_operators",
    ),
    Mutation(
        "rules never revert",
        "lagoonbeam/core/state.py",
        "        if image.next_offset < self.next_offset:",
        "        if False:",
        "tests/test_state.py::TestRules::test_older_image_never_reverts",
    ),
    Mutation(
        "a leaving endpoint gets nothing new",
        "lagoonbeam/scheduler/zone.py",
        '            or link.entry.state == "leaving"',
        "            or False",
        "tests/test_promises.py::test_a_leaving_endpoint_gets_nothing_new",
    ),
    Mutation(
        "no queued job is forgotten",
        "lagoonbeam/core/planner.py",
        "                self._move_in(pool, waiter, job_id)\n"
        "        self._ordering.reopen(None)",
        "                self._move_in(pool, waiter, job_id)",
        "properties/test_liveness.py",
    ),
]


def run_mutation(mutation: Mutation) -> str:
    """Returns ``red`` if the proof fails without the guard."""
    with tempfile.TemporaryDirectory() as folder:
        copy = Path(folder)
        for name in COPIED:
            source = ROOT / name
            if source.is_dir():
                shutil.copytree(source, copy / name)
            else:
                shutil.copy(source, copy / name)
        module = copy / mutation.path
        text = module.read_text()
        if text.count(mutation.guard) != 1:
            return f"guard found {text.count(mutation.guard)} times"
        module.write_text(text.replace(mutation.guard, mutation.without))
        done = subprocess.run(
            [sys.executable, "-m", "pytest", "-q", "-x", mutation.proof],
            cwd=copy,
            env={"PYTHONPATH": str(copy), "PATH": ""},
            capture_output=True,
            timeout=TIMEOUT_S,
            check=False,
        )
    return {0: "GREEN", 1: "red"}.get(done.returncode, "did not run")


def main() -> int:
    """Runs all mutations; returns the exit status."""
    survived = 0
    for mutation in MUTATIONS:
        result = run_mutation(mutation)
        survived += result != "red"
        print(f"{result:6} {mutation.promise}: {mutation.proof}", flush=True)
    return int(survived > 0)


if __name__ == "__main__":
    sys.exit(main())
