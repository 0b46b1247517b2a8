"""Output as a table or as JSON."""

from __future__ import annotations

import json
from collections.abc import Iterable, Mapping, Sequence
from typing import Any

import typer
from rich.console import Console
from rich.table import Table


def print_rows(
    rows: Iterable[Mapping[str, Any]],
    columns: Sequence[str],
    *,
    as_json: bool,
) -> None:
    """Prints rows as a table, or with all their fields as JSON.

    Args:
        rows: The rows, each a mapping from field to value.
        columns: Fields that are shown as columns of the table.
        as_json: Whether to print JSON instead of a table.
    """
    rows = list(rows)
    if as_json:
        typer.echo(json.dumps(rows))
        return
    table = Table(*columns, box=None, pad_edge=False)
    for row in rows:
        table.add_row(
            *(_format_cell(row.get(column, "")) for column in columns)
        )
    Console().print(table)


def _format_cell(value: Any) -> str:
    if isinstance(value, float):
        return f"{value:.3f}"
    return str(value)
