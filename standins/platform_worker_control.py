"""Commands by which a test controls the workers' stand-in."""

from __future__ import annotations

import dataclasses
from typing import TYPE_CHECKING

import httpx
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.worker_link import LinkFaults

if TYPE_CHECKING:
    from standins.platform_worker import WorkerService
    from standins.platform_worker_model import Worker


class WorkerControl:
    """Handlers of the commands, each for the worker that is called.

    Args:
        service: The workers.
    """

    def __init__(self, service: WorkerService):
        self._service = service

    def routes(self) -> list[Route]:
        """Returns the HTTP routes."""
        commands = {
            "faults": self.set_faults,
            "link": self.set_link_faults,
            "crash": self.crash,
            "off": self.power_off,
            "on": self.power_on,
            "replay": self.replay_entry,
        }
        return [
            Route("/standin/history", self.get_history),
            *(
                Route(f"/standin/{name}", handler, methods=["POST"])
                for name, handler in commands.items()
            ),
        ]

    async def get_history(self, request: Request) -> Response:
        """Returns the events of all runs of all workers."""
        return JSONResponse(self._service.history)

    async def set_faults(self, request: Request) -> Response:
        """Sets the given faults of the called worker."""
        worker = self._service.workers[request.scope["server"][0]]
        worker.faults = dataclasses.replace(
            worker.faults, **await request.json()
        )
        return JSONResponse({})

    async def set_link_faults(self, request: Request) -> Response:
        """Replaces the faults of the links to the called worker."""
        worker = self._service.workers[request.scope["server"][0]]
        faults = LinkFaults(**await request.json())
        for link in self._service.find_links(worker):
            await link.set_faults(faults)
        return JSONResponse({})

    async def crash(self, request: Request) -> Response:
        """Restarts the called worker without its runs."""
        was_off = self._service.workers[request.scope["server"][0]].is_off
        worker = self._end_worker(request)
        if not was_off:
            worker.power_on()
        return JSONResponse({})

    async def power_off(self, request: Request) -> Response:
        """Ends the called worker and its runs until it is turned on again."""
        self._end_worker(request)
        return JSONResponse({})

    async def power_on(self, request: Request) -> Response:
        """Starts the called worker, at the address of a link if one is given.

        A worker that had that address takes the one that the called worker
        had; it has to be off too.
        """
        host = request.scope["server"][0]
        number = (await request.json()).get("link")
        if number is not None:
            old_links = self._service.find_links(self._service.workers[host])
            for link in old_links:
                link.target_host = self._service.links[number].target_host
            self._service.links[number].target_host = host
        self._service.workers[host].power_on()
        return JSONResponse({})

    async def replay_entry(self, request: Request) -> Response:
        """Repeats the last registration of the worker's previous life."""
        worker = self._service.workers[request.scope["server"][0]]
        if worker.previous_entry:
            async with httpx.AsyncClient(trust_env=False) as client:
                await self._service.put_entry(
                    client, worker, worker.previous_entry
                )
        return JSONResponse({})

    def _end_worker(self, request: Request) -> Worker:
        worker = self._service.workers[request.scope["server"][0]]
        worker.power_off()
        for link in self._service.find_links(worker):
            link.end_connections()
        return worker
