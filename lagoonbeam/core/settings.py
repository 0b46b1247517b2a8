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

from lagoonbeam.core.request_budget.settings import RequestLimitSettings
from lagoonbeam.core.validation import validate_settings
from lagoonbeam.errors import SettingsError

Port = Annotated[int, msgspec.Meta(ge=1, le=65_535)]
Seconds = Annotated[float, msgspec.Meta(gt=0)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
NonNegativeInt = Annotated[int, msgspec.Meta(ge=0)]
NonEmptyText = Annotated[str, msgspec.Meta(min_length=1)]


class Settings(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Base of all settings models."""


class Address(Settings, frozen=True):
    """Address on which a process listens.

    Attributes:
        port: TCP port.
        host: IP address.
    """

    port: Port
    host: NonEmptyText = "127.0.0.1"


class LogSettings(Settings, frozen=True):
    """Access to the platform's log service.

    Attributes:
        url: Base URL of the log service.
        plugin: Name of the adapter for the protocol of the log service.
        stream: Name of the stream that contains the system's records.
        linger_s: Time to collect records for one append.
        snapshot_entries: Number of records after which a snapshot is written.
    """

    url: NonEmptyText
    plugin: NonEmptyText = "http"
    stream: NonEmptyText = "lagoonbeam"
    linger_s: Seconds = 0.02
    snapshot_entries: PositiveInt = 2_000


class InstancesSettings(Settings, frozen=True):
    """Access to the platform's instance list.

    Attributes:
        url: URL of the instance list.
        plugin: Name of the adapter for the format of the instance list.
        poll_s: Interval between two reads of the instance list.
    """

    url: NonEmptyText
    plugin: NonEmptyText = "http"
    poll_s: Seconds = 1.0


class EndpointsSettings(Settings, frozen=True):
    """Commands to the workers and leases of their tasks.

    Attributes:
        plugin: Name of the adapter for the protocol of the workers.
        lease_s: Lease duration; a worker stops a task that is not renewed
            within it.
        sync_wait_s: Longest time that a sync request waits for a change at
            the worker; leases are renewed at this interval or more often.
        command_timeout_s: Time-out of one command to a worker.
        stop_grace_s: Time in which a task that is stopped may write its
            checkpoint.
    """

    plugin: NonEmptyText = "http"
    lease_s: Seconds = 12.0
    sync_wait_s: Seconds = 4.0
    command_timeout_s: Seconds = 1.0
    stop_grace_s: Seconds = 1.0


class MetricsSettings(Settings, frozen=True):
    """The statsd server and the prefix of metric names.

    Attributes:
        host: IP address of the statsd server; no metrics are sent if empty.
        port: UDP port of the statsd server.
        prefix: Prefix of every metric name.
    """

    host: str = ""
    port: Port = 8125
    prefix: str = "lagoonbeam"


class MachineSettings(Settings, frozen=True):
    """What the machine gives a process.

    Attributes:
        memory_mb: Memory that the process may take.
        descriptors: File descriptors that it may open; 0 for the limit that
            the process was started with.
    """

    memory_mb: PositiveInt = 160
    descriptors: NonNegativeInt = 0


class Peer(Settings, frozen=True):
    """A scheduler that is reachable before the instance list has been read.

    Attributes:
        instance: Name of the scheduler's instance.
        availability_zone: Availability zone of that instance.
        port: TCP port.
        host: IP address.
    """

    instance: NonEmptyText
    availability_zone: NonEmptyText
    port: Port
    host: NonEmptyText = "127.0.0.1"


class SchedulerSettings(Settings, frozen=True):
    """Settings of ``lagoonbeam-scheduler``.

    Attributes:
        instance: Name of this instance.
        availability_zone: Availability zone of this instance.
        listen: Address for connections from entries and other schedulers.
        log: Access to the platform's log service.
        instances: Access to the platform's instance list.
        endpoints: Commands to the workers and leases of their tasks.
        metrics: The statsd server and the prefix of metric names.
        peers: Schedulers that are reachable before the instance list has been
            read.
        heartbeat_s: Interval between two heartbeats to a peer.
        takeover_s: Time without a heartbeat of the zone's active scheduler
            after which another scheduler takes over.
        append_timeout_s: Time-out of an append to the log.
        drain_s: Longest time to hand the zone over and complete open calls
            after SIGTERM.
        job_attempts: Number of workers on which an idempotent job has to fail
            before it is reported as failed; workers that are at fault do not
            count.
        machine: What the machine gives the process.
        request_limits: Bounds on what connections may hold of the process.
        log_level: Lowest severity that is logged.
        fault_points: Names of the steps at which the process exits
            immediately; for tests only.
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
    machine: MachineSettings = MachineSettings()
    request_limits: RequestLimitSettings = RequestLimitSettings()
    log_level: Literal["DEBUG", "INFO", "WARNING", "ERROR"] = "INFO"
    fault_points: tuple[NonEmptyText, ...] = ()


class AccessToken(Settings, frozen=True):
    """A token that gives access to the entry.

    Attributes:
        role: ``caller`` for callers of an organisation, ``operator`` for
            operators.
        organisation: Organisation of a caller's token.
        token: The secret; if empty, it is read from the environment.
        token_env: Name of the environment variable that contains the secret.
    """

    role: Literal["caller", "operator"]
    organisation: str = ""
    token: str = ""
    token_env: str = ""


class LimitsSettings(Settings, frozen=True):
    """Limits on requests to the entry.

    Attributes:
        body_bytes: Maximum size of a request body.
        header_timeout_s: Longest wait for more data of an incomplete request.
        idle_timeout_s: Longest wait for the next request of a connection.
        open_requests: Maximum number of requests served at the same time.
        wait_s: Longest wait for the outcome of a job that a request may ask
            for.
    """

    body_bytes: PositiveInt = 262_144
    header_timeout_s: Seconds = 5.0
    idle_timeout_s: Seconds = 60.0
    open_requests: PositiveInt = 2_000
    wait_s: Seconds = 3_600.0


class EntrySettings(Settings, frozen=True):
    """Settings of ``lagoonbeam-entry``.

    Attributes:
        instance: Name of this instance.
        availability_zone: Availability zone of this instance.
        listen: Address of the HTTP server.
        schedulers: Addresses of the schedulers, the instance's own first.
        tokens: Tokens that give access to the entry.
        limits: Limits on requests to the entry.
        metrics: The statsd server and the prefix of metric names.
        drain_s: Longest time to complete open requests after SIGTERM.
        machine: What the machine gives the process.
        request_limits: Bounds on what clients may hold of the process.
        log_level: Lowest severity that is logged.
    """

    instance: NonEmptyText
    availability_zone: NonEmptyText
    listen: Address
    schedulers: tuple[Address, ...]
    tokens: tuple[AccessToken, ...]
    limits: LimitsSettings = LimitsSettings()
    metrics: MetricsSettings = MetricsSettings()
    drain_s: Seconds = 30.0
    machine: MachineSettings = MachineSettings()
    request_limits: RequestLimitSettings = RequestLimitSettings()
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
