"""Queue limits, and no job that would miss its start deadline."""

from __future__ import annotations

from lagoonbeam.admission.base import ADMISSIONS, AdmissionPolicy, QueueView
from lagoonbeam.core.jobs import Job
from lagoonbeam.core.rules import RulesDocument
from lagoonbeam.errors import DeadlineUnreachableError, QueueFullError

_MIN_RETRY_AFTER_S = 5.0
"""Shortest delay before a retry that a refused caller is advised."""


@ADMISSIONS.register("bounded")
class BoundedAdmission(AdmissionPolicy):
    """Refuses jobs beyond a queue limit or that cannot start in time."""

    def check(self, job: Job, rules: RulesDocument, view: QueueView) -> None:
        """Checks the limits of organisation, caller and kind, and the wait."""
        organisation = rules.get_organisation(job.organisation)
        if organisation is None:
            return
        kind = next(
            allowed_kind
            for allowed_kind in organisation.kinds
            if allowed_kind.name == job.kind
        )
        queue_limits = [
            (
                "organisation",
                view.queued_by_organisation,
                organisation.max_queued,
            ),
            (
                "caller",
                view.queued_by_caller,
                organisation.max_queued_per_caller,
            ),
            ("kind", view.queued_by_kind, kind.max_queued),
        ]
        retry_after_s = max(_MIN_RETRY_AFTER_S, view.expected_wait_s)
        for name, queued, limit in queue_limits:
            if queued >= limit:
                raise QueueFullError(
                    f"the {name} has {queued} unfinished jobs, the limit"
                    f" is {limit}",
                    retry_after_s=retry_after_s,
                )
        if job.start_within_s and view.expected_wait_s > job.start_within_s:
            raise DeadlineUnreachableError(
                f"expected wait is {view.expected_wait_s:.1f} s, the job must"
                f" start within {job.start_within_s:.1f} s",
                retry_after_s=retry_after_s,
            )
