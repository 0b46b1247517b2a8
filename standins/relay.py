"""Stand-in for the network: a TCP proxy whose routes can be cut or frozen.

``POST /routes`` ``{"source", "target", "port"}`` opens a route to a port and
answers ``{"port"}``, the port on which the proxy listens. Opening the route
between the same source and target again keeps that port and replaces the
port it leads to. ``POST /faults`` ``{"cuts": [[source, target], ...],
"freeze": false}`` replaces all cuts, where the target ``"*"`` means all
targets of the source: new and open connections of a cut route are aborted.
With ``"freeze": true`` the cuts stay as they are, and the open connections of
the listed routes stop forwarding for good, in both directions, while new
connections work.
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
class RelayedConnection:
    """Both writers of a forwarded connection; drops data once frozen."""

    writers: list[asyncio.StreamWriter]
    is_frozen: bool = False


@dataclass
class RelayRoute:
    """A route's target port, forwarded byte count and open connections."""

    target_port: int
    is_cut: bool = False
    relayed_bytes: int = 0
    connections: list[RelayedConnection] = field(default_factory=list)


class RelayService:
    """Opens routes, forwards their connections and injects faults."""

    def __init__(self) -> None:
        self._routes: dict[tuple[str, str], RelayRoute] = {}
        self._listen_ports: dict[tuple[str, str], int] = {}

    async def open_route(self, request: Request) -> Response:
        """Opens a route and returns the port on which it listens."""
        body = await request.json()
        route_key = (body["source"], body["target"])
        if route_key in self._routes:
            self._routes[route_key].target_port = body["port"]
            return JSONResponse({"port": self._listen_ports[route_key]})
        route = RelayRoute(body["port"])
        self._routes[route_key] = route

        async def accept(
            reader: asyncio.StreamReader, writer: asyncio.StreamWriter
        ) -> None:
            await self._handle_connection(route, reader, writer)

        server = await asyncio.start_server(accept, "127.0.0.1", 0)
        self._listen_ports[route_key] = server.sockets[0].getsockname()[1]
        return JSONResponse({"port": self._listen_ports[route_key]})

    async def list_routes(self, request: Request) -> Response:
        """Returns the routes with the bytes forwarded in both directions."""
        return JSONResponse(
            [
                {"route": list(route_key), "bytes": route.relayed_bytes}
                for route_key, route in self._routes.items()
            ]
        )

    async def set_faults(self, request: Request) -> Response:
        """Replaces all cuts, or freezes open connections of some routes."""
        body = await request.json()
        selected_routes = {tuple(pair) for pair in body.get("cuts", [])}
        for route_key, route in self._routes.items():
            is_selected = (
                route_key in selected_routes
                or (route_key[0], "*") in selected_routes
            )
            if body.get("freeze"):
                for connection in route.connections if is_selected else []:
                    connection.is_frozen = True
                continue
            route.is_cut = is_selected
            for connection in route.connections if is_selected else []:
                for writer in connection.writers:
                    writer.transport.abort()
        return JSONResponse({})

    async def _handle_connection(
        self,
        route: RelayRoute,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        if route.is_cut:
            writer.transport.abort()
            return
        try:
            target_reader, target_writer = await asyncio.open_connection(
                "127.0.0.1", route.target_port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = RelayedConnection([writer, target_writer])
        route.connections.append(connection)
        await asyncio.gather(
            self._forward(route, connection, reader, target_writer),
            self._forward(route, connection, target_reader, writer),
        )
        route.connections.remove(connection)

    async def _forward(
        self,
        route: RelayRoute,
        connection: RelayedConnection,
        reader: asyncio.StreamReader,
        writer: asyncio.StreamWriter,
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if connection.is_frozen:
                    continue
                route.relayed_bytes += len(chunk)
                writer.write(chunk)
                await writer.drain()
        if not connection.is_frozen:
            writer.close()


def main() -> None:
    """Starts the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    arguments = parser.parse_args()
    service = RelayService()
    application = Starlette(
        routes=[
            Route("/routes", service.open_route, methods=["POST"]),
            Route("/routes", service.list_routes, methods=["GET"]),
            Route("/faults", service.set_faults, methods=["POST"]),
        ]
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
