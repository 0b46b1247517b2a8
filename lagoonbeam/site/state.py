"""The site's state, replayed from the journal by every instance."""

from __future__ import annotations

import functools
from collections import Counter, defaultdict
from collections.abc import Iterator

from lagoonbeam.site.jobs import (
    PlacementUnit,
    SiteJob,
    Task,
    build_job,
)
from lagoonbeam.site.late_starts.late_start_index import LateStartIndex
from lagoonbeam.site.model import JobState, RunEndReason
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobFailed,
    LeasesRenewed,
    MachineMoved,
    MachineServiced,
    Placement,
    Record,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    SpeedsEstimated,
    TermClaimed,
    TermRenewed,
    TermResigned,
    UpkeepOrdered,
    WaveBegun,
    WaveCompleted,
)
from lagoonbeam.site.state_model import (
    MachineLoan,
    SpeedEstimates,
    Term,
    WaveProgress,
)
from lagoonbeam.types import OrganisationName

MAX_ENDED_JOBS = 4_000
"""Ended jobs that callers can still query; the oldest are removed first."""
MAX_CANCELLED_IDS = 4_000
"""Identifiers that were cancelled without a job; the oldest are dropped."""
MAX_KNOWN_CLAIMS = 100
"""Newest claims of terms that are kept to bound the age of leases."""
MAX_UNCOMPACTED_JOBS = 100
"""Ended jobs that keep their tasks, to match late reports of ended runs."""


class SiteState:
    """All jobs, runs, instances and machine orders, replayed from the journal.

    Attributes:
        tasks_by_worker: Tasks of which a run may exist, by worker and task.
        cancelled_ids: Identifiers, oldest first, that were cancelled before
            a job was accepted under them.
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
        self.cancelled_ids: dict[str, None] = {}
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
        _apply_record(record, self)

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

    def count_open_jobs(self) -> int:
        """Returns the number of open jobs."""
        return len(self._open_jobs)

    def count_pending(self, queue: str) -> int:
        """Returns the number of a queue's open jobs that never started."""
        return sum(
            1
            for job in self.open_jobs()
            if job.request.queue.name == queue and not job.has_started
        )

    def count_pending_by_organisation(
        self,
    ) -> Counter[tuple[str, OrganisationName]]:
        """Counts open jobs that never started, by queue and organisation."""
        return Counter(
            (job.request.queue.name, job.request.organisation)
            for job in self._open_jobs.values()
            if not job.has_started
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


@functools.singledispatch
def _apply_record(record: Record, state: SiteState) -> None:
    """Applies one record; the overload is chosen by its type."""


@_apply_record.register
def _(record: InstanceJoined, state: SiteState) -> None:
    state.instances[record.instance] = record


@_apply_record.register
def _(record: JobAccepted, state: SiteState) -> None:
    request = record.job
    if request.job_id in state.jobs:
        return
    job = build_job(request)
    state.add_job(job)
    if request.job_id in state.cancelled_ids:
        del state.cancelled_ids[request.job_id]
        state.end_job(job, JobState.CANCELLED)


@_apply_record.register
def _(record: JobCancelled, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        state.end_job(job, JobState.CANCELLED)
        return
    state.cancelled_ids[record.job_id] = None
    if len(state.cancelled_ids) > MAX_CANCELLED_IDS:
        del state.cancelled_ids[next(iter(state.cancelled_ids))]


@_apply_record.register
def _(record: JobFailed, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        state.end_job(job, JobState.FAILED)


@_apply_record.register
def _(record: JobDropped, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None and not job.has_started:
        state.end_job(job, JobState.DID_NOT_RUN)


@_apply_record.register
def _(record: WaveBegun, state: SiteState) -> None:
    state.waves.setdefault(record.wave, WaveProgress(record.begun_at_s))


@_apply_record.register
def _(record: UpkeepOrdered, state: SiteState) -> None:
    wave = state.waves.get(record.wave)
    if wave is not None:
        wave.ordered.add(record.machine_id)


@_apply_record.register
def _(record: MachineServiced, state: SiteState) -> None:
    wave = state.waves.get(record.wave)
    if wave is not None:
        wave.serviced.add(record.machine_id)


@_apply_record.register
def _(record: WaveCompleted, state: SiteState) -> None:
    state.waves.pop(record.wave, None)
    state.completed_waves.add(record.wave)


@_apply_record.register
def _(record: MachineMoved, state: SiteState) -> None:
    if record.pool == record.home:
        state.lent_machines.pop(record.machine_id, None)
    else:
        loan = MachineLoan(record.pool, record.home)
        state.lent_machines[record.machine_id] = loan


@_apply_record.register
def _(record: TermClaimed, state: SiteState) -> None:
    state.term = Term(record.term, record.instance, record.incarnation, False)
    state.renewals_at_claim[record.term] = state.renewal_count
    if len(state.renewals_at_claim) > MAX_KNOWN_CLAIMS:
        del state.renewals_at_claim[next(iter(state.renewals_at_claim))]


@_apply_record.register
def _(record: TermRenewed, state: SiteState) -> None:
    if record.term != state.term.number:
        return
    state.renewal_count += state.term.is_renewed
    state.term.is_renewed = True
    state.late_starts.discard_expired(state.renewal_count)


@_apply_record.register
def _(record: TermResigned, state: SiteState) -> None:
    if record.term == state.term.number:
        state.term.is_resigned = True


@_apply_record.register
def _(record: LeasesRenewed, state: SiteState) -> None:
    for worker in record.workers:
        if state.tasks_by_worker.get(worker):
            state.lease_terms[worker] = record.term


@_apply_record.register
def _(record: RunsPlaced, state: SiteState) -> None:
    for placement in record.placements:
        task = state.tasks.get(placement.task_id)
        # A placement that was not confirmed in time is planned again.
        if task is None or placement.run <= task.run:
            continue
        task.run = placement.run
        state.set_placement(task, placement)
        state.lease_terms[placement.worker] = state.term.number
        state.refresh_waiting(task.unit)
        job = task.unit.job
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING


@_apply_record.register
def _(record: SpeedsEstimated, state: SiteState) -> None:
    state.speed_estimates.update(record.speeds, record.run_times_s)


@_apply_record.register
def _(record: RunsEnded, state: SiteState) -> None:
    for end in record.ends:
        task = state.tasks.get(end.task_id)
        if task is None or task.placement is None or task.run != end.run:
            continue
        state.late_starts.add_ended(
            end, task.placement.worker, state.renewal_count
        )
        _apply_run_end(state, task, end)
        state.refresh_waiting(task.unit)


def _apply_run_end(state: SiteState, task: Task, end: RunEnd) -> None:
    unit = task.unit
    state.clear_placement(task)
    if end.checkpoint:
        unit.checkpoint = end.checkpoint
    if end.end is RunEndReason.FAILED and unit.last_failed_run != end.run:
        unit.last_failed_run = end.run if unit.spec.is_gang else 0
        unit.failures += 1
        unit.job.update_unit_with_most_failures(unit)
    if end.end in (RunEndReason.NEVER_STARTED, RunEndReason.PEERS_MISSING):
        unit.last_aborted_run = end.run
    elif (
        unit.job.request.runs_once
        and end.end not in (RunEndReason.DONE, RunEndReason.FAILED)
        and not (unit.spec.is_gang and unit.last_aborted_run == end.run)
    ):
        state.end_job(unit.job, JobState.UNKNOWN)
    if (
        end.end is not RunEndReason.DONE
        or unit.is_done
        or unit.spec.is_long_running
    ):
        return
    unit.mark_done()
    for member in unit.tasks if unit.spec.is_gang else ():
        state.clear_placement(member)
    if unit.job.unfinished_unit_count == 0:
        state.end_job(unit.job, JobState.COMPLETED)
