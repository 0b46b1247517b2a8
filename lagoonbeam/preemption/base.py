"""What a preemption policy must do."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Callable, Iterable

from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.types import JobId


class PreemptionPolicy(ABC):
    """Weighs which running work to stop; fill the two methods.

    Args:
        find: Returns a running job.
        now: Source of the time in seconds.

    Attributes:
        allows_nudges: Whether urgent work may stop less urgent work of its
            own organisation.
    """

    allows_nudges = True

    def __init__(
        self,
        find: Callable[[JobId], PlannedJob],
        now: Callable[[], float],
    ):
        self._find = find
        self._now = now

    @abstractmethod
    def weigh(self, victims: Iterable[JobId]) -> float:
        """Returns the cost of stopping these jobs, in slot seconds."""

    @abstractmethod
    def may_preempt(self, planned: PlannedJob, victim: JobId) -> bool:
        """Returns whether urgent work may stop a lent job."""


PREEMPTIONS: PluginRegistry[type[PreemptionPolicy]] = PluginRegistry(
    "preemption policy"
)
