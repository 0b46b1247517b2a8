"""Jobs that workers say have begun, until the journal shows it."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Iterable

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.records import JobsBegun, RunKey
from lagoonbeam.site.state import SiteState

MAX_JOBS_PER_RECORD = 1_000
"""Keeps a record far below the store's limit."""


class BegunJobs:
    """Collects the first begun run of each job.

    A placement is a plan: its start may be refused or get no answer. A gang
    has begun when all members of one run are there.

    Args:
        get_state: Returns the replica of the state.
    """

    def __init__(self, get_state: Callable[[], SiteState]):
        self._get_state = get_state
        self._job_ids: dict[str, None] = {}
        self._gang_members: dict[RunKey, set[str]] = defaultdict(set)

    def report(self, runs: Iterable[RunKey]) -> None:
        """Reports runs that a worker has begun."""
        tasks = self._get_state().tasks
        for task_id, run in runs:
            task = tasks.get(task_id)
            if task is None or task.unit.job.has_begun:
                continue
            if self._are_members_there(task.unit, task_id, run):
                self._job_ids[task.unit.job.request.job_id] = None

    def _are_members_there(
        self, unit: PlacementUnit, task_id: str, run: int
    ) -> bool:
        if not unit.spec.is_gang:
            return True
        members = self._gang_members[unit.key, run]
        members.add(task_id)
        return len(members) == len(unit.tasks)

    def make_records(self) -> list[JobsBegun]:
        """Returns the records to append; none if the journal shows all."""
        state = self._get_state()
        self._job_ids = {
            job_id: None
            for job_id in self._job_ids
            if (job := state.jobs.get(job_id)) is not None and not job.has_begun
        }
        self._gang_members = defaultdict(
            set,
            {
                (key, run): members
                for (key, run), members in self._gang_members.items()
                if (task := state.tasks.get(key)) is not None
                and task.run == run
                and not task.unit.job.has_begun
            },
        )
        job_ids = tuple(self._job_ids)[:MAX_JOBS_PER_RECORD]
        return [JobsBegun(job_ids)] if job_ids else []
