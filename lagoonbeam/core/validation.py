"""Validation of settings that reports all errors at once."""

from __future__ import annotations

import inspect
import typing
from collections.abc import Iterator
from typing import Any, TypeVar

import msgspec

from lagoonbeam.errors import SettingsError

StructT = TypeVar("StructT", bound=msgspec.Struct)


def validate_settings(data: Any, model: type[StructT]) -> StructT:
    """Converts plain data to a settings model.

    Args:
        data: Content of the YAML file.
        model: Settings model to convert it to.

    Returns:
        The valid settings.

    Raises:
        SettingsError: If the data is invalid. Lists all errors, one a line:
            the path of the field, its value and what is expected.
    """
    errors = list(_find_struct_errors(data, model, "settings"))
    if errors:
        raise SettingsError("\n".join(errors))
    return msgspec.convert(data, model)


def _find_struct_errors(
    data: Any, model: type[msgspec.Struct], path: str
) -> Iterator[str]:
    if not isinstance(data, dict):
        yield f"{path}: got {_abbreviate(data)}, expected a mapping"
        return
    fields = {field.name: field for field in msgspec.structs.fields(model)}
    for name in data:
        if name not in fields:
            yield (
                f"{path}.{name}: got an unknown field, expected one of"
                f" {sorted(fields)}"
            )
    for name, field in fields.items():
        field_path = f"{path}.{name}"
        if name not in data:
            if field.required:
                yield (
                    f"{field_path}: got nothing, expected"
                    f" {_get_type_name(field.type)}"
                )
            continue
        yield from _find_value_errors(data[name], field.type, field_path)


def _find_value_errors(value: Any, field_type: Any, path: str) -> Iterator[str]:
    if inspect.isclass(field_type) and issubclass(field_type, msgspec.Struct):
        yield from _find_struct_errors(value, field_type, path)
        return
    arguments = typing.get_args(field_type)
    if typing.get_origin(field_type) is tuple and isinstance(value, list):
        for index, item in enumerate(value):
            yield from _find_value_errors(
                item, arguments[0], f"{path}[{index}]"
            )
        return
    try:
        msgspec.convert(value, field_type)
    except msgspec.ValidationError as error:
        text = str(error)
        yield f"{path}: got {_abbreviate(value)}: {text[0].lower()}{text[1:]}"


def _abbreviate(value: Any) -> str:
    text = repr(value)
    return text if len(text) <= 60 else text[:57] + "..."


def _get_type_name(field_type: Any) -> str:
    if typing.get_origin(field_type) is typing.Annotated:
        field_type = typing.get_args(field_type)[0]
    return getattr(field_type, "__name__", str(field_type))
