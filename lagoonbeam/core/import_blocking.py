"""Keeping modules that a program does not run out of its memory."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def block_import(name: str) -> Iterator[None]:
    """Makes imports of a module fail inside the block.

    Libraries that offer a command line of their own load it where its
    dependencies are installed; a resident program has no use for it.
    """
    previous_module = sys.modules.get(name)
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
        if previous_module is not None:
            sys.modules[name] = previous_module
