"""A small HTTP/1.1 server and client on loopback."""

from __future__ import annotations

import asyncio
import contextlib
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass
from typing import Any
from urllib.parse import parse_qsl, urlsplit


@dataclass
class Request:
    """A received request; `local_host` is the address that it came in on."""

    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str]
    body: bytes
    local_host: str

    def json(self) -> Any:
        """Returns the decoded JSON body."""
        return json.loads(self.body)


@dataclass
class Reply:
    """A response; the body is bytes, or is encoded as JSON."""

    status: int
    body: Any = b""


Handler = Callable[[Request], Awaitable[Reply | None]]


async def read_message(
    reader: asyncio.StreamReader,
) -> tuple[str, dict[str, str], bytes]:
    """Reads one message; returns its first line, headers and body."""
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")[:-2]
    headers = {}
    for line in lines:
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    length = int(headers.get("content-length", "0"))
    body = await reader.readexactly(length) if length else b""
    return first_line, headers, body


async def serve(host: str, port: int, handler: Handler) -> asyncio.Server:
    """Starts a server; a handler that returns None closes the connection."""

    async def accept(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        local_host = writer.get_extra_info("sockname")[0]
        with contextlib.suppress(
            OSError, asyncio.IncompleteReadError, asyncio.LimitOverrunError
        ):
            while True:
                first_line, headers, body = await read_message(reader)
                method, target, _ = first_line.split(" ")
                parts = urlsplit(target)
                request = Request(
                    method,
                    parts.path,
                    dict(parse_qsl(parts.query)),
                    headers,
                    body,
                    local_host,
                )
                reply = await handler(request)
                if reply is None:
                    break
                data = reply.body
                if not isinstance(data, bytes):
                    data = json.dumps(data).encode()
                writer.write(
                    f"HTTP/1.1 {reply.status} Status\r\n"
                    "Content-Type: application/json\r\n"
                    f"Content-Length: {len(data)}\r\n\r\n".encode()
                    + data
                )
                await writer.drain()
        writer.close()

    return await asyncio.start_server(accept, host, port)


async def call(
    host: str,
    port: int,
    method: str,
    path: str,
    *,
    headers: dict[str, str] | None = None,
    body: Any = None,
    timeout_s: float = 3.0,
) -> tuple[int, Any]:
    """Makes one call on a new connection.

    Returns:
        The status and the decoded body; status 0 if no answer came.
    """
    data = b"" if body is None else json.dumps(body).encode()
    lines = [f"{method} {path} HTTP/1.1", f"Content-Length: {len(data)}"]
    lines += [f"{name}: {value}" for name, value in (headers or {}).items()]
    writer = None
    try:
        async with asyncio.timeout(timeout_s):
            reader, writer = await asyncio.open_connection(host, port)
            writer.write("\r\n".join([*lines, "", ""]).encode() + data)
            first_line, _, answer = await read_message(reader)
    except (OSError, TimeoutError, asyncio.IncompleteReadError):
        return 0, None
    finally:
        if writer is not None:
            writer.close()
    status = int(first_line.split(" ")[1])
    try:
        return status, json.loads(answer) if answer else None
    except ValueError:
        return status, None
