"""The account of the memory and connections that clients hold of a process."""

from __future__ import annotations

import enum
from collections import OrderedDict
from collections.abc import Callable
from itertools import chain

from lagoonbeam.core.request_budget.limit_monitor import Limit, LimitMonitor
from lagoonbeam.core.request_budget.settings import RequestLimitSettings

CONNECTION_BYTES = 8_192
"""Memory of an open connection beside its requests and kernel buffers."""
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


class _Part:
    """What the clients of one share hold.

    Attributes:
        held_bytes: Memory held by all connections.
        connection_count: Number of open connections.
        idle: Connections without a request, the longest idle first.
        waiting: Connections that wait for their client during a request, the
            one that has been without progress for longest first.
    """

    def __init__(self, max_bytes: int, max_connections: int):
        self.max_bytes = max_bytes
        self.max_connections = max_connections
        self.held_bytes = 0
        self.connection_count = 0
        self.idle: OrderedDict[ConnectionAccount, None] = OrderedDict()
        self.waiting: OrderedDict[ConnectionAccount, None] = OrderedDict()


class ConnectionAccount:
    """What one connection holds.

    Args:
        part: The part of the budget that it belongs to.
        monitor: Records the limits that are met.
        connection_bytes: Memory of the connection beside its requests.

    Attributes:
        on_evict: Called to drop what the connection holds, and to end it.
        is_closed: Whether it holds nothing any more.
    """

    def __init__(
        self, part: _Part, monitor: LimitMonitor, connection_bytes: int
    ):
        self._part = part
        self._monitor = monitor
        self._connection_bytes = connection_bytes
        self.on_evict: Callable[[], None] = lambda: None
        self._held_bytes = 0
        self.is_closed = False
        part.connection_count += 1
        self.mark_idle()

    def mark_idle(self) -> None:
        """Records that the connection has no request."""
        self._leave_queues()
        if not self.is_closed:
            self._part.idle[self] = None

    def mark_progress(self) -> None:
        """Records that the client has sent or read a part of its request."""
        self._leave_queues()
        if not self.is_closed:
            self._part.waiting[self] = None

    def mark_served(self) -> None:
        """Records that the request is being handled and can't be ended."""
        self._leave_queues()

    def hold(self, request_bytes: int) -> bool:
        """Sets the memory that the connection's requests take.

        Connections without progress are closed to make room.

        Returns:
            Whether there is room; always if no other connection holds any.
        """
        if self.is_closed:
            return False
        part = self._part
        added_bytes = self._connection_bytes + request_bytes - self._held_bytes
        if not self._can_make_room(added_bytes):
            self._monitor.record(Limit.MEMORY)
            return False
        while added_bytes > 0 and (
            part.held_bytes + added_bytes > part.max_bytes
            and part.connection_count > 1
        ):
            self._monitor.record(Limit.MEMORY)
            if not evict_longest_waiting(part, spared=self):
                return False
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
            each for each in chain(part.waiting, part.idle) if each is not self
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

    def _leave_queues(self) -> None:
        self._part.idle.pop(self, None)
        self._part.waiting.pop(self, None)


def evict_longest_waiting(
    part: _Part, *, spared: ConnectionAccount | None = None
) -> bool:
    """Closes the connection that waits for its client for longest.

    Connections during a request come before idle ones, as those hold little.

    Returns:
        Whether there was one.
    """
    for queue in (part.waiting, part.idle):
        for account in queue:
            if account is not spared:
                account.evict()
                return True
    return False


class RequestBudget:
    """Bounds the memory and connections that clients hold of a process.

    Args:
        settings: The bounds.
        memory_mb: Memory of the machine; a default if it is not known.
        descriptors: File descriptors of the machine; a default if they are
            not known.

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
    ):
        self.settings = settings or RequestLimitSettings()
        self.monitor = LimitMonitor()
        memory_bytes = self.settings.memory_fraction * (
            (memory_mb or DEFAULT_MEMORY_MB) * BYTES_PER_MB
        )
        connections = self.settings.descriptor_fraction * max(
            0, (descriptors or DEFAULT_DESCRIPTORS) - RESERVED_DESCRIPTORS
        )
        self._parts = {
            share: _Part(
                int(memory_bytes * share.value),
                max(1, int(connections * share.value)),
            )
            for share in Share
        }

    @property
    def held_bytes(self) -> int:
        """Memory that all connections hold."""
        return sum(part.held_bytes for part in self._parts.values())

    @property
    def connection_count(self) -> int:
        """Number of open connections."""
        return sum(part.connection_count for part in self._parts.values())

    def open_connection(
        self, share: Share, *, buffer_bytes: int = 0
    ) -> ConnectionAccount | None:
        """Returns the account of a new connection, or None without room.

        The connections that have been idle for longest are closed first.

        Args:
            share: The kind of client.
            buffer_bytes: Memory that the kernel may take for the connection.
        """
        part = self._parts[share]
        while part.connection_count >= part.max_connections:
            self.monitor.record(Limit.CONNECTIONS)
            queue = part.idle or part.waiting
            if not queue:
                return None
            next(iter(queue)).evict()
        account = ConnectionAccount(
            part, self.monitor, CONNECTION_BYTES + buffer_bytes
        )
        if account.hold(0):
            return account
        account.close()
        return None
