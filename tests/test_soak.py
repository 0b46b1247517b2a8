"""A short soak test with a fixed seed; ``make soak`` runs longer ones."""

from __future__ import annotations

import json
import subprocess
import sys


class TestSoak:
    def test_short_run_violates_no_invariant(self) -> None:
        done = subprocess.run(
            [
                *(sys.executable, "-m", "harness.soak"),
                *("--seed", "1", "--duration-s", "15"),
            ],
            capture_output=True,
            text=True,
            timeout=180,
            check=False,
        )
        assert done.returncode == 0, done.stdout[-3_000:] + done.stderr[-3_000:]
        summary = json.loads(done.stdout.splitlines()[-1])
        assert summary["violations"] == {}
        assert summary["requests"] > 30
