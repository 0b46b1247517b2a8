"""``lagoonbeam top``: the main metrics of all instances, as a table."""

from __future__ import annotations

from typing import Annotated

import httpx
import typer
from prometheus_client.parser import text_string_to_metric_families

from lagoonbeam.commands.program_lifecycle import EXIT_FAILED
from lagoonbeam.commands.tables import print_rows

SCRAPE_TIMEOUT_S = 2.0
"""Time-out for reading the metrics of one instance."""
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


def make_instance_row(name: str, metrics_text: str) -> dict[str, float | str]:
    """Returns the table row of one instance.

    Args:
        name: Label of the instance in the table.
        metrics_text: Its metrics in the Prometheus text format.
    """
    samples = [
        sample
        for family in text_string_to_metric_families(metrics_text)
        for sample in family.samples
    ]

    def sum_samples(metric: str, **labels: str) -> float:
        return sum(
            sample.value
            for sample in samples
            if sample.name == f"lagoonbeam_{metric}"
            and labels.items() <= sample.labels.items()
        )

    refusal_count = sum(
        sum_samples("requests_total", status=status)
        for status in ("429", "503", "504")
    )
    return {
        "instance": name,
        "term": sum_samples("term"),
        "version": sum_samples("configuration_version"),
        "age_s": sum_samples("journal_age_seconds"),
        "open_jobs": sum_samples("open_jobs"),
        "workers": sum_samples("usable_workers"),
        "requests": sum_samples("requests_total"),
        "refused": refusal_count,
        "starts": sum_samples("starts_total", outcome="started"),
        "lost_core_s": sum_samples("lost_core_seconds_total"),
    }


def show_metrics(
    urls: Annotated[
        list[str], typer.Argument(help="URLs of the instances' metrics.")
    ],
    as_json: Annotated[
        bool, typer.Option("--json", help="Print JSON instead of a table.")
    ] = False,
) -> None:
    """Shows the main metrics of each instance."""
    rows: list[dict[str, float | str]] = []
    any_failed = False
    for url in urls:
        try:
            response = httpx.get(url, timeout=SCRAPE_TIMEOUT_S, trust_env=False)
            rows.append(
                make_instance_row(url, response.raise_for_status().text)
            )
        except httpx.HTTPError as error:
            typer.echo(f"{url}: {error}", err=True)
            any_failed = True
    print_rows(rows, COLUMNS, as_json=as_json)
    if any_failed:
        raise typer.Exit(EXIT_FAILED)
