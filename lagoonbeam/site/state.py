"""The fold of the journal: what every instance knows of all jobs."""

from __future__ import annotations

import functools
from collections import Counter, defaultdict
from collections.abc import Iterator
from dataclasses import dataclass, field

from lagoonbeam.site.entries import (
    JobEntry,
    TaskState,
    UnitState,
    build_entry,
)
from lagoonbeam.site.model import End, JobState
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobFailed,
    MachineMoved,
    MachineServiced,
    Placement,
    Record,
    RunEnd,
    RunsEnded,
    RunsPlaced,
    TermClaimed,
    TermRenewed,
    TermResigned,
    WaveBegun,
    WaveCompleted,
)
from lagoonbeam.types import OrganisationName

ENDED_JOBS_KEPT = 4_000
"""Ended jobs whose state is still told; the oldest are forgotten first."""
WHOLE_JOBS_KEPT = 100
"""Ended jobs whose tasks are still known, for ends that come later."""


@dataclass(slots=True)
class Term:
    """Who schedules.

    Attributes:
        number: The term; also the fencing token of its orders.
        instance: The instance.
        incarnation: That life of it.
        is_resigned: Whether it has stopped by itself.
    """

    number: int = 0
    instance: str = ""
    incarnation: str = ""
    is_resigned: bool = True


@dataclass(slots=True)
class WaveEntry:
    """A wave of upkeep that was begun.

    Attributes:
        begun_at_s: Wall clock time.
        serviced: Machines whose upkeep has begun.
    """

    begun_at_s: float
    serviced: set[str] = field(default_factory=set)


@dataclass(frozen=True, slots=True)
class Loan:
    """A machine that works for another pool than its own.

    Attributes:
        pool: The service it works for.
        home: Its spare pool.
    """

    pool: str
    home: str


class SiteState:
    """All jobs, runs, instances and machine orders, folded from the journal.

    Attributes:
        changes: How often the runs of each worker have changed.
    """

    def __init__(self) -> None:
        self.jobs: dict[str, JobEntry] = {}
        self.tasks: dict[str, TaskState] = {}
        self.instances: dict[str, InstanceJoined] = {}
        self.placed: dict[str, dict[str, TaskState]] = defaultdict(dict)
        self.term = Term()
        self.waves: dict[int, WaveEntry] = {}
        self.completed_waves: set[int] = set()
        self.lent_machines: dict[str, Loan] = {}
        self.changes: dict[str, int] = defaultdict(int)
        self._open: dict[str, JobEntry] = {}
        self._waiting: dict[str, UnitState] = {}
        self._ended: dict[str, None] = {}
        self._whole: dict[str, None] = {}

    @property
    def is_vacant(self) -> bool:
        """Whether the newest term's holder is known to schedule no more.

        It resigned, or its instance has started again since.
        """
        term = self.term
        joined = self.instances.get(term.instance)
        return term.is_resigned or (
            joined is not None and joined.incarnation != term.incarnation
        )

    def apply(self, record: Record) -> None:
        """Takes one record into account."""
        _apply(record, self)

    def open_jobs(self) -> Iterator[JobEntry]:
        """Yields jobs that may still start tasks, oldest first."""
        return iter(list(self._open.values()))

    def add_job(self, job: JobEntry) -> None:
        """Notes a new job and its tasks."""
        self.jobs[job.request.job_id] = job
        self._open[job.request.job_id] = job
        for unit in job.all_units():
            self.tasks.update((task.task_id, task) for task in unit.tasks)
            self.review(unit)

    def waiting_units(self) -> Iterator[UnitState]:
        """Yields units of open jobs that are not done and have no runs."""
        return iter(list(self._waiting.values()))

    def review(self, unit: UnitState) -> None:
        """Notes whether a unit waits, after a change of it or its job."""
        if unit.is_done or unit.has_runs or not unit.job.is_open:
            self._waiting.pop(unit.key, None)
        else:
            self._waiting[unit.key] = unit

    def count_open(self) -> int:
        """Returns how many jobs may still start tasks."""
        return len(self._open)

    def count_pending(self, queue: str) -> int:
        """Returns how many open jobs of a queue have not started."""
        return sum(
            1
            for job in self.open_jobs()
            if job.request.queue.name == queue and not job.has_started
        )

    def count_queued(self) -> Counter[tuple[str, OrganisationName]]:
        """Returns open jobs that have not started, by queue and caller."""
        return Counter(
            (job.request.queue.name, job.request.organisation)
            for job in self._open.values()
            if not job.has_started
        )

    def end_job(self, job: JobEntry, state: JobState) -> None:
        """Gives an open job its final state."""
        if not job.is_open:
            return
        job.state = state
        del self._open[job.request.job_id]
        for unit in job.all_units():
            self._waiting.pop(unit.key, None)
        self._ended[job.request.job_id] = None
        self._whole[job.request.job_id] = None
        if len(self._whole) > WHOLE_JOBS_KEPT:
            self._retire(next(iter(self._whole)))
        while len(self._ended) > ENDED_JOBS_KEPT:
            self._forget(next(iter(self._ended)))

    def clear_placement(self, task: TaskState) -> None:
        """Notes that no run of a task exists."""
        if task.placement is not None:
            self.placed[task.placement.worker].pop(task.task_id, None)
            self.changes[task.placement.worker] += 1
            task.placement = None

    def set_placement(self, task: TaskState, placement: Placement) -> None:
        """Notes that a run of a task may exist."""
        self.clear_placement(task)
        task.placement = placement
        self.placed[placement.worker][task.task_id] = task
        self.changes[placement.worker] += 1

    def add_retired(self, job: JobEntry) -> None:
        """Notes a job that ended long ago."""
        self.jobs[job.request.job_id] = job
        self._ended[job.request.job_id] = None

    def _retire(self, job_id: str) -> None:
        """Drops the tasks of an ended job, or looks at it again later."""
        del self._whole[job_id]
        job = self.jobs[job_id]
        if job.has_runs():
            self._whole[job_id] = None
            return
        self._drop_tasks(job)
        job.retire()

    def _forget(self, job_id: str) -> None:
        del self._ended[job_id]
        self._whole.pop(job_id, None)
        self._drop_tasks(self.jobs.pop(job_id))

    def _drop_tasks(self, job: JobEntry) -> None:
        for unit in job.all_units():
            for task in unit.tasks:
                self.clear_placement(task)
                del self.tasks[task.task_id]


@functools.singledispatch
def _apply(record: Record, state: SiteState) -> None:
    """Takes one record into account; a renewal changes nothing."""


@_apply.register
def _(record: InstanceJoined, state: SiteState) -> None:
    state.instances[record.instance] = record


@_apply.register
def _(record: JobAccepted, state: SiteState) -> None:
    request = record.job
    if request.job_id in state.jobs:
        return
    entry = build_entry(request)
    state.add_job(entry)


@_apply.register
def _(record: JobCancelled, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        state.end_job(job, JobState.CANCELLED)


@_apply.register
def _(record: JobFailed, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None:
        state.end_job(job, JobState.FAILED)


@_apply.register
def _(record: JobDropped, state: SiteState) -> None:
    job = state.jobs.get(record.job_id)
    if job is not None and not job.has_started:
        state.end_job(job, JobState.DID_NOT_RUN)


@_apply.register
def _(record: WaveBegun, state: SiteState) -> None:
    state.waves.setdefault(record.wave, WaveEntry(record.at_s))


@_apply.register
def _(record: MachineServiced, state: SiteState) -> None:
    wave = state.waves.get(record.wave)
    if wave is not None:
        wave.serviced.add(record.machine_id)


@_apply.register
def _(record: WaveCompleted, state: SiteState) -> None:
    state.waves.pop(record.wave, None)
    state.completed_waves.add(record.wave)


@_apply.register
def _(record: MachineMoved, state: SiteState) -> None:
    if record.pool == record.home:
        state.lent_machines.pop(record.machine_id, None)
    else:
        loan = Loan(record.pool, record.home)
        state.lent_machines[record.machine_id] = loan


@_apply.register
def _(record: TermClaimed, state: SiteState) -> None:
    state.term = Term(record.term, record.instance, record.incarnation, False)


@_apply.register
def _(record: TermRenewed, state: SiteState) -> None:
    del record, state


@_apply.register
def _(record: TermResigned, state: SiteState) -> None:
    if record.term == state.term.number:
        state.term.is_resigned = True


@_apply.register
def _(record: RunsPlaced, state: SiteState) -> None:
    for placement in record.placements:
        task = state.tasks.get(placement.task_id)
        if task is None:
            continue
        task.run = placement.run
        state.set_placement(task, placement)
        state.review(task.unit)
        job = task.unit.job
        job.has_started = True
        if job.state is JobState.QUEUED:
            job.state = JobState.RUNNING


@_apply.register
def _(record: RunsEnded, state: SiteState) -> None:
    for end in record.ends:
        task = state.tasks.get(end.task_id)
        if task is None or task.placement is None or task.run != end.run:
            continue
        _end_run(state, task, end)
        state.review(task.unit)


def _end_run(state: SiteState, task: TaskState, end: RunEnd) -> None:
    unit = task.unit
    state.clear_placement(task)
    if end.checkpoint:
        unit.checkpoint = end.checkpoint
    if end.end is End.FAILED and unit.failed_run != end.run:
        unit.failed_run = end.run if unit.spec.is_gang else 0
        unit.failures += 1
        unit.job.note_failures(unit)
    if end.end in (End.NEVER_STARTED, End.ALONE):
        unit.void_run = end.run
    elif (
        unit.job.request.runs_once
        and end.end not in (End.DONE, End.FAILED)
        and not (unit.spec.is_gang and unit.void_run == end.run)
    ):
        state.end_job(unit.job, JobState.UNKNOWN)
    if end.end is not End.DONE or unit.is_done or unit.spec.is_long_running:
        return
    for member in unit.tasks:
        member.is_done = True
        if unit.spec.is_gang:
            state.clear_placement(member)
    unit.is_done = True
    job = unit.job
    job.open_units -= 1
    if job.open_units == 0:
        state.end_job(job, JobState.COMPLETED)
