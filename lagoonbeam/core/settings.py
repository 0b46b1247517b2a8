"""Settings of the programs, read from YAML files.

Every field has its unit in its name or its description. The descriptions of
the attributes are the source of ``docs/SETTINGS.md``.
"""

from __future__ import annotations

import os
from pathlib import Path
from typing import Annotated, Literal, TypeVar

import msgspec
import yaml

from lagoonbeam.core.validation import validate_settings
from lagoonbeam.errors import SettingsError

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings models."""


class Address(Settings, frozen=True):
    """Address on which a process listens.

    Attributes:
        port: TCP port.
        host: IP number.
    """

    port: Port
    host: NonEmptyText = "127.0.0.1"


class LogSettings(Settings, frozen=True):
    """Access to the platform's log.

    Attributes:
        url: Base URL of the service.
        plugin: Adapter for its wire form.
        stream: Stream that the system keeps its records in.
        linger_s: Time to gather records for one append.
        snapshot_entries: Entries after which a snapshot is written.
    """

    url: NonEmptyText
    plugin: NonEmptyText = "http"
    stream: NonEmptyText = "lagoonbeam"
    linger_s: Seconds = 0.02
    snapshot_entries: PositiveInt = 2_000


class InstancesSettings(Settings, frozen=True):
    """Access to the platform's list of instances.

    Attributes:
        url: URL of the list.
        plugin: Adapter for its wire form.
        poll_s: Time between two readings.
    """

    url: NonEmptyText
    plugin: NonEmptyText = "http"
    poll_s: Seconds = 1.0


class EndpointsSettings(Settings, frozen=True):
    """Commands to the workers and leases of their tasks.

    Attributes:
        plugin: Adapter for their wire form.
        lease_s: Time after which a worker stops a task that nobody renewed.
        sync_wait_s: Longest wait of one sync; leases are renewed that often.
        command_timeout_s: Deadline of one command.
        stop_grace_s: Time a task gets to write its checkpoint.
    """

    plugin: NonEmptyText = "http"
    lease_s: Seconds = 12.0
    sync_wait_s: Seconds = 4.0
    command_timeout_s: Seconds = 1.0
    stop_grace_s: Seconds = 1.0


class MetricsSettings(Settings, frozen=True):
    """The statsd server and the prefix of metric names.

    Attributes:
        host: IP number of the statsd server; empty sends nothing.
        port: Its UDP port.
        prefix: Put before every name.
    """

    host: str = ""
    port: Port = 8125
    prefix: str = "lagoonbeam"


class Peer(Settings, frozen=True):
    """A scheduler that is reachable before the instance list has been read.

    Attributes:
        instance: Its name.
        availability_zone: Its zone.
        port: TCP port.
        host: IP number.
    """

    instance: NonEmptyText
    availability_zone: NonEmptyText
    port: Port
    host: NonEmptyText = "127.0.0.1"


class SchedulerSettings(Settings, frozen=True):
    """Settings of ``lagoonbeam-scheduler``.

    Attributes:
        instance: Name of this instance.
        availability_zone: Its zone.
        listen: Where it takes connections.
        log: The platform's log.
        instances: The platform's list of instances.
        endpoints: The workers.
        metrics: Where metrics go.
        peers: Schedulers known in advance.
        heartbeat_s: Time between two heartbeats to a peer.
        takeover_s: Silence of the active scheduler after which another
            takes over.
        append_timeout_s: Longest wait for the log to take a record.
        drain_s: Longest time to finish what is in flight on SIGTERM.
        job_attempts: Failed runs after which a job is given up.
        log_level: Least severe level that is logged.
        fault_points: Named steps at which the process ends at once (tests).
    """

    instance: NonEmptyText
    availability_zone: NonEmptyText
    listen: Address
    log: LogSettings
    instances: InstancesSettings
    endpoints: EndpointsSettings = EndpointsSettings()
    metrics: MetricsSettings = MetricsSettings()
    peers: tuple[Peer, ...] = ()
    heartbeat_s: Seconds = 0.5
    takeover_s: Seconds = 2.0
    append_timeout_s: Seconds = 3.0
    drain_s: Seconds = 10.0
    job_attempts: PositiveInt = 3
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    fault_points: tuple[NonEmptyText, ...] = ()


class AccessToken(Settings, frozen=True):
    """A token that gives access to the entry.

    Attributes:
        role: ``caller`` for an organisation, ``operator`` for operators.
        organisation: The organisation of a caller's token.
        token: The secret; or leave it empty and name
        token_env: the environment variable that holds it.
    """

    role: Literal["caller", "operator"]
    organisation: str = ""
    token: str = ""
    token_env: str = ""


class LimitsSettings(Settings, frozen=True):
    """Limits on the requests of callers.

    Attributes:
        body_bytes: Largest request body.
        header_timeout_s: Longest time to send a request.
        open_requests: Requests served at a time.
        wait_s: Longest wait for an answer that a request may ask for.
    """

    body_bytes: PositiveInt = 262_144
    header_timeout_s: Seconds = 5.0
    open_requests: PositiveInt = 2_000
    wait_s: Seconds = 3_600.0


class EntrySettings(Settings, frozen=True):
    """Settings of ``lagoonbeam-entry``.

    Attributes:
        instance: Name of this instance.
        availability_zone: Its zone.
        listen: Where it takes HTTP.
        schedulers: Schedulers to call, the instance's own first.
        tokens: Who may call.
        limits: Bounds on what callers may send.
        metrics: Where metrics go.
        drain_s: Longest time to finish what is in flight on SIGTERM.
        log_level: Least severe level that is logged.
    """

    instance: NonEmptyText
    availability_zone: NonEmptyText
    listen: Address
    schedulers: tuple[Address, ...]
    tokens: tuple[AccessToken, ...]
    limits: LimitsSettings = LimitsSettings()
    metrics: MetricsSettings = MetricsSettings()
    drain_s: Seconds = 30.0
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"


SettingsT = TypeVar("SettingsT", bound=Settings)


def load_settings(path: Path, model: type[SettingsT]) -> SettingsT:
    """Reads a settings file.

    Args:
        path: The YAML file.
        model: Settings model to convert the file to.

    Returns:
        The valid settings.

    Raises:
        SettingsError: If the file cannot be read or is invalid.
    """
    try:
        data = yaml.safe_load(path.read_text())
    except OSError as error:
        raise SettingsError(f"{path}: {error.strerror}") from error
    except yaml.YAMLError as error:
        raise SettingsError(f"{path}: {error}") from error
    return validate_settings(data, model)


def resolve_token_secret(token: AccessToken) -> str:
    """Returns a token's secret from the settings or the environment.

    Raises:
        SettingsError: If neither contains it.
    """
    secret = token.token or os.environ.get(token.token_env, "")
    if not secret:
        token_owner = token.organisation or token.role
        raise SettingsError(
            f"settings.tokens: the token of {token_owner!r} is empty, expected"
            " token or the environment variable of token_env"
            f" ({token.token_env!r})"
        )
    return secret
