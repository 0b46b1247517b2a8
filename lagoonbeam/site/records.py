"""Journal records: every change of state that must survive a restart."""

from __future__ import annotations

from collections.abc import Sequence
from typing import TypeAlias

import msgspec

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.model import JobRequest, RunEndReason

MAX_PLACEMENTS_PER_RECORD = 500
"""Keeps a record below the store's 262,144 bytes; one takes up to 200."""


class _Record(msgspec.Struct, frozen=True, array_like=True):
    """Base class of records."""


class InstanceJoined(_Record, frozen=True, tag="join"):
    """An instance started.

    Attributes:
        instance: Name of the instance.
        incarnation: Random identifier, new with each start.
        host: IP address for requests of other instances.
        port: TCP port for requests of other instances.
    """

    instance: str
    incarnation: str
    host: str
    port: int


class JobAccepted(_Record, frozen=True, tag="accept"):
    """A job was accepted; later records of the same job are ignored."""

    job: JobRequest


class JobCancelled(_Record, frozen=True, tag="cancel"):
    """A caller cancelled a job; ignored if the job is not in its scope."""

    job_id: str
    scope: JobScope = JobScope()


class JobFailed(_Record, frozen=True, tag="fail"):
    """A task reached its maximum number of failures, so the job failed."""

    job_id: str
    task_id: str


class JobsBegun(_Record, frozen=True, tag="begun"):
    """Workers have begun work items of jobs."""

    job_ids: tuple[str, ...]


class JobDropped(_Record, frozen=True, tag="drop"):
    """A job missed its start deadline; ignored if it may have run."""

    job_id: str


class WaveBegun(_Record, frozen=True, tag="wave"):
    """An upkeep wave began.

    Attributes:
        wave: Number of the wave.
        begun_at_s: Wall clock time.
    """

    wave: int
    begun_at_s: float


class UpkeepOrdered(_Record, frozen=True, tag="upkeep"):
    """The upkeep of a machine is about to be ordered, and may begin late.

    Attributes:
        wave: Number of the wave that requested it.
        machine_id: The machine.
    """

    wave: int
    machine_id: str


class MachineServiced(_Record, frozen=True, tag="service"):
    """The upkeep of a machine began.

    Attributes:
        wave: Number of the wave that requested it.
        machine_id: The machine.
    """

    wave: int
    machine_id: str


class WaveCompleted(_Record, frozen=True, tag="waved"):
    """The upkeep of all machines of a wave began."""

    wave: int


class MachineMoved(_Record, frozen=True, tag="move"):
    """A machine was moved to another pool.

    Attributes:
        machine_id: The machine.
        pool: The pool that it works for from now on.
        home: The spare pool that it belongs to.
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
    """The active scheduler is alive."""

    term: int


class TermResigned(_Record, frozen=True, tag="resign"):
    """The active scheduler stopped; the next term may be claimed at once."""

    term: int


class SnapshotSaved(_Record, frozen=True, tag="snapshot"):
    """A snapshot of the state was stored.

    Attributes:
        offset: Offset of the first record not included in it.
    """

    offset: int


class LeasesRenewed(_Record, frozen=True, tag="leases"):
    """A term renews leases that an earlier term may have granted.

    Attributes:
        term: Number of the term.
        workers: Workers whose runs hold the leases.
    """

    term: int
    workers: tuple[str, ...]


class Placement(_Record, frozen=True):
    """The assignment of one run to a worker, made before its start.

    Attributes:
        task_id: The task.
        run: Number of the run.
        worker: The worker.
        incarnation: Incarnation of the worker.
        checkpoint: Checkpoint to resume from; empty for none.
    """

    task_id: str
    run: int
    worker: str
    incarnation: int
    checkpoint: str = ""


class RunsPlaced(_Record, frozen=True, tag="place"):
    """Runs were placed, and may exist from now on."""

    placements: tuple[Placement, ...]


def split_placements(placements: Sequence[Placement]) -> list[RunsPlaced]:
    """Splits placements into records below the store's size limit."""
    offsets = range(0, len(placements), MAX_PLACEMENTS_PER_RECORD)
    return [
        RunsPlaced(
            tuple(placements[offset : offset + MAX_PLACEMENTS_PER_RECORD])
        )
        for offset in offsets
    ]


RunKey: TypeAlias = tuple[str, int]
"""A run: the identifier of its task, and its number."""


class RunEnd(_Record, frozen=True):
    """The end of one run.

    Attributes:
        task_id: The task.
        run: Number of the run.
        end: Why it ended.
        checkpoint: Newest known checkpoint; empty for none.
        late_start_ms: Time for which a start of the run that got no answer
            may still be carried out by a later incarnation of its worker.
    """

    task_id: str
    run: int
    end: RunEndReason
    checkpoint: str = ""
    late_start_ms: int = 0


class RunsEnded(_Record, frozen=True, tag="end"):
    """Runs ended, and do not exist any longer; see `RunEnd.late_start_ms`."""

    ends: tuple[RunEnd, ...]


class SpeedsEstimated(_Record, frozen=True, tag="speeds"):
    """Estimates of the active scheduler changed.

    Attributes:
        speeds: Speed of each worker that has changed; 1 is the usual one.
        run_times_s: Mean run time at the usual speed of each queue that has
            changed.
    """

    speeds: dict[str, float] = {}
    run_times_s: dict[str, float] = {}


Record: TypeAlias = (
    InstanceJoined
    | JobAccepted
    | JobCancelled
    | JobFailed
    | JobsBegun
    | JobDropped
    | WaveBegun
    | UpkeepOrdered
    | MachineServiced
    | WaveCompleted
    | MachineMoved
    | TermClaimed
    | TermRenewed
    | TermResigned
    | LeasesRenewed
    | SnapshotSaved
    | RunsPlaced
    | RunsEnded
    | SpeedsEstimated
)

_ENCODER = msgspec.msgpack.Encoder()
_DECODER = msgspec.msgpack.Decoder(Record)


def encode_record(record: Record) -> bytes:
    """Encodes a record."""
    return _ENCODER.encode(record)


def decode_record(data: bytes) -> Record:
    """Decodes a record.

    Raises:
        MalformedDataError: If the data is no known record.
    """
    try:
        return _DECODER.decode(data)
    except (msgspec.MsgspecError, RecursionError) as error:
        raise MalformedDataError(f"journal record: {error}") from error
