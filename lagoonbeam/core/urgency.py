"""The share of a zone that urgent work may hold outside guarantees."""

from __future__ import annotations

import collections

from lagoonbeam.core.planned import PlannedJob, Standing
from lagoonbeam.types import OrganisationName


class UrgentShare:
    """Counts the slots of urgent work outside guarantees.

    Attributes:
        fraction: Share of all slots that it may hold with priority.
        total_slots: All slots of the zone.
    """

    def __init__(self) -> None:
        self.fraction = 0.1
        self.total_slots = 0
        self._held: collections.Counter[OrganisationName] = (
            collections.Counter()
        )

    @property
    def is_open(self) -> bool:
        """Whether urgent work still goes before the rest."""
        return self._held.total() < self.fraction * self.total_slots

    def has_room(self, planned: PlannedJob) -> bool:
        """Whether a job may go before the rest.

        No organisation gets more than half of what all may have.
        """
        shape = planned.job.shape
        wanted = shape.members * max(1, shape.accelerators)
        share = self.fraction * self.total_slots
        own = self._held[planned.job.organisation] + wanted
        return (
            own <= max(1.0, share / 2) and self._held.total() + wanted <= share
        )

    def count(self, planned: PlannedJob, sign: int) -> None:
        """Adds (1) or removes (-1) a placed job, if it counts."""
        placement = planned.placement
        if not planned.key.urgent or placement is None:
            return
        if placement.standing is not Standing.GUARANTEED:
            name = planned.job.organisation
            self._held[name] += sign * placement.slots
