"""Error responses of the entry as problem documents (RFC 9457)."""

from __future__ import annotations

from starlette.responses import Response

from lagoonbeam.core.problem_details import (
    PROBLEM_MEDIA_TYPE,
    build_problem_response,
)
from lagoonbeam.errors import LagoonbeamError


def make_problem_response(
    error: LagoonbeamError, *, job_id: str = ""
) -> Response:
    """Returns the response to a request that failed.

    Args:
        error: The failure.
        job_id: Job that the request submits, if any.
    """
    problem_response = build_problem_response(error, job_id=job_id)
    return Response(
        problem_response.body,
        status_code=problem_response.status,
        headers=problem_response.headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )
