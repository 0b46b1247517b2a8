"""Decoding of JSON that other processes wrote."""

from __future__ import annotations

from typing import TypeVar

import msgspec

from lagoonbeam.errors import MalformedDataError

ModelT = TypeVar("ModelT")


def decode_json(data: bytes | str, model: type[ModelT]) -> ModelT:
    """Decodes and validates JSON text.

    Args:
        data: The text.
        model: Type that it must match.

    Raises:
        MalformedDataError: If it is invalid, or nested too deeply to decode.
    """
    try:
        return msgspec.json.decode(data, type=model)
    except (msgspec.MsgspecError, RecursionError, UnicodeDecodeError) as error:
        raise MalformedDataError(str(error)) from error
