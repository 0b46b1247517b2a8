"""Errors as problem documents (RFC 9457), for every HTTP interface."""

from __future__ import annotations

import math
from dataclasses import dataclass
from typing import Literal

import msgspec

from lagoonbeam.errors import (
    LagoonbeamError,
    LinkError,
    LogAppendUnconfirmedError,
    OverloadError,
    RequestError,
    UnavailableError,
)

MayHaveRun = Literal["no", "unknown"]
PROBLEM_MEDIA_TYPE = "application/problem+json"


class Problem(msgspec.Struct, omit_defaults=True):
    """A problem document.

    Attributes:
        type: Stable identifier of the failure, as a URI.
        title: Short description of the failure.
        status: HTTP status.
        code: Stable identifier of the failure.
        detail: What was received and what is expected.
        ran: ``unknown`` if the submitted job may have run, else ``no``.
        job_id: The submitted job, if `ran` is ``unknown``.
        retry_after_s: Seconds after which a retry may succeed.
    """

    type: str
    title: str
    status: int
    code: str
    detail: str
    ran: MayHaveRun = "no"
    job_id: str = ""
    retry_after_s: float = 0.0


@dataclass(frozen=True, slots=True)
class ProblemResponse:
    """The HTTP response to a failed request.

    Attributes:
        status: HTTP status.
        body: The problem document as JSON.
        headers: Header fields other than those of the content.
    """

    status: int
    body: bytes
    headers: dict[str, str]


def build_problem_response(
    error: LagoonbeamError, *, job_id: str = ""
) -> ProblemResponse:
    """Builds the response to a request that failed.

    Args:
        error: The failure.
        job_id: Job that the request was to submit; empty for none.
    """
    may_have_run = bool(job_id) and isinstance(
        error, (LinkError, LogAppendUnconfirmedError)
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
        ran="unknown" if may_have_run else "no",
        job_id=job_id if may_have_run else "",
        retry_after_s=retry_after_s,
    )
    problem_fields = msgspec.structs.asdict(problem)
    if isinstance(error, RequestError):
        del problem_fields["retry_after_s"]
    headers = {}
    if retry_after_s:
        headers["Retry-After"] = str(math.ceil(retry_after_s))
    return ProblemResponse(
        error.http_status, msgspec.json.encode(problem_fields), headers
    )
