"""A short run of a site under drawn faults; ``make soak-site`` runs longer."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path
from typing import Any

import pytest

from harness.site_judge import (
    find_false_answers,
    find_repeated_runs,
    find_unasked_starts,
)
from harness.site_load import SubmittedJob


def test_short_run_violates_no_rule(tmp_path: Path) -> None:
    done = subprocess.run(
        [
            *(sys.executable, "-m", "harness.site_soak", "--seed", "1"),
            *("--duration-s", "15", "--folder", str(tmp_path)),
        ],
        capture_output=True,
        text=True,
        timeout=120,
        check=False,
    )
    assert done.returncode == 0, done.stdout[-3_000:] + done.stderr[-3_000:]
    assert json.loads(done.stdout.splitlines()[-1])["violations"] == {}


JOB_ID = "0123456789abcdef"


def make_event(at_s: float, run: int, event: str, **fields: Any) -> Any:
    return {
        "at_s": at_s,
        "worker": "w0",
        "task": f"{JOB_ID}.0.0.0",
        "run": run,
        "event": event,
        "spec": {"run_s": 1},
        **fields,
    }


def make_submitted_job(*statuses: int) -> SubmittedJob:
    return SubmittedJob(f"/p/{JOB_ID}", '{"run_s": 1}', list(statuses))


@pytest.mark.parametrize(
    "last_event",
    [make_event(3.0, 1, "acknowledged done"), make_event(1.5, 2, "started")],
)
def test_judge_sees_work_that_runs_twice(last_event: Any) -> None:
    history = [
        make_event(1.0, 1, "started"),
        make_event(2.0, 1, "done"),
        make_event(2.5, 2, "started"),
    ]
    assert not list(find_repeated_runs(history))
    late = make_event(3.0, 1, "acknowledged late done")
    assert not list(find_repeated_runs([*history, late]))
    assert list(find_repeated_runs([*history, last_event]))


def test_judge_sees_start_after_acknowledged_end() -> None:
    history = [
        make_event(1.0, 1, "started"),
        make_event(2.0, 1, "done"),
        make_event(2.5, 1, "acknowledged done"),
    ]
    assert not list(find_repeated_runs(history))
    history.append(make_event(3.0, 2, "started"))
    assert list(find_repeated_runs(history))


def test_judge_tells_runs_with_one_number_apart() -> None:
    history = [
        make_event(1.0, 1, "started"),
        make_event(2.0, 1, "lapsed", worker="w1"),
    ]
    assert list(find_repeated_runs([*history, make_event(3.0, 2, "started")]))


def test_judge_sees_work_that_nobody_asked_for() -> None:
    history = [make_event(9.0, 1, "started")]
    job = make_submitted_job(503, 200)
    assert not list(find_unasked_starts(history, [job]))
    assert list(find_unasked_starts(history, []))
    other_spec = make_event(9.0, 1, "started", spec={"run_s": 2})
    assert list(find_unasked_starts([other_spec], [job]))
    assert list(find_unasked_starts(history, [make_submitted_job(503)]))
    job.cancelled_at_s = 5.0
    assert list(find_unasked_starts(history, [job]))
    late_start = make_event(9.0, 1, "started", is_late=True)
    assert not list(find_unasked_starts([late_start], [job]))


@pytest.mark.parametrize("state", ["failed", "cancelled", "completed"])
def test_judge_sees_false_states(state: str) -> None:
    job = make_submitted_job(200)
    job.shown_states.append((1.0, state))
    assert list(find_false_answers([], [job]))
