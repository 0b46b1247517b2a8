"""Time limits that the platform sets for the scheduler."""

from __future__ import annotations

from dataclasses import dataclass


@dataclass(frozen=True, slots=True)
class PlatformTimeLimits:
    """Time limits from the platform's settings, in seconds.

    Attributes:
        lease_s: Longest lease that a run may get.
        store_retention_s: Time for which the store keeps records.
        configuration_apply_s: Time after which a published configuration must
            be in force.
        stop_timeout_s: Longest time that a worker takes to stop a run.
        order_delay_s: Longest time after which a worker carries out an order
            that got no answer. The platform's description of its disturbances
            names the default; its protocol speaks of seconds.
    """

    lease_s: float
    store_retention_s: float
    configuration_apply_s: float
    stop_timeout_s: float = 0.0
    order_delay_s: float = 12.0
