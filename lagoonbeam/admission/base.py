"""Interface of admission policies."""

from __future__ import annotations

from abc import ABC, abstractmethod
from dataclasses import dataclass

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.rules import RulesDocument


@dataclass(frozen=True)
class QueueView:
    """Queue lengths and expected wait that apply to a submitted job.

    Attributes:
        queued_by_organisation: Unfinished jobs of its organisation, queued
            or running.
        queued_by_caller: Unfinished jobs of its caller.
        queued_by_kind: Unfinished jobs of its kind.
        expected_wait_s: Expected wait in the availability zone that it would
            run in.
    """

    queued_by_organisation: int = 0
    queued_by_caller: int = 0
    queued_by_kind: int = 0
    expected_wait_s: float = 0.0


class AdmissionPolicy(ABC):
    """Decides whether a submitted job is accepted."""

    @abstractmethod
    def check(self, job: Job, rules: RulesDocument, view: QueueView) -> None:
        """Returns if the job is accepted.

        Raises:
            OverloadError: If a queue limit is reached or the expected wait is
                longer than the job allows.
        """


ADMISSIONS: PluginRegistry[type[AdmissionPolicy]] = PluginRegistry(
    "admission policy"
)
