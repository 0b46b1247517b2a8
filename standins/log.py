"""Stand-in for the platform's append-only log service.

``POST /streams/S/entries`` ``{"data": text}`` answers ``{"offset": n}``.
``GET /streams/S/entries?from=n&limit=n&wait_s=n`` answers
``{"entries": [{"offset", "data"}], "oldest_offset", "next_offset"}``, or 410
with ``oldest_offset`` if ``from`` is no longer kept. ``POST /faults`` sets
any of the fields of `Faults`; ``GET /counters`` tells what was asked.
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
class Faults:
    """What is wrong now: outage, silence, delay, lost answers, retention."""

    down: bool = False
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    keep_entries: int = 1_000_000


@dataclass
class Stream:
    """One stream's kept entries."""

    oldest: int = 0
    entries: collections.deque[str] = field(default_factory=collections.deque)
    grown: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def next_offset(self) -> int:
        """Offset that the next entry gets."""
        return self.oldest + len(self.entries)


class LogService:
    """The service behind the HTTP routes."""

    def __init__(self, seed: int):
        self.faults = Faults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._streams: dict[str, Stream] = collections.defaultdict(Stream)

    async def _meet_faults(self) -> Response | None:
        while self.faults.silent:
            await asyncio.sleep(0.05)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.down:
            return JSONResponse({"code": "down"}, 503)
        return None

    async def append(self, request: Request) -> Response:
        """Appends one entry."""
        body = await request.json()
        self.counters["appends"] += 1
        if (fault := await self._meet_faults()) is not None:
            return fault
        stream = self._streams[request.path_params["stream"]]
        offset = stream.next_offset
        stream.entries.append(body["data"])
        self.counters["appended_bytes"] += len(body["data"])
        while len(stream.entries) > self.faults.keep_entries:
            stream.entries.popleft()
            stream.oldest += 1
        stream.grown.set()
        stream.grown = asyncio.Event()
        if self._random.random() < self.faults.lose_answers:
            return JSONResponse({"code": "lost"}, 503)
        return JSONResponse({"offset": offset})

    async def read(self, request: Request) -> Response:
        """Reads entries, waiting for the first if there is none."""
        self.counters["reads"] += 1
        if (fault := await self._meet_faults()) is not None:
            return fault
        stream = self._streams[request.path_params["stream"]]
        query = request.query_params
        first = int(query.get("from", "0"))
        limit = int(query.get("limit", "500"))
        if first >= stream.next_offset and float(query.get("wait_s", "0")):
            try:
                wait_s = float(query["wait_s"])
                await asyncio.wait_for(stream.grown.wait(), wait_s)
            except TimeoutError:
                pass
            if (fault := await self._meet_faults()) is not None:
                return fault
        if first < stream.oldest:
            return JSONResponse({"oldest_offset": stream.oldest}, 410)
        start = first - stream.oldest
        count = max(0, min(limit, len(stream.entries) - start))
        entries = [
            {"offset": first + index, "data": stream.entries[start + index]}
            for index in range(count)
        ]
        return JSONResponse(
            {
                "entries": entries,
                "oldest_offset": stream.oldest,
                "next_offset": stream.next_offset,
            }
        )

    async def set_faults(self, request: Request) -> Response:
        """Switches faults on or off."""
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return JSONResponse(dataclasses.asdict(self.faults))

    async def get_counters(self, request: Request) -> Response:
        """Tells what was asked."""
        return JSONResponse(dict(self.counters))


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    service = LogService(arguments.seed)
    entries = "/streams/{stream}/entries"
    application = Starlette(
        routes=[
            Route(entries, service.append, methods=["POST"]),
            Route(entries, service.read, methods=["GET"]),
            Route("/faults", service.set_faults, methods=["POST"]),
            Route("/counters", service.get_counters),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
