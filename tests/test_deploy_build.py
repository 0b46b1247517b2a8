"""The build of the deploy file, run beside processes and interrupted."""

from __future__ import annotations

import json
import os
import shutil
import signal
import subprocess
import sys
import threading
import time
import tomllib
from concurrent.futures import ThreadPoolExecutor
from pathlib import Path

import pytest

ROOT = Path(__file__).parent.parent
BUILD_COMMAND = tomllib.loads((ROOT / "deploy/system.toml").read_text())[
    "build"
]
LOOP_S = 8.0
MIN_BUILD_COUNT = 4
STARTER_COUNT = 3
BUILD_TIMEOUT_S = 120.0
START_TIMEOUT_S = 60.0
BUILD_COUNT = 3
UNCHANGED_BUILD_S = 0.8
OTHER_KIND = "cpython-311-other-machine-0123456789abcdef"


def start_build(root: Path) -> subprocess.Popen[str]:
    """Starts the build as the platform does: in a shell at the root."""
    search_path = f"{Path(sys.executable).parent}:{os.environ['PATH']}"
    return subprocess.Popen(
        BUILD_COMMAND,
        shell=True,
        cwd=root,
        env={**os.environ, "PATH": search_path},
        stdout=subprocess.DEVNULL,
        stderr=subprocess.PIPE,
        text=True,
        start_new_session=True,
    )


def build(root: Path) -> subprocess.Popen[str]:
    process = start_build(root)
    process.communicate(timeout=BUILD_TIMEOUT_S)
    return process


def read_start_failure(root: Path) -> dict[str, str]:
    """Starts an instance without settings; returns its line of log."""
    completed = subprocess.run(
        # Without the site packages of the environment of the tests.
        [sys.executable, "-S", "platform/start.py"],
        cwd=root,
        env={"PYTHONPATH": "target/deps", "LAGOONBEAM_BOOT": "missing"},
        capture_output=True,
        text=True,
        timeout=START_TIMEOUT_S,
    )
    assert completed.returncode == 1, completed.stderr
    lines = completed.stdout.splitlines()
    assert len(lines) == 1, completed.stderr
    line: dict[str, str] = json.loads(lines[0])
    assert line["event"] == "instance.failed"
    return line


def change_requirements(root: Path, line: str) -> None:
    with (root / "deploy" / "requirements.txt").open("a") as requirements:
        requirements.write(f"{line}\n")


def list_files(root: Path) -> list[tuple[Path, int, int]]:
    return sorted(
        (path, path.lstat().st_ino, path.lstat().st_mtime_ns)
        for path in (root / "target").rglob("*")
    )


@pytest.fixture(scope="module")
def built_root(tmp_path_factory: pytest.TempPathFactory) -> Path:
    root = tmp_path_factory.mktemp("built")
    for name in ("deploy", "lagoonbeam", "platform"):
        shutil.copytree(
            ROOT / name,
            root / name,
            ignore=shutil.ignore_patterns("__pycache__"),
        )
    assert build(root).returncode == 0
    return root


@pytest.fixture
def root(built_root: Path, tmp_path: Path) -> Path:
    return Path(
        shutil.copytree(built_root, tmp_path / "root", symlinks=True)
    ).resolve()


def test_builds_disturb_no_starting_process(root: Path) -> None:
    """A build replaced the packages in place, and starts missed files."""
    requirements_path = root / "deploy" / "requirements.txt"
    requirements = requirements_path.read_text()
    end_s = time.monotonic() + LOOP_S
    with ThreadPoolExecutor(STARTER_COUNT) as starters:
        stopping = threading.Event()

        def start_repeatedly() -> set[tuple[str, str]]:
            errors = set()
            while not stopping.is_set():
                line = read_start_failure(root)
                errors.add((line["error"], line["cause"].partition(":")[0]))
            return errors

        started = [
            starters.submit(start_repeatedly) for _ in range(STARTER_COUNT)
        ]
        exit_codes: list[int] = []
        try:
            while len(exit_codes) < MIN_BUILD_COUNT or time.monotonic() < end_s:
                # Each variant of the requirements is built twice in turn.
                variant = "# changed\n" * (len(exit_codes) // 2 % 2)
                requirements_path.write_text(requirements + variant)
                exit_codes.append(build(root).returncode)
        finally:
            stopping.set()
    errors = set().union(*(each.result() for each in started))
    assert errors == {("SettingsError", "LAGOONBEAM_BOOT='missing'")}
    assert set(exit_codes) == {0}


def test_build_with_unchanged_requirements_changes_nothing(root: Path) -> None:
    before = list_files(root)
    durations_s = []
    for _ in range(BUILD_COUNT):
        start_s = time.monotonic()
        assert build(root).returncode == 0
        durations_s.append(time.monotonic() - start_s)
    assert min(durations_s) < UNCHANGED_BUILD_S
    assert list_files(root) == before


def test_interrupted_build_leaves_the_packages_in_use(root: Path) -> None:
    link = root / "target" / "deps"
    before = link.readlink()
    change_requirements(root, "# changed")
    process = start_build(root)
    while not list((root / "target" / "packages").glob("partial-*/*")):
        assert process.poll() is None
        time.sleep(0.001)
    os.killpg(process.pid, signal.SIGKILL)
    process.communicate()
    assert link.readlink() == before
    assert read_start_failure(root)["error"] == "SettingsError"
    assert build(root).returncode == 0
    assert link.readlink() != before
    assert not list((root / "target" / "packages").glob("partial-*"))
    assert read_start_failure(root)["error"] == "SettingsError"


def test_failed_build_says_so_and_leaves_the_packages_in_use(
    root: Path,
) -> None:
    before = list_files(root / "target" / "deps")
    change_requirements(root, "./no-such-package")
    process = start_build(root)
    _, errors = process.communicate(timeout=BUILD_TIMEOUT_S)
    assert process.returncode == 1
    assert "packages not installed" in errors
    assert list_files(root / "target" / "deps") == before
    assert read_start_failure(root)["error"] == "SettingsError"


def test_packages_for_another_kind_of_machine_are_not_used(root: Path) -> None:
    link = root / "target" / "deps"
    carried_over = link.resolve().rename(link.resolve().with_name(OTHER_KIND))
    shutil.rmtree(carried_over / "msgspec")
    link.unlink()
    link.symlink_to(f"packages/{OTHER_KIND}")
    assert read_start_failure(root)["error"] == "ModuleNotFoundError"
    assert build(root).returncode == 0
    assert link.resolve() != carried_over
    assert read_start_failure(root)["error"] == "SettingsError"


def test_directory_of_an_older_build_is_replaced(root: Path) -> None:
    link = root / "target" / "deps"
    link.unlink()
    link.mkdir()
    assert read_start_failure(root)["error"] == "ModuleNotFoundError"
    assert build(root).returncode == 0
    assert link.is_symlink()
    assert read_start_failure(root)["error"] == "SettingsError"
