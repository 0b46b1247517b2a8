"""Stand-in for the network between instances and one address of workers.

Forwards connections to the worker that listens at the address, and harms them
as `LinkFaults` says. Calls are told apart by the fencing token in their body,
so that the link of a single term can be cut.
"""

from __future__ import annotations

import asyncio
import contextlib
import re
import time
from dataclasses import dataclass, field

_CHUNK_BYTES = 65_536
_RETRANSMISSION_S = 3.0
"""Time for which data that a cut holds back is still delivered afterwards."""
_CLOSE_DELAY_S = 0.5
_POLL_INTERVAL_S = 0.02
_TOKEN = re.compile(rb'"fencing_token":\s*(\d+)')


@dataclass(frozen=True)
class LinkFaults:
    """Faults of a link.

    Attributes:
        mode: ``drop`` loses all data, for good on the connections that carry
            any meanwhile; ``hold`` delivers it after the fault if that ends
            soon; ``reset`` aborts connections; ``refuse`` also stops
            listening; ``lose_answers`` loses the answers only; ``slow``
            delays both directions. Empty for none.
        delay_s: Delay of each direction when ``slow``.
        min_token: Lowest fencing token of the calls that are harmed.
        max_token: Highest fencing token of the calls that are harmed.
    """

    mode: str = ""
    delay_s: float = 0.0
    min_token: int = 0
    max_token: int = 2**62

    def harms(self, token: int) -> bool:
        """Whether calls with a fencing token are harmed."""
        return bool(self.mode) and self.min_token <= token <= self.max_token


@dataclass(eq=False)
class _LinkConnection:
    client: asyncio.StreamWriter
    worker: asyncio.StreamWriter
    token: int = 0
    loses_requests: bool = False
    loses_answers: bool = False


@dataclass(eq=False)
class WorkerLink:
    """The link to one address.

    Attributes:
        host: Address at which instances reach the worker.
        port: TCP port of the address and of the worker.
        target_host: Address of the worker that listens there; None if none.
        faults: Present faults.
    """

    host: str
    port: int
    target_host: str | None = None
    faults: LinkFaults = field(default_factory=LinkFaults)
    _server: asyncio.Server | None = None
    _connections: list[_LinkConnection] = field(default_factory=list)

    async def start(self) -> None:
        """Starts to listen."""
        self._server = await asyncio.start_server(
            self._handle_connection, self.host, self.port
        )

    async def set_faults(self, faults: LinkFaults) -> None:
        """Replaces the present faults."""
        self.faults = faults
        if faults.mode == "refuse" and self._server is not None:
            self._server.close()
            self._server = None
        elif faults.mode != "refuse" and self._server is None:
            await self.start()
        if faults.mode in ("refuse", "reset"):
            for connection in list(self._connections):
                if faults.harms(connection.token):
                    connection.client.transport.abort()

    def end_connections(self) -> None:
        """Ends the worker's side of all connections, as its process exits."""
        for connection in list(self._connections):
            connection.worker.transport.abort()

    async def _handle_connection(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        if self.target_host is None or self.faults.mode == "reset":
            writer.transport.abort()
            return
        try:
            worker_reader, worker_writer = await asyncio.open_connection(
                self.target_host, self.port
            )
        except OSError:
            writer.transport.abort()
            return
        connection = _LinkConnection(writer, worker_writer)
        self._connections.append(connection)
        try:
            await asyncio.gather(
                self._forward_requests(connection, reader),
                self._forward_answers(connection, worker_reader),
            )
        finally:
            connection.client.transport.abort()
            connection.worker.transport.abort()
            self._connections.remove(connection)

    async def _forward_requests(
        self, connection: _LinkConnection, reader: asyncio.StreamReader
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                if found := _TOKEN.search(chunk):
                    connection.token = int(found[1])
                if await self._passes(connection, connection.loses_requests):
                    connection.worker.write(chunk)
                    await connection.worker.drain()
                else:
                    connection.loses_requests = True
            # Gives the worker the time to execute what arrived last.
            await asyncio.sleep(_CLOSE_DELAY_S)
        connection.worker.close()

    async def _forward_answers(
        self, connection: _LinkConnection, reader: asyncio.StreamReader
    ) -> None:
        with contextlib.suppress(OSError):
            while chunk := await reader.read(_CHUNK_BYTES):
                is_lost = connection.loses_answers or (
                    self.faults.mode == "lose_answers"
                    and self.faults.harms(connection.token)
                )
                if await self._passes(connection, is_lost):
                    connection.client.write(chunk)
                    await connection.client.drain()
                else:
                    connection.loses_answers = True
        if await self._passes(connection, connection.loses_answers):
            connection.client.close()

    async def _passes(
        self, connection: _LinkConnection, is_already_lost: bool
    ) -> bool:
        """Waits for data to pass the link; returns whether it does."""
        if is_already_lost:
            return False
        faults = self.faults
        if not faults.harms(connection.token):
            return True
        if faults.mode == "reset":
            connection.client.transport.abort()
        if faults.mode in ("drop", "reset", "refuse"):
            return False
        if faults.mode == "slow":
            await asyncio.sleep(faults.delay_s)
        if faults.mode == "hold":
            end_s = time.monotonic() + _RETRANSMISSION_S
            while time.monotonic() < end_s:
                if not self.faults.harms(connection.token):
                    return True
                await asyncio.sleep(_POLL_INTERVAL_S)
            return False
        return True
