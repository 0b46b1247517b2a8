"""Starts of an instance that fail."""

from __future__ import annotations

import json
import subprocess
import sys
from pathlib import Path

import pytest

START_SCRIPT = Path(__file__).parent.parent / "platform" / "start.py"
SETTINGS = {
    "node_name": "n0",
    "ip": "127.0.0.1",
    "zone": "z1",
    "listen_addrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1"},
    "internal_ports": [1],
    "platform": {"address": "127.0.0.1:1"},
}


def start(path: Path, *options: str) -> dict[str, str]:
    """Returns the only line that a start with a settings file logs."""
    completed = subprocess.run(
        [sys.executable, *options, START_SCRIPT],
        capture_output=True,
        text=True,
        env={"LAGOONBEAM_BOOT": str(path)},
    )
    assert completed.returncode == 1
    (text,) = completed.stdout.splitlines()
    line: dict[str, str] = json.loads(text)
    assert (line["levelname"], line["event"]) == ("ERROR", "instance.failed")
    return line


@pytest.mark.parametrize(
    ("text", "cause"),
    [
        ("", "truncated"),
        (json.dumps(SETTINGS)[:-1], "truncated"),
        ("{}", "missing required field"),
    ],
)
def test_settings_that_cannot_be_read_are_logged(
    tmp_path: Path, text: str, cause: str
) -> None:
    path = tmp_path / "n0.json"
    path.write_text(text)
    line = start(path)
    assert line["error"] == "SettingsError"
    assert str(path) in line["cause"]
    assert cause in line["cause"]


def test_missing_settings_are_logged(tmp_path: Path) -> None:
    line = start(tmp_path / "missing")
    assert line["error"] == "SettingsError"
    assert "No such file" in line["cause"]


def test_failed_import_is_logged(tmp_path: Path) -> None:
    line = start(tmp_path / "missing", "-S")
    assert line["error"] == "ModuleNotFoundError"
    assert "No module named" in line["cause"]


def test_error_after_the_settings_were_read_is_logged(tmp_path: Path) -> None:
    path = tmp_path / "n0.json"
    path.write_text(json.dumps(SETTINGS))
    line = start(path)
    assert line["error"] == "SettingsError"
    assert "expected IP:PORT" in line["cause"]
