"""The site's state, replayed from the journal by every instance."""

from __future__ import annotations

from collections import Counter, defaultdict
from collections.abc import Iterator

from lagoonbeam.site.job_scope import JobScope
from lagoonbeam.site.jobs import (
    PlacementUnit,
    SiteJob,
    Task,
)
from lagoonbeam.site.late_starts.late_start_index import LateStartIndex
from lagoonbeam.site.model import JobState
from lagoonbeam.site.records import (
    InstanceJoined,
    Placement,
    Record,
    RunKey,
)
from lagoonbeam.site.state_changes import apply_record
from lagoonbeam.site.state_model import (
    MachineLoan,
    SpeedEstimates,
    Term,
    WaveProgress,
)
from lagoonbeam.types import OrganisationName

MAX_ENDED_JOBS = 4_000
"""Ended jobs that callers can still query; the oldest are removed first."""
MAX_UNCOMPACTED_JOBS = 100
"""Ended jobs that keep their tasks, to match late reports of ended runs."""


class SiteState:
    """All jobs, runs, instances and machine orders, replayed from the journal.

    Attributes:
        tasks_by_worker: Tasks of which a run may exist, by worker and task.
        cancelled_scopes: Identifiers, oldest first, that were cancelled before
            a job was accepted under them, with the scopes of the callers.
        lease_terms: For each worker with placed runs, the last term that may
            have granted leases to it.
        renewal_count: Number of renewals of terms, without the first of each.
        renewals_at_claim: That number at the claim of each of the newest
            terms.
        speed_estimates: Estimates from which the next scheduler starts.
        late_starts: Starts of ended runs that may still be carried out.
        placement_version: For each worker, the number of changes to the
            tasks placed on it.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, SiteJob] = {}
        self.tasks: dict[str, Task] = {}
        self.instances: dict[str, InstanceJoined] = {}
        self.tasks_by_worker: dict[str, dict[str, Task]] = defaultdict(dict)
        self.cancelled_scopes: dict[str, tuple[JobScope, ...]] = {}
        self.lease_terms: dict[str, int] = {}
        self.renewal_count = 0
        self.renewals_at_claim: dict[int, int] = {}
        self.term = Term()
        self.waves: dict[int, WaveProgress] = {}
        self.completed_waves: set[int] = set()
        self.lent_machines: dict[str, MachineLoan] = {}
        self.placement_version: dict[str, int] = defaultdict(int)
        self.speed_estimates = SpeedEstimates()
        self.late_starts = LateStartIndex()
        self._open_jobs: dict[str, SiteJob] = {}
        self._waiting_units: dict[str, PlacementUnit] = {}
        self._ended_job_ids: dict[str, None] = {}
        self._uncompacted_job_ids: dict[str, None] = {}

    @property
    def is_term_vacant(self) -> bool:
        """Whether no instance holds the newest term any longer.

        Its holder resigned, or has restarted since.
        """
        term = self.term
        joined = self.instances.get(term.instance)
        return term.is_resigned or (
            joined is not None and joined.incarnation != term.incarnation
        )

    def apply(self, record: Record) -> None:
        """Applies one journal record."""
        apply_record(record, self)

    def open_jobs(self) -> Iterator[SiteJob]:
        """Yields open jobs, oldest first."""
        return iter(list(self._open_jobs.values()))

    def add_job(self, job: SiteJob) -> None:
        """Adds an accepted job and its tasks."""
        self.jobs[job.request.job_id] = job
        self._open_jobs[job.request.job_id] = job
        for unit in job.all_units():
            self.tasks.update((task.task_id, task) for task in unit.tasks)
            self.refresh_waiting(unit)

    def waiting_units(self) -> Iterator[PlacementUnit]:
        """Yields unfinished units of open jobs without a run."""
        return iter(list(self._waiting_units.values()))

    def refresh_waiting(self, unit: PlacementUnit) -> None:
        """Updates the set of waiting units after a change of a unit."""
        if unit.is_done or unit.has_placements or not unit.job.is_open:
            self._waiting_units.pop(unit.key, None)
        else:
            self._waiting_units[unit.key] = unit

    def list_placed_runs(self) -> frozenset[RunKey]:
        """Returns all runs that may exist."""
        return frozenset(
            (task.task_id, task.run)
            for tasks in self.tasks_by_worker.values()
            for task in tasks.values()
        )

    def count_open_jobs(self) -> int:
        """Returns the number of open jobs."""
        return len(self._open_jobs)

    def count_pending(self, queue: str) -> int:
        """Returns the number of a queue's open jobs that have not begun."""
        return sum(
            1
            for job in self.open_jobs()
            if job.request.queue.name == queue and not job.has_begun
        )

    def count_pending_by_organisation(
        self,
    ) -> Counter[tuple[str, OrganisationName]]:
        """Counts open jobs that have not begun, by queue and organisation."""
        return Counter(
            (job.request.queue.name, job.request.organisation)
            for job in self._open_jobs.values()
            if not job.has_begun
        )

    def end_job(self, job: SiteJob, state: JobState) -> None:
        """Moves an open job to a final state; ended jobs keep theirs."""
        if not job.is_open:
            return
        job.state = state
        del self._open_jobs[job.request.job_id]
        for unit in job.all_units():
            self._waiting_units.pop(unit.key, None)
        self._ended_job_ids[job.request.job_id] = None
        self._uncompacted_job_ids[job.request.job_id] = None
        if len(self._uncompacted_job_ids) > MAX_UNCOMPACTED_JOBS:
            self._compact_job(next(iter(self._uncompacted_job_ids)))
        while len(self._ended_job_ids) > MAX_ENDED_JOBS:
            self._remove_job(next(iter(self._ended_job_ids)))

    def clear_placement(self, task: Task) -> None:
        """Records that no run of a task exists."""
        if task.placement is not None:
            worker = task.placement.worker
            self.tasks_by_worker[worker].pop(task.task_id, None)
            if not self.tasks_by_worker[worker]:
                self.lease_terms.pop(worker, None)
            self.placement_version[worker] += 1
            task.placement = None

    def set_placement(self, task: Task, placement: Placement) -> None:
        """Records that a run of a task may exist."""
        self.clear_placement(task)
        task.placement = placement
        self.tasks_by_worker[placement.worker][task.task_id] = task
        self.placement_version[placement.worker] += 1

    def get_end_positions(self) -> dict[str, int]:
        """Returns the position of each ended job in the order of ends.

        Ended jobs are forgotten in this order.
        """
        return {
            job_id: position
            for position, job_id in enumerate(self._ended_job_ids)
        }

    def sort_ended_jobs(self, end_positions: dict[str, int]) -> None:
        """Orders the ended jobs as in the state that they were loaded from."""
        for job_ids in (self._ended_job_ids, self._uncompacted_job_ids):
            ordered_ids = sorted(job_ids, key=end_positions.__getitem__)
            job_ids.clear()
            job_ids.update(dict.fromkeys(ordered_ids))

    def add_compacted_job(self, job: SiteJob) -> None:
        """Adds a compacted job from a snapshot."""
        self.jobs[job.request.job_id] = job
        self._ended_job_ids[job.request.job_id] = None

    def _compact_job(self, job_id: str) -> None:
        """Compacts an ended job, or requeues it while runs may exist."""
        del self._uncompacted_job_ids[job_id]
        job = self.jobs[job_id]
        if job.has_placements():
            self._uncompacted_job_ids[job_id] = None
            return
        self._remove_tasks(job)
        job.compact()

    def _remove_job(self, job_id: str) -> None:
        del self._ended_job_ids[job_id]
        self._uncompacted_job_ids.pop(job_id, None)
        self._remove_tasks(self.jobs.pop(job_id))

    def _remove_tasks(self, job: SiteJob) -> None:
        for unit in job.all_units():
            for task in unit.tasks:
                self.clear_placement(task)
                del self.tasks[task.task_id]
