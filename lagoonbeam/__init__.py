"""A scheduler for multi-accelerator jobs under organisation guarantees.

The public face for operators is `lagoonbeam.rules`; programs are started by
their names, see the README.
"""

from __future__ import annotations

from typing import Any

from lagoonbeam.errors import LagoonbeamError

__all__ = ["LagoonbeamError", "RulesBuilder"]


def __getattr__(name: str) -> Any:
    """Imports the rules' builder on first use: resident programs need none."""
    if name == "RulesBuilder":
        from lagoonbeam.rules import RulesBuilder

        return RulesBuilder
    raise AttributeError(f"module {__name__!r} has no attribute {name!r}")
