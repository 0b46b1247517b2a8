"""Runs an ASGI application behind `HttpServer`."""

from __future__ import annotations

from typing import Any
from urllib.parse import unquote, urlsplit

import anyio
from starlette.types import ASGIApp, Message, Scope

from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import Request

SERVER_REQUEST = "lagoonbeam.request"
"""Name of the extension of the scope that holds the server's request."""
_SERVER_HEADERS = frozenset({b"content-length", b"connection"})
"""Header fields of a response that the server writes itself."""


class AsgiHandler:
    """Answers whole requests by an ASGI application.

    Args:
        application: The application.
    """

    def __init__(self, application: ASGIApp):
        self._application = application

    async def answer(self, request: Request) -> Response:
        """Returns the application's response to a request."""
        exchange = _Exchange(request.body)
        scope = _make_scope(request)
        await self._application(scope, exchange.receive, exchange.send)
        return exchange.response


class _Exchange:
    """The messages of one request and its response."""

    def __init__(self, body: bytes):
        self._body: bytes | None = body
        self.response = Response(500)

    async def receive(self) -> Message:
        if self._body is None:
            # The server does not report clients that have gone.
            await anyio.sleep_forever()
        body, self._body = self._body, None
        return {"type": "http.request", "body": body, "more_body": False}

    async def send(self, message: Message) -> None:
        if message["type"] == "http.response.start":
            self.response.status = message["status"]
            self.response.headers = {
                name.decode("latin-1").title(): value.decode("latin-1")
                for name, value in message["headers"]
                if name.lower() not in _SERVER_HEADERS
            }
        else:
            self.response.body += message.get("body", b"")


def _make_scope(request: Request) -> Scope:
    path, _, query = request.target.partition("?")
    if not path.startswith("/"):
        path = urlsplit(path).path or "/"
    headers: list[tuple[bytes, bytes]] = [
        (name.encode("latin-1"), value.encode("latin-1"))
        for name, value in request.headers.items()
    ]
    scope: dict[str, Any] = {
        "type": "http",
        "asgi": {"version": "3.0", "spec_version": "2.3"},
        "http_version": "1.1",
        "method": request.method,
        "scheme": "http",
        "path": unquote(path),
        "raw_path": path.encode("latin-1"),
        "query_string": query.encode("latin-1"),
        "root_path": "",
        "headers": headers,
        "extensions": {SERVER_REQUEST: request},
    }
    return scope
