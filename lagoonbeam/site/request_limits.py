"""Logs and counts clients at the limits on requests."""

from __future__ import annotations

from lagoonbeam.core.request_budget import Limit, RequestBudget
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event


def report_request_limits(
    budget: RequestBudget, decisions: DecisionLog
) -> None:
    """Reports the limits of a budget in the decision log and the metrics."""
    metrics = decisions.metrics

    def handle_change(limit: Limit, is_reached: bool, count: int) -> None:
        decisions.emit(
            Event.REQUEST_LIMIT,
            limit=limit.value,
            state="reached" if is_reached else "left",
            count=count,
        )

    budget.monitor.on_hit = lambda limit: metrics.request_limits.labels(
        limit.value
    ).inc()
    budget.monitor.on_change = handle_change
    metrics.request_bytes.set_function(lambda: budget.held_bytes)
    metrics.client_connections.set_function(lambda: budget.connection_count)
