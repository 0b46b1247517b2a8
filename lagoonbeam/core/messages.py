"""Messages between lagoonbeam's processes, encoded as Cap'n Proto.

The schema ``messages.capnp`` in this directory is loaded when the module is
imported; no code is generated from it. Fields have the same names in both, in
camel case there and in snake case here.
"""

from __future__ import annotations

import dataclasses
import re
from dataclasses import dataclass, field
from pathlib import Path
from typing import Any

import capnp
import msgspec

from lagoonbeam.core.clock import HybridTimestamp
from lagoonbeam.core.jobs import Job, JobStatus

_SCHEMA = capnp.load(str(Path(__file__).with_name("messages.capnp")))
MAX_FRAME_BYTES = 64 << 20
"""Longest frame that is accepted."""
MIN_TRAVERSED_WORDS = 1_024
"""Words of eight bytes that are read of a frame, beside one for each of its
bytes: a frame can refer to the same words many times."""


@dataclass(frozen=True)
class Refusal:
    """Reply to a call that failed: a `LagoonbeamError` by its code."""

    code: str
    detail: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True)
class Acknowledgement:
    """Reply to a call that succeeded and returns nothing."""


@dataclass(frozen=True)
class Heartbeat:
    """State of an instance, sent to its peers at a fixed interval.

    Attributes:
        instance: The sender.
        availability_zone: Its zone.
        active: Whether it is the active scheduler of its zone.
        term_number: Number of the newest term it knows for its zone.
        term_instance: Instance of that term.
        next_offset: Offset of the next log entry that it will fold.
        rules_version: Version of the rules in force on it.
        ready: Whether it has caught up with the log and accepts jobs.
        log_up: Whether it can reach the log.
        free_slots: Free slots of its zone, if active.
        total_slots: All slots of its zone, if active.
        largest_free_slots: Slots of the largest free cell, if active.
        queued_slots: Slots requested by queued jobs, if active.
        expected_wait_s: Expected wait of a new job, if active.
        wall_s: Wall clock part of its hybrid logical timestamp.
        counter: Counter part of its hybrid logical timestamp.
        draining: Whether it is shutting down.
        max_members: Largest gang of single-slot members that its zone can run.
    """

    instance: str
    availability_zone: str
    active: bool = False
    term_number: int = 0
    term_instance: str = ""
    next_offset: int = 0
    rules_version: int = 0
    ready: bool = False
    log_up: bool = False
    free_slots: int = 0
    total_slots: int = 0
    largest_free_slots: int = 0
    queued_slots: int = 0
    expected_wait_s: float = 0.0
    wall_s: float = 0.0
    counter: int = 0
    draining: bool = False
    max_members: int = 0


@dataclass(frozen=True)
class SubmitJob:
    """Submits a caller's job; sent by an entry to its scheduler."""

    job: Job


@dataclass(frozen=True)
class EnqueueJob:
    """Passes on an accepted job that is not in the log yet.

    Attributes:
        job: The job.
        is_copy: Whether to store the job only, as a replica, and not to
            schedule it.
    """

    job: Job
    is_copy: bool = False


@dataclass(frozen=True)
class WaitJob:
    """Requests a job's status, waiting up to `wait_s` for its end."""

    job_id: str
    wait_s: float = 0.0


@dataclass(frozen=True)
class CancelJob:
    """Requests that a job be cancelled."""

    job_id: str


@dataclass(frozen=True)
class ListJobs:
    """Requests the latest jobs of an organisation (empty for all)."""

    organisation: str = ""
    limit: int = 100


@dataclass(frozen=True)
class JobList:
    """Reply to `ListJobs`."""

    jobs: list[JobStatus] = field(default_factory=list)


@dataclass(frozen=True)
class FinishNotice:
    """Notifies peers of a job's outcome before it is in the log."""

    status: JobStatus


@dataclass(frozen=True)
class PublishRules:
    """Requests that a rules document be published."""

    document: str
    author: str = ""


@dataclass(frozen=True)
class GetRules:
    """Requests the rules in force."""


@dataclass(frozen=True)
class RulesStatus:
    """Reply to `GetRules`: the rules in force."""

    version: int = 0
    document: str = ""


@dataclass(frozen=True)
class GetInstances:
    """Requests the latest heartbeats of all instances."""


@dataclass(frozen=True)
class InstanceList:
    """Reply to `GetInstances`: the latest heartbeat of each."""

    instances: list[Heartbeat] = field(default_factory=list)


@dataclass(frozen=True)
class GetFleet:
    """Requests the workers of a zone (empty for the scheduler's own)."""

    availability_zone: str = ""


@dataclass(frozen=True)
class WorkerStatus:
    """The active scheduler's view of a worker."""

    worker: str
    availability_zone: str = ""
    rack: str = ""
    state: str = ""
    slots: int = 0
    busy_slots: int = 0


@dataclass(frozen=True)
class FleetStatus:
    """Reply to `GetFleet`."""

    workers: list[WorkerStatus] = field(default_factory=list)


@dataclass(frozen=True)
class DrainEndpoint:
    """Requests that a worker get no new work."""

    worker: str
    availability_zone: str = ""


@dataclass(frozen=True)
class GetEvents:
    """Requests the buffered events after a sequence number."""

    after: int = 0


@dataclass(frozen=True)
class EventList:
    """Reply to `GetEvents`: the events as JSON."""

    events: bytes = b"[]"


@dataclass(frozen=True)
class LogEntry:
    """One entry of the log."""

    offset: int
    data: bytes


@dataclass(frozen=True)
class RelayEntries:
    """Log entries, forwarded to a peer that may not have read them yet."""

    entries: list[LogEntry] = field(default_factory=list)


@dataclass(frozen=True)
class FetchState:
    """Requests a snapshot of a peer's `ClusterState`."""


@dataclass(frozen=True)
class StateImage:
    """Reply to `FetchState`: the encoded snapshot."""

    data: bytes


Message = (
    Refusal
    | Acknowledgement
    | Heartbeat
    | SubmitJob
    | EnqueueJob
    | WaitJob
    | CancelJob
    | ListJobs
    | JobList
    | JobStatus
    | FinishNotice
    | PublishRules
    | GetRules
    | RulesStatus
    | GetInstances
    | InstanceList
    | GetFleet
    | FleetStatus
    | DrainEndpoint
    | GetEvents
    | EventList
    | RelayEntries
    | FetchState
    | StateImage
)


@dataclass(frozen=True)
class Frame:
    """A message with the header it is transmitted with.

    Attributes:
        call_id: Matches a reply to its call; 0 if no reply is expected.
        is_reply: Whether the message is a reply.
        stamp: The sender's hybrid logical timestamp.
        message: The message.
    """

    call_id: int
    is_reply: bool
    stamp: HybridTimestamp
    message: Message


def _to_camel_case(name: str) -> str:
    head, *tail = name.split("_")
    return head + "".join(part.capitalize() for part in tail)


def _to_snake_case(name: str) -> str:
    return re.sub(r"([A-Z])", lambda match: "_" + match[1].lower(), name)


_MESSAGE_TYPES: dict[str, type] = {
    message_type.__name__[0].lower() + message_type.__name__[1:]: message_type
    for message_type in Message.__args__
}
_UNION_FIELDS = {
    message_type: name for name, message_type in _MESSAGE_TYPES.items()
}
_CAMEL_CASE_NAMES: dict[str, str] = {}
_SNAKE_CASE_NAMES: dict[str, str] = {}


def _encode_value(value: Any) -> Any:
    if dataclasses.is_dataclass(value):
        return {
            _CAMEL_CASE_NAMES.setdefault(
                item.name, _to_camel_case(item.name)
            ): _encode_value(getattr(value, item.name))
            for item in dataclasses.fields(value)
        }
    if isinstance(value, list):
        return [_encode_value(item) for item in value]
    return value


def _decode_value(value: Any) -> Any:
    if isinstance(value, dict):
        return {
            _SNAKE_CASE_NAMES.setdefault(
                name, _to_snake_case(name)
            ): _decode_value(item)
            for name, item in value.items()
        }
    if isinstance(value, list):
        return [_decode_value(item) for item in value]
    return value


_READ_ONLY_MESSAGES = (
    WaitJob,
    ListJobs,
    GetRules,
    GetInstances,
    GetFleet,
    GetEvents,
    FetchState,
)


def is_read_only(message: Message) -> bool:
    """Returns whether handling a message changes nothing."""
    return isinstance(message, _READ_ONLY_MESSAGES)


def encode_frame(frame: Frame) -> bytes:
    """Encodes a frame."""
    union_field = _UNION_FIELDS[type(frame.message)]
    return _SCHEMA.Frame.new_message(
        callId=frame.call_id,
        isReply=frame.is_reply,
        wallS=frame.stamp.wall_s,
        counter=frame.stamp.counter,
        body={union_field: _encode_value(frame.message)},
    ).to_bytes()


def decode_frame(data: bytes) -> Frame:
    """Decodes a frame.

    Raises:
        capnp.KjException: If the bytes are not a frame.
        msgspec.ValidationError: If a field has the wrong type.
    """
    with _SCHEMA.Frame.from_bytes(
        data, traversal_limit_in_words=len(data) + MIN_TRAVERSED_WORDS
    ) as reader:
        body = reader.body
        union_field = str(body.which())
        value = _decode_value(getattr(body, union_field).to_dict())
        return Frame(
            call_id=reader.callId,
            is_reply=reader.isReply,
            stamp=HybridTimestamp(reader.wallS, reader.counter),
            message=msgspec.convert(value, _MESSAGE_TYPES[union_field]),
        )
