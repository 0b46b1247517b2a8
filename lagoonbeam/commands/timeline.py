"""``lagoonbeam-timeline``: one timeline of the events of all processes."""

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
from lagoonbeam.core.settings import (
    AccessToken,
    NonEmptyText,
    Settings,
    resolve_token_secret,
)

POLL_INTERVAL_S = 1.0
"""Time between two polls of the entries with --follow."""

program = typer.Typer(add_completion=False, pretty_exceptions_enable=False)


class TimelineSettings(Settings, frozen=True):
    """Settings of ``lagoonbeam-timeline``.

    Attributes:
        urls: Base URLs of all entries; each also returns the events of its
            scheduler.
        token: Secret of an operator's token; if empty, it is read from the
            environment.
        token_env: Name of the environment variable that contains the secret.
    """

    urls: tuple[NonEmptyText, ...]
    token: str = ""
    token_env: str = ""


@dataclass
class EntryEventSource:
    """One entry as a source of events, with the position reached in them.

    Attributes:
        url: Base URL of the entry.
        client: HTTP client of the entry.
        last_sequences: Largest sequence number read, by program.
        missing: Why the last fetch failed; empty if it succeeded.
    """

    url: str
    client: EntryClient
    last_sequences: dict[str, int] = field(default_factory=dict)
    missing: str = ""

    def fetch_new_events(self) -> list[Event]:
        """Returns the events since the last fetch; none if it fails."""
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
    """Selects the events to show; an empty field matches any value.

    Attributes:
        job: Identifier of the job.
        attempt: Identifier of one launch of a job.
        organisation: Organisation concerned.
        instance: Instance that emitted the event.
        availability_zone: Zone of that instance.
    """

    job: str = ""
    attempt: str = ""
    organisation: str = ""
    instance: str = ""
    availability_zone: str = ""

    def matches(self, event: Event) -> bool:
        """Returns whether an event has all values that are set."""
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
    """Returns the events of all processes in hybrid logical time order."""
    events = (event for batch in batches for event in batch)
    return sorted(events, key=lambda event: event.sort_key)


def format_event(event: Event) -> str:
    """Returns an event as a line of text."""
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
    job: Annotated[str, typer.Option(help="Only events of this job.")] = "",
    gang: Annotated[
        str, typer.Option(help="Only events of this launch attempt.")
    ] = "",
    organisation: Annotated[
        str, typer.Option(help="Only events of this organisation.")
    ] = "",
    instance: Annotated[
        str, typer.Option(help="Only events of this instance.")
    ] = "",
    zone: Annotated[
        str, typer.Option(help="Only events of this availability zone.")
    ] = "",
    follow: Annotated[
        bool, typer.Option(help="Keep polling for new events.")
    ] = False,
    as_json: Annotated[
        bool, typer.Option("--json", help="Print one JSON object per line.")
    ] = False,
) -> None:
    """Shows the events of all processes in causal order."""
    timeline_settings = load_settings_or_exit(settings, TimelineSettings)
    if check_settings:
        typer.echo(f"{settings}: valid")
        return
    token = resolve_token_secret(
        AccessToken(
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
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
