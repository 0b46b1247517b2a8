"""Error responses of the entry as problem documents (RFC 9457)."""

from __future__ import annotations

from starlette.responses import Response

from lagoonbeam.core import http_client
from lagoonbeam.core.problem_details import (
    PROBLEM_MEDIA_TYPE,
    build_problem_response,
)
from lagoonbeam.errors import (
    BodyTooLargeError,
    InvalidRequestError,
    LagoonbeamError,
    UnavailableError,
)

_ERRORS_BY_LIMIT_STATUS: dict[int, LagoonbeamError] = {
    408: InvalidRequestError("the request did not arrive in time"),
    413: BodyTooLargeError("the request body is larger than the limit"),
    431: InvalidRequestError("the request head is larger than the limit"),
    503: UnavailableError(
        "the entry has no room for the request, which was not read whole",
        retry_after_s=1.0,
    ),
}


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


def make_refusal(status: int) -> http_client.Response:
    """Returns the response to a client at a limit of the server.

    Args:
        status: HTTP status of the limit.
    """
    return make_server_response(
        _ERRORS_BY_LIMIT_STATUS.get(
            status, InvalidRequestError("the request is malformed")
        )
    )


def make_server_response(error: LagoonbeamError) -> http_client.Response:
    """Returns the response to a request that the application does not see."""
    problem_response = build_problem_response(error)
    headers = {"Content-Type": PROBLEM_MEDIA_TYPE, **problem_response.headers}
    return http_client.Response(
        problem_response.status, problem_response.body, headers
    )
