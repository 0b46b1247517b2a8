"""What a `ClusterState` keeps of jobs and publications, and its snapshot."""

from __future__ import annotations

from dataclasses import dataclass, field

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.records import JobFinished, LaunchIntended, Term
from lagoonbeam.types import Offset, WorkerName, ZoneName


@dataclass
class LoggedJob:
    """The records of a job that have been folded.

    Attributes:
        job: The job.
        intent: Launch intent of a non-idempotent job, unless voided.
        finished: Its outcome, once finished.
    """

    job: Job
    intent: LaunchIntended | None = None
    finished: JobFinished | None = None


@dataclass
class PublicationResult:
    """The result of a publication of rules.

    Attributes:
        publication_id: The publication.
        version: Version of the rules in force after it.
        code: Error code if it was refused, else empty.
        detail: Reason if it was refused, else empty.
    """

    publication_id: str
    version: int
    code: str = ""
    detail: str = ""


@dataclass
class EncodedState:
    """A snapshot of a `ClusterState`, as stored in the log."""

    version: int = 0
    document: str = ""
    next_offset: Offset = 0
    writers: dict[str, int] = field(default_factory=dict)
    terms: dict[ZoneName, Term] = field(default_factory=dict)
    jobs: list[LoggedJob] = field(default_factory=list)
    verdicts: list[PublicationResult] = field(default_factory=list)
    early: list[JobFinished] = field(default_factory=list)
    drained: list[WorkerName] = field(default_factory=list)

    def find_publication_in_force(self) -> str:
        """Returns the publication of the rules, or "" if it is not kept."""
        publications = (
            result.publication_id
            for result in self.verdicts
            if result.version == self.version and not result.code
        )
        return next(publications, "")
