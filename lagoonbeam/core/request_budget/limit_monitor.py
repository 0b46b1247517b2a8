"""Reports when limits on clients are reached and when they are left."""

from __future__ import annotations

import enum
from collections.abc import Callable

import anyio

QUIET_S = 10.0
"""Time without a client at a limit after which the limit counts as left."""
CHECK_INTERVAL_S = 1.0
"""Seconds between two checks whether limits are left."""


class Limit(enum.StrEnum):
    """Limits on clients."""

    MEMORY = "memory"
    """Bytes held for requests; others were closed or a request refused."""
    CONNECTIONS = "connections"
    """Open connections; others were closed or a connection refused."""
    DESCRIPTORS = "descriptors"
    """A connection could not be accepted."""
    HEAD = "head"
    """Size of a request's head, or of the empty lines before it."""
    BODY = "body"
    """Size of a request's body, its chunks' framing included."""
    DURATION = "duration"
    """Time in which a request has to arrive."""


class LimitMonitor:
    """Counts clients at limits and reports the changes.

    Attributes:
        on_hit: Called each time that a client meets a limit.
        on_change: Called with a limit, whether it is reached rather than left,
            and how often it was met, when that changes.
    """

    def __init__(self) -> None:
        self.on_hit: Callable[[Limit], None] = lambda limit: None
        self.on_change: Callable[[Limit, bool, int], None] = (
            lambda limit, is_reached, count: None
        )
        self._counts: dict[Limit, int] = {}
        self._last_hit_s: dict[Limit, float] = {}

    def record(self, limit: Limit) -> None:
        """Records that a client has met a limit."""
        self.on_hit(limit)
        self._last_hit_s[limit] = anyio.current_time()
        self._counts[limit] = self._counts.get(limit, 0) + 1
        if self._counts[limit] == 1:
            self.on_change(limit, True, 1)

    def check(self) -> None:
        """Reports the limits that no client has met for `QUIET_S`."""
        quiet_since_s = anyio.current_time() - QUIET_S
        left = [
            limit
            for limit, last_hit_s in self._last_hit_s.items()
            if last_hit_s <= quiet_since_s
        ]
        for limit in left:
            del self._last_hit_s[limit]
            self.on_change(limit, False, self._counts.pop(limit))

    async def run(self) -> None:
        """Checks periodically until cancelled."""
        while True:
            await anyio.sleep(CHECK_INTERVAL_S)
            self.check()
