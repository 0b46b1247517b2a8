"""``lagoonbeam explain``: why a job ended as it did.

It reads the decision logs of all instances.
"""

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

from lagoonbeam.commands.program_lifecycle import EXIT_FAILED
from lagoonbeam.site.events import SYSTEM_EVENTS, Event

_DECISION_PATTERN = re.compile(
    r"^\s*(?:(?P<at>-?\d+\.\d+) +\S+ )?(?P<json>\{.*\})\s*$"
)
"""A decision; a log collector may have put its time and a name before it."""
_HEADER_FIELDS = frozenset(
    {"levelname", "instance", "availability_zone", "event", "at_s"}
)
"""Fields of a log line that are not inputs or outcomes of the decision."""


@dataclass(frozen=True, order=True)
class Decision:
    """One line of a decision log.

    Attributes:
        at_s: Time of the decision, from the log collector if it gave one,
            otherwise from the instance.
        instance: Instance that decided.
        event: Kind of decision.
        fields: Inputs and outcome of the decision.
    """

    at_s: float
    instance: str
    event: str
    fields: tuple[tuple[str, Any], ...] = ()

    def mentions_job(self, job_id: str) -> bool:
        """Returns whether a field contains the job's identifier."""
        values = [field_value for _, field_value in self.fields]
        texts = [
            string
            for field_value in values
            for string in _iterate_strings(field_value)
        ]
        return any(job_id in text for text in texts)


def _iterate_strings(value: Any) -> Iterator[str]:
    if isinstance(value, str):
        yield value
    elif isinstance(value, list):
        for item in value:
            yield from _iterate_strings(item)


def read_decisions(paths: Iterable[Path]) -> list[Decision]:
    """Returns the decisions in log files, ordered by time.

    Lines that are not decisions are skipped.
    """
    return list(heapq.merge(*(sorted(_read_log_file(path)) for path in paths)))


def _read_log_file(path: Path) -> Iterator[Decision]:
    with path.open(errors="replace") as file:
        for line in file:
            match = _DECISION_PATTERN.match(line)
            if match is None:
                continue
            try:
                record = msgspec.json.decode(match["json"])
            except msgspec.DecodeError:
                continue
            if isinstance(record, dict) and "event" in record:
                yield _make_decision(match["at"], record)


def _make_decision(
    collected_at_s: str | None, record: dict[str, Any]
) -> Decision:
    fields = tuple((k, v) for k, v in record.items() if k not in _HEADER_FIELDS)
    return Decision(
        float(
            collected_at_s
            if collected_at_s is not None
            else record.get("at_s", 0.0)
        ),
        str(record.get("instance", "")),
        str(record["event"]),
        fields,
    )


def select_relevant_decisions(
    decisions: Iterable[Decision], job_id: str
) -> list[Decision]:
    """Returns the decisions about a job, and system events in its lifetime."""
    decisions = list(decisions)
    job_decisions = [
        decision for decision in decisions if decision.mentions_job(job_id)
    ]
    if not job_decisions:
        return []
    first_s, last_s = job_decisions[0].at_s, job_decisions[-1].at_s
    return [
        decision
        for decision in decisions
        if decision.mentions_job(job_id)
        or (
            decision.event in SYSTEM_EVENTS
            and first_s <= decision.at_s <= last_s
        )
    ]


def describe_outcome(decisions: Iterable[Decision], job_id: str) -> str:
    """Returns in one sentence how a job ended and why."""
    decisions = list(decisions)
    job_decisions: dict[str, list[Decision]] = defaultdict(list)
    for decision in decisions:
        if decision.mentions_job(job_id):
            job_decisions[decision.event].append(decision)
    if job_decisions[Event.JOB_ENDED]:
        end_fields = dict(job_decisions[Event.JOB_ENDED][-1].fields)
        if end_fields["state"] == "completed":
            return ", ".join(
                [
                    f"completed after {end_fields['age_s']} s",
                    *_describe_delays(decisions, job_decisions, end_fields),
                ]
            )
        if "failures" in end_fields:
            return (
                f"failed: {end_fields['task']} failed"
                f" {end_fields['failures']} times,"
                f" {end_fields['allowed']} are allowed"
            )
        return f"ended as {end_fields['state']} after {end_fields['age_s']} s"
    if job_decisions[Event.JOB_CANCELLED]:
        return "cancelled by its caller"
    refusals = job_decisions[Event.REQUEST_REFUSED]
    if refusals and not job_decisions[Event.JOB_ACCEPTED]:
        fields = dict(refusals[-1].fields)
        return f"refused with {fields['status']}: {fields['cause']}"
    wait_decisions = job_decisions[Event.UNIT_WAITS]
    wait_description = (
        f"; it waits: {_format_fields(dict(wait_decisions[-1].fields))}"
        if wait_decisions
        else ""
    )
    return f"not ended in these logs{wait_description}"


def _describe_delays(
    decisions: list[Decision],
    job_decisions: dict[str, list[Decision]],
    end_fields: dict[str, Any],
) -> Iterator[str]:
    """Yields the causes of delay of a completed job."""
    refusals = job_decisions[Event.REQUEST_REFUSED]
    if refusals:
        fields = dict(refusals[0].fields)
        yield (
            f"{len(refusals)} of its calls were refused (the first with"
            f" {fields['status']}: {fields['cause']})"
        )
    term_claims = [
        decision
        for decision in decisions
        if decision.event == Event.TERM_CLAIMED
    ]
    if term_claims:
        yield (
            f"{len(term_claims)} takeovers while it was open (the first"
            f" {term_claims[0].at_s - decisions[0].at_s:.1f} s after its first"
            " decision)"
        )
    wait_decisions = job_decisions[Event.UNIT_WAITS]
    if wait_decisions:
        fields = dict(wait_decisions[0].fields)
        yield (
            f"{len(wait_decisions)} of its units waited for capacity (the first"
            f" with {fields['free_accelerators']} accelerators free)"
            if "free_accelerators" in fields
            else f"{len(wait_decisions)} of its units waited for what is"
            " not guaranteed"
        )
    stop_fields = [
        dict(decision.fields) for decision in job_decisions[Event.RUN_STOP]
    ]
    job_id = str(end_fields["job"])
    stop_causes = [
        str(fields["cause"])
        for fields in stop_fields
        if str(fields["task"]).startswith(job_id)
    ]
    if len(stop_causes) < len(stop_fields):
        yield (
            f"{len(stop_fields) - len(stop_causes)} runs of other jobs were"
            " stopped for it"
        )
    eviction_causes = [cause for cause in stop_causes if "room for" in cause]
    if eviction_causes:
        yield f"{len(eviction_causes)} of its runs were stopped for urgent work"
    other_causes = Counter(
        cause for cause in stop_causes if "room for" not in cause
    )
    for cause, count in other_causes.most_common(1):
        yield f"{count} of its runs were stopped: {cause}"
    longest_run = _find_longest_run(job_decisions)
    if longest_run is not None:
        run_s, worker = longest_run
        yield f"its longest run took {run_s:.1f} s at {worker}"
    repeat_count = end_fields["starts"] - end_fields["tasks"]
    if repeat_count > 0:
        yield f"{repeat_count} starts were repeats"


def _find_longest_run(
    job_decisions: dict[str, list[Decision]],
) -> tuple[float, str] | None:
    """Returns the duration in seconds and the worker of the longest run."""
    start_times_s = {
        (fields["task"], fields["run"]): decision.at_s
        for decision in job_decisions[Event.RUN_START]
        for fields in (dict(decision.fields),)
        if "run" in fields
    }
    runs = [
        (decision.at_s - start_times_s[task_run], str(fields["worker"]))
        for decision in job_decisions[Event.RUN_ENDED]
        for fields in (dict(decision.fields),)
        for task_run in ((fields["task"], fields["run"]),)
        if task_run in start_times_s
    ]
    return max(runs, default=None)


def _format_fields(fields: dict[str, Any]) -> str:
    return " ".join(f"{key}={value}" for key, value in fields.items())


def explain_job(
    job_id: Annotated[str, typer.Argument(help="Identifier of the job.")],
    logs: Annotated[
        list[Path], typer.Argument(help="Log files of the instances.")
    ],
) -> None:
    """Prints the decisions about a job, and the cause of its outcome."""
    decisions = select_relevant_decisions(read_decisions(logs), job_id)
    if not decisions:
        typer.echo(f"no decision about job {job_id} in these logs", err=True)
        raise typer.Exit(EXIT_FAILED)
    start_s = decisions[0].at_s
    for decision in decisions:
        typer.echo(
            f"{decision.at_s - start_s:9.3f} {decision.instance:<18}"
            f" {decision.event:<20} {_format_fields(dict(decision.fields))}"
        )
    typer.echo(f"cause: {describe_outcome(decisions, job_id)}")
