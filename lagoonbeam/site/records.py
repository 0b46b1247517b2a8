"""Records of the journal: everything that must outlive a process."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.model import End, JobRequest

RECORD_PLACEMENTS = 500
"""Most placements of one record; one takes up to 200 bytes of 262,144."""


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """Base of all records."""


class InstanceJoined(_Record, frozen=True, tag="join"):
    """An instance started.

    Attributes:
        instance: Its name.
        incarnation: Random name of this life of it.
        host: IP number at which peers reach it.
        port: TCP port at which peers reach it.
    """

    instance: str
    incarnation: str
    host: str
    port: int


class JobAccepted(_Record, frozen=True, tag="accept"):
    """A caller's job is stored; the first record of an identifier counts."""

    job: JobRequest


class JobCancelled(_Record, frozen=True, tag="cancel"):
    """A caller cancelled a job."""

    job_id: str


class JobFailed(_Record, frozen=True, tag="fail"):
    """A job's task has failed as often as it may."""

    job_id: str
    task_id: str


class JobDropped(_Record, frozen=True, tag="drop"):
    """A job was not started in time; void if it was started after all."""

    job_id: str


class WaveBegun(_Record, frozen=True, tag="wave"):
    """A wave of upkeep was begun.

    Attributes:
        wave: Its number.
        at_s: Wall clock time.
    """

    wave: int
    at_s: float


class MachineServiced(_Record, frozen=True, tag="service"):
    """A machine's upkeep has begun.

    Attributes:
        wave: Number of the wave that asked for it.
        machine_id: The machine.
    """

    wave: int
    machine_id: str


class WaveCompleted(_Record, frozen=True, tag="waved"):
    """The upkeep of all machines of a wave has begun."""

    wave: int


class MachineMoved(_Record, frozen=True, tag="move"):
    """A machine was ordered to another pool.

    Attributes:
        machine_id: The machine.
        pool: Where it works from then on.
        home: Spare pool that it belongs to.
    """

    machine_id: str
    pool: str
    home: str


class TermClaimed(_Record, frozen=True, tag="claim"):
    """An instance became the active scheduler."""

    term: int
    instance: str
    incarnation: str


class TermRenewed(_Record, frozen=True, tag="renew"):
    """The active scheduler lives."""

    term: int


class TermResigned(_Record, frozen=True, tag="resign"):
    """The active scheduler stops; any instance may claim at once."""

    term: int


class Placement(_Record, frozen=True):
    """One run that is about to be started.

    Attributes:
        task_id: The task.
        run: Number of its start.
        worker: Where.
        incarnation: The worker's incarnation.
        checkpoint: Progress that the run resumes from; empty for none.
    """

    task_id: str
    run: int
    worker: str
    incarnation: int
    checkpoint: str = ""


class RunsPlaced(_Record, frozen=True, tag="place"):
    """Runs that may exist from now on."""

    placements: tuple[Placement, ...]


def split_placements(placements: Sequence[Placement]) -> list[RunsPlaced]:
    """Returns placements in records that fit the store."""
    starts = range(0, len(placements), RECORD_PLACEMENTS)
    return [
        RunsPlaced(tuple(placements[start : start + RECORD_PLACEMENTS]))
        for start in starts
    ]


class RunEnd(_Record, frozen=True):
    """One run that certainly exists no longer.

    Attributes:
        task_id: The task.
        run: Number of its start.
        end: How it ended.
        checkpoint: Newest known progress; empty for none.
    """

    task_id: str
    run: int
    end: End
    checkpoint: str = ""


class RunsEnded(_Record, frozen=True, tag="end"):
    """Runs that certainly exist no longer."""

    ends: tuple[RunEnd, ...]


Record: TypeAlias = (
    InstanceJoined
    | JobAccepted
    | JobCancelled
    | JobFailed
    | JobDropped
    | WaveBegun
    | MachineServiced
    | WaveCompleted
    | MachineMoved
    | TermClaimed
    | TermRenewed
    | TermResigned
    | RunsPlaced
    | RunsEnded
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Returns a record's bytes."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Returns the record in some bytes.

    Raises:
        MalformedDataError: If they hold no known record.
    """
    try:
        return _DECODER.decode(data)
    except msgspec.MsgspecError as error:
        raise MalformedDataError(f"journal record: {error}") from error
