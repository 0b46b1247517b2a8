"""Models of what callers send, validated at the border."""

from __future__ import annotations

import hashlib
import uuid
from typing import Annotated, Literal

import msgspec

from lagoonbeam.core.jobs import MAX_GANG_MEMBERS, GangShape, Job
from lagoonbeam.errors import InvalidRequestError
from lagoonbeam.types import Adjacency, OrganisationName, Urgency

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
MAX_KEY_CHARACTERS = 255
MAX_PAYLOAD_CHARACTERS = 65_536


class ShapeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The gang's shape; see `GangShape`."""

    members: Annotated[int, msgspec.Meta(ge=1, le=MAX_GANG_MEMBERS)] = 1
    accelerators: Annotated[int, msgspec.Meta(ge=0, le=1_024)] = 1
    cores: Annotated[float, msgspec.Meta(ge=0, le=1_000_000)] = 1.0
    memory_bytes: Annotated[int, msgspec.Meta(ge=0, le=1 << 50)] = 0
    adjacency: Adjacency = "none"


class JobRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A job as its caller declares it; see `Job`.

    Attributes:
        caller: Who asks, inside the organisation.
        kind: Kind of work.
        shape: What it needs.
        urgency: How soon it is needed; the kind's default if empty.
        declared_run_s: Expected run time.
        start_within_s: Drop the job when not started by then; 0 for no bound.
        idempotent: Whether it may run again after a failure.
        checkpointable: Whether it can be stopped and go on later.
        payload: Opaque text handed to every member.
        availability_zone: Where it must run; empty for anywhere.
    """

    caller: Name
    kind: Name
    shape: ShapeRequest = ShapeRequest()
    urgency: Urgency | Literal[""] = ""
    declared_run_s: Annotated[float, msgspec.Meta(gt=0, le=31_536_000)] = 60.0
    start_within_s: Annotated[float, msgspec.Meta(ge=0, le=31_536_000)] = 0.0
    idempotent: bool = False
    checkpointable: bool = False
    payload: Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)] = (
        ""
    )
    availability_zone: Annotated[str, msgspec.Meta(max_length=64)] = ""


def parse_job(body: bytes, *, organisation: OrganisationName, key: str) -> Job:
    """Reads a job from a request body.

    Args:
        body: JSON text.
        organisation: The caller's organisation.
        key: Its idempotency key; empty for none.

    Returns:
        The job, with a new identifier.

    Raises:
        InvalidRequestError: If the body or the key is not valid.
    """
    if len(key) > MAX_KEY_CHARACTERS:
        raise InvalidRequestError(
            f"got an Idempotency-Key of {len(key)} characters, expected at"
            f" most {MAX_KEY_CHARACTERS}"
        )
    try:
        request = msgspec.json.decode(body, type=JobRequest)
    except (msgspec.MsgspecError, UnicodeDecodeError) as error:
        raise InvalidRequestError(str(error)) from error
    shape = GangShape(**msgspec.structs.asdict(request.shape))
    fields = {**msgspec.structs.asdict(request), "shape": shape}
    return Job(
        job_id=uuid.uuid4().hex,
        organisation=organisation,
        idempotency_key=key,
        fingerprint=_hash_request(request),
        **fields,
    )


def _hash_request(request: JobRequest) -> str:
    content = msgspec.json.encode(request, order="deterministic")
    return hashlib.sha256(content).hexdigest()[:32]
