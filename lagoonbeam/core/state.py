"""The state that the log's entries add up to.

Every instance folds the same entries in the same order and so reaches the
same state; nothing else decides what is agreed.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from dataclasses import dataclass, field
from functools import singledispatchmethod

import msgspec

from lagoonbeam.core.jobs import Job, JobStatus, Phase
from lagoonbeam.core.records import (
    Batch,
    EndpointDrained,
    JobAccepted,
    JobFinished,
    LaunchIntended,
    LaunchVoided,
    Record,
    RulesPublished,
    SnapshotTaken,
    Term,
    TermStarted,
)
from lagoonbeam.core.rules import RulesDocument, decode_rules
from lagoonbeam.errors import RulesConflictError, RulesInvalidError
from lagoonbeam.types import (
    JobId,
    Offset,
    OrganisationName,
    WorkerName,
    ZoneName,
)

MAX_VERDICTS = 1_000
"""Publications whose verdict is remembered."""
MAX_WRITERS = 4_096
"""Appending processes whose sequence is remembered."""
MAX_EARLY = 4_096
"""Outcomes kept for jobs whose acceptance has not been folded yet."""
KEY_RETENTION_S = 86_400.0
"""Time for which a finished job and its idempotency key are remembered."""


@dataclass
class JobEntry:
    """What the log says of a job.

    Attributes:
        job: The job.
        intent: Launch of a non-idempotent job that is not voided.
        finished: Its outcome, once known.
    """

    job: Job
    intent: LaunchIntended | None = None
    finished: JobFinished | None = None


@dataclass
class Verdict:
    """What became of a publication of rules.

    Attributes:
        publication_id: Which publication.
        version: Version in force after it.
        code: Error code if it was refused, else empty.
        detail: Why it was refused.
    """

    publication_id: str
    version: int
    code: str = ""
    detail: str = ""


@dataclass
class _Image:
    """The encoded form of a `ClusterState`."""

    version: int = 0
    document: str = ""
    next_offset: Offset = 0
    writers: dict[str, int] = field(default_factory=dict)
    terms: dict[ZoneName, Term] = field(default_factory=dict)
    jobs: list[JobEntry] = field(default_factory=list)
    verdicts: list[Verdict] = field(default_factory=list)
    early: list[JobFinished] = field(default_factory=list)
    drained: list[WorkerName] = field(default_factory=list)


class ClusterState:
    """Folds entries of the log.

    Attributes:
        rules: The rules in force, if any.
        version: Their version; it only grows.
        next_offset: Offset of the next entry to fold.
        terms: Newest term of each zone.
        jobs: All remembered jobs, oldest first.
        verdicts: What became of recent publications.
        drained: Workers that operators closed to new work.
    """

    def __init__(self) -> None:
        self.rules: RulesDocument | None = None
        self.version = 0
        self.next_offset: Offset = 0
        self.terms: dict[ZoneName, Term] = {}
        self.jobs: dict[JobId, JobEntry] = {}
        self.verdicts: dict[str, Verdict] = {}
        self.drained: set[WorkerName] = set()
        self.queued_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.queued_by_caller: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.queued_by_kind: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._writers: dict[str, int] = {}
        self._keys: dict[tuple[OrganisationName, str], JobId] = {}
        self._finished: collections.deque[JobId] = collections.deque()
        self._early: dict[JobId, JobFinished] = {}

    def fold(self, offset: Offset, batch: Batch) -> bool:
        """Applies one entry.

        Args:
            offset: Its offset; entries before `next_offset` are ignored.
            batch: Its content.

        Returns:
            Whether the entry was new (not a repeat).
        """
        if offset < self.next_offset:
            return False
        self.next_offset = offset + 1
        if batch.sequence <= self._writers.get(batch.writer, -1):
            return False
        self._writers.pop(batch.writer, None)
        self._writers[batch.writer] = batch.sequence
        if len(self._writers) > MAX_WRITERS:
            del self._writers[next(iter(self._writers))]
        for record in batch.records:
            self._apply(record)
        return True

    def find_by_key(
        self, organisation: OrganisationName, key: str
    ) -> JobEntry | None:
        """Returns the job that first used an idempotency key, or None."""
        job_id = self._keys.get((organisation, key))
        return self.jobs.get(job_id) if job_id else None

    def get_term(self, zone: ZoneName) -> Term:
        """Returns the newest term of a zone."""
        return self.terms.get(zone, Term())

    def iterate_unfinished(self, zone: ZoneName) -> Iterator[JobEntry]:
        """Yields the unfinished jobs of a zone, oldest first."""
        return (
            entry
            for entry in self.jobs.values()
            if entry.finished is None and entry.job.availability_zone == zone
        )

    def describe_job(self, job_id: JobId) -> JobStatus | None:
        """Returns what the log says of a job, or None if it is unknown."""
        entry = self.jobs.get(job_id)
        if entry is None:
            return None
        finished = entry.finished
        phase = Phase.LAUNCHING if entry.intent else Phase.QUEUED
        return JobStatus(
            job_id=job_id,
            organisation=entry.job.organisation,
            phase=(Phase.FINISHED if finished else phase).value,
            outcome=finished.outcome if finished else "",
            detail=finished.detail if finished else "",
            results=list(finished.results) if finished else [],
            availability_zone=entry.job.availability_zone,
            accepted_at_s=entry.job.accepted_at_s,
        )

    def encode(self) -> bytes:
        """Returns the whole state as bytes."""
        document = (
            msgspec.json.encode(self.rules).decode() if self.rules else ""
        )
        return msgspec.json.encode(
            _Image(
                version=self.version,
                document=document,
                next_offset=self.next_offset,
                writers=self._writers,
                terms=self.terms,
                jobs=list(self.jobs.values()),
                verdicts=list(self.verdicts.values()),
                early=list(self._early.values()),
                drained=sorted(self.drained),
            )
        )

    def load(self, data: bytes | str) -> None:
        """Replaces the state by an encoded one that is newer.

        Args:
            data: What `encode` returned; an older state is ignored.
        """
        image = msgspec.json.decode(data, type=_Image)
        if image.next_offset < self.next_offset:
            return
        self.next_offset = image.next_offset
        self.version = image.version
        if image.document:
            self.rules = msgspec.json.decode(image.document, type=RulesDocument)
        self._writers = image.writers
        self.terms = image.terms
        self.verdicts = {v.publication_id: v for v in image.verdicts}
        self.drained = set(image.drained)
        self._early = {record.job_id: record for record in image.early}
        self.jobs = {entry.job.job_id: entry for entry in image.jobs}
        self._index_jobs()

    def _forget_old(self, now_s: float) -> None:
        """Drops finished jobs whose retention is over.

        The time is that of a record, so all instances drop the same jobs.
        """
        while self._finished:
            job_id = self._finished[0]
            entry = self.jobs.get(job_id)
            if entry is not None and entry.finished is not None:
                age_s = now_s - entry.finished.finished_at_s
                if age_s < KEY_RETENTION_S:
                    return
                del self.jobs[job_id]
                key = (entry.job.organisation, entry.job.idempotency_key)
                if self._keys.get(key) == job_id:
                    del self._keys[key]
            self._finished.popleft()

    def _index_jobs(self) -> None:
        self._keys.clear()
        self._finished.clear()
        self.queued_by_organisation.clear()
        self.queued_by_caller.clear()
        self.queued_by_kind.clear()
        for entry in self.jobs.values():
            if entry.job.idempotency_key:
                key = (entry.job.organisation, entry.job.idempotency_key)
                self._keys[key] = entry.job.job_id
            if entry.finished:
                self._finished.append(entry.job.job_id)
            else:
                self._count(entry.job, 1)

    def _count(self, job: Job, change: int) -> None:
        self.queued_by_organisation[job.organisation] += change
        self.queued_by_caller[job.organisation, job.caller] += change
        self.queued_by_kind[job.organisation, job.kind] += change

    @singledispatchmethod
    def _apply(self, record: Record) -> None:
        raise TypeError(type(record))

    @_apply.register
    def _(self, record: TermStarted) -> None:
        zone = record.availability_zone
        self.terms[zone] = max(self.get_term(zone), record.term)

    @_apply.register
    def _(self, record: RulesPublished) -> None:
        code = detail = ""
        try:
            document = decode_rules(record.document)
            if document.based_on != self.version:
                raise RulesConflictError(
                    f"got a document based on version {document.based_on},"
                    f" expected version {self.version}"
                )
            self.rules = document
            self.version += 1
        except (RulesInvalidError, RulesConflictError) as error:
            code, detail = error.code, error.detail
        self.verdicts[record.publication_id] = Verdict(
            record.publication_id, self.version, code, detail
        )
        if len(self.verdicts) > MAX_VERDICTS:
            del self.verdicts[next(iter(self.verdicts))]

    @_apply.register
    def _(self, record: JobAccepted) -> None:
        job = record.job
        if job.job_id in self.jobs:
            return
        key = (job.organisation, job.idempotency_key)
        if job.idempotency_key:
            if key in self._keys:
                return
            self._keys[key] = job.job_id
        self.jobs[job.job_id] = JobEntry(job)
        self._count(job, 1)
        early = self._early.pop(job.job_id, None)
        if early is not None:
            self._apply(early)
        self._forget_old(job.accepted_at_s)

    @_apply.register
    def _(self, record: LaunchIntended) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.finished or entry.intent:
            return
        if record.term < self.get_term(record.availability_zone):
            return
        entry.intent = record

    @_apply.register
    def _(self, record: LaunchVoided) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None or entry.intent is None:
            return
        if entry.intent.attempt == record.attempt:
            entry.intent = None

    @_apply.register
    def _(self, record: JobFinished) -> None:
        entry = self.jobs.get(record.job_id)
        if entry is None:
            self._early[record.job_id] = record
            if len(self._early) > MAX_EARLY:
                del self._early[next(iter(self._early))]
            return
        if entry.finished:
            return
        entry.finished = record
        self._finished.append(record.job_id)
        self._count(entry.job, -1)

    @_apply.register
    def _(self, record: EndpointDrained) -> None:
        if record.drained:
            self.drained.add(record.worker)
        else:
            self.drained.discard(record.worker)

    @_apply.register
    def _(self, record: SnapshotTaken) -> None:
        """A snapshot repeats what is known."""
