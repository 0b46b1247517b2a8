"""``lagoonbeam explain``: one job's story from the logs of all instances."""

from __future__ import annotations

import heapq
import re
from collections.abc import Iterable, Iterator
from dataclasses import dataclass
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lagoonbeam.commands.running import EXIT_FAILED
from lagoonbeam.site.events import SYSTEM_EVENTS, Event

_LINE = re.compile(r"^\s*(?:(?P<at>-?\d+\.\d+) +\S+ )?(?P<json>\{.*\})\s*$")
"""A decision, after the time and name that a collector may put before it."""
_HIDDEN = frozenset(
    {"levelname", "instance", "availability_zone", "event", "at_s"}
)


@dataclass(frozen=True, order=True)
class Line:
    """One decision.

    Attributes:
        at_s: When; the collector's time, or else the instance's own.
        instance: Who decided.
        event: What.
        fields: Inputs and outcome.
    """

    at_s: float
    instance: str
    event: str
    fields: tuple[tuple[str, Any], ...] = ()

    def concerns(self, job_id: str) -> bool:
        """Whether the decision touched a job."""
        values = [value for _, value in self.fields]
        flat = [v for value in values for v in _flatten(value)]
        return any(job_id in text for text in flat)


def _flatten(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _flatten(item)


def read_lines(paths: Iterable[Path]) -> list[Line]:
    """Returns all decisions of some log files in order of time.

    Lines that are no decisions are left out.
    """
    return list(heapq.merge(*(sorted(_read_file(path)) for path in paths)))


def _read_file(path: Path) -> Iterator[Line]:
    with path.open(errors="replace") as file:
        for text in file:
            match = _LINE.match(text)
            if match is None:
                continue
            try:
                data = msgspec.json.decode(match["json"])
            except msgspec.DecodeError:
                continue
            if isinstance(data, dict) and "event" in data:
                yield _make_line(match["at"], data)


def _make_line(at: str | None, data: dict[str, Any]) -> Line:
    fields = tuple((k, v) for k, v in data.items() if k not in _HIDDEN)
    return Line(
        float(at if at is not None else data.get("at_s", 0.0)),
        str(data.get("instance", "")),
        str(data["event"]),
        fields,
    )


def select_story(lines: Iterable[Line], job_id: str) -> list[Line]:
    """Returns a job's decisions, and the system's while it was open."""
    lines = list(lines)
    own = [line for line in lines if line.concerns(job_id)]
    if not own:
        return []
    first_s, last_s = own[0].at_s, own[-1].at_s
    return [
        line
        for line in lines
        if line.concerns(job_id)
        or (line.event in SYSTEM_EVENTS and first_s <= line.at_s <= last_s)
    ]


def find_cause(story: Iterable[Line], job_id: str) -> str:
    """Returns in one sentence why a job ended as it did."""
    last: dict[str, dict[str, Any]] = {}
    waits: list[dict[str, Any]] = []
    stops: list[dict[str, Any]] = []
    for line in story:
        if not line.concerns(job_id):
            continue
        fields = dict(line.fields)
        last[line.event] = fields
        if line.event == Event.UNIT_WAITS:
            waits.append(fields)
        if line.event == Event.RUN_STOP and "room for" in fields["cause"]:
            stops.append(fields)
    ended = last.get(Event.JOB_ENDED)
    if ended is not None and ended["state"] == "failed":
        return (
            f"failed: {ended['task']} failed {ended['failures']} times,"
            f" {ended['allowed']} are allowed"
        )
    if Event.JOB_CANCELLED in last:
        return "cancelled by its caller"
    refused = last.get(Event.REQUEST_REFUSED)
    if ended is None and Event.JOB_ACCEPTED not in last and refused is not None:
        return f"refused with {refused['status']}: {refused['cause']}"
    if ended is None:
        wait = f"; it waits: {_show(waits[-1])}" if waits else ""
        return f"not ended in these logs{wait}"
    causes = [f"completed after {ended['age_s']} s"]
    if waits:
        causes.append(
            f"{len(waits)} of its units waited for room (the first with"
            f" {waits[0]['free_accelerators']} accelerators free)"
        )
    if stops:
        causes.append(f"{len(stops)} runs were stopped for urgent work")
    again = ended["starts"] - ended["tasks"]
    if again > 0:
        causes.append(f"{again} starts were repeats")
    return ", ".join(causes)


def _show(fields: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in fields.items())


def explain(
    job_id: Annotated[str, typer.Argument(help="Identifier of the job.")],
    logs: Annotated[list[Path], typer.Argument(help="Saved logs.")],
) -> None:
    """Prints what happened to a job, from saved logs, and why."""
    story = select_story(read_lines(logs), job_id)
    if not story:
        typer.echo(f"no decision about {job_id} in these logs", err=True)
        raise typer.Exit(EXIT_FAILED)
    start_s = story[0].at_s
    for line in story:
        typer.echo(
            f"{line.at_s - start_s:9.3f} {line.instance:<18}"
            f" {line.event:<20} {_show(dict(line.fields))}"
        )
    typer.echo(f"cause: {find_cause(story, job_id)}")
