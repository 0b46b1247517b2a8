"""The command line against a running system."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest
import yaml

from harness.cluster import OPERATOR_TOKEN, Cluster
from tests.conftest import make_rules


def run(module: str, *arguments: str) -> subprocess.CompletedProcess[str]:
    return subprocess.run(
        [sys.executable, "-m", f"lagoonbeam.commands.{module}", *arguments],
        capture_output=True,
        text=True,
        timeout=60,
        check=False,
    )


@pytest.fixture
def caller(cluster: Cluster, tmp_path: Path) -> str:
    return write_settings(cluster, tmp_path / "caller.yaml", "token-armor")


@pytest.fixture
def operator(cluster: Cluster, tmp_path: Path) -> str:
    return write_settings(cluster, tmp_path / "op.yaml", OPERATOR_TOKEN)


def write_settings(cluster: Cluster, path: Path, token: str) -> str:
    url = cluster.list_entry_urls()[0]
    path.write_text(yaml.safe_dump({"url": url, "token": token}))
    return str(path)


class TestJobs:
    def test_submit_status_list(self, caller: str) -> None:
        payload = json.dumps({"run_s": 0.05, "answer": "x"})
        done = run(
            "client",
            *("jobs", "submit", "--settings", caller, "--caller", "c"),
            *("--kind", "edge", "--wait-s", "20", "--payload", payload),
            *("--members", "2", "--json"),
        )
        assert done.returncode == 0, done.stderr
        (status,) = json.loads(done.stdout)
        assert status["results"] == ["x/0", "x/1"]
        shown = run(
            "client", "jobs", "status", "--settings", caller, status["job_id"]
        )
        assert "completed" in shown.stdout
        listed = run("client", "jobs", "list", "--settings", caller, "--json")
        ids = [job["job_id"] for job in json.loads(listed.stdout)]
        assert status["job_id"] in ids

    def test_refusal_is_exit_1(self, caller: str) -> None:
        refused = run(
            "client",
            *("jobs", "submit", "--settings", caller),
            *("--caller", "c", "--kind", "melting"),
        )
        assert refused.returncode == 1
        assert "unknown_kind" in refused.stderr

    def test_unreachable_is_exit_3(self, tmp_path: Path) -> None:
        path = tmp_path / "s.yaml"
        path.write_text("url: http://127.0.0.1:1\ntoken: x\n")
        done = run("client", "jobs", "list", "--settings", str(path))
        assert done.returncode == 3


class TestRules:
    def test_check_diff_publish_status(
        self, operator: str, tmp_path: Path
    ) -> None:
        shown = run("client", "rules", "show", "--settings", operator)
        status = run(
            "client", "rules", "status", "--settings", operator, "--json"
        )
        version = json.loads(status.stdout)[0]["rules_version"]
        document = make_rules(["z1", "z2"], based_on=version)
        document["organisations"][1]["weight"] = 3.0
        path = tmp_path / "rules.json"
        path.write_text(json.dumps(document))
        assert json.loads(shown.stdout)["organisations"]
        assert run("client", "rules", "check", str(path)).returncode == 0
        diff = run("client", "rules", "diff", "--settings", operator, str(path))
        assert "vestnes.weight" in diff.stdout
        arguments = ("rules", "publish", "--settings", operator, str(path))
        assert run("client", *arguments).returncode == 0
        again = run("client", *arguments)
        assert again.returncode == 1
        assert "rules_conflict" in again.stderr

    def test_instances_and_fleet(self, operator: str) -> None:
        for command in ("instances", "fleet"):
            done = run("client", command, "--settings", operator, "--json")
            assert json.loads(done.stdout), done.stderr


class TestTimeline:
    def test_shows_a_job_across_processes(
        self, cluster: Cluster, caller: str, tmp_path: Path
    ) -> None:
        done = run(
            "client",
            *("jobs", "submit", "--settings", caller, "--caller", "c"),
            *("--kind", "edge", "--wait-s", "20", "--json"),
            *("--payload", '{"run_s": 0.05}'),
        )
        job_id = json.loads(done.stdout)[0]["job_id"]
        path = tmp_path / "timeline.yaml"
        settings = {"urls": cluster.list_entry_urls(), "token": OPERATOR_TOKEN}
        path.write_text(yaml.safe_dump(settings))
        shown = run(
            "timeline", "--settings", str(path), "--job", job_id, "--json"
        )
        names = [json.loads(line)["name"] for line in shown.stdout.splitlines()]
        wanted = [
            "request.received",
            "job.arrived",
            "job.queued",
            "gang.launching",
            "gang.started",
            "job.finished",
            "request.answered",
        ]
        assert [name for name in names if name in wanted] == wanted


class TestSettings:
    @pytest.mark.parametrize("program", ["entry", "scheduler"])
    def test_every_fault_is_told_at_once(
        self, program: str, tmp_path: Path
    ) -> None:
        path = tmp_path / "s.yaml"
        path.write_text(
            "instance: ''\nlisten: {port: 0}\nspeed: 3\ndrain_s: soon\n"
        )
        done = run(program, "--settings", str(path), "--check-settings")
        assert done.returncode == 2
        for name in ("instance", "listen.port", "speed", "drain_s"):
            assert f"settings.{name}:" in done.stderr
        assert "settings.availability_zone: got nothing" in done.stderr

    def test_missing_file(self, tmp_path: Path) -> None:
        done = run("entry", "--settings", str(tmp_path / "none.yaml"))
        assert done.returncode == 2
