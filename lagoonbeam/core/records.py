"""Records of the log, from which all instances build the same state.

Several records are appended together as one `RecordBatch`, which is one entry
of the log. A batch carries its writer and a sequence number, so that readers
can drop the duplicates that a retried append leaves.
"""

from __future__ import annotations

import msgspec

from lagoonbeam.core.jobs import Job
from lagoonbeam.types import InstanceName, JobId, Offset, WorkerName, ZoneName


class Term(msgspec.Struct, frozen=True, order=True):
    """The term of a zone's active scheduler, which fences off older ones.

    Larger terms are newer.

    Attributes:
        number: Increases with every takeover.
        instance: The active scheduler; orders two takeovers that chose the
            same number.
    """

    number: int = 0
    instance: InstanceName = ""


class Record(msgspec.Struct, frozen=True, tag=True):
    """Base of all records."""


class TermStarted(Record, frozen=True):
    """An instance took over as the active scheduler of a zone."""

    availability_zone: ZoneName
    term: Term


class RulesPublished(Record, frozen=True):
    """An operator published rules; each reader checks whether they apply.

    All readers come to the same result, a `PublicationResult`.

    Attributes:
        publication_id: Identifies the publication and its result.
        document: The rules document as JSON text.
        author: Who published it.
    """

    publication_id: str
    document: str
    author: str


class JobAccepted(Record, frozen=True):
    """An instance accepted a job."""

    job: Job


class LaunchMember(msgspec.Struct, frozen=True):
    """A worker on which a launch may start tasks.

    Attributes:
        worker: Its name.
        incarnation: Identifies the worker process; a restarted one has a new
            incarnation and no record of earlier tasks.
    """

    worker: WorkerName
    incarnation: str


class LaunchIntended(Record, frozen=True):
    """A non-idempotent job is about to be launched, at most once.

    While this intent stands, the job is not launched again.
    """

    job_id: JobId
    attempt: str
    availability_zone: ZoneName
    term: Term
    members: tuple[LaunchMember, ...]


class LaunchVoided(Record, frozen=True):
    """Every worker of a launch confirmed that it started no task of it."""

    job_id: JobId
    attempt: str
    availability_zone: ZoneName
    term: Term


class JobFinished(Record, frozen=True):
    """A job has finished; only the first such record of a job counts."""

    job_id: JobId
    outcome: str
    detail: str = ""
    results: tuple[str, ...] = ()
    finished_at_s: float = 0.0


class EndpointDrained(Record, frozen=True):
    """An operator drained a worker, or ended its draining."""

    worker: WorkerName
    drained: bool = True


class SnapshotTaken(Record, frozen=True):
    """A snapshot of the state after all entries before `up_to`.

    Attributes:
        up_to: Offset of the first entry that it does not cover.
        state: The encoded `ClusterState`.
    """

    up_to: Offset
    state: str


AnyRecord = (
    TermStarted
    | RulesPublished
    | JobAccepted
    | LaunchIntended
    | LaunchVoided
    | JobFinished
    | EndpointDrained
    | SnapshotTaken
)


class RecordBatch(msgspec.Struct, frozen=True):
    """One entry of the log.

    Attributes:
        writer: Identifies the appending process.
        sequence: Increases by one with each batch of the writer.
        records: The records, in order.
    """

    writer: str
    sequence: int
    records: tuple[AnyRecord, ...]


_DECODER = msgspec.json.Decoder(RecordBatch)
_ENCODER = msgspec.json.Encoder()


def encode_batch(batch: RecordBatch) -> bytes:
    """Encodes a batch as one entry of the log."""
    return _ENCODER.encode(batch)


def decode_batch(data: bytes | str) -> RecordBatch:
    """Decodes one entry of the log.

    Raises:
        msgspec.MsgspecError: If it is not a batch.
    """
    return _DECODER.decode(data)
