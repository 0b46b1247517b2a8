"""Stand-in for the platform's append-only log service.

``POST /streams/S/entries`` ``{"data": text}`` answers ``{"offset": n}``.
``GET /streams/S/entries?from=n&limit=n&wait_s=n`` answers
``{"entries": [{"offset", "data"}], "oldest_offset", "next_offset"}``, or 410
with ``oldest_offset`` if ``from`` is no longer kept. ``POST /faults`` sets
fields of `LogFaults`; ``GET /counters`` returns the numbers of requests and
of appended bytes.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import dataclasses
import random
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.server import run_server


@dataclass
class LogFaults:
    """Faults that are injected at present.

    Attributes:
        down: Answers 503 to all requests.
        silent: Leaves requests unanswered until it is reset.
        delay_s: Delay before each answer.
        lose_answers: Fraction of appends that are stored but answered 503.
        keep_entries: Entries kept per stream; older ones are dropped.
    """

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    keep_entries: int = 1_000_000


@dataclass
class Stream:
    """Retained entries of one stream."""

    oldest_offset: int = 0
    entries: collections.deque[str] = field(default_factory=collections.deque)
    entry_appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset of the next entry to be appended."""
        return self.oldest_offset + len(self.entries)


class LogService:
    """Keeps the streams in memory and serves them over HTTP."""

    def __init__(self, seed: int):
        self.faults = LogFaults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)

    async def _apply_faults(self) -> Response | None:
        while self.faults.silent:
            await asyncio.sleep(0.05)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return JSONResponse({"code": "down"}, 503)
        return None

    async def append(self, request: Request) -> Response:
        """Appends one entry and returns its offset."""
        body = await request.json()
        self.counters["appends"] += 1
        if (error_response := await self._apply_faults()) is not None:
            return error_response
        stream = self._streams[request.path_params["stream"]]
        offset = stream.next_offset
        stream.entries.append(body["data"])
        self.counters["appended_bytes"] += len(body["data"])
        while len(stream.entries) > self.faults.keep_entries:
            stream.entries.popleft()
            stream.oldest_offset += 1
        stream.entry_appended.set()
        stream.entry_appended = asyncio.Event()
        if self._random.random() < self.faults.lose_answers:
            return JSONResponse({"code": "lost"}, 503)
        return JSONResponse({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Returns entries from an offset; waits ``wait_s`` for the first."""
        self.counters["reads"] += 1
        if (error_response := await self._apply_faults()) is not None:
            return error_response
        stream = self._streams[request.path_params["stream"]]
        query = request.query_params
        from_offset = int(query.get("from", "0"))
        limit = int(query.get("limit", "500"))
        if from_offset >= stream.next_offset and float(
            query.get("wait_s", "0")
        ):
            try:
                wait_s = float(query["wait_s"])
                await asyncio.wait_for(stream.entry_appended.wait(), wait_s)
            except TimeoutError:
                pass
            if (error_response := await self._apply_faults()) is not None:
                return error_response
        if from_offset < stream.oldest_offset:
            return JSONResponse({"oldest_offset": stream.oldest_offset}, 410)
        start_index = from_offset - stream.oldest_offset
        entry_count = max(0, min(limit, len(stream.entries) - start_index))
        entries = [
            {
                "offset": from_offset + offset_in_batch,
                "data": stream.entries[start_index + offset_in_batch],
            }
            for offset_in_batch in range(entry_count)
        ]
        return JSONResponse(
            {
                "entries": entries,
                "oldest_offset": stream.oldest_offset,
                "next_offset": stream.next_offset,
            }
        )

    async def set_faults(self, request: Request) -> Response:
        """Sets the given faults and returns all of them."""
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return JSONResponse(dataclasses.asdict(self.faults))

    async def get_counters(self, request: Request) -> Response:
        """Returns the numbers of requests and of appended bytes."""
        return JSONResponse(dict(self.counters))


def main() -> None:
    """Starts the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    service = LogService(arguments.seed)
    entries_path = "/streams/{stream}/entries"
    application = Starlette(
        routes=[
            Route(entries_path, service.append, methods=["POST"]),
            Route(entries_path, service.read, methods=["GET"]),
            Route("/faults", service.set_faults, methods=["POST"]),
            Route("/counters", service.get_counters),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
