from __future__ import annotations

import json
from pathlib import Path

import pytest
import typer
from lagoonbeam_platform.check_program import check
from typer.testing import CliRunner

DOCUMENT = {
    "version": 3,
    "routes": [
        {
            "name": "checks",
            "host": "jobs.example",
            "path_prefix": "/checks/",
            "service": "compute",
            "stretch": 1.5,
        }
    ],
    "services": [{"name": "compute"}],
    "tenants": [{"name": "armor", "api_keys": ["k"], "guaranteed": {"gpu": 8}}],
}


def run_check(
    tmp_path: Path, document: object, *options: str
) -> tuple[int, str]:
    program = typer.Typer()
    program.command()(check)
    path = tmp_path / "new.json"
    path.write_text(json.dumps(document))
    result = CliRunner().invoke(program, [str(path), *options])
    return result.exit_code, result.output


@pytest.mark.parametrize(
    ("changes", "options", "exit_code"),
    [
        ({}, [], 0),
        ({}, ["--accelerators", "4"], 1),
        ({"services": [{"name": "other"}]}, [], 1),
        ({"routes": 5}, [], 2),
    ],
    ids=["sound", "guarantee beyond the pool", "unknown service", "malformed"],
)
def test_exit_code_tells_scripts_whether_to_send(
    tmp_path: Path, changes: dict, options: list[str], exit_code: int
) -> None:
    code, _ = run_check(tmp_path, {**DOCUMENT, **changes}, *options)
    assert code == exit_code


def test_changes_to_the_version_in_force_are_shown(tmp_path: Path) -> None:
    in_force = tmp_path / "in-force.json"
    in_force.write_text(json.dumps({**DOCUMENT, "version": 2, "routes": []}))
    code, output = run_check(
        tmp_path, DOCUMENT, "--against", str(in_force), "--json"
    )
    assert code == 0
    assert json.loads(output)["differences"] == [
        "queue checks at jobs.example/checks/: added"
    ]
