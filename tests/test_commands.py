"""Tests of the command line against a running cluster."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from harness.cluster import OPERATOR_TOKEN, Cluster
from tests.conftest import make_rules_document


def run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", f"lagoonbeam.commands.{module}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.fixture
def caller_settings(cluster: Cluster, tmp_path: Path) -> str:
    return write_client_settings(
        cluster, tmp_path / "caller.yaml", "token-armor"
    )


@pytest.fixture
def operator_settings(cluster: Cluster, tmp_path: Path) -> str:
    return write_client_settings(cluster, tmp_path / "op.yaml", OPERATOR_TOKEN)


def write_client_settings(cluster: Cluster, path: Path, token: str) -> str:
    url = cluster.list_entry_urls()[0]
    path.write_text(yaml.safe_dump({"url": url, "token": token}))
    return str(path)


class TestJobs:
    def test_submitted_job_appears_in_status_and_list(
        self, caller_settings: str
    ) -> None:
        payload = json.dumps({"run_s": 0.05, "answer": "x"})
        completed = run(
            "client",
            *("jobs", "submit", "--settings", caller_settings, "--caller", "c"),
            *("--kind", "edge", "--wait-s", "20", "--payload", payload),
            *("--members", "2", "--json"),
        )
        assert completed.returncode == 0, completed.stderr
        (status,) = json.loads(completed.stdout)
        assert status["results"] == ["x/0", "x/1"]
        shown = run(
            "client",
            "jobs",
            "status",
            "--settings",
            caller_settings,
            status["job_id"],
        )
        assert "completed" in shown.stdout
        listed = run(
            "client", "jobs", "list", "--settings", caller_settings, "--json"
        )
        ids = [job["job_id"] for job in json.loads(listed.stdout)]
        assert status["job_id"] in ids

    def test_refused_submission_exits_with_1(
        self, caller_settings: str
    ) -> None:
        refused = run(
            "client",
            *("jobs", "submit", "--settings", caller_settings),
            *("--caller", "c", "--kind", "melting"),
        )
        assert refused.returncode == 1
        assert "unknown_kind" in refused.stderr

    def test_unreachable_entry_exits_with_3(self, tmp_path: Path) -> None:
        path = tmp_path / "s.yaml"
        path.write_text("url: http://127.0.0.1:1\ntoken: x\n")
        completed = run("client", "jobs", "list", "--settings", str(path))
        assert completed.returncode == 3


class TestRules:
    def test_rules_are_checked_compared_and_published_once(
        self, operator_settings: str, tmp_path: Path
    ) -> None:
        shown = run("client", "rules", "show", "--settings", operator_settings)
        status = run(
            "client",
            "rules",
            "status",
            "--settings",
            operator_settings,
            "--json",
        )
        version = json.loads(status.stdout)[0]["rules_version"]
        document = make_rules_document(["z1", "z2"], based_on=version)
        document["organisations"][1]["weight"] = 3.0
        path = tmp_path / "rules.json"
        path.write_text(json.dumps(document))
        assert json.loads(shown.stdout)["organisations"]
        assert run("client", "rules", "check", str(path)).returncode == 0
        diff = run(
            "client",
            "rules",
            "diff",
            "--settings",
            operator_settings,
            str(path),
        )
        assert "vestnes.weight" in diff.stdout
        arguments = (
            "rules",
            "publish",
            "--settings",
            operator_settings,
            str(path),
        )
        assert run("client", *arguments).returncode == 0
        republished = run("client", *arguments)
        assert republished.returncode == 1
        assert "rules_conflict" in republished.stderr

    def test_instances_and_fleet_are_listed(
        self, operator_settings: str
    ) -> None:
        for command in ("instances", "fleet"):
            completed = run(
                "client", command, "--settings", operator_settings, "--json"
            )
            assert json.loads(completed.stdout), completed.stderr


class TestTimeline:
    def test_timeline_orders_a_jobs_events_across_processes(
        self, cluster: Cluster, caller_settings: str, tmp_path: Path
    ) -> None:
        completed = run(
            "client",
            *("jobs", "submit", "--settings", caller_settings, "--caller", "c"),
            *("--kind", "edge", "--wait-s", "20", "--json"),
            *("--payload", '{"run_s": 0.05}'),
        )
        job_id = json.loads(completed.stdout)[0]["job_id"]
        settings_path = tmp_path / "timeline.yaml"
        settings = {"urls": cluster.list_entry_urls(), "token": OPERATOR_TOKEN}
        settings_path.write_text(yaml.safe_dump(settings))
        shown = run(
            "timeline",
            "--settings",
            str(settings_path),
            "--job",
            job_id,
            "--json",
        )
        event_names = [
            json.loads(line)["name"] for line in shown.stdout.splitlines()
        ]
        expected_names = [
            "request.received",
            "job.arrived",
            "job.queued",
            "gang.launching",
            "gang.started",
            "job.finished",
            "request.answered",
        ]
        assert [
            name for name in event_names if name in expected_names
        ] == expected_names


class TestSettings:
    @pytest.mark.parametrize("program", ["entry", "scheduler"])
    def test_all_settings_errors_are_reported_together(
        self, program: str, tmp_path: Path
    ) -> None:
        path = tmp_path / "s.yaml"
        path.write_text(
            "instance: ''\nlisten: {port: 0}\nspeed: 3\ndrain_s: soon\n"
        )
        completed = run(program, "--settings", str(path), "--check-settings")
        assert completed.returncode == 2
        for name in ("instance", "listen.port", "speed", "drain_s"):
            assert f"settings.{name}:" in completed.stderr
        assert "settings.availability_zone: got nothing" in completed.stderr

    def test_missing_settings_file_exits_with_2(self, tmp_path: Path) -> None:
        completed = run("entry", "--settings", str(tmp_path / "none.yaml"))
        assert completed.returncode == 2
