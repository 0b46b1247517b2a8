"""Limit on the slots that urgent work may use outside guarantees."""

from __future__ import annotations

import collections

from lagoonbeam.core.planned_job import PlannedJob, Standing
from lagoonbeam.types import OrganisationName


class UrgentQuota:
    """Limits the slots that urgent work outside guarantees gets with priority.

    Attributes:
        fraction: The limit as a fraction of all slots.
        total_slots: All slots of the zone.
    """

    def __init__(self) -> None:
        self.fraction = 0.1
        self.total_slots = 0
        self._used_slots: collections.Counter[OrganisationName] = (
            collections.Counter()
        )

    @property
    def has_remaining_slots(self) -> bool:
        """Whether the quota is not used up yet."""
        return self._used_slots.total() < self.fraction * self.total_slots

    def admits(self, planned: PlannedJob) -> bool:
        """Whether a job fits in the quota.

        A single organisation may use at most half of the quota, or one slot
        if that is more.
        """
        shape = planned.job.shape
        requested_slots = shape.members * max(1, shape.accelerators)
        quota_slots = self.fraction * self.total_slots
        own_slots = self._used_slots[planned.job.organisation] + requested_slots
        return (
            own_slots <= max(1.0, quota_slots / 2)
            and self._used_slots.total() + requested_slots <= quota_slots
        )

    def update_usage(self, planned: PlannedJob, sign: int) -> None:
        """Adds (1) or removes (-1) the slots of a placed job, if they count."""
        placement = planned.placement
        if not planned.key.urgent or placement is None:
            return
        if placement.standing is not Standing.GUARANTEED:
            organisation_name = planned.job.organisation
            self._used_slots[organisation_name] += sign * placement.slots
