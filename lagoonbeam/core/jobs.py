"""Jobs: what callers ask for and what became of it."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field
from typing import Literal

from lagoonbeam.types import (
    Adjacency,
    JobId,
    OrganisationName,
    Urgency,
    ZoneName,
)

URGENCY_RANKS: dict[str, int] = {"urgent": 0, "normal": 1, "batch": 2}
"""Lower ranks go first inside one organisation."""

MAX_GANG_MEMBERS = 128
URGENT_START_LIMIT_S = 2.5
"""Seconds within which urgent work starts or is refused."""


class JobOutcome(enum.StrEnum):
    """What became of a job, as its caller is told."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    DID_NOT_RUN = "did_not_run"
    UNKNOWN = "unknown"


class JobPhase(enum.StrEnum):
    """Where an unfinished job stands."""

    QUEUED = "queued"
    LAUNCHING = "launching"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True)
class GangShape:
    """The workers' resources that a job needs at the same time.

    Attributes:
        members: Number of tasks that run together.
        accelerators: Accelerators of each member.
        cores: Processor cores of each member.
        memory_bytes: Memory of each member.
        adjacency: How close the members must be placed.
    """

    members: int = 1
    accelerators: int = 1
    cores: float = 1.0
    memory_bytes: int = 0
    adjacency: Adjacency = "none"


@dataclass(frozen=True)
class Job:
    """One accepted request to run a gang of tasks.

    Attributes:
        job_id: Unique identifier, chosen by the accepting instance.
        organisation: Whose share it uses.
        caller: Who asked, inside the organisation.
        kind: Kind of work; the rules name the allowed ones.
        shape: What it needs.
        urgency: How soon it is needed; empty for its kind's default.
        declared_run_s: Run time the caller expects.
        start_within_s: The job is dropped when not started by then; 0 for
            no bound.
        idempotent: Whether it may run again after a failure.
        checkpointable: Whether it can be stopped and go on later.
        idempotency_key: Key that makes a retry the same job; empty for none.
        fingerprint: Hash of the request, to detect a reused key.
        payload: Opaque text handed to every member.
        availability_zone: Where it is to run.
        accepted_at_s: Wall clock time of acceptance.
    """

    job_id: JobId
    organisation: OrganisationName
    caller: str
    kind: str
    shape: GangShape = field(default_factory=GangShape)
    urgency: Urgency | Literal[""] = "normal"
    declared_run_s: float = 60.0
    start_within_s: float = 0.0
    idempotent: bool = True
    checkpointable: bool = False
    idempotency_key: str = ""
    fingerprint: str = ""
    payload: str = ""
    availability_zone: ZoneName = ""
    accepted_at_s: float = 0.0

    @property
    def stoppable(self) -> bool:
        """Whether the job may be stopped to reclaim its cells."""
        return self.idempotent or self.checkpointable


@dataclass(frozen=True)
class JobStatus:
    """What is known of a job.

    Attributes:
        job_id: The job.
        organisation: Its organisation.
        phase: Where it stands.
        outcome: Set once it is finished, empty before.
        detail: Explanation of the outcome.
        results: The members' answers in member order, when completed.
        availability_zone: Where it runs.
        durability: Where its acceptance is kept.
        accepted_at_s: Wall clock time of acceptance.
        started_at_s: Wall clock time of the latest start; 0 before.
    """

    job_id: JobId
    organisation: OrganisationName = ""
    phase: str = JobPhase.QUEUED.value
    outcome: str = ""
    detail: str = ""
    results: list[str] = field(default_factory=list)
    availability_zone: ZoneName = ""
    durability: str = "log"
    accepted_at_s: float = 0.0
    started_at_s: float = 0.0
