"""Jobs, their resource requests and their status."""

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
"""Jobs of a lower rank start first within one organisation."""

MAX_GANG_MEMBERS = 128
DEFAULT_URGENT_START_WITHIN_S = 2.5
"""``start_within_s`` of an urgent job whose request sets none."""


class JobOutcome(enum.StrEnum):
    """The outcome of a finished job, as reported to its caller."""

    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    DID_NOT_RUN = "did_not_run"
    UNKNOWN = "unknown"


class JobPhase(enum.StrEnum):
    """The phase of a job in its life cycle."""

    QUEUED = "queued"
    LAUNCHING = "launching"
    RUNNING = "running"
    FINISHED = "finished"


@dataclass(frozen=True)
class GangShape:
    """The gang of tasks that a job runs at the same time.

    Attributes:
        members: Number of tasks in the gang.
        accelerators: Accelerators of each member.
        cores: Processor cores of each member.
        memory_bytes: Memory of each member.
        adjacency: Whether all members must be in one rack or on one worker.
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
        organisation: Organisation that it is charged to.
        caller: Who submitted it, within the organisation.
        kind: Kind of work; the rules list those that are allowed.
        shape: Resources that it requests.
        urgency: Its priority class; empty for the default of its kind.
        declared_run_s: Run time estimated by the caller.
        start_within_s: Time in the queue after which the job is dropped; 0
            for no limit.
        idempotent: Whether it may run again after a failure.
        checkpointable: Whether it can be stopped and resumed later.
        idempotency_key: Key by which a retried request is recognised; empty
            for none.
        fingerprint: Hash of the request, to detect a reused key.
        payload: Opaque text passed to every member.
        availability_zone: Zone that it is to run in.
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
        """Whether the job may be preempted to reclaim its cells."""
        return self.idempotent or self.checkpointable


@dataclass(frozen=True)
class JobStatus:
    """The status of a job, as reported to callers and peers.

    Attributes:
        job_id: The job.
        organisation: Its organisation.
        phase: A value of `JobPhase`.
        outcome: A value of `JobOutcome` once it is finished, empty before.
        detail: Explanation of the outcome.
        results: The members' results in member order, if completed.
        availability_zone: Zone that it runs in.
        durability: Where its acceptance is stored; see `Durability`.
        accepted_at_s: Wall clock time of acceptance.
        started_at_s: Wall clock time of the latest start; 0 for none.
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
