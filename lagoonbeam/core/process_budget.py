"""The request budget of a program of the zones."""

from __future__ import annotations

import resource

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.request_budget import (
    Limit,
    RequestBudget,
    RequestLimitSettings,
    Share,
)
from lagoonbeam.core.settings import MachineSettings
from lagoonbeam.core.statsd_metrics import StatsdMetrics

RESERVED_DESCRIPTORS = 32
"""Descriptors of a program beside its clients' connections: standard streams,
listener, event loop and the sockets of metrics."""


def make_request_budget(
    machine: MachineSettings,
    limits: RequestLimitSettings,
    *,
    memory_fraction: float = 1.0,
    events: EventLog,
    metrics: StatsdMetrics,
) -> RequestBudget:
    """Returns the budget of a program whose clients are all of one kind.

    Args:
        machine: What the machine gives the program.
        limits: Bounds on what clients may hold.
        memory_fraction: The part of that memory which connections may hold.
        events: Log to which limits that are reached and left are written.
        metrics: Counter of the clients at each limit.
    """
    soft_limit, _ = resource.getrlimit(resource.RLIMIT_NOFILE)
    budget = RequestBudget(
        limits,
        memory_mb=machine.memory_mb * memory_fraction,
        descriptors=machine.descriptors or soft_limit,
        reserved_descriptors=RESERVED_DESCRIPTORS,
        shares={Share.CALLERS: 1.0},
    )

    def handle_change(limit: Limit, is_reached: bool, count: int) -> None:
        state = "reached" if is_reached else "left"
        events.emit(
            "request.limit", cause=f"{limit} {state}, met {count} times"
        )

    budget.monitor.on_hit = lambda limit: metrics.count(
        f"request_limits.{limit}"
    )
    budget.monitor.on_change = handle_change
    return budget
