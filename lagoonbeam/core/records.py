"""Records of the log: the facts that all instances agree on.

Several records are appended together as one `RecordBatch`, which is one entry
of the log. A batch carries its writer and a sequence number, so that readers
can drop the duplicates that a retried append leaves.
"""

from __future__ import annotations

import msgspec

from lagoonbeam.core.jobs import Job
from lagoonbeam.types import InstanceName, JobId, Offset, WorkerName, ZoneName


class Term(msgspec.Struct, frozen=True, order=True):
    """A scheduler's right to command a zone's workers; larger is newer.

    Attributes:
        number: Grows with every takeover.
        instance: Breaks ties of two takeovers at the same time.
    """

    number: int = 0
    instance: InstanceName = ""


class Record(msgspec.Struct, frozen=True, tag=True):
    """Base of all records."""


class TermStarted(Record, frozen=True):
    """An instance became the active scheduler of a zone."""

    availability_zone: ZoneName
    term: Term


class RulesPublished(Record, frozen=True):
    """An operator published rules; readers judge whether they are accepted.

    Attributes:
        publication_id: Finds the verdict of this publication.
        document: The document as JSON text.
        author: Who published it.
    """

    publication_id: str
    document: str
    author: str


class JobAccepted(Record, frozen=True):
    """An instance accepted a job."""

    job: Job


class LaunchMember(msgspec.Struct, frozen=True):
    """A worker that a launch may start tasks on.

    Attributes:
        worker: Its name.
        incarnation: Identifies the worker process; a new one forgot all.
    """

    worker: WorkerName
    incarnation: str


class LaunchIntended(Record, frozen=True):
    """A non-idempotent job is about to be launched, for the only time."""

    job_id: JobId
    attempt: str
    availability_zone: ZoneName
    term: Term
    members: tuple[LaunchMember, ...]


class LaunchVoided(Record, frozen=True):
    """Every worker of a launch proved that it started nothing."""

    job_id: JobId
    attempt: str
    availability_zone: ZoneName
    term: Term


class JobFinished(Record, frozen=True):
    """A job has its outcome; the first such record of a job counts."""

    job_id: JobId
    outcome: str
    detail: str = ""
    results: tuple[str, ...] = ()
    finished_at_s: float = 0.0


class EndpointDrained(Record, frozen=True):
    """An operator closed a worker to new work, or opened it again."""

    worker: WorkerName
    drained: bool = True


class SnapshotTaken(Record, frozen=True):
    """The state that all entries before `up_to` add up to.

    Attributes:
        up_to: Offset of the first entry that is not part of it.
        state: The encoded state.
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
        sequence: Grows by one with each of the writer's batches.
        records: What the batch says.
    """

    writer: str
    sequence: int
    records: tuple[AnyRecord, ...]


_DECODER = msgspec.json.Decoder(RecordBatch)
_ENCODER = msgspec.json.Encoder()


def encode_batch(batch: RecordBatch) -> bytes:
    """Returns the batch as one entry of the log."""
    return _ENCODER.encode(batch)


def decode_batch(data: bytes | str) -> RecordBatch:
    """Reads one entry of the log.

    Raises:
        msgspec.MsgspecError: If it is not a batch.
    """
    return _DECODER.decode(data)
