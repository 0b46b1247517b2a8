"""Prevention of imports that cost memory and are not used."""

from __future__ import annotations

import sys
from collections.abc import Iterator
from contextlib import contextmanager


@contextmanager
def block_import(name: str) -> Iterator[None]:
    """Makes imports of a module fail inside the block.

    Some libraries import their own command line when its dependencies are
    installed. A resident program does not use it and saves the memory.
    """
    previous_module = sys.modules.get(name)
    sys.modules[name] = None  # type: ignore[assignment]
    try:
        yield
    finally:
        del sys.modules[name]
        if previous_module is not None:
            sys.modules[name] = previous_module
