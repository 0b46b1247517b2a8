"""What the other side of an accepted link holds of the process."""

from __future__ import annotations

from lagoonbeam.core.request_budget import ConnectionAccount, Limit
from lagoonbeam.core.request_budget.limit_monitor import LimitMonitor

CALL_BYTES = 8_192
"""Memory of a call that is being handled, beside its frame and its reply."""
DECODED_FRAME_FACTOR = 4
"""Memory of a decoded frame in relation to its size."""
BUFFERED_FRAME_FACTOR = 2
"""A frame is copied from the receive buffer when it is whole."""
LINK_CALL_BYTES = 8 * CALL_BYTES
"""Memory for calls that each link has for itself, whatever others hold."""


class CallPool:
    """Memory that calls in handling may hold beyond `LINK_CALL_BYTES` a link.

    Args:
        max_bytes: The memory; a single call may hold more.
        monitor: Records when a call finds no room.
    """

    def __init__(self, max_bytes: int, monitor: LimitMonitor):
        self.max_bytes = max_bytes
        self.held_bytes = 0
        self.monitor = monitor


class LinkAccount:
    """What one link holds: bytes that arrive, and calls in handling.

    A link may be closed at any time: a call without a reply counts as one that
    may have been executed. Its calls go on, and count until they end.

    Args:
        connection: The account of its connection.
        pool: Memory for calls of all links.
    """

    def __init__(self, connection: ConnectionAccount, pool: CallPool):
        self._connection = connection
        self._pool = pool
        self._call_bytes = 0
        self._own_bytes = LINK_CALL_BYTES
        self._has_sent_frame = False

    def hold_received(self, size_bytes: int) -> bool:
        """Sets the size of an incomplete frame; returns whether it has room.

        Links that are silent or have stood for longest are closed for it.
        """
        if size_bytes and self._has_sent_frame:
            self._connection.mark_progress()
        return self._connection.hold(
            LINK_CALL_BYTES + BUFFERED_FRAME_FACTOR * size_bytes
        )

    def mark_frame(self) -> None:
        """Records that a whole frame has arrived.

        Until then the link counts as silent, whatever else arrives.
        """
        self._has_sent_frame = True
        self._connection.mark_served()
        self._connection.mark_idle()

    def hold_call(self, size_bytes: int) -> bool:
        """Adds to the memory of calls in handling, if there is room.

        Args:
            size_bytes: Memory of a call or a reply.
        """
        added_bytes = self._get_pool_bytes(self._call_bytes + size_bytes)
        added_bytes -= self._get_pool_bytes(self._call_bytes)
        is_full = self._pool.held_bytes + added_bytes > self._pool.max_bytes
        if added_bytes and self._pool.held_bytes and is_full:
            self._pool.monitor.record(Limit.MEMORY)
            return False
        self._pool.held_bytes += added_bytes
        self._call_bytes += size_bytes
        return True

    def release_call(self, size_bytes: int) -> None:
        """Removes from the memory of calls in handling."""
        held_bytes = self._get_pool_bytes(self._call_bytes)
        self._call_bytes -= size_bytes
        self._pool.held_bytes -= held_bytes
        self._pool.held_bytes += self._get_pool_bytes(self._call_bytes)

    def close(self) -> None:
        """Releases what the connection holds; calls then count in the pool."""
        held_bytes = self._get_pool_bytes(self._call_bytes)
        self._own_bytes = 0
        self._pool.held_bytes += self._call_bytes - held_bytes
        self._connection.close()

    def _get_pool_bytes(self, call_bytes: int) -> int:
        return max(0, call_bytes - self._own_bytes)


def get_call_bytes(frame_bytes: int) -> int:
    """Returns the memory of a call, given the size of its frame."""
    return CALL_BYTES + DECODED_FRAME_FACTOR * frame_bytes
