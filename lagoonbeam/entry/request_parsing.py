"""Reading of the bodies and query parameters of requests."""

from __future__ import annotations

import itertools

import anyio
from starlette.requests import ClientDisconnect, Request

from lagoonbeam.core.settings import LimitsSettings
from lagoonbeam.errors import BodyTooLargeError, InvalidRequestError


async def read_body(request: Request, limits: LimitsSettings) -> bytes:
    """Reads a request body within the limits of size and time.

    Args:
        request: The request.
        limits: Largest body, and longest time to send it.

    Raises:
        BodyTooLargeError: If it is larger than the limit.
        InvalidRequestError: If it is late or incomplete.
    """
    chunks = []
    size_bytes = 0
    try:
        with anyio.fail_after(limits.header_timeout_s):
            async for chunk in request.stream():
                size_bytes += len(chunk)
                if size_bytes > limits.body_bytes:
                    raise BodyTooLargeError(
                        f"expected a body of at most {limits.body_bytes} bytes"
                    )
                chunks.append(chunk)
    except TimeoutError as error:
        raise InvalidRequestError(
            f"the request body took longer than {limits.header_timeout_s} s"
        ) from error
    except ClientDisconnect as error:
        raise InvalidRequestError(
            "the request body is incomplete: the connection ended"
        ) from error
    return b"".join(itertools.chain(chunks))


def parse_query_number(
    request: Request, name: str, default: float, maximum: float
) -> float:
    """Returns a query parameter as a number.

    Args:
        request: The request.
        name: Name of the parameter.
        default: Value if the request does not have the parameter.
        maximum: Largest valid value; the smallest is 0.

    Raises:
        InvalidRequestError: If it is not a number from 0 to the maximum.
    """
    text = request.query_params.get(name)
    if text is None:
        return default
    try:
        value = float(text)
    except ValueError:
        value = -1.0
    if not 0 <= value <= maximum:
        raise InvalidRequestError(
            f"{name}: got {text!r}, expected a number from 0 to {maximum:g}"
        )
    return value
