"""Stand-in for the platform's list of live and leaving instances.

``GET /views/V/instances`` answers ``{"instances": [...]}`` as the list was
``lag_s`` seconds ago. Each view may override fields of individual instances,
so that each reader can be given its own addresses. ``POST /views/V`` sets
these overrides. ``POST /instances`` adds or updates an instance by its
``name``; ``DELETE /instances/N`` removes one. ``POST /faults`` sets
``lag_s``, ``down`` (answers 503) or ``silent`` (does not answer).
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

InstanceEntry = dict[str, Any]


class InstanceListService:
    """Keeps the list, its recent versions and the overrides of each view."""

    def __init__(self) -> None:
        self._faults: dict[str, Any] = {}
        self._instances: dict[str, InstanceEntry] = {}
        self._view_overrides: dict[str, dict[str, InstanceEntry]] = {}
        self._snapshots: collections.deque[
            tuple[float, dict[str, InstanceEntry]]
        ] = collections.deque([(0.0, {})], maxlen=1_000)

    def _save_snapshot(self) -> None:
        self._snapshots.append((time.monotonic(), dict(self._instances)))

    async def list_instances(self, request: Request) -> Response:
        """Returns the list as of ``lag_s`` ago with the view's overrides."""
        while self._faults.get("silent"):
            await asyncio.sleep(0.05)
        if self._faults.get("down"):
            return JSONResponse({"code": "down"}, 503)
        as_of_s = time.monotonic() - self._faults.get("lag_s", 0.0)
        visible_snapshots = [
            snapshot
            for saved_at_s, snapshot in self._snapshots
            if saved_at_s <= as_of_s
        ]
        overrides = self._view_overrides.get(request.path_params["view"], {})
        listed_instances = [
            {**instance, **overrides.get(name, {})}
            for name, instance in visible_snapshots[-1].items()
        ]
        return JSONResponse({"instances": listed_instances})

    async def put_instance(self, request: Request) -> Response:
        """Adds an instance or updates the given fields of a known one."""
        instance = await request.json()
        previous = self._instances.get(instance["name"], {})
        self._instances[instance["name"]] = {**previous, **instance}
        self._save_snapshot()
        return JSONResponse({})

    async def remove_instance(self, request: Request) -> Response:
        """Removes an instance; an unknown name is ignored."""
        self._instances.pop(request.path_params["name"], None)
        self._save_snapshot()
        return JSONResponse({})

    async def set_view_overrides(self, request: Request) -> Response:
        """Replaces the field overrides of a view, by instance name."""
        self._view_overrides[request.path_params["view"]] = await request.json()
        return JSONResponse({})

    async def set_faults(self, request: Request) -> Response:
        """Sets the given faults and returns all of them."""
        self._faults.update(await request.json())
        return JSONResponse(self._faults)


def main() -> None:
    """Starts the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    service = InstanceListService()
    application = Starlette(
        routes=[
            Route("/views/{view}/instances", service.list_instances),
            Route(
                "/views/{view}", service.set_view_overrides, methods=["POST"]
            ),
            Route("/instances", service.put_instance, methods=["POST"]),
            Route(
                "/instances/{name}", service.remove_instance, methods=["DELETE"]
            ),
            Route("/faults", service.set_faults, methods=["POST"]),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
