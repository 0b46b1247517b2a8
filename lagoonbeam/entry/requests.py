"""Model of the jobs that callers submit, and its validation."""

from __future__ import annotations

import hashlib
import uuid
from typing import Annotated, Literal

import msgspec

from lagoonbeam.core.jobs import GangShape, Job
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.core.request_types import (
    BoundedDuration,
    Name,
    Payload,
    RunDuration,
    ShapeRequest,
    check_idempotency_key,
)
from lagoonbeam.errors import InvalidRequestError, MalformedDataError
from lagoonbeam.types import OrganisationName, Urgency


class JobSubmission(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Body of a request that submits a job; see `Job`.

    Attributes:
        caller: Caller within the organisation.
        kind: Kind of work.
        shape: Number of members and resources of each.
        urgency: Urgency class; the kind's default if empty.
        declared_run_s: Expected run time.
        start_within_s: Time after which a job that has not started is dropped;
            0 for no limit.
        idempotent: Whether it may run again after a failure.
        checkpointable: Whether it can be stopped and resumed later.
        payload: Opaque text passed to every member.
        availability_zone: Zone in which it must run; empty for any.
    """

    caller: Name
    kind: Name
    shape: ShapeRequest = ShapeRequest()
    urgency: Urgency | Literal[""] = ""
    declared_run_s: RunDuration = 60.0
    start_within_s: BoundedDuration = 0.0
    idempotent: bool = False
    checkpointable: bool = False
    payload: Payload = ""
    availability_zone: Annotated[str, msgspec.Meta(max_length=64)] = ""


def decode_job(body: bytes, *, organisation: OrganisationName, key: str) -> Job:
    """Decodes a job from a request body.

    Args:
        body: JSON text.
        organisation: The caller's organisation.
        key: Idempotency key of the request; empty for none.

    Returns:
        The job, with a new identifier.

    Raises:
        InvalidRequestError: If the body or the key is not valid.
    """
    check_idempotency_key(key)
    try:
        submission = decode_json(body, JobSubmission)
    except MalformedDataError as error:
        raise InvalidRequestError(str(error)) from error
    shape = GangShape(**msgspec.structs.asdict(submission.shape))
    submitted_fields = {**msgspec.structs.asdict(submission), "shape": shape}
    return Job(
        job_id=uuid.uuid4().hex,
        organisation=organisation,
        idempotency_key=key,
        fingerprint=_make_fingerprint(submission),
        **submitted_fields,
    )


def _make_fingerprint(submission: JobSubmission) -> str:
    canonical_json = msgspec.json.encode(submission, order="deterministic")
    return hashlib.sha256(canonical_json).hexdigest()[:32]
