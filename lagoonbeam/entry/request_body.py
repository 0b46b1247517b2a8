"""Reading of request bodies within the limits of size and time."""

from __future__ import annotations

import anyio
from starlette.requests import ClientDisconnect, Request

from lagoonbeam.core.settings import LimitsSettings
from lagoonbeam.errors import BodyTooLargeError, InvalidRequestError

UNREAD_BODY_TIMEOUT_S = 0.5
"""Longest wait for the body of a request that is answered without it."""


async def read_body(request: Request, limits: LimitsSettings) -> bytes:
    """Reads a request body within the limits of size and time.

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
    request.state.is_body_read = True
    return b"".join(chunks)


async def is_body_read(request: Request, limits: LimitsSettings) -> bool:
    """Returns whether a body has been read, after reading the rest of it.

    Otherwise no further request can be read from the connection.
    """
    has_body = not {"content-length", "transfer-encoding"}.isdisjoint(
        request.headers.keys()
    )
    if has_body and not getattr(request.state, "is_body_read", False):
        try:
            with anyio.fail_after(UNREAD_BODY_TIMEOUT_S):
                await read_body(request, limits)
        except (BodyTooLargeError, InvalidRequestError, TimeoutError):
            return False
    return True
