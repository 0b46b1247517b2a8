"""What a preemption policy must do."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.core.registry import Registry
from lagoonbeam.types import JobId


class PreemptionPolicy(ABC):
    """Weighs which running work to stop; fill the two methods.

    Args:
        get_job: Returns a running job.
        now: Source of the time in seconds.

    Attributes:
        allows_preemption_within_organisation: Whether urgent work may stop
            less urgent work of its
            own organisation.
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
        """Returns the cost of stopping these jobs, in slot seconds."""

    @abstractmethod
    def may_preempt(self, planned: PlannedJob, victim_id: JobId) -> bool:
        """Returns whether urgent work may stop a lent job."""


PREEMPTION_POLICIES: Registry[type[PreemptionPolicy]] = Registry(
    "preemption policy"
)
