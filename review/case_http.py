"""A small HTTP/1.1 server for the stand-ins of the third review's cases."""

from __future__ import annotations

import asyncio
import json
from collections.abc import Awaitable, Callable
from dataclasses import dataclass, field
from typing import Any
from urllib.parse import parse_qsl

Answer = tuple[int, bytes]


@dataclass
class Call:
    """A request that a stand-in has received.

    Attributes:
        host: Address that was called.
        method: HTTP method.
        path: Path without the query.
        query: Fields of the query.
        headers: Header fields by lower-case name.
        body: The body.
    """

    host: str
    method: str
    path: str
    query: dict[str, str]
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""

    def read_json(self) -> Any:
        """Returns the decoded body."""
        return json.loads(self.body or b"{}")


Handler = Callable[[Call], Awaitable[Answer]]


def answer_json(value: Any, status: int = 200) -> Answer:
    """Returns an answer with a JSON body."""
    return status, json.dumps(value).encode()


async def _read_call(reader: asyncio.StreamReader, host: str) -> Call | None:
    head = await reader.readuntil(b"\r\n\r\n")
    first_line, *lines = head.decode("latin-1").split("\r\n")
    method, target, _ = first_line.split(" ", 2)
    headers = {}
    for line in filter(None, lines):
        name, _, value = line.partition(":")
        headers[name.strip().lower()] = value.strip()
    body = await reader.readexactly(int(headers.get("content-length", 0)))
    path, _, query = target.partition("?")
    fields = dict(parse_qsl(query, keep_blank_values=True))
    return Call(host, method, path, fields, headers, body)


async def _serve_channel(
    handler: Handler,
    reader: asyncio.StreamReader,
    writer: asyncio.StreamWriter,
) -> None:
    host = writer.get_extra_info("sockname")[0]
    try:
        while (call := await _read_call(reader, host)) is not None:
            status, body = await handler(call)
            head = (
                f"HTTP/1.1 {status} Status\r\n"
                f"Content-Type: application/json\r\n"
                f"Content-Length: {len(body)}\r\n\r\n"
            )
            writer.write(head.encode() + body)
            await writer.drain()
    except (asyncio.IncompleteReadError, OSError):
        pass
    finally:
        writer.close()


async def serve(handler: Handler, hosts: list[str], port: int) -> None:
    """Serves on one port of several loopback addresses until cancelled."""

    async def handle(
        reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        await _serve_channel(handler, reader, writer)

    for host in hosts:
        if not host.startswith("127."):
            raise ValueError(f"{host} is no loopback address")
        await asyncio.start_server(handle, host, port, limit=1 << 22)
    await asyncio.Event().wait()
