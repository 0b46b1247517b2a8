"""Errors as problem documents (RFC 9457)."""

from __future__ import annotations

import math
from typing import Literal

import msgspec
from starlette.responses import Response

from lagoonbeam.errors import (
    LagoonbeamError,
    LinkError,
    LogUncertainError,
    OverloadError,
    RequestError,
    UnavailableError,
)

Ran = Literal["no", "unknown"]


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document.

    Attributes:
        type: Stable identifier of the failure, as a URI.
        title: The failure in words.
        status: HTTP status.
        code: Stable identifier of the failure.
        detail: What was got, what was expected, and the choices.
        ran: For a submitted job: whether it can have run.
        job_id: The job concerned, if `ran` is unknown.
        retry_after_s: Seconds after which a retry may succeed.
    """

    type: str
    title: str
    status: int
    code: str
    detail: str
    ran: Ran = "no"
    job_id: str = ""
    retry_after_s: float = 0.0


def make_problem(error: LagoonbeamError, *, job_id: str = "") -> Response:
    """Returns the answer to a request that failed.

    Args:
        error: The failure.
        job_id: The job that the request was to submit, if any.
    """
    doubtful = bool(job_id) and isinstance(
        error, (LinkError, LogUncertainError)
    )
    retry_after_s = error.retry_after_s
    if isinstance(error, (OverloadError, UnavailableError)):
        retry_after_s = retry_after_s or 1.0
    problem = Problem(
        type=f"urn:lagoonbeam:problem:{error.code}",
        title=error.code.replace("_", " "),
        status=error.http_status,
        code=error.code,
        detail=error.detail,
        ran="unknown" if doubtful else "no",
        job_id=job_id if doubtful else "",
        retry_after_s=retry_after_s,
    )
    body = msgspec.structs.asdict(problem)
    if isinstance(error, RequestError):
        del body["retry_after_s"]
    headers = {}
    if retry_after_s:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return Response(
        msgspec.json.encode(body),
        status_code=error.http_status,
        headers=headers,
        media_type="application/problem+json",
    )
