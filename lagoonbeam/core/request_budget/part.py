"""What the connections of one kind of client hold, and which gives way."""

from __future__ import annotations

import math
from collections import OrderedDict
from itertools import chain, islice
from typing import TYPE_CHECKING

import anyio

if TYPE_CHECKING:
    from lagoonbeam.core.request_budget.budget import ConnectionAccount

CONNECTION_BYTES = 8_192
"""Memory of an open connection beside its requests and kernel buffers."""
STALLED_S = 1.0
"""Time without progress after which a connection without a request, or during
one, gives way before idle ones that have had requests."""
MAX_FRESH_FRACTION = 0.5
"""The part of the connections that may be without a first request for that
time."""
MAX_CONNECTION_MEMORY_FRACTION = 0.75
"""The part of the memory that connections may take without any request, so that
new connections do not displace requests."""
MAX_ROOM_WAIT_S = 0.5
"""Longest wait for room before new connections are refused."""


class Part:
    """What the clients of one share hold.

    Attributes:
        max_bytes: Memory that all connections may hold.
        max_connections: Number of connections that may be open.
        connection_bytes: Memory of a connection beside its requests.
        held_bytes: Memory held by all connections.
        connection_count: Number of open connections.
        fresh: Connections that have not sent a whole request yet, the longest
            idle first.
        idle: Connections without a request, the longest idle first.
        waiting: Connections that wait for their client during a request, the
            one that has been without progress for longest first.
        waits: Waits of requests in handling that can end early, the longest
            first.
    """

    def __init__(self, max_bytes: int, max_connections: int):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.connection_bytes = CONNECTION_BYTES
        self.held_bytes = 0
        self.connection_count = 0
        self.fresh: OrderedDict[ConnectionAccount, None] = OrderedDict()
        self.idle: OrderedDict[ConnectionAccount, None] = OrderedDict()
        self.waiting: OrderedDict[ConnectionAccount, None] = OrderedDict()
        self.waits: OrderedDict[anyio.CancelScope, None] = OrderedDict()
        self._full_since_s = math.inf
        self._room_found = anyio.Event()

    @property
    def has_room(self) -> bool:
        """Whether a connection can be opened, possibly in place of another."""
        return self.connection_count < self.max_connections or bool(
            self.fresh or self.idle or self.waiting
        )

    def find_to_close(
        self, *, for_memory: bool, spared: ConnectionAccount | None = None
    ) -> ConnectionAccount | None:
        """Returns the connection to close for another one, if there is any.

        For memory, requests come first, as other connections hold little. For a
        connection, those come first that make no progress. New connections need
        a moment for their first request, or they would close each other.

        Args:
            for_memory: Whether memory is missing rather than a connection.
            spared: A connection that stays.
        """
        stalled_since_s = anyio.current_time() - STALLED_S
        is_flooded = len(self.fresh) > MAX_FRESH_FRACTION * self.max_connections
        silent = [
            account
            for account in islice(self.fresh, 1)
            if is_flooded or account.progressed_at_s <= stalled_since_s
        ]
        stalled = [
            account
            for account in islice(self.waiting, 1)
            if account.progressed_at_s <= stalled_since_s
        ]
        if for_memory:
            queues = chain(self.waiting, silent, self.idle, self.fresh)
        else:
            queues = chain(silent, stalled, self.idle, self.waiting, self.fresh)
        return next((each for each in queues if each is not spared), None)

    def notify_room(self) -> None:
        """Wakes the task that waits for room."""
        self._room_found.set()

    async def wait_for_room(self) -> None:
        """Waits until there is room, or there has been none for too long.

        Waits of requests end for it, so that their connections can be closed.
        """
        while not self.has_room:
            if self.waits:
                scope, _ = self.waits.popitem(last=False)
                scope.cancel()
            now_s = anyio.current_time()
            self._full_since_s = min(self._full_since_s, now_s)
            deadline_s = self._full_since_s + MAX_ROOM_WAIT_S
            if now_s >= deadline_s:
                return
            self._room_found = anyio.Event()
            with anyio.CancelScope(deadline=deadline_s):
                await self._room_found.wait()
        self._full_since_s = math.inf
