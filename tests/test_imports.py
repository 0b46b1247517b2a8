"""Modules that the resident program on the platform imports."""

from __future__ import annotations

import subprocess
import sys
from pathlib import Path

ROOT = Path(__file__).parent.parent
UNNEEDED_MODULES = (
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


def list_loaded_modules(statement: str) -> set[str]:
    code = f"{statement}; import sys; print(*sys.modules)"
    output = subprocess.run(
        [sys.executable, "-c", code],
        capture_output=True,
        check=True,
        cwd=ROOT,
        env={"PYTHONPATH": "platform:."},
    ).stdout
    return set(output.decode().split())


def test_platform_instance_loads_no_unneeded_modules() -> None:
    loaded = list_loaded_modules("import lagoonbeam_platform.program")
    assert not [
        name
        for name in loaded
        if any(
            name == module or name.startswith(f"{module}.")
            for module in UNNEEDED_MODULES
        )
    ]


def test_package_exports_the_rules_builder() -> None:
    assert "lagoonbeam.rules.builder" in list_loaded_modules(
        "from lagoonbeam import RulesBuilder"
    )
