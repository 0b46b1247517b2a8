"""Stand-in for the platform's list of live and leaving instances.

``GET /views/V/instances`` answers ``{"instances": [...]}`` as they were
``lag_s`` ago; each view may replace single fields of single instances, so
that each reader can be given its own addresses. ``POST /instances`` adds or
changes one by its ``name``; ``DELETE /instances/N`` removes one.
``POST /faults`` sets ``lag_s``, ``down`` or ``silent``.
"""

from __future__ import annotations

import argparse
import asyncio
import collections
import time
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.server import run_server

Entry = dict[str, Any]


class InstanceList:
    """The service behind the HTTP routes."""

    def __init__(self) -> None:
        self._faults: dict[str, Any] = {}
        self._entries: dict[str, Entry] = {}
        self._views: dict[str, dict[str, Entry]] = {}
        self._past: collections.deque[tuple[float, dict[str, Entry]]] = (
            collections.deque([(0.0, {})], maxlen=1_000)
        )

    def _remember(self) -> None:
        self._past.append((time.monotonic(), dict(self._entries)))

    async def read(self, request: Request) -> Response:
        """Answers the list as a view sees it."""
        while self._faults.get("silent"):
            await asyncio.sleep(0.05)
        if self._faults.get("down"):
            return JSONResponse({"code": "down"}, 503)
        shown_s = time.monotonic() - self._faults.get("lag_s", 0.0)
        past = [seen for made_s, seen in self._past if made_s <= shown_s]
        view = self._views.get(request.path_params["view"], {})
        entries = [
            {**entry, **view.get(name, {})} for name, entry in past[-1].items()
        ]
        return JSONResponse({"instances": entries})

    async def put(self, request: Request) -> Response:
        """Adds or changes an instance."""
        entry = await request.json()
        known = self._entries.get(entry["name"], {})
        self._entries[entry["name"]] = {**known, **entry}
        self._remember()
        return JSONResponse({})

    async def remove(self, request: Request) -> Response:
        """Removes an instance."""
        self._entries.pop(request.path_params["name"], None)
        self._remember()
        return JSONResponse({})

    async def set_view(self, request: Request) -> Response:
        """Sets what a view sees in place of the listed fields."""
        self._views[request.path_params["view"]] = await request.json()
        return JSONResponse({})

    async def set_faults(self, request: Request) -> Response:
        """Switches faults on or off."""
        self._faults.update(await request.json())
        return JSONResponse(self._faults)


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    service = InstanceList()
    application = Starlette(
        routes=[
            Route("/views/{view}/instances", service.read),
            Route("/views/{view}", service.set_view, methods=["POST"]),
            Route("/instances", service.put, methods=["POST"]),
            Route("/instances/{name}", service.remove, methods=["DELETE"]),
            Route("/faults", service.set_faults, methods=["POST"]),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
