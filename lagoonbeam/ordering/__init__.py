"""Ordering policies: which queued job is tried next."""

from lagoonbeam.ordering import backfill, fair_share, first_come
from lagoonbeam.ordering.base import (
    ORDERING_POLICIES,
    CellSource,
    JobCandidate,
    OrderingPolicy,
)

__all__ = [
    "ORDERING_POLICIES",
    "JobCandidate",
    "OrderingPolicy",
    "CellSource",
    "backfill",
    "fair_share",
    "first_come",
]
