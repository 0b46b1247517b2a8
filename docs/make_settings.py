"""Generates ``docs/SETTINGS.md`` from the settings models."""

from __future__ import annotations

import inspect
import re
import typing
from collections.abc import Iterator
from pathlib import Path

import msgspec

from lagoonbeam.commands.client import ClientSettings
from lagoonbeam.commands.timeline import TimelineSettings
from lagoonbeam.core.request_budget import RequestLimitSettings
from lagoonbeam.core.settings import EntrySettings, SchedulerSettings

SETTINGS_MODELS = {
    "lagoonbeam-entry": EntrySettings,
    "lagoonbeam-scheduler": SchedulerSettings,
    "lagoonbeam": ClientSettings,
    "lagoonbeam-timeline": TimelineSettings,
    "`request_limits` of a site's instance": RequestLimitSettings,
}
OUTPUT_PATH = Path(__file__).with_name("SETTINGS.md")


def render_page() -> str:
    """Returns the text of the page."""
    lines = [
        "# Settings",
        "",
        "Made from the models by `python docs/make_settings.py`; CI checks it.",
        "Units are in the names: `_s` seconds, `_bytes` bytes.",
    ]
    for program, model in SETTINGS_MODELS.items():
        lines += ["", f"## {program}", "", "| field | default | meaning |"]
        lines += ["|---|---|---|", *_render_rows(model, "")]
    return "\n".join(lines) + "\n"


def _render_rows(model: type[msgspec.Struct], prefix: str) -> Iterator[str]:
    descriptions = _parse_field_descriptions(model)
    for field in msgspec.structs.fields(model):
        field_path = f"{prefix}{field.name}"
        value_type = field.type
        if typing.get_origin(value_type) is tuple:
            value_type = typing.get_args(value_type)[0]
            field_path += "[]"
        if inspect.isclass(value_type) and issubclass(
            value_type, msgspec.Struct
        ):
            yield f"| `{field_path}` | | {descriptions.get(field.name, '')} |"
            yield from _render_rows(value_type, f"{field_path}.")
            continue
        default = "required" if field.required else f"`{field.default!r}`"
        yield (
            f"| `{field_path}` | {default}"
            f" | {descriptions.get(field.name, '')} |"
        )


def _parse_field_descriptions(model: type[msgspec.Struct]) -> dict[str, str]:
    docstring = inspect.getdoc(model) or ""
    _, _, attributes_section = docstring.partition("Attributes:\n")
    unwrapped_section = re.sub(r"\n {8,}", " ", attributes_section)
    entries = re.findall(r"^ {4}(\w+): (.+)$", unwrapped_section, re.MULTILINE)
    return {
        name: description.replace("|", "/") for name, description in entries
    }


if __name__ == "__main__":
    OUTPUT_PATH.write_text(render_page())
