"""What an admission policy must do."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.rules import RulesDocument


@dataclass(frozen=True)
class QueueView:
    """What is known of the queues when a job arrives.

    Attributes:
        queued_by_organisation: Unfinished jobs of its organisation.
        queued_by_caller: Unfinished jobs of its caller.
        queued_by_kind: Unfinished jobs of its kind.
        expected_wait_s: Expected wait in the zone it would go to.
    """

    queued_by_organisation: int = 0
    queued_by_caller: int = 0
    queued_by_kind: int = 0
    expected_wait_s: float = 0.0


class AdmissionPolicy(ABC):
    """Refuses jobs early; fill `check`."""

    @abstractmethod
    def check(self, job: Job, rules: RulesDocument, view: QueueView) -> None:
        """Accepts a job by returning.

        Raises:
            OverloadError: If a bound is reached or the wait is too long.
        """


ADMISSIONS: PluginRegistry[type[AdmissionPolicy]] = PluginRegistry(
    "admission policy"
)
