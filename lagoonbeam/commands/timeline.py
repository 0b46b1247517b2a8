"""``lagoonbeam-timeline``: one time line of events over all processes."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass, field
from pathlib import Path
from typing import Annotated

import httpx
import msgspec
import typer

from lagoonbeam.commands.entry_client import EntryClient
from lagoonbeam.commands.program_lifecycle import (
    EXIT_UNREACHABLE,
    load_settings_or_exit,
)
from lagoonbeam.core.events import Event
from lagoonbeam.core.settings import Settings, Text, Token, get_secret

POLL_INTERVAL_S = 1.0
"""Time between two readings with --follow."""

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class TimelineSettings(Settings, frozen=True):
    """Settings of the time line.

    Attributes:
        urls: Base URLs of all entries; each also tells its scheduler's
            events.
        token: An operator's secret; or leave it empty and name
        token_env: the environment variable that holds it.
    """

    urls: tuple[Text, ...]
    token: str = ""
    token_env: str = ""


@dataclass
class EntryEventSource:
    """One entry, and how far its events have been read.

    Attributes:
        url: Base URL of the entry.
        client: Calls it.
        seen: Largest sequence read of each program.
        missing: Why its events are missing, if they are.
    """

    url: str
    client: EntryClient
    last_sequences: dict[str, int] = field(default_factory=dict)
    missing: str = ""

    def fetch_new_events(self) -> list[Event]:
        """Returns its new events; none if it does not answer."""
        try:
            events = self.client.fetch_events(
                self.last_sequences.get("entry", 0),
                self.last_sequences.get("scheduler", 0),
            )
            self.missing = ""
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            self.missing = str(error) or type(error).__name__
            return []
        for event in events:
            last_sequence = self.last_sequences.get(event.program, 0)
            self.last_sequences[event.program] = max(
                last_sequence, event.sequence
            )
        return events


@dataclass(frozen=True)
class EventFilter:
    """Which events to show; empty fields allow all."""

    job: str = ""
    attempt: str = ""
    organisation: str = ""
    instance: str = ""
    availability_zone: str = ""

    def matches(self, event: Event) -> bool:
        """Returns whether an event passes."""
        criteria = [
            (self.job, event.job),
            (self.attempt, event.attempt),
            (self.organisation, event.organisation),
            (self.instance, event.instance),
            (self.availability_zone, event.availability_zone),
        ]
        return all(
            not expected or expected == actual for expected, actual in criteria
        )


def merge_events(batches: Iterable[Iterable[Event]]) -> list[Event]:
    """Returns the events of all processes in one order."""
    events = (event for batch in batches for event in batch)
    return sorted(events, key=lambda event: event.order)


def format_event(event: Event) -> str:
    """Returns an event as one line for a person."""
    time_of_day = time.strftime("%H:%M:%S", time.localtime(event.wall_s))
    milliseconds = int(event.wall_s % 1 * 1000)
    origin = f"{event.instance}/{event.program}"
    labelled_values = {
        "job": event.job[:12],
        "attempt": event.attempt,
        "org": event.organisation,
        "term": event.term,
        "offset": event.offset,
        "worker": event.worker,
        "cause": event.cause,
    }
    details = " ".join(
        f"{name}={value}" for name, value in labelled_values.items() if value
    )
    return (
        f"{time_of_day}.{milliseconds:03d} {origin:<18} {event.name:<22}"
        f" {details}"
    )


@program.command()
def run(
    settings: Annotated[
        Path,
        typer.Option(
            envvar="LAGOONBEAM_TIMELINE_SETTINGS", help="Settings file (YAML)."
        ),
    ],
    check_settings: Annotated[
        bool, typer.Option(help="Check the settings file and exit.")
    ] = False,
    job: Annotated[str, typer.Option(help="Only this job.")] = "",
    gang: Annotated[str, typer.Option(help="Only this launch.")] = "",
    organisation: Annotated[str, typer.Option(help="Only this one.")] = "",
    instance: Annotated[str, typer.Option(help="Only this one.")] = "",
    zone: Annotated[str, typer.Option(help="Only this zone.")] = "",
    follow: Annotated[bool, typer.Option(help="Go on showing.")] = False,
    as_json: Annotated[
        bool, typer.Option("--json", help="One JSON object a line.")
    ] = False,
) -> None:
    """Shows what all processes did, in the order of cause and time."""
    timeline_settings = load_settings_or_exit(settings, TimelineSettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    token = get_secret(
        Token(
            "operator",
            token=timeline_settings.token,
            token_env=timeline_settings.token_env,
        )
    )
    sources = [
        EntryEventSource(url, EntryClient(url, token))
        for url in timeline_settings.urls
    ]
    event_filter = EventFilter(job, gang, organisation, instance, zone)
    format_line = _format_event_json if as_json else format_event
    for events in _poll_events(sources, follow):
        _print_events(events, event_filter, format_line)
    missing = [source for source in sources if source.missing]
    for source in missing:
        typer.echo(f"missing: {source.url}: {source.missing}", err=True)
    if missing:
        raise typer.Exit(EXIT_UNREACHABLE)


def _poll_events(
    sources: list[EntryEventSource], follow: bool
) -> Iterator[list[Event]]:
    yield merge_events(source.fetch_new_events() for source in sources)
    while follow:
        time.sleep(POLL_INTERVAL_S)
        yield merge_events(source.fetch_new_events() for source in sources)


def _print_events(
    events: Iterable[Event],
    event_filter: EventFilter,
    format_line: Callable[[Event], str],
) -> None:
    for event in events:
        if event_filter.matches(event):
            typer.echo(format_line(event))


def _format_event_json(event: Event) -> str:
    return msgspec.json.encode(event).decode()


def main() -> None:
    """Entry point of the program."""
    program()


if __name__ == "__main__":
    main()
