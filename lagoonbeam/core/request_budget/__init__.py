"""Bounds on what the clients of a process may hold of it.

``docs/design/uncontrolled-clients.md`` tells which load each bound answers.
"""

from lagoonbeam.core.request_budget.budget import (
    ConnectionAccount,
    RequestBudget,
    Share,
)
from lagoonbeam.core.request_budget.limit_monitor import Limit, LimitMonitor
from lagoonbeam.core.request_budget.message_meter import MessageMeter
from lagoonbeam.core.request_budget.settings import RequestLimitSettings

__all__ = [
    "ConnectionAccount",
    "Limit",
    "LimitMonitor",
    "MessageMeter",
    "RequestBudget",
    "RequestLimitSettings",
    "Share",
]
