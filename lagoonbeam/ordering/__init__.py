"""Ordering policies: whose job is tried next."""

from lagoonbeam.ordering import backfill, fair_share, first_come
from lagoonbeam.ordering.base import ORDERINGS, Candidate, OrderingPolicy, Route

__all__ = [
    "ORDERINGS",
    "Candidate",
    "OrderingPolicy",
    "Route",
    "backfill",
    "fair_share",
    "first_come",
]
