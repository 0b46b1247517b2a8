"""JSON responses of the entry."""

from __future__ import annotations

from typing import Any

import msgspec
from starlette.responses import Response


def make_json_response(value: Any, status_code: int = 200) -> Response:
    """Returns a response with a value encoded as JSON.

    Args:
        value: The value.
        status_code: HTTP status of the response.
    """
    return Response(
        msgspec.json.encode(value),
        status_code=status_code,
        media_type="application/json",
    )
