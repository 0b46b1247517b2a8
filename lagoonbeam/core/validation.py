"""Validation of settings that reports every fault in one run."""

from __future__ import annotations

import inspect
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from lagoonbeam.errors import SettingsError

StructT = TypeVar("StructT", bound=msgspec.Struct)


def validate_settings(data: Any, kind: type[StructT]) -> StructT:
    """Converts plain data to a settings model.

    Args:
        data: What the YAML file holds.
        kind: The model.

    Returns:
        The valid settings.

    Raises:
        SettingsError: Lists all faults, a line each: the field's path, what
            was got and what was expected.
    """
    faults = list(_find_faults(data, kind, "settings"))
    if faults:
        raise SettingsError("\n".join(faults))
    return msgspec.convert(data, kind)


def _find_faults(
    data: Any, kind: type[msgspec.Struct], path: str
) -> Iterator[str]:
    if not isinstance(data, dict):
        yield f"{path}: got {_show(data)}, expected a mapping"
        return
    fields = {field.name: field for field in msgspec.structs.fields(kind)}
    for name in data:
        if name not in fields:
            yield (
                f"{path}.{name}: got an unknown field, expected one of"
                f" {sorted(fields)}"
            )
    for name, field in fields.items():
        where = f"{path}.{name}"
        if name not in data:
            if field.required:
                yield f"{where}: got nothing, expected {_name(field.type)}"
            continue
        yield from _find_value_faults(data[name], field.type, where)


def _find_value_faults(value: Any, kind: Any, path: str) -> Iterator[str]:
    if inspect.isclass(kind) and issubclass(kind, msgspec.Struct):
        yield from _find_faults(value, kind, path)
        return
    arguments = typing.get_args(kind)
    if typing.get_origin(kind) is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_value_faults(
                item, arguments[0], f"{path}[{index}]"
            )
        return
    try:
        msgspec.convert(value, kind)
    except msgspec.ValidationError as error:
        text = str(error)
        yield f"{path}: got {_show(value)}: {text[0].lower()}{text[1:]}"


def _show(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _name(kind: Any) -> str:
    if typing.get_origin(kind) is typing.Annotated:
        kind = typing.get_args(kind)[0]
    return getattr(kind, "__name__", str(kind))
