"""The job API of a site of real processes and platform stand-ins."""

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

WAIT_QUERY = "?wait_s=20"


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    config = SiteConfig(instance_count=2, worker_count=3)
    with Site(config, tmp_path_factory.mktemp("site")) as started_site:
        yield started_site
        assert not find_duplicate_runs(started_site.read_worker_history())


def make_job_body(run_s: float = 0.2, **fields: Any) -> dict[str, Any]:
    return {
        "caller": "saw-3",
        "kind": "q1",
        "payload": json.dumps({"run_s": run_s, "gpu": 1}),
        **fields,
    }


def wait_for_first_start(site: Site, job_id: str) -> str:
    """Waits until a job's first task starts and returns its worker."""
    while True:
        for event in site.read_worker_history():
            if event["task"] == f"{job_id}.0.0.0":
                worker: str = event["worker"]
                return worker


def test_job_with_dependent_steps_completes(site: Site) -> None:
    steps = [{"tasks": 2}, {"after": [0]}]
    response = site.call_job_api(
        "POST", f"/v1/jobs{WAIT_QUERY}", body=make_job_body(steps=steps)
    )
    assert response.status_code == 200, response.text
    job = response.json()
    assert job["outcome"] == "completed"
    assert [step["done"] for step in job["steps"]] == [2, 1]


def test_non_idempotent_job_ends_unknown_after_worker_crash(
    site: Site,
) -> None:
    body = make_job_body(run_s=30.0)
    job_id = site.call_job_api("POST", "/v1/jobs", body=body).json()["job_id"]
    worker = wait_for_first_start(site, job_id)
    site.control_worker(int(worker[1:]), "crash")
    job = site.call_job_api(
        "GET", f"/v1/jobs/{job_id}{WAIT_QUERY}", instance="n1"
    ).json()
    assert job["outcome"] == "unknown"
    starts = [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(job_id) and event["event"] == "started"
    ]
    assert len(starts) == 1


def test_job_not_started_by_its_deadline_did_not_run(site: Site) -> None:
    body = make_job_body(
        shape={"members": 9, "accelerators": 8}, start_within_s=0.5
    )
    job = site.call_job_api("POST", f"/v1/jobs{WAIT_QUERY}", body=body).json()
    assert job["outcome"] == "did_not_run"
    assert not [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(job["job_id"])
    ]


def test_command_line_submits_and_cancels_job_with_steps(
    site: Site, tmp_path: Path
) -> None:
    settings = tmp_path / "client.yaml"
    settings.write_text(
        f"url: {site.get_job_api_url('n1')}\ntoken: {API_KEY}\n"
    )
    steps = tmp_path / "steps.json"
    steps.write_text(json.dumps([{"tasks": 2}]))
    payload = json.dumps({"run_s": 30.0, "gpu": 1})
    runner = CliRunner()
    submitted = runner.invoke(
        program,
        [
            *("jobs", "submit", "--settings", str(settings)),
            *("--caller", "saw-3", "--kind", "q1", "--steps", str(steps)),
            *("--payload", payload, "--idempotent", "--json"),
        ],
    )
    assert submitted.exit_code == 0, submitted.output
    job_id = json.loads(submitted.output)[0]["job_id"]
    cancelled = runner.invoke(
        program,
        ["jobs", "cancel", "--settings", str(settings), job_id, "--json"],
    )
    assert json.loads(cancelled.output)[0]["outcome"] == "cancelled"
