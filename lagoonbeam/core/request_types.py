"""Validated field types that all kinds of job requests share."""

from __future__ import annotations

from typing import Annotated

import msgspec

from lagoonbeam.core.jobs import MAX_GANG_MEMBERS
from lagoonbeam.errors import InvalidRequestError
from lagoonbeam.types import Adjacency

MAX_IDEMPOTENCY_KEY_CHARACTERS = 255
MAX_PAYLOAD_CHARACTERS = 65_536
MAX_DURATION_S = 31_536_000
"""Longest duration that a request may contain: one year."""

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Payload = Annotated[str, msgspec.Meta(max_length=MAX_PAYLOAD_CHARACTERS)]
RunDuration = Annotated[float, msgspec.Meta(gt=0, le=MAX_DURATION_S)]
BoundedDuration = Annotated[float, msgspec.Meta(ge=0, le=MAX_DURATION_S)]
Accelerators = Annotated[int, msgspec.Meta(ge=0, le=1_024)]
Cores = Annotated[float, msgspec.Meta(ge=0, le=1_000_000)]
MemoryBytes = Annotated[int, msgspec.Meta(ge=0, le=1 << 50)]


class ShapeRequest(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """The shape of a gang as requested; see `GangShape`."""

    members: Annotated[int, msgspec.Meta(ge=1, le=MAX_GANG_MEMBERS)] = 1
    accelerators: Accelerators = 1
    cores: Cores = 1.0
    memory_bytes: MemoryBytes = 0
    adjacency: Adjacency = "none"


def check_idempotency_key(key: str) -> None:
    """Checks an idempotency key.

    Raises:
        InvalidRequestError: If it is too long.
    """
    if len(key) > MAX_IDEMPOTENCY_KEY_CHARACTERS:
        raise InvalidRequestError(
            f"got an Idempotency-Key of {len(key)} characters, expected at"
            f" most {MAX_IDEMPOTENCY_KEY_CHARACTERS}"
        )
