"""Stand-in for the network: TCP routes that can be cut or go silent.

``POST /routes`` ``{"source", "target", "port"}`` opens a route to a port and
answers ``{"port"}``; the same route twice is the same port. ``POST /faults``
``{"cuts": [[source, target], ...], "freeze": false}`` replaces all cuts: new
connections of a cut route are refused and its open ones ended. With
``"freeze": true`` its open connections go silent for good instead, in both
directions, while new ones work.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.server import run_server

_CHUNK_BYTES = 65_536


@dataclass
class Connection:
    """One relayed connection."""

    writers: list[asyncio.StreamWriter]
    frozen: bool = False


@dataclass
class RelayRoute:
    """One route and its open connections."""

    port: int
    cut: bool = False
    relayed_bytes: int = 0
    connections: list[Connection] = field(default_factory=list)


class Relay:
    """The service behind the HTTP routes."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], RelayRoute] = {}
        self._ports: dict[tuple[str, str], int] = {}

    async def open_route(self, request: Request) -> Response:
        """Opens a route."""
        body = await request.json()
        key = (body["source"], body["target"])
        if key in self._routes:
            self._routes[key].port = body["port"]
            return JSONResponse({"port": self._ports[key]})
        route = RelayRoute(body["port"])
        self._routes[key] = route

        async def serve(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._serve(route, reader, writer)

        server = await asyncio.start_server(serve, "127.0.0.1", 0)
        self._ports[key] = server.sockets[0].getsockname()[1]
        return JSONResponse({"port": self._ports[key]})

    async def list_routes(self, request: Request) -> Response:
        """Lists the routes and the bytes that passed on each."""
        return JSONResponse(
            [
                {"route": list(key), "bytes": route.relayed_bytes}
                for key, route in self._routes.items()
            ]
        )

    async def set_faults(self, request: Request) -> Response:
        """Replaces all cuts, or freezes open connections."""
        body = await request.json()
        chosen = {tuple(pair) for pair in body.get("cuts", [])}
        for key, route in self._routes.items():
            hit = key in chosen or (key[0], "*") in chosen
            if body.get("freeze"):
                for connection in route.connections if hit else []:
                    connection.frozen = True
                continue
            route.cut = hit
            for connection in route.connections if hit else []:
                for writer in connection.writers:
                    writer.transport.abort()
        return JSONResponse({})

    async def _serve(
        self,
        route: RelayRoute,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if route.cut:
            writer.transport.abort()
            return
        try:
            far_reader, far_writer = await asyncio.open_connection(
                "127.0.0.1", route.port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = Connection([writer, far_writer])
        route.connections.append(connection)
        await asyncio.gather(
            self._pump(route, connection, reader, far_writer),
            self._pump(route, connection, far_reader, writer),
        )
        route.connections.remove(connection)

    async def _pump(
        self,
        route: RelayRoute,
        connection: Connection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if connection.frozen:
                    continue
                route.relayed_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        if not connection.frozen:
            writer.close()


def main() -> None:
    """Runs the stand-in."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    relay = Relay()
    application = Starlette(
        routes=[
            Route("/routes", relay.open_route, methods=["POST"]),
            Route("/routes", relay.list_routes, methods=["GET"]),
            Route("/faults", relay.set_faults, methods=["POST"]),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
