"""Adapters that command the platform's workers."""

from lagoonbeam.endpoints import http
from lagoonbeam.endpoints.base import (
    ENDPOINT_DRIVERS,
    EndpointDriver,
    SyncReply,
    SyncRequest,
    TaskOrder,
    TaskReport,
    TaskState,
)

__all__ = [
    "ENDPOINT_DRIVERS",
    "EndpointDriver",
    "SyncReply",
    "SyncRequest",
    "TaskOrder",
    "TaskReport",
    "TaskState",
    "http",
]
