"""Which jobs an organisation's guaranteed accelerators cover."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from lagoonbeam.site.jobs import SiteJob
from lagoonbeam.site.model import Organisation, QueuePolicy


def count_accelerators(job: SiteJob) -> int:
    """Returns the accelerators of a job's largest step."""
    return max(step.count * step.accelerators for step in job.request.steps)


def find_covered(
    jobs: Iterable[SiteJob],
    organisations: Mapping[str, Organisation],
    get_policy: Callable[[SiteJob], QueuePolicy],
) -> set[str]:
    """Returns the open jobs of priority 0 that guarantees cover.

    An organisation's guarantee is given to its jobs in order of acceptance.

    Args:
        jobs: Open jobs, oldest first.
        organisations: The organisations by name.
        get_policy: Returns the policy in force for a job.
    """
    left: dict[str, int] = defaultdict(int)
    for name, organisation in organisations.items():
        left[name] = organisation.guaranteed_accelerators
    covered = set()
    for job in jobs:
        if get_policy(job).priority != 0:
            continue
        needed = count_accelerators(job)
        if needed <= left[job.request.organisation]:
            left[job.request.organisation] -= needed
            covered.add(job.request.job_id)
    return covered
