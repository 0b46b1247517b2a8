"""A scheduler for multi-accelerator jobs under organisation guarantees.

Operators use `lagoonbeam.rules` to write rules documents. The programs are
installed as commands; the README lists them.
"""

from __future__ import annotations

from typing import Any

from lagoonbeam.errors import LagoonbeamError

__all__ = ["LagoonbeamError", "RulesBuilder"]


def __getattr__(name: str) -> Any:
    """Imports the builder on first use; resident programs do without it."""
    if name == "RulesBuilder":
        from lagoonbeam.rules import RulesBuilder

        return RulesBuilder
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
