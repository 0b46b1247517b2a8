"""``lagoonbeam``: the command line for callers and operators."""

from __future__ import annotations

import json
import sys
from pathlib import Path
from typing import Annotated, Any

import msgspec
import typer

from lagoonbeam.commands.entry_client import EntryClient
from lagoonbeam.commands.explain import explain_job
from lagoonbeam.commands.program_lifecycle import (
    EXIT_FAILED,
    EXIT_USAGE,
    load_settings_or_exit,
)
from lagoonbeam.commands.tables import print_rows
from lagoonbeam.commands.top import show_metrics
from lagoonbeam.core.rules import RulesDocument, decode_rules
from lagoonbeam.core.settings import (
    AccessToken,
    NonEmptyText,
    Settings,
    resolve_token_secret,
)
from lagoonbeam.errors import RulesInvalidError, SettingsError
from lagoonbeam.rules import compare_rules

program = typer.Typer(
    add_completion=False,
    no_args_is_help=True,
    pretty_exceptions_enable=False,
    help="Submits jobs and operates lagoonbeam. Exit codes: 0 success,"
    " 1 refused or failed, 2 wrong usage or settings, 3 entry unreachable.",
)
job_commands = typer.Typer(
    no_args_is_help=True, help="Submit, inspect and cancel jobs."
)
rules_commands = typer.Typer(
    no_args_is_help=True, help="Check, compare and publish rules."
)
program.add_typer(job_commands, name="jobs")
program.add_typer(rules_commands, name="rules")
program.command("explain")(explain_job)
program.command("top")(show_metrics)

SettingsOption = Annotated[
    Path,
    typer.Option(
        "--settings",
        envvar="LAGOONBEAM_SETTINGS",
        help="Settings file (YAML) with url and token.",
    ),
]
JsonOption = Annotated[
    bool, typer.Option("--json", help="Print JSON instead of a table.")
]


class ClientSettings(Settings, frozen=True):
    """Settings of the command line.

    Attributes:
        url: Base URL of an entry, or of the load balancer of the entries.
        token: Secret of the token; if empty, it is read from the environment.
        token_env: Name of the environment variable that contains the secret.
    """

    url: NonEmptyText
    token: str = ""
    token_env: str = ""


def _make_client(settings: Path) -> EntryClient:
    client_settings = load_settings_or_exit(settings, ClientSettings)
    token = AccessToken(
        "caller",
        token=client_settings.token,
        token_env=client_settings.token_env,
    )
    try:
        return EntryClient(client_settings.url, resolve_token_secret(token))
    except SettingsError as error:
        typer.echo(error.detail, err=True)
        raise typer.Exit(EXIT_USAGE) from error


@program.command("check-settings")
def check_settings(settings: SettingsOption) -> None:
    """Checks the settings file and exits."""
    load_settings_or_exit(settings, ClientSettings)
    typer.echo(f"{settings}: valid")


@job_commands.command("submit")
def submit(
    settings: SettingsOption,
    caller: Annotated[
        str, typer.Option(help="Caller within the organisation.")
    ],
    kind: Annotated[str, typer.Option(help="Kind of work.")],
    members: Annotated[
        int, typer.Option(help="Number of tasks in the gang.")
    ] = 1,
    accelerators: Annotated[int, typer.Option(help="Per member.")] = 1,
    cores: Annotated[float, typer.Option(help="Per member.")] = 1.0,
    memory_bytes: Annotated[int, typer.Option(help="Per member.")] = 0,
    adjacency: Annotated[
        str, typer.Option(help="none, rack or worker.")
    ] = "none",
    steps: Annotated[
        Path | None,
        typer.Option(
            help="JSON file with the job's steps, instead of one gang."
        ),
    ] = None,
    urgency: Annotated[
        str,
        typer.Option(
            help="batch, normal or urgent; the kind's default if empty."
        ),
    ] = "",
    run_s: Annotated[float, typer.Option(help="Expected run time.")] = 60.0,
    start_within_s: Annotated[
        float,
        typer.Option(
            help="Longest delay before the job starts, after which it is"
            " dropped; 0 for no limit."
        ),
    ] = 0.0,
    idempotent: Annotated[
        bool, typer.Option(help="The job may run again after a failure.")
    ] = False,
    checkpointable: Annotated[
        bool, typer.Option(help="The job can be stopped and resumed later.")
    ] = False,
    payload: Annotated[
        str, typer.Option(help="Text passed to every member.")
    ] = "",
    key: Annotated[
        str,
        typer.Option(help="Idempotency key; a retry with it is the same job."),
    ] = "",
    wait_s: Annotated[
        float, typer.Option(help="Longest time to wait for the outcome.")
    ] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Submits a job and, with --wait-s, waits for its outcome."""
    body = {
        "caller": caller,
        "kind": kind,
        "urgency": urgency,
        "declared_run_s": run_s,
        "start_within_s": start_within_s,
        "idempotent": idempotent,
        "checkpointable": checkpointable,
        "payload": payload,
    }
    if steps is not None:
        body["steps"] = _read_steps(steps)
    else:
        body["shape"] = {
            "members": members,
            "accelerators": accelerators,
            "cores": cores,
            "memory_bytes": memory_bytes,
            "adjacency": adjacency,
        }
    headers = {"idempotency-key": key} if key else {}
    status = _make_client(settings).call_or_exit(
        "POST",
        f"/v1/jobs?wait_s={wait_s}",
        wait_s=wait_s,
        json=body,
        headers=headers,
    )
    _print_jobs([status], as_json)
    if status["outcome"] not in ("", "completed"):
        raise typer.Exit(EXIT_FAILED)


@job_commands.command("status")
def show_status(
    settings: SettingsOption,
    job_id: str,
    wait_s: Annotated[
        float, typer.Option(help="Longest time to wait for the outcome.")
    ] = 0.0,
    as_json: JsonOption = False,
) -> None:
    """Shows the status of a job."""
    path = f"/v1/jobs/{job_id}?wait_s={wait_s}"
    status = _make_client(settings).call_or_exit("GET", path, wait_s=wait_s)
    _print_jobs([status], as_json)


@job_commands.command("cancel")
def cancel(
    settings: SettingsOption, job_id: str, as_json: JsonOption = False
) -> None:
    """Cancels a queued or running job."""
    status = _make_client(settings).call_or_exit("DELETE", f"/v1/jobs/{job_id}")
    _print_jobs([status], as_json)


@job_commands.command("list")
def list_jobs(
    settings: SettingsOption,
    organisation: Annotated[
        str, typer.Option(help="For operators: only its jobs; all if empty.")
    ] = "",
    limit: Annotated[int, typer.Option(help="Most jobs to show.")] = 100,
    as_json: JsonOption = False,
) -> None:
    """Lists the most recent jobs."""
    path = f"/v1/jobs?limit={limit}&organisation={organisation}"
    job_list = _make_client(settings).call_or_exit("GET", path)
    _print_jobs(job_list["jobs"], as_json)


def _print_jobs(statuses: list[dict[str, Any]], as_json: bool) -> None:
    columns = [
        "job_id",
        "organisation",
        "phase",
        "outcome",
        "availability_zone",
        "detail",
    ]
    print_rows(statuses, columns, as_json=as_json)


def _read_steps(path: Path) -> Any:
    """Reads the steps of a job; the server validates their content."""
    try:
        return json.loads(path.read_text())
    except (OSError, ValueError) as error:
        typer.echo(f"{path}: {error}", err=True)
        raise typer.Exit(EXIT_USAGE) from error


def _read_rules_document(path: Path) -> RulesDocument:
    """Reads a rules document from a file, or from standard input for -."""
    text = sys.stdin.read() if str(path) == "-" else path.read_text()
    try:
        return decode_rules(text)
    except RulesInvalidError as error:
        typer.echo(f"{error.code}: {error.detail}", err=True)
        raise typer.Exit(EXIT_FAILED) from error


@rules_commands.command("check")
def check_document(document: Path) -> None:
    """Checks a document, and that its fleet can hold its guarantees."""
    rules_document = _read_rules_document(document)
    typer.echo(f"{document}: valid, based on version {rules_document.based_on}")


@rules_commands.command("diff")
def diff_document(
    settings: SettingsOption, document: Path, as_json: JsonOption = False
) -> None:
    """Shows how a document differs from the rules in force."""
    proposed_rules = _read_rules_document(document)
    rules_status = _make_client(settings).call_or_exit("GET", "/v1/rules")
    current_rules = (
        decode_rules(rules_status["document"])
        if rules_status["document"]
        else None
    )
    changes = [
        msgspec.to_builtins(change)
        for change in compare_rules(current_rules, proposed_rules)
    ]
    print_rows(changes, ["path", "before", "after"], as_json=as_json)


@rules_commands.command("publish")
def publish_document(
    settings: SettingsOption, document: Path, as_json: JsonOption = False
) -> None:
    """Publishes a document, which must be based on the version in force."""
    rules_document = _read_rules_document(document)
    rules_status = _make_client(settings).call_or_exit(
        "PUT", "/v1/rules", content=msgspec.json.encode(rules_document)
    )
    row = {"version": rules_status["version"]}
    print_rows([row], ["version"], as_json=as_json)


@rules_commands.command("show")
def show_document(settings: SettingsOption) -> None:
    """Prints the rules document in force."""
    rules_status = _make_client(settings).call_or_exit("GET", "/v1/rules")
    rules_document = json.loads(rules_status["document"] or "null")
    typer.echo(json.dumps(rules_document, indent=2))


@rules_commands.command("status")
def show_rules_status(
    settings: SettingsOption, as_json: JsonOption = False
) -> None:
    """Shows the rules version in force on each instance."""
    columns = ["instance", "availability_zone", "rules_version", "log_up"]
    instance_list = _make_client(settings).call_or_exit("GET", "/v1/instances")
    print_rows(
        _sort_by_instance(instance_list["instances"]), columns, as_json=as_json
    )


@program.command("instances")
def show_instances(
    settings: SettingsOption, as_json: JsonOption = False
) -> None:
    """Shows all instances, as known to the instance of the entry."""
    columns = [
        "instance",
        "availability_zone",
        "active",
        "term_number",
        "ready",
        "log_up",
        "draining",
        "rules_version",
        "next_offset",
        "free_slots",
        "total_slots",
        "queued_slots",
        "expected_wait_s",
    ]
    instance_list = _make_client(settings).call_or_exit("GET", "/v1/instances")
    print_rows(
        _sort_by_instance(instance_list["instances"]), columns, as_json=as_json
    )


@program.command("fleet")
def show_fleet(
    settings: SettingsOption,
    zone: Annotated[
        str, typer.Option(help="Availability zone; that of the entry if empty.")
    ] = "",
    as_json: JsonOption = False,
) -> None:
    """Shows the workers of an availability zone."""
    columns = ["worker", "rack", "state", "slots", "busy_slots"]
    path = f"/v1/fleet?availability_zone={zone}"
    fleet_status = _make_client(settings).call_or_exit("GET", path)
    print_rows(fleet_status["workers"], columns, as_json=as_json)


@program.command("drain")
def drain_endpoint(settings: SettingsOption, endpoint: str) -> None:
    """Drains an endpoint: it gets no new tasks, running ones finish."""
    _make_client(settings).call_or_exit(
        "POST", f"/v1/endpoints/{endpoint}/drain"
    )
    typer.echo(f"{endpoint}: draining, gets no new tasks")


def _sort_by_instance(instances: list[dict[str, Any]]) -> list[dict[str, Any]]:
    return sorted(instances, key=lambda instance: str(instance["instance"]))


def main() -> None:
    """Runs the program."""
    program()


if __name__ == "__main__":
    main()
