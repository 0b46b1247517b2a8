"""Problem documents as the entry's responses."""

from __future__ import annotations

from starlette.responses import Response

from lagoonbeam.core.problem_details import (
    PROBLEM_MEDIA_TYPE,
    build_problem_response,
)
from lagoonbeam.errors import LagoonbeamError


def make_problem(error: LagoonbeamError, *, job_id: str = "") -> Response:
    """Returns the answer to a request that failed.

    Args:
        error: The failure.
        job_id: The job that the request was to submit, if any.
    """
    answer = build_problem_response(error, job_id=job_id)
    return Response(
        answer.body,
        status_code=answer.status,
        headers=answer.headers,
        media_type=PROBLEM_MEDIA_TYPE,
    )
