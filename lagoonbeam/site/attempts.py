"""How often the tasks of a job may fail."""

from __future__ import annotations

from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy


def get_max_attempts(job: SiteJob, policy: QueuePolicy) -> int:
    """Returns the number of failures of a unit after which its job fails."""
    return 1 if job.request.runs_once else policy.max_attempts


def has_used_up_attempts(unit: PlacementUnit, policy: QueuePolicy) -> bool:
    """Whether a unit has failed too often to be started again.

    The job's failure may not be in the journal yet. Long-running tasks are
    restarted however often they fail.
    """
    if unit.spec.is_long_running:
        return False
    return unit.failures >= get_max_attempts(unit.job, policy)


def find_failed_unit(job: SiteJob, policy: QueuePolicy) -> PlacementUnit | None:
    """Returns an unfinished unit that may not be started again, if any."""
    if job.unit_with_most_failures is None:
        return None
    return next(
        (
            unit
            for unit in job.all_units()
            if not unit.is_done and has_used_up_attempts(unit, policy)
        ),
        None,
    )
