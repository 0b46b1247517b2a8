"""``lagoonbeam explain``: one job's story from the logs of all instances."""

from __future__ import annotations

import heapq
import re
from collections import Counter, defaultdict
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
    story = list(story)
    own: dict[str, list[Line]] = defaultdict(list)
    for line in story:
        if line.concerns(job_id):
            own[line.event].append(line)
    if own[Event.JOB_ENDED]:
        ended = dict(own[Event.JOB_ENDED][-1].fields)
        if ended["state"] == "completed":
            return ", ".join(
                [
                    f"completed after {ended['age_s']} s",
                    *_list_delays(story, own, ended),
                ]
            )
        if "failures" in ended:
            return (
                f"failed: {ended['task']} failed {ended['failures']} times,"
                f" {ended['allowed']} are allowed"
            )
        return f"ended as {ended['state']} after {ended['age_s']} s"
    if own[Event.JOB_CANCELLED]:
        return "cancelled by its caller"
    refused = own[Event.REQUEST_REFUSED]
    if refused and not own[Event.JOB_ACCEPTED]:
        fields = dict(refused[-1].fields)
        return f"refused with {fields['status']}: {fields['cause']}"
    waits = own[Event.UNIT_WAITS]
    wait = f"; it waits: {_show(dict(waits[-1].fields))}" if waits else ""
    return f"not ended in these logs{wait}"


def _list_delays(
    story: list[Line], own: dict[str, list[Line]], ended: dict[str, Any]
) -> Iterator[str]:
    """Yields what a completed job had to wait for."""
    refused = own[Event.REQUEST_REFUSED]
    if refused:
        fields = dict(refused[0].fields)
        yield (
            f"{len(refused)} of its calls were refused (the first with"
            f" {fields['status']}: {fields['cause']})"
        )
    claims = [line for line in story if line.event == Event.TERM_CLAIMED]
    if claims:
        yield (
            f"{len(claims)} takeovers while it was open (the first"
            f" {claims[0].at_s - story[0].at_s:.1f} s after its first line)"
        )
    waits = own[Event.UNIT_WAITS]
    if waits:
        fields = dict(waits[0].fields)
        yield (
            f"{len(waits)} of its units waited for room (the first with"
            f" {fields['free_accelerators']} accelerators free)"
            if "free_accelerators" in fields
            else f"{len(waits)} of its units waited for what is not guaranteed"
        )
    stops = [dict(line.fields) for line in own[Event.RUN_STOP]]
    job_id = str(ended["job"])
    causes = [
        str(fields["cause"])
        for fields in stops
        if str(fields["task"]).startswith(job_id)
    ]
    if len(causes) < len(stops):
        yield f"{len(stops) - len(causes)} runs of others were stopped for it"
    urgent = [cause for cause in causes if "room for" in cause]
    if urgent:
        yield f"{len(urgent)} of its runs were stopped for urgent work"
    others = Counter(cause for cause in causes if "room for" not in cause)
    for cause, count in others.most_common(1):
        yield f"{count} of its runs were stopped: {cause}"
    longest = _find_longest_run(own)
    if longest is not None:
        run_s, worker = longest
        yield f"its longest run took {run_s:.1f} s at {worker}"
    again = ended["starts"] - ended["tasks"]
    if again > 0:
        yield f"{again} starts were repeats"


def _find_longest_run(
    own: dict[str, list[Line]],
) -> tuple[float, str] | None:
    """Returns the seconds and the worker of a job's longest run."""
    began = {
        (fields["task"], fields["run"]): line.at_s
        for line in own[Event.RUN_START]
        for fields in (dict(line.fields),)
        if "run" in fields
    }
    runs = [
        (line.at_s - began[key], str(fields["worker"]))
        for line in own[Event.RUN_ENDED]
        for fields in (dict(line.fields),)
        for key in ((fields["task"], fields["run"]),)
        if key in began
    ]
    return max(runs, default=None)


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
