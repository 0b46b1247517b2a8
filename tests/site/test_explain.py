from __future__ import annotations

import json
from pathlib import Path

from typer.testing import CliRunner

from lagoonbeam.commands.client import program

JOB = "5c0e7a21d94b36f8"
TASK = f"{JOB}.0.0.0"


def write_log(path: Path, *events: dict[str, object]) -> str:
    lines = [
        json.dumps({"instance": path.stem, "at_s": float(n), **event})
        for n, event in enumerate(events)
    ]
    path.write_text("not a decision\n" + "\n".join(lines))
    return str(path)


def run_explain(*paths: str) -> str:
    result = CliRunner().invoke(program, ["explain", JOB, *paths])
    assert result.exit_code == 0, result.output
    return result.output.splitlines()[-1]


def test_refused_request_states_status_and_cause(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "n0.log",
        {
            "event": "request.refused",
            "target": f"/checks/{JOB}",
            "status": 503,
            "cause": "the store has not answered for 1.3 s",
        },
    )
    assert run_explain(log) == (
        "cause: refused with 503: the store has not answered for 1.3 s"
    )


def test_late_completion_lists_waits_stops_and_repeats(tmp_path: Path) -> None:
    accepting_log = write_log(
        tmp_path / "n0.log", {"event": "job.accepted", "job": JOB}
    )
    active_log = write_log(
        tmp_path / "n1.log",
        {"event": "unit.waits", "task": TASK, "free_accelerators": 3},
        {"event": "run.start", "task": TASK},
        {"event": "run.stop", "task": TASK, "cause": "room for x.0.0.0"},
        {
            "event": "job.ended",
            "job": JOB,
            "state": "completed",
            "age_s": 9.5,
            "tasks": 1,
            "starts": 2,
        },
    )
    assert run_explain(accepting_log, active_log) == (
        "cause: completed after 9.5 s, 1 of its units waited for capacity (the"
        " first with 3 accelerators free), 1 of its runs were stopped for"
        " urgent work, 1 starts were repeats"
    )


def test_failed_job_states_the_task_and_its_failures(tmp_path: Path) -> None:
    log = write_log(
        tmp_path / "n1.log",
        {"event": "term.claimed", "term": 3},
        {
            "event": "job.ended",
            "job": JOB,
            "state": "failed",
            "task": TASK,
            "failures": 2,
            "allowed": 2,
        },
    )
    assert run_explain(log) == (
        f"cause: failed: {TASK} failed 2 times, 2 are allowed"
    )


def test_lines_prefixed_by_a_collector_are_read(tmp_path: Path) -> None:
    path = tmp_path / "all.log"
    event = {"event": "job.cancelled", "job": JOB, "instance": "n0"}
    path.write_text(f"  -1.5000 n0 {json.dumps(event)}\n")
    assert run_explain(str(path)) == "cause: cancelled by its caller"


def test_job_absent_from_the_logs_exits_with_1(tmp_path: Path) -> None:
    log = write_log(tmp_path / "n0.log", {"event": "instance.start"})
    result = CliRunner().invoke(program, ["explain", JOB, log])
    assert result.exit_code == 1


def test_evictions_for_the_job_and_its_longest_run_are_listed(
    tmp_path: Path,
) -> None:
    log = write_log(
        tmp_path / "n0.log",
        {"event": "job.accepted", "job": JOB},
        {
            "event": "run.stop",
            "task": "d9033ba7d81bc3e4.0.0.2",
            "cause": f"room for {TASK}",
        },
        {"event": "run.start", "task": TASK, "run": 1, "worker": "w1"},
        {"event": "term.claimed", "term": 4},
        {"event": "run.ended", "task": TASK, "run": 1, "worker": "w1"},
        {
            "event": "job.ended",
            "job": JOB,
            "state": "completed",
            "age_s": 5.0,
            "tasks": 1,
            "starts": 1,
        },
    )
    assert run_explain(log) == (
        "cause: completed after 5.0 s, 1 takeovers while it was open (the"
        " first 3.0 s after its first decision), 1 runs of other jobs were"
        " stopped for it, its longest run took 2.0 s at w1"
    )
