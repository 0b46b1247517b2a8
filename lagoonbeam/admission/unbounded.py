"""No admission control; a baseline for comparison."""

from __future__ import annotations

from lagoonbeam.admission.base import ADMISSIONS, AdmissionPolicy, QueueView
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.rules import RulesDocument


@ADMISSIONS.register("unbounded")
class UnboundedAdmission(AdmissionPolicy):
    """Accepts every job."""

    def check(self, job: Job, rules: RulesDocument, view: QueueView) -> None:
        """Accepts the job."""
