"""Makes ``docs/SETTINGS.md`` from the settings models."""

from __future__ import annotations

import inspect
import re
import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from lagoonbeam.commands.client import ClientSettings
from lagoonbeam.commands.timeline import TimelineSettings
from lagoonbeam.core.settings import EntrySettings, SchedulerSettings

PROGRAMS = {
    "lagoonbeam-entry": EntrySettings,
    "lagoonbeam-scheduler": SchedulerSettings,
    "lagoonbeam": ClientSettings,
    "lagoonbeam-timeline": TimelineSettings,
}
OUTPUT = Path(__file__).with_name("SETTINGS.md")


def render_page() -> str:
    """Returns the page's text."""
    lines = [
        "# Settings",
        "",
        "Made from the models by `python docs/make_settings.py`; CI checks it.",
        "Units are in the names: `_s` seconds, `_bytes` bytes.",
    ]
    for program, model in PROGRAMS.items():
        lines += ["", f"## {program}", "", "| field | default | meaning |"]
        lines += ["|---|---|---|", *_render_fields(model, "")]
    return "\n".join(lines) + "\n"


def _render_fields(model: type[msgspec.Struct], prefix: str) -> Iterator[str]:
    meanings = _read_meanings(model)
    for field in msgspec.structs.fields(model):
        path = f"{prefix}{field.name}"
        inner = field.type
        if typing.get_origin(inner) is tuple:
            inner = typing.get_args(inner)[0]
            path += "[]"
        if inspect.isclass(inner) and issubclass(inner, msgspec.Struct):
            yield f"| `{path}` | | {meanings.get(field.name, '')} |"
            yield from _render_fields(inner, f"{path}.")
            continue
        default = "required" if field.required else f"`{field.default!r}`"
        yield f"| `{path}` | {default} | {meanings.get(field.name, '')} |"


def _read_meanings(model: type[msgspec.Struct]) -> dict[str, str]:
    text = inspect.getdoc(model) or ""
    _, _, attributes = text.partition("Attributes:\n")
    joined = re.sub(r"\n {8,}", " ", attributes)
    found = re.findall(r"^ {4}(\w+): (.+)$", joined, re.MULTILINE)
    return {name: meaning.replace("|", "/") for name, meaning in found}


if __name__ == "__main__":
    OUTPUT.write_text(render_page())
