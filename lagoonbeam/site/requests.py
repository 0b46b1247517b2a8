"""Jobs of steps as callers of the product's own interface send them."""

from __future__ import annotations

import hashlib
import secrets
import time
from typing import Annotated, Literal

import msgspec

from lagoonbeam.core.jobs import URGENCY_RANKS
from lagoonbeam.core.requests import (
    Accelerators,
    Cores,
    LongTime,
    MemoryBytes,
    Name,
    Payload,
    RunTime,
    ShapeRequest,
    check_key,
)
from lagoonbeam.errors import InvalidRequestError
from lagoonbeam.site.model import JobRequest, QueuePolicy, Step
from lagoonbeam.types import OrganisationName, Urgency

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 4_096
MAX_OCCURRENCES = 10_000
JOB_ID_HEX_DIGITS = 16
"""Hexadecimal digits of an identifier, as the platform's workers expect."""
BYTES_PER_MB = 1_000_000

Label = Annotated[str, msgspec.Meta(max_length=64)]


class StepRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of equal tasks.

    Attributes:
        tasks: How many.
        accelerators: Accelerators of each.
        cores: Processor cores of each.
        memory_bytes: Memory of each.
        declared_run_s: Expected run time of each.
        after: Numbers of earlier steps that must be done first.
        gang: Whether the tasks run only together.
        adjacency: How close they must be placed; ``none`` or ``rack``.
        checkpointable: Whether they can be stopped and go on later.
        label: Label that a worker must have; empty for none.
        near_rack: Rack that holds their data; empty for none.
        max_per_worker: Most of them on one worker; 0 for no bound.
        speculative: Whether copies may run side by side.
        long_running: Whether they run until the job is cancelled.
        image: What they run; equal images behave alike.
        target_latency_ms: Tail latency that a serving task must stay below.
        filling: Whether they use only what others leave.
        may_miss: Tasks that may be away at once by the system's doing.
    """

    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)] = 1
    accelerators: Accelerators = 1
    cores: Cores = 1.0
    memory_bytes: MemoryBytes = 0
    declared_run_s: RunTime = 60.0
    after: tuple[Annotated[int, msgspec.Meta(ge=0)], ...] = ()
    gang: bool = False
    adjacency: Literal["none", "rack"] = "none"
    checkpointable: bool = False
    label: Label = ""
    near_rack: Label = ""
    max_per_worker: Annotated[int, msgspec.Meta(ge=0)] = 0
    speculative: bool = False
    long_running: bool = False
    image: Label = ""
    target_latency_ms: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    filling: bool = False
    may_miss: Annotated[int, msgspec.Meta(ge=0)] = 0


class RepeatRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Due times of a job that runs several times.

    Attributes:
        count: How often.
        first_due_s: Wall clock time of the first, in Unix seconds.
        interval_s: Seconds between two.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_OCCURRENCES)]
    first_due_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    interval_s: LongTime = 0.0


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its caller declares it: steps, or the shape of one gang.

    Attributes:
        caller: Who asks, inside the organisation.
        kind: Kind of work; the name of a queue.
        steps: What it consists of.
        shape: One gang instead of steps.
        urgency: How soon it is needed; must be that of its kind, or empty.
        declared_run_s: Expected run time of the gang.
        start_within_s: Drop the job when not started by then; 0 for no bound.
        idempotent: Whether a task may run again after a failure.
        checkpointable: Whether the gang can be stopped and go on later.
        payload: Opaque text handed to every task.
        availability_zone: Must be empty: a site places over all its zones.
        repeat: Due times; once and at once if missing.
    """

    caller: Name
    kind: Name
    steps: Annotated[
        tuple[StepRequest, ...], msgspec.Meta(max_length=MAX_STEPS)
    ] = ()
    shape: ShapeRequest | None = None
    urgency: Urgency | Literal[""] = ""
    declared_run_s: RunTime = 60.0
    start_within_s: LongTime = 0.0
    idempotent: bool = False
    checkpointable: bool = False
    payload: Payload = ""
    availability_zone: str = ""
    repeat: RepeatRequest | None = None


def decode_submission(body: bytes) -> Submission:
    """Reads a job from a request body.

    Raises:
        InvalidRequestError: If it describes none.
    """
    try:
        submission = msgspec.json.decode(body, type=Submission)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidRequestError(str(error)) from error
    if submission.steps and submission.shape is not None:
        raise InvalidRequestError("got both steps and a shape, expected one")
    if submission.availability_zone:
        raise InvalidRequestError(
            f"got availability_zone {submission.availability_zone!r}, expected"
            " none: jobs are placed over all zones of the site"
        )
    for number, step in enumerate(submission.steps):
        later_steps = [n for n in step.after if n >= number]
        if later_steps:
            raise InvalidRequestError(
                f"step {number}: got after {later_steps}, expected numbers of"
                " earlier steps"
            )
    return submission


def make_job_request(
    submission: Submission,
    *,
    queue: QueuePolicy,
    organisation: OrganisationName,
    idempotency_key: str,
) -> JobRequest:
    """Returns the job that a submission describes.

    Args:
        submission: What the caller sent.
        queue: The queue of its kind.
        organisation: The caller's organisation.
        idempotency_key: The caller's key, from which the job identifier is
            derived; empty for none.

    Raises:
        InvalidRequestError: If the queue does not fit it.
    """
    check_key(idempotency_key)
    requested_priority = URGENCY_RANKS.get(submission.urgency, queue.priority)
    if requested_priority != queue.priority:
        raise InvalidRequestError(
            f"got urgency {submission.urgency!r} for kind {queue.name!r},"
            f" which has priority {queue.priority}"
        )
    repeat = submission.repeat or RepeatRequest(1)
    return JobRequest(
        job_id=make_job_id(organisation, idempotency_key),
        queue=queue,
        organisation=organisation,
        payload=submission.payload,
        steps=tuple(map(_make_step, submission.steps))
        or (_make_gang_step(submission),),
        accepted_at_s=time.time(),
        repeat_count=repeat.count if submission.repeat else 0,
        first_due_s=repeat.first_due_s,
        interval_s=repeat.interval_s,
        caller=submission.caller,
        runs_once=not submission.idempotent,
        start_within_s=submission.start_within_s,
    )


def make_job_id(organisation: OrganisationName, idempotency_key: str) -> str:
    """Returns a job's identifier; with a key, always the same one."""
    if not idempotency_key:
        return secrets.token_hex(JOB_ID_HEX_DIGITS // 2)
    digest = hashlib.sha256(f"{organisation}\0{idempotency_key}".encode())
    return digest.hexdigest()[:JOB_ID_HEX_DIGITS]


def _make_step(request: StepRequest) -> Step:
    return Step(
        count=request.tasks,
        cpu_millis=round(request.cores * 1000),
        memory_mb=-(-request.memory_bytes // BYTES_PER_MB),
        accelerators=request.accelerators,
        estimated_s=request.declared_run_s,
        after=request.after,
        is_checkpointing=request.checkpointable,
        is_gang=request.gang,
        is_one_rack=request.adjacency == "rack",
        required_label=request.label,
        data_rack=request.near_rack,
        max_per_worker=request.max_per_worker,
        is_speculative=request.speculative,
        is_long_running=request.long_running,
        image=request.image,
        target_latency_ms=request.target_latency_ms,
        is_filling=request.filling,
        may_miss=request.may_miss,
    )


def _make_gang_step(submission: Submission) -> Step:
    shape = submission.shape or ShapeRequest()
    if shape.adjacency == "worker":
        raise InvalidRequestError(
            "got adjacency 'worker', expected 'none' or 'rack': a gang of one"
            " worker is one task with more accelerators"
        )
    return Step(
        count=shape.members,
        cpu_millis=round(shape.cores * 1000),
        memory_mb=-(-shape.memory_bytes // BYTES_PER_MB),
        accelerators=shape.accelerators,
        estimated_s=submission.declared_run_s,
        is_checkpointing=submission.checkpointable,
        is_gang=shape.members > 1,
        is_one_rack=shape.adjacency == "rack",
    )
