"""The account of the memory and connections that clients hold of a process."""

from __future__ import annotations

import contextlib
import enum
from collections.abc import Callable, Iterator, Mapping
from itertools import chain

import anyio

from lagoonbeam.core.request_budget.limit_monitor import Limit, LimitMonitor
from lagoonbeam.core.request_budget.part import (
    CONNECTION_BYTES,
    MAX_CONNECTION_MEMORY_FRACTION,
    Part,
)
from lagoonbeam.core.request_budget.settings import RequestLimitSettings

BYTES_PER_MB = 1 << 20
RESERVED_DESCRIPTORS = 200
"""Descriptors of a machine that are no sockets."""
DEFAULT_MEMORY_MB = 300
DEFAULT_DESCRIPTORS = 4_100


class Share(enum.Enum):
    """Kinds of clients; none can use the part of another.

    The value is the part of the memory and connections.
    """

    CALLERS = 0.6
    PEERS = 0.35
    PROBES = 0.05


DEFAULT_SHARES = {share: share.value for share in Share}


class ConnectionAccount:
    """What one connection holds.

    Args:
        part: The part of the budget that it belongs to.
        monitor: Records the limits that are met.

    Attributes:
        on_evict: Called to drop what the connection holds, and to end it.
        progressed_at_s: When the connection was opened, or has last made
            progress during a request.
        is_closed: Whether it holds nothing any more.
    """

    def __init__(self, part: Part, monitor: LimitMonitor):
        self._part = part
        self._monitor = monitor
        self.on_evict: Callable[[], None] = lambda: None
        self._held_bytes = 0
        self._has_been_served = False
        self.progressed_at_s = anyio.current_time()
        self.is_closed = False
        part.connection_count += 1
        self.mark_idle()

    def mark_idle(self) -> None:
        """Records that the connection has no request."""
        self._leave_queues()
        if self.is_closed:
            return
        if self._has_been_served:
            self._part.idle[self] = None
        else:
            self._part.fresh[self] = None
        self._part.notify_room()

    def mark_progress(self) -> None:
        """Records that the client has sent or read a part of its request."""
        self._leave_queues()
        self.progressed_at_s = anyio.current_time()
        if not self.is_closed:
            self._part.waiting[self] = None
            self._part.notify_room()

    def mark_served(self) -> None:
        """Records that the request is being handled and can't be ended."""
        self._has_been_served = True
        self._leave_queues()

    @contextlib.contextmanager
    def move_on_after(self, delay_s: float) -> Iterator[anyio.CancelScope]:
        """Bounds a wait of a request that is being handled.

        The wait ends early if no connection can be opened otherwise.

        Args:
            delay_s: Longest wait.
        """
        with anyio.move_on_after(delay_s) as scope:
            self._part.waits[scope] = None
            try:
                yield scope
            finally:
                self._part.waits.pop(scope, None)

    def hold(self, request_bytes: int) -> bool:
        """Sets the memory that the connection's requests take.

        Connections without progress are closed to make room.

        Returns:
            Whether there is room; always if no other connection holds any.
        """
        if self.is_closed:
            return False
        part = self._part
        added_bytes = part.connection_bytes + request_bytes - self._held_bytes
        if not self._can_make_room(added_bytes):
            self._monitor.record(Limit.MEMORY)
            return False
        while added_bytes > 0 and (
            part.held_bytes + added_bytes > part.max_bytes
            and part.connection_count > 1
        ):
            self._monitor.record(Limit.MEMORY)
            other = part.find_to_close(for_memory=True, spared=self)
            if other is None:
                return False
            other.evict()
        part.held_bytes += added_bytes
        self._held_bytes += added_bytes
        return True

    def _can_make_room(self, added_bytes: int) -> bool:
        """Whether enough can be closed; otherwise none is closed in vain."""
        part = self._part
        missing_bytes = part.held_bytes + added_bytes - part.max_bytes
        if added_bytes <= 0 or missing_bytes <= 0 or part.connection_count <= 1:
            return True
        others = [
            each
            for each in chain(part.waiting, part.fresh, part.idle)
            if each is not self
        ]
        if len(others) == part.connection_count - 1:
            return True
        return missing_bytes <= sum(each._held_bytes for each in others)

    def evict(self) -> None:
        """Ends the connection to make room for another one."""
        on_evict = self.on_evict
        self.close()
        on_evict()

    def close(self) -> None:
        """Releases what the connection holds."""
        if self.is_closed:
            return
        self._leave_queues()
        self.is_closed = True
        self.on_evict = lambda: None
        self._part.held_bytes -= self._held_bytes
        self._part.connection_count -= 1
        self._part.notify_room()

    def _leave_queues(self) -> None:
        self._part.fresh.pop(self, None)
        self._part.idle.pop(self, None)
        self._part.waiting.pop(self, None)


class RequestBudget:
    """Bounds the memory and connections that clients hold of a process.

    Args:
        settings: The bounds.
        memory_mb: Memory of the machine; a default if it is not known.
        descriptors: File descriptors of the machine; a default if they are
            not known.
        reserved_descriptors: Those that are not for connections of clients.
        shares: The part of each kind of client; by default its value.

    Attributes:
        settings: The bounds.
        monitor: Records the limits that clients meet.
    """

    def __init__(
        self,
        settings: RequestLimitSettings | None = None,
        *,
        memory_mb: float | None = None,
        descriptors: int | None = None,
        reserved_descriptors: int = RESERVED_DESCRIPTORS,
        shares: Mapping[Share, float] | None = None,
    ):
        self.settings = settings or RequestLimitSettings()
        self.monitor = LimitMonitor()
        memory_bytes = self.settings.memory_fraction * (
            (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        )
        connections = self.settings.descriptor_fraction * max(
            0, (descriptors or DEFAULT_DESCRIPTORS) - reserved_descriptors
        )
        self._parts = {
            share: Part(
                int(memory_bytes * fraction),
                max(1, int(connections * fraction)),
            )
            for share, fraction in (shares or DEFAULT_SHARES).items()
        }

    @property
    def held_bytes(self) -> int:
        """Memory that all connections hold."""
        return sum(part.held_bytes for part in self._parts.values())

    @property
    def max_bytes(self) -> int:
        """Memory that all connections may hold."""
        return sum(part.max_bytes for part in self._parts.values())

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return sum(part.connection_count for part in self._parts.values())

    async def wait_for_room(self, share: Share) -> None:
        """Waits until a connection can be opened, or for `MAX_ROOM_WAIT_S`.

        Without room, all connections have a request that is being handled.
        Most requests are handled sooner, and their connections can be closed
        then; if no connection could be opened for that time, this returns at
        once, so that new ones are refused.

        Args:
            share: The kind of client.
        """
        await self._parts[share].wait_for_room()

    def has_room(self, share: Share) -> bool:
        """Returns whether a connection can be opened, in place of another."""
        return self._parts[share].has_room

    def close_for_descriptors(self, share: Share) -> None:
        """Closes a connection, as the process lacks descriptors for another.

        Args:
            share: The kind of client.
        """
        self.monitor.record(Limit.DESCRIPTORS)
        self._close_connection(self._parts[share])

    def reserve_buffers(self, share: Share, buffer_bytes: int) -> None:
        """Counts what the kernel may hold of each connection from now on.

        Open connections are fewer than the descriptors allow if they would take
        more than `MAX_CONNECTION_MEMORY_FRACTION` of the memory.

        Args:
            share: The kind of client.
            buffer_bytes: Memory that the kernel may take for a connection.
        """
        part = self._parts[share]
        part.connection_bytes = CONNECTION_BYTES + buffer_bytes
        memory_bytes = MAX_CONNECTION_MEMORY_FRACTION * part.max_bytes
        part.max_connections = min(
            part.max_connections,
            max(1, int(memory_bytes / part.connection_bytes)),
        )

    def open_connection(self, share: Share) -> ConnectionAccount | None:
        """Returns the account of a new connection, or None without room.

        Connections that have sent no request are closed first, then those that
        have been idle for longest.

        Args:
            share: The kind of client.
        """
        part = self._parts[share]
        while part.connection_count >= part.max_connections:
            self.monitor.record(Limit.CONNECTIONS)
            if not self._close_connection(part):
                return None
        account = ConnectionAccount(part, self.monitor)
        if account.hold(0):
            return account
        account.close()
        return None

    @staticmethod
    def _close_connection(part: Part) -> bool:
        """Closes a connection for another; returns whether there is one."""
        account = part.find_to_close(for_memory=False)
        if account is None:
            return False
        account.evict()
        return True
