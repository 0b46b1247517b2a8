"""The scheduler's port for links of entries and other schedulers."""

from __future__ import annotations

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.link import Handler
from lagoonbeam.core.link_server import LinkServer
from lagoonbeam.core.process_budget import make_request_budget
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.core.tcp_connection import SocketBuffers

LINK_BUFFERS = SocketBuffers(receive_bytes=65_536, send_bytes=65_536)
"""Kernel buffers of a link: a state of 0.6 MB is sent within `SEND_TIMEOUT_S`
also between regions."""
LINK_MEMORY_FRACTION = 0.5
"""The part of the memory for clients that links and what arrives on them may
hold; calls in handling may hold as much."""


def make_link_server(
    settings: SchedulerSettings,
    handler: Handler,
    *,
    events: EventLog,
    metrics: StatsdMetrics,
) -> LinkServer:
    """Returns the server of the links that other processes open.

    Args:
        settings: Settings of the process.
        handler: Handles the messages of the other sides.
        events: Log to which limits that are reached and left are written.
        metrics: Counter of the links and calls at each limit.
    """
    budget = make_request_budget(
        settings.machine,
        settings.request_limits,
        memory_fraction=LINK_MEMORY_FRACTION,
        events=events,
        metrics=metrics,
    )
    return LinkServer(
        clock=events.clock,
        handler=handler,
        budget=budget,
        max_call_bytes=budget.max_bytes,
        buffers=LINK_BUFFERS,
    )
