"""The product's own interface over real processes and stand-ins."""

from __future__ import annotations

import json
from collections.abc import Iterator
from pathlib import Path
from typing import Any

import pytest
from typer.testing import CliRunner

from harness.run_history import find_duplicate_runs
from harness.site import API_KEY, Site, SiteConfig
from lagoonbeam.commands.client import program

WAIT = "?wait_s=20"


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    config = SiteConfig(instance_count=2, worker_count=3)
    with Site(config, tmp_path_factory.mktemp("site")) as running:
        yield running
        assert not find_duplicate_runs(running.read_worker_history())


def make_body(run_s: float = 0.2, **fields: Any) -> dict[str, Any]:
    return {
        "caller": "saw-3",
        "kind": "q1",
        "payload": json.dumps({"run_s": run_s, "gpu": 1}),
        **fields,
    }


def wait_running(site: Site, job_id: str) -> str:
    """Returns the worker that runs a job's first task."""
    while True:
        for event in site.read_worker_history():
            if event["task"] == f"{job_id}.0.0.0":
                worker: str = event["worker"]
                return worker


def test_job_of_steps_is_followed_to_its_end(site: Site) -> None:
    steps = [{"tasks": 2}, {"after": [0]}]
    reply = site.call_job_api(
        "POST", f"/v1/jobs{WAIT}", body=make_body(steps=steps)
    )
    assert reply.status_code == 200, reply.text
    answer = reply.json()
    assert answer["outcome"] == "completed"
    assert [step["done"] for step in answer["steps"]] == [2, 1]


def test_job_that_runs_once_is_unknown_after_its_worker_crashed(
    site: Site,
) -> None:
    body = make_body(run_s=30.0)
    job_id = site.call_job_api("POST", "/v1/jobs", body=body).json()["job_id"]
    worker = wait_running(site, job_id)
    site.control_worker(int(worker[1:]), "crash")
    answer = site.call_job_api(
        "GET", f"/v1/jobs/{job_id}{WAIT}", instance="n1"
    ).json()
    assert answer["outcome"] == "unknown"
    starts = [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(job_id) and event["event"] == "started"
    ]
    assert len(starts) == 1


def test_job_that_cannot_start_in_time_did_not_run(site: Site) -> None:
    body = make_body(
        shape={"members": 9, "accelerators": 8}, start_within_s=0.5
    )
    answer = site.call_job_api("POST", f"/v1/jobs{WAIT}", body=body).json()
    assert answer["outcome"] == "did_not_run"
    assert not [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(answer["job_id"])
    ]


def test_command_line_submits_steps_and_cancels(
    site: Site, tmp_path: Path
) -> None:
    settings = tmp_path / "client.yaml"
    settings.write_text(
        f"url: {site.get_job_api_url('n1')}\ntoken: {API_KEY}\n"
    )
    steps = tmp_path / "steps.json"
    steps.write_text(json.dumps([{"tasks": 2}]))
    payload = json.dumps({"run_s": 30.0, "gpu": 1})
    run = CliRunner()
    submitted = run.invoke(
        program,
        [
            *("jobs", "submit", "--settings", str(settings)),
            *("--caller", "saw-3", "--kind", "q1", "--steps", str(steps)),
            *("--payload", payload, "--idempotent", "--json"),
        ],
    )
    assert submitted.exit_code == 0, submitted.output
    job_id = json.loads(submitted.output)[0]["job_id"]
    cancelled = run.invoke(
        program,
        ["jobs", "cancel", "--settings", str(settings), job_id, "--json"],
    )
    assert json.loads(cancelled.output)[0]["outcome"] == "cancelled"
