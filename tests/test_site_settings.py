"""Settings files that are read while they are being written."""

from __future__ import annotations

import json
import signal
import time
from pathlib import Path
from typing import Any

import anyio
import pytest
from lagoonbeam_platform.settings import (
    MAX_WRITE_S,
    SETTINGS_VARIABLE,
    load_instance_settings,
)

from harness.site import Site, SiteConfig
from lagoonbeam.errors import SettingsError

WRITE_S = 0.2
TIMEOUT_S = 10.0
SETTINGS = {
    "node_name": "n0",
    "ip": "127.0.0.1",
    "zone": "z1",
    "listen_addrs": {"front": "127.0.0.1:1", "ready": "127.0.0.1:2"},
    "internal_ports": [1],
    "platform": {"address": "127.0.0.1:3"},
}


@pytest.fixture
def path(tmp_path: Path, monkeypatch: pytest.MonkeyPatch) -> Path:
    path = tmp_path / "n0.json"
    monkeypatch.setenv(SETTINGS_VARIABLE, str(path))
    return path


@pytest.mark.parametrize("length", [0, 20])
def test_file_that_is_being_written_is_read_again(
    path: Path, length: int
) -> None:
    text = json.dumps(SETTINGS)
    path.write_text(text[:length])

    async def complete_file() -> None:
        await anyio.sleep(WRITE_S)
        path.write_text(text)

    async def load_while_written() -> str:
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(complete_file)
            return (await load_instance_settings()).node_name

    assert anyio.run(load_while_written) == "n0"


def test_file_that_stays_invalid_is_refused_in_time(path: Path) -> None:
    path.write_text("{}")
    start_s = time.monotonic()
    with pytest.raises(SettingsError, match="missing required field"):
        anyio.run(load_instance_settings)
    assert MAX_WRITE_S <= time.monotonic() - start_s < 3 * MAX_WRITE_S


def wait_for_reload(site: Site) -> dict[str, Any]:
    deadline_s = time.monotonic() + TIMEOUT_S
    while time.monotonic() < deadline_s:
        for line in site.read_decision_log("n0"):
            if line["event"] == "settings.reload":
                return line
        time.sleep(0.01)
    raise TimeoutError("the settings were not reloaded in time")


def test_reload_while_the_file_is_written_takes_the_new_settings(
    tmp_path: Path,
) -> None:
    """The change was lost: the old settings were kept until the next one."""
    with Site(SiteConfig(instance_count=1), tmp_path) as site:
        settings_path = tmp_path / "n0.yaml"
        settings = json.loads(settings_path.read_text())
        settings["bounds"]["grace_s"] = 5
        text = json.dumps(settings)
        settings_path.write_text(text[: len(text) // 2])
        site.send_signal("n0", signal.SIGHUP)
        time.sleep(WRITE_S)
        settings_path.write_text(text)
        reload = wait_for_reload(site)
        assert reload["outcome"] == "in force"
        assert reload["changed"] == ["bounds"]
