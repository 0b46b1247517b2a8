"""Times that the platform gives the scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformTimeLimits:
    """Times that the platform gives.

    Attributes:
        lease_s: Longest lease of a run.
        history_s: How long the store keeps records.
    """

    lease_s: float
    store_retention_s: float
