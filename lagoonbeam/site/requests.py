"""Job submissions as callers of the product's own API send them."""

from __future__ import annotations

import hashlib
import secrets
import time
from collections.abc import Iterable
from typing import Annotated, Literal

import msgspec

from lagoonbeam.core.jobs import URGENCY_RANKS
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.core.request_types import (
    Accelerators,
    BoundedDuration,
    Cores,
    MemoryBytes,
    Name,
    Payload,
    RunDuration,
    ShapeRequest,
    check_idempotency_key,
)
from lagoonbeam.errors import InvalidRequestError, MalformedDataError
from lagoonbeam.site.model import JobRequest, QueuePolicy, Step
from lagoonbeam.types import OrganisationName, Urgency

MAX_STEPS = 64
MAX_TASKS_PER_STEP = 4_096
MAX_OCCURRENCES = 10_000
MAX_TASKS_PER_JOB = 20_000
"""Most tasks of all occurrences of a job; every instance holds them all."""
JOB_ID_HEX_DIGITS = 16
"""Length of a job identifier, as the platform's workers expect."""
BYTES_PER_MB = 1_000_000

Label = Annotated[str, msgspec.Meta(max_length=64)]


class StepRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A set of identical tasks.

    Attributes:
        tasks: Number of tasks.
        accelerators: Accelerators per task.
        cores: Processor cores per task.
        memory_bytes: Memory per task.
        declared_run_s: Expected run time of a task.
        after: Indices of earlier steps that must be done first.
        gang: Whether the tasks must run at the same time.
        adjacency: Proximity of the tasks to each other; ``none`` or ``rack``.
        checkpointable: Whether a stopped task can resume where it stopped.
        label: Label that a worker must have; empty for none.
        near_rack: Rack that holds the tasks' data; empty for none.
        max_per_worker: Largest number of the tasks on one worker; 0 for no
            limit.
        speculative: Whether copies of a task may run concurrently.
        long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; tasks of one image behave alike.
        target_latency_ms: Tail latency that a serving task must stay below.
        filling: Whether the tasks use only capacity that others leave idle.
        may_miss: Tasks that the system may keep stopped at the same time.
    """

    tasks: Annotated[int, msgspec.Meta(ge=1, le=MAX_TASKS_PER_STEP)] = 1
    accelerators: Accelerators = 1
    cores: Cores = 1.0
    memory_bytes: MemoryBytes = 0
    declared_run_s: RunDuration = 60.0
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
    """Due times of a repeated job.

    Attributes:
        count: Number of occurrences.
        first_due_s: Due time of the first occurrence, in Unix seconds.
        interval_s: Time between the due times of two occurrences.
    """

    count: Annotated[int, msgspec.Meta(ge=1, le=MAX_OCCURRENCES)]
    first_due_s: Annotated[float, msgspec.Meta(ge=0)] = 0.0
    interval_s: BoundedDuration = 0.0


class Submission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as submitted: a list of steps, or the shape of a single gang.

    Attributes:
        caller: Name of the caller within its organisation.
        kind: Kind of work; the name of a queue.
        steps: The steps of the job.
        shape: A single gang, in place of steps.
        urgency: Must match the priority of the kind, or be empty.
        declared_run_s: Expected run time of the gang.
        start_within_s: Time after which the job is dropped if it has not
            started; 0 for no limit.
        idempotent: Whether a task may run again after a failure.
        checkpointable: Whether a stopped gang can resume where it stopped.
        payload: Opaque text passed to every task.
        availability_zone: Must be empty; jobs are placed over all zones of the
            site.
        repeat: Due times; if missing, the job runs once, immediately.
    """

    caller: Name
    kind: Name
    steps: Annotated[
        tuple[StepRequest, ...], msgspec.Meta(max_length=MAX_STEPS)
    ] = ()
    shape: ShapeRequest | None = None
    urgency: Urgency | Literal[""] = ""
    declared_run_s: RunDuration = 60.0
    start_within_s: BoundedDuration = 0.0
    idempotent: bool = False
    checkpointable: bool = False
    payload: Payload = ""
    availability_zone: str = ""
    repeat: RepeatRequest | None = None


def decode_submission(body: bytes) -> Submission:
    """Decodes and validates a submission.

    Raises:
        InvalidRequestError: If the body is not a valid submission.
    """
    try:
        submission = decode_json(body, Submission)
    except MalformedDataError as error:
        raise InvalidRequestError(str(error)) from error
    if submission.steps and submission.shape is not None:
        raise InvalidRequestError("got both steps and a shape, expected one")
    if submission.availability_zone:
        raise InvalidRequestError(
            f"got availability_zone {submission.availability_zone!r}, expected"
            " none: jobs are placed over all zones of the site"
        )
    for step_index, step in enumerate(submission.steps):
        later_steps = [
            dependency for dependency in step.after if dependency >= step_index
        ]
        if later_steps:
            raise InvalidRequestError(
                f"step {step_index}: got after {later_steps}, expected earlier"
                " steps"
            )
    return submission


def check_task_count(tasks_per_step: Iterable[int], repeat_count: int) -> None:
    """Checks that a job is small enough to be held in memory.

    Raises:
        InvalidRequestError: If it has more than `MAX_TASKS_PER_JOB` tasks.
    """
    task_count = sum(tasks_per_step) * max(1, repeat_count)
    if task_count > MAX_TASKS_PER_JOB:
        raise InvalidRequestError(
            f"got a job of {task_count} tasks, expected at most"
            f" {MAX_TASKS_PER_JOB}"
        )


def make_job_request(
    submission: Submission,
    *,
    queue: QueuePolicy,
    organisation: OrganisationName,
    idempotency_key: str,
) -> JobRequest:
    """Returns the job request that a submission describes.

    Args:
        submission: The decoded submission.
        queue: The queue of its kind.
        organisation: The caller's organisation.
        idempotency_key: The caller's key, from which the job identifier is
            derived; empty for none.

    Raises:
        InvalidRequestError: If the key is too long, the urgency does not match
            the queue, the shape is not supported, or there are too many tasks.
    """
    check_idempotency_key(idempotency_key)
    requested_priority = URGENCY_RANKS.get(submission.urgency, queue.priority)
    if requested_priority != queue.priority:
        raise InvalidRequestError(
            f"got urgency {submission.urgency!r} for kind {queue.name!r},"
            f" which has priority {queue.priority}"
        )
    repeat = submission.repeat or RepeatRequest(1)
    check_task_count((step.tasks for step in submission.steps), repeat.count)
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
    """Returns the identifier of a new job.

    With an idempotency key, it is derived from the organisation and the key;
    otherwise it is random.
    """
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
