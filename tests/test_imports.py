"""What the resident program on the platform loads."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
NEEDLESS = (
    "capnp",
    "httpx",
    "hypercorn",
    "lagoonbeam.core.planner",
    "lagoonbeam.entry",
    "lagoonbeam.rules",
    "lagoonbeam.scheduler",
    "starlette",
    "statsd",
    "typer",
    "yaml",
)


def list_modules(statement: str) -> set[str]:
    code = f"{statement}; import sys; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        cwd=ROOT,
        env={"PYTHONPATH": "platform:."},
    ).stdout
    return set(output.decode().split())


def test_instance_on_the_platform_loads_only_what_it_runs() -> None:
    loaded = list_modules("import lagoonbeam_platform.program")
    assert not [
        name
        for name in loaded
        if any(name == n or name.startswith(f"{n}.") for n in NEEDLESS)
    ]


def test_public_face_still_has_the_builder() -> None:
    assert "lagoonbeam.rules.builder" in list_modules(
        "from lagoonbeam import RulesBuilder"
    )
