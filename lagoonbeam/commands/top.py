"""``lagoonbeam top``: a deployment at a glance, from its metrics."""

from __future__ import annotations

from typing import Annotated

import httpx
import typer
from prometheus_client.parser import text_string_to_metric_families

from lagoonbeam.commands.running import EXIT_FAILED
from lagoonbeam.commands.tables import print_rows

TIMEOUT_S = 2.0
"""Seconds to wait for one instance."""
COLUMNS = (
    "instance",
    "term",
    "version",
    "age_s",
    "open_jobs",
    "workers",
    "requests",
    "refused",
    "starts",
    "lost_core_s",
)


def read_row(name: str, text: str) -> dict[str, float | str]:
    """Returns one instance's row from its metrics.

    Args:
        name: What to call the instance.
        text: Its metrics as text.
    """
    samples = [
        sample
        for family in text_string_to_metric_families(text)
        for sample in family.samples
    ]

    def total(metric: str, **labels: str) -> float:
        return sum(
            sample.value
            for sample in samples
            if sample.name == f"lagoonbeam_{metric}"
            and labels.items() <= sample.labels.items()
        )

    refused = sum(
        total("requests_total", status=status)
        for status in ("429", "503", "504")
    )
    return {
        "instance": name,
        "term": total("term"),
        "version": total("configuration_version"),
        "age_s": total("journal_age_seconds"),
        "open_jobs": total("open_jobs"),
        "workers": total("usable_workers"),
        "requests": total("requests_total"),
        "refused": refused,
        "starts": total("starts_total", outcome="started"),
        "lost_core_s": total("lost_core_seconds_total"),
    }


def top(
    urls: Annotated[list[str], typer.Argument(help="Metrics addresses.")],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON for a program.")
    ] = False,
) -> None:
    """Shows a row for each instance."""
    rows: list[dict[str, float | str]] = []
    failed = False
    for url in urls:
        try:
            response = httpx.get(url, timeout=TIMEOUT_S, trust_env=False)
            rows.append(read_row(url, response.raise_for_status().text))
        except httpx.HTTPError as error:
            typer.echo(f"{url}: {error}", err=True)
            failed = True
    print_rows(rows, COLUMNS, as_json=as_json)
    if failed:
        raise typer.Exit(EXIT_FAILED)
