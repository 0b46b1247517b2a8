"""Assignment of organisations' guaranteed accelerators to jobs."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from lagoonbeam.site.jobs import SiteJob
from lagoonbeam.site.model import Organisation, QueuePolicy


def count_largest_step_accelerators(job: SiteJob) -> int:
    """Returns the accelerators of a job's largest step."""
    return max(step.count * step.accelerators for step in job.request.steps)


def find_guaranteed_jobs(
    jobs: Iterable[SiteJob],
    organisations: Mapping[str, Organisation],
    get_policy: Callable[[SiteJob], QueuePolicy],
) -> set[str]:
    """Returns identifiers of the open priority-0 jobs under a guarantee.

    Jobs use their organisation's guarantee in order of acceptance; a job that
    does not fit into the rest of it is passed over.

    Args:
        jobs: Open jobs, oldest first.
        organisations: The organisations by name.
        get_policy: Returns the current policy of a job's queue.
    """
    unused_accelerators: dict[str, int] = defaultdict(int)
    for name, organisation in organisations.items():
        unused_accelerators[name] = organisation.guaranteed_accelerators
    guaranteed_job_ids = set()
    for job in jobs:
        if get_policy(job).priority != 0:
            continue
        needed_accelerators = count_largest_step_accelerators(job)
        if needed_accelerators <= unused_accelerators[job.request.organisation]:
            unused_accelerators[job.request.organisation] -= needed_accelerators
            guaranteed_job_ids.add(job.request.job_id)
    return guaranteed_job_ids
