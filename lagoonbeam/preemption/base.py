"""Interface of preemption policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.types import JobId


class PreemptionPolicy(ABC):
    """Decides which running jobs may be stopped, and what that costs.

    Args:
        get_job: Returns a job of the zone by its identifier.
        now: Source of the time in seconds.

    Attributes:
        allows_preemption_within_organisation: Whether an urgent job may
            preempt a less urgent one on its own organisation's guarantee.
    """

    allows_preemption_within_organisation = True

    def __init__(
        self,
        get_job: Callable[[JobId], PlannedJob],
        now: Callable[[], float],
    ):
        self._get_job = get_job
        self._now = now

    @abstractmethod
    def compute_cost(self, victim_ids: Iterable[JobId]) -> float:
        """Returns the cost of preempting these jobs, in slot seconds."""

    @abstractmethod
    def may_preempt(self, planned: PlannedJob, victim_id: JobId) -> bool:
        """Returns whether an urgent job may preempt a job on lent cells."""


PREEMPTION_POLICIES: PluginRegistry[type[PreemptionPolicy]] = PluginRegistry(
    "preemption policy"
)
