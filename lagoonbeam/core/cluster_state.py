"""The replicated state, built by folding the entries of the log.

Every instance folds the same entries in the same order and thereby reaches the
same state, which depends on nothing else, not even the local clock.
"""

from __future__ import annotations

import collections
from collections.abc import Iterator
from functools import singledispatchmethod

import msgspec

from lagoonbeam.core.encoded_state import (
    EncodedState,
    LoggedJob,
    PublicationResult,
)
from lagoonbeam.core.jobs import Job, JobPhase, JobStatus
from lagoonbeam.core.records import (
    AnyRecord,
    EndpointDrained,
    JobAccepted,
    JobFinished,
    LaunchIntended,
    LaunchVoided,
    Record,
    RecordBatch,
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

MAX_PUBLICATION_RESULTS = 1_000
"""Rules publications whose result is kept."""
MAX_WRITERS = 4_096
"""Appending processes whose last sequence number is kept."""
MAX_EARLY_OUTCOMES = 4_096
"""Outcomes kept of jobs whose acceptance has not been folded yet."""
JOB_RETENTION_S = 86_400.0
"""Retention of a finished job and its idempotency key."""


class ClusterState:
    """The state after all entries of the log up to `next_offset`.

    Attributes:
        rules: The rules in force, if any.
        rules_version: Version of `rules`; never decreases.
        next_offset: Offset of the next entry to fold.
        terms: Newest term of each zone.
        jobs: All retained jobs, oldest first.
        publication_results: Results of the latest rules publications.
        drained_workers: Workers that operators have drained.
        queued_by_organisation: Unfinished jobs of each organisation.
        queued_by_caller: Unfinished jobs by organisation and caller.
        queued_by_kind: Unfinished jobs by organisation and kind.
    """

    def __init__(self) -> None:
        self.rules: RulesDocument | None = None
        self.rules_version = 0
        self.next_offset: Offset = 0
        self.terms: dict[ZoneName, Term] = {}
        self.jobs: dict[JobId, LoggedJob] = {}
        self.publication_results: dict[str, PublicationResult] = {}
        self.drained_workers: set[WorkerName] = set()
        self.queued_by_organisation: collections.Counter[str] = (
            collections.Counter()
        )
        self.queued_by_caller: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self.queued_by_kind: collections.Counter[tuple[str, str]] = (
            collections.Counter()
        )
        self._writer_sequences: dict[str, int] = {}
        self._jobs_by_key: dict[tuple[OrganisationName, str], JobId] = {}
        self._finished_jobs: collections.deque[JobId] = collections.deque()
        self._early_outcomes: dict[JobId, JobFinished] = {}

    def fold(self, offset: Offset, batch: RecordBatch) -> bool:
        """Applies one entry of the log.

        Args:
            offset: Its offset; entries before `next_offset` are ignored.
            batch: Its content.

        Returns:
            Whether the entry was applied (not a duplicate).
        """
        if offset < self.next_offset:
            return False
        self.next_offset = offset + 1
        if batch.sequence <= self._writer_sequences.get(batch.writer, -1):
            return False
        self._writer_sequences.pop(batch.writer, None)
        self._writer_sequences[batch.writer] = batch.sequence
        if len(self._writer_sequences) > MAX_WRITERS:
            del self._writer_sequences[next(iter(self._writer_sequences))]
        for record in batch.records:
            self._apply_record(record)
        return True

    def find_job_by_key(
        self, organisation: OrganisationName, key: str
    ) -> LoggedJob | None:
        """Returns the job that first used an idempotency key, or None."""
        job_id = self._jobs_by_key.get((organisation, key))
        return self.jobs.get(job_id) if job_id else None

    def get_term(self, zone: ZoneName) -> Term:
        """Returns the newest term of a zone."""
        return self.terms.get(zone, Term())

    def iterate_unfinished_jobs(self, zone: ZoneName) -> Iterator[LoggedJob]:
        """Yields the unfinished jobs of a zone, oldest first."""
        return (
            logged_job
            for logged_job in self.jobs.values()
            if logged_job.finished is None
            and logged_job.job.availability_zone == zone
        )

    def describe_job(self, job_id: JobId) -> JobStatus | None:
        """Returns the status of a job by the log, or None if unknown."""
        logged_job = self.jobs.get(job_id)
        if logged_job is None:
            return None
        finished = logged_job.finished
        phase = JobPhase.LAUNCHING if logged_job.intent else JobPhase.QUEUED
        return JobStatus(
            job_id=job_id,
            organisation=logged_job.job.organisation,
            phase=(JobPhase.FINISHED if finished else phase).value,
            outcome=finished.outcome if finished else "",
            detail=finished.detail if finished else "",
            results=list(finished.results) if finished else [],
            availability_zone=logged_job.job.availability_zone,
            accepted_at_s=logged_job.job.accepted_at_s,
        )

    def encode(self) -> bytes:
        """Encodes the state as a snapshot."""
        document = (
            msgspec.json.encode(self.rules).decode() if self.rules else ""
        )
        return msgspec.json.encode(
            EncodedState(
                version=self.rules_version,
                document=document,
                next_offset=self.next_offset,
                writers=self._writer_sequences,
                terms=self.terms,
                jobs=list(self.jobs.values()),
                verdicts=list(self.publication_results.values()),
                early=list(self._early_outcomes.values()),
                drained=sorted(self.drained_workers),
            )
        )

    def get_writer_sequence(self, writer: str) -> int:
        """Returns the sequence number of a writer's last batch, or -1."""
        return self._writer_sequences.get(writer, -1)

    def load(self, data: bytes | str) -> list[AnyRecord]:
        """Replaces the state by a snapshot, unless that is older.

        Args:
            data: A snapshot returned by `encode`.

        Returns:
            Records with the effect of the entries that are skipped thereby,
            without launch intents.
        """
        snapshot = msgspec.json.decode(data, type=EncodedState)
        if snapshot.next_offset < self.next_offset:
            return []
        changes = list(self._iterate_changes(snapshot))
        self.next_offset = snapshot.next_offset
        self.rules_version = snapshot.version
        if snapshot.document:
            self.rules = msgspec.json.decode(
                snapshot.document, type=RulesDocument
            )
        self._writer_sequences = snapshot.writers
        self.terms = snapshot.terms
        self.publication_results = {
            v.publication_id: v for v in snapshot.verdicts
        }
        self.drained_workers = set(snapshot.drained)
        self._early_outcomes = {
            record.job_id: record for record in snapshot.early
        }
        self.jobs = {
            logged_job.job.job_id: logged_job for logged_job in snapshot.jobs
        }
        self._index_jobs()
        return changes

    def _iterate_changes(self, snapshot: EncodedState) -> Iterator[AnyRecord]:
        """Yields what a snapshot changes; terms first, as they end others."""
        for zone, term in snapshot.terms.items():
            if term != self.get_term(zone):
                yield TermStarted(zone, term)
        if snapshot.version != self.rules_version:
            publication_id = snapshot.find_publication_in_force()
            yield RulesPublished(publication_id, snapshot.document, "")
        drained_workers = set(snapshot.drained)
        for worker in sorted(drained_workers ^ self.drained_workers):
            yield EndpointDrained(worker, worker in drained_workers)
        for logged_job in snapshot.jobs:
            known_job = self.jobs.get(logged_job.job.job_id)
            if known_job is None:
                yield JobAccepted(logged_job.job)
            is_known_finished = known_job is not None and known_job.finished
            if logged_job.finished is not None and not is_known_finished:
                yield logged_job.finished

    def _drop_expired_jobs(self, now_s: float) -> None:
        """Drops finished jobs whose retention has ended.

        `now_s` comes from a record, so that all instances drop the same jobs.
        """
        while self._finished_jobs:
            job_id = self._finished_jobs[0]
            logged_job = self.jobs.get(job_id)
            if logged_job is not None and logged_job.finished is not None:
                age_s = now_s - logged_job.finished.finished_at_s
                if age_s < JOB_RETENTION_S:
                    return
                del self.jobs[job_id]
                key = (
                    logged_job.job.organisation,
                    logged_job.job.idempotency_key,
                )
                if self._jobs_by_key.get(key) == job_id:
                    del self._jobs_by_key[key]
            self._finished_jobs.popleft()

    def _index_jobs(self) -> None:
        self._jobs_by_key.clear()
        self._finished_jobs.clear()
        self.queued_by_organisation.clear()
        self.queued_by_caller.clear()
        self.queued_by_kind.clear()
        for logged_job in self.jobs.values():
            if logged_job.job.idempotency_key:
                key = (
                    logged_job.job.organisation,
                    logged_job.job.idempotency_key,
                )
                self._jobs_by_key[key] = logged_job.job.job_id
            if logged_job.finished:
                self._finished_jobs.append(logged_job.job.job_id)
            else:
                self._adjust_queue_counts(logged_job.job, 1)

    def _adjust_queue_counts(self, job: Job, delta: int) -> None:
        self.queued_by_organisation[job.organisation] += delta
        self.queued_by_caller[job.organisation, job.caller] += delta
        self.queued_by_kind[job.organisation, job.kind] += delta

    @singledispatchmethod
    def _apply_record(self, record: Record) -> None:
        raise TypeError(type(record))

    @_apply_record.register
    def _(self, record: TermStarted) -> None:
        zone = record.availability_zone
        self.terms[zone] = max(self.get_term(zone), record.term)

    @_apply_record.register
    def _(self, record: RulesPublished) -> None:
        code = detail = ""
        try:
            document = decode_rules(record.document)
            if document.based_on != self.rules_version:
                raise RulesConflictError(
                    f"got a document based on version {document.based_on},"
                    f" expected version {self.rules_version}"
                )
            self.rules = document
            self.rules_version += 1
        except (RulesInvalidError, RulesConflictError) as error:
            code, detail = error.code, error.detail
        self.publication_results[record.publication_id] = PublicationResult(
            record.publication_id, self.rules_version, code, detail
        )
        if len(self.publication_results) > MAX_PUBLICATION_RESULTS:
            del self.publication_results[next(iter(self.publication_results))]

    @_apply_record.register
    def _(self, record: JobAccepted) -> None:
        job = record.job
        if job.job_id in self.jobs:
            return
        key = (job.organisation, job.idempotency_key)
        if job.idempotency_key:
            if key in self._jobs_by_key:
                return
            self._jobs_by_key[key] = job.job_id
        self.jobs[job.job_id] = LoggedJob(job)
        self._adjust_queue_counts(job, 1)
        early = self._early_outcomes.pop(job.job_id, None)
        if early is not None:
            self._apply_record(early)
        self._drop_expired_jobs(job.accepted_at_s)

    @_apply_record.register
    def _(self, record: LaunchIntended) -> None:
        logged_job = self.jobs.get(record.job_id)
        if logged_job is None or logged_job.finished or logged_job.intent:
            return
        if record.term < self.get_term(record.availability_zone):
            return
        logged_job.intent = record

    @_apply_record.register
    def _(self, record: LaunchVoided) -> None:
        logged_job = self.jobs.get(record.job_id)
        if logged_job is None or logged_job.intent is None:
            return
        if logged_job.intent.attempt == record.attempt:
            logged_job.intent = None

    @_apply_record.register
    def _(self, record: JobFinished) -> None:
        logged_job = self.jobs.get(record.job_id)
        if logged_job is None:
            self._early_outcomes[record.job_id] = record
            if len(self._early_outcomes) > MAX_EARLY_OUTCOMES:
                del self._early_outcomes[next(iter(self._early_outcomes))]
            return
        if logged_job.finished:
            return
        logged_job.finished = record
        self._finished_jobs.append(record.job_id)
        self._adjust_queue_counts(logged_job.job, -1)

    @_apply_record.register
    def _(self, record: EndpointDrained) -> None:
        if record.drained:
            self.drained_workers.add(record.worker)
        else:
            self.drained_workers.discard(record.worker)

    @_apply_record.register
    def _(self, record: SnapshotTaken) -> None:
        """Does nothing: a snapshot contains no new information."""
