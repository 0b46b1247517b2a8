"""Which jobs an organisation's guaranteed accelerators cover."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping

from lagoonbeam.site.entries import JobEntry
from lagoonbeam.site.model import Organisation, QueuePolicy


def count_largest_step_accelerators(job: JobEntry) -> int:
    """Returns the accelerators of a job's largest step."""
    return max(step.count * step.accelerators for step in job.request.steps)


def find_guaranteed_jobs(
    jobs: Iterable[JobEntry],
    organisations: Mapping[str, Organisation],
    get_policy: Callable[[JobEntry], QueuePolicy],
) -> set[str]:
    """Returns the open jobs of priority 0 that guarantees cover.

    An organisation's guarantee is given to its jobs in order of acceptance.

    Args:
        jobs: Open jobs, oldest first.
        organisations: The organisations by name.
        get_policy: Returns the policy in force for a job.
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
