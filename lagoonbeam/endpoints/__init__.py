"""Adapters for the platform's workers."""

from lagoonbeam.endpoints import http
from lagoonbeam.endpoints.base import (
    ENDPOINTS,
    EndpointDriver,
    SyncReply,
    SyncRequest,
    TaskOrder,
    TaskReport,
    TaskState,
)

__all__ = [
    "ENDPOINTS",
    "EndpointDriver",
    "SyncReply",
    "SyncRequest",
    "TaskOrder",
    "TaskReport",
    "TaskState",
    "http",
]
