"""Jobs as the state holds them: units, tasks, and how far they are."""

from __future__ import annotations

import hashlib
from collections.abc import Iterator
from dataclasses import dataclass, field

import msgspec

from lagoonbeam.site.model import (
    JobRequest,
    JobState,
    QueuePolicy,
    Step,
    make_task_id,
)
from lagoonbeam.site.records import Placement


@dataclass(slots=True)
class Task:
    """One task of one occurrence.

    Attributes:
        task_id: Its name.
        unit: The unit that it is started with.
        run: Number of its latest start; 0 before the first.
        placement: Its run that may exist, if any.
        is_done: Whether a run ended as done.
    """

    task_id: str
    unit: SchedulingUnit
    run: int = 0
    placement: Placement | None = None
    is_done: bool = False


@dataclass(slots=True)
class SchedulingUnit:
    """Tasks that start and end together: a gang, or one task.

    Attributes:
        job: The job.
        occurrence: Number of the occurrence, from 0.
        step: Number of the step, from 0.
        tasks: The tasks.
        failures: Runs that ended as failed; of a gang's run, once.
        failed_run: Number of the last run that failed.
        void_run: Number of the last run of which a task never started; no
            other task of a gang has worked in it.
        checkpoint: Newest known progress; empty for none.
        is_done: Whether all its work is done.
    """

    job: SiteJob
    occurrence: int
    step_index: int
    tasks: list[Task] = field(default_factory=list)
    failures: int = 0
    last_failed_run: int = 0
    last_aborted_run: int = 0
    checkpoint: str = ""
    is_done: bool = False

    @property
    def spec(self) -> Step:
        """The step's description."""
        return self.job.request.steps[self.step_index]

    @property
    def key(self) -> str:
        """Name of the unit: that of its first task."""
        return self.tasks[0].task_id

    @property
    def has_placements(self) -> bool:
        """Whether a run of one of its tasks may exist."""
        return any(task.placement is not None for task in self.tasks)

    @property
    def next_run(self) -> int:
        """Number for the next start, the same for all tasks."""
        return max(task.run for task in self.tasks) + 1


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """How far a step of one occurrence is.

    Attributes:
        occurrence: Number of the occurrence.
        step: Number of the step.
        tasks: Its tasks.
        running: Tasks of which a run may exist.
        done: Tasks that are done.
        failures: Runs that ended as failed.
        starts: Starts of its tasks.
    """

    occurrence: int
    step: int
    tasks: int
    running: int
    done: int
    failures: int
    starts: int


class JobSummary(msgspec.Struct, frozen=True, array_like=True):
    """What is kept of a job that ended long ago.

    Attributes:
        progress: How far its steps were.
        fingerprint: Hash of what its caller asked for.
    """

    progress: tuple[StepProgress, ...]
    fingerprint: str


@dataclass(slots=True)
class SiteJob:
    """A job and its tasks.

    A job that ended long ago is retired: it keeps only what callers may ask
    for.

    Attributes:
        request: What was accepted; without payload and steps once retired.
        units: All units by (occurrence, step).
        state: Where the job stands.
        has_started: Whether one of its tasks was ever started.
        open_units: Units that are not done.
        most_failed: The unit with the most failures, if any failed; those of
            long-running steps do not count.
        retired: What is kept in place of the units, once it is retired.
        is_noted: Whether this instance has written the line of its end.
    """

    request: JobRequest
    units: dict[tuple[int, int], list[SchedulingUnit]] = field(
        default_factory=dict
    )
    state: JobState = JobState.QUEUED
    has_started: bool = False
    unfinished_unit_count: int = 0
    most_failed_unit: SchedulingUnit | None = None
    summary: JobSummary | None = None
    is_end_logged: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the job may still start tasks."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    def iter_units(self) -> Iterator[SchedulingUnit]:
        """Yields the units of all steps."""
        for units in self.units.values():
            yield from units

    def get_progress(self) -> tuple[StepProgress, ...]:
        """Returns how far each step is."""
        if self.summary is not None:
            return self.summary.progress
        return tuple(
            _summarize_step(occurrence, step, units)
            for (occurrence, step), units in self.units.items()
        )

    def get_fingerprint(self) -> str:
        """Returns what tells whether another request is the same."""
        if self.summary is not None:
            return self.summary.fingerprint
        return make_fingerprint(self.request)

    def has_placements(self) -> bool:
        """Whether a run of one of its tasks may exist."""
        return any(unit.has_placements for unit in self.iter_units())

    def compact(self) -> None:
        """Drops what only an open job needs."""
        if self.summary is None:
            self.summary = JobSummary(
                self.get_progress(), self.get_fingerprint()
            )
            self.request = msgspec.structs.replace(
                self.request, payload="", steps=()
            )
            self.units = {}
            self.most_failed_unit = None

    def update_most_failed_unit(self, unit: SchedulingUnit) -> None:
        """Takes a unit's failures into account."""
        worst = self.most_failed_unit
        if unit.spec.is_long_running or unit.is_done:
            return
        if worst is None or worst.is_done or unit.failures > worst.failures:
            self.most_failed_unit = unit

    def due_s(self, occurrence: int) -> float:
        """Wall clock time before which an occurrence must not start."""
        request = self.request
        if not request.repeat_count:
            return 0.0
        return request.first_due_s + occurrence * request.interval_s

    def is_step_done(self, occurrence: int, step_index: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(unit.is_done for unit in self.units[occurrence, step_index])


def make_fingerprint(request: JobRequest) -> str:
    """Returns a hash of what a caller asked for."""
    normalized = msgspec.structs.replace(
        request, accepted_at_s=0.0, queue=QueuePolicy(request.queue.name, "")
    )
    return hashlib.sha256(msgspec.msgpack.encode(normalized)).hexdigest()[:16]


def _summarize_step(
    occurrence: int, step_index: int, units: list[SchedulingUnit]
) -> StepProgress:
    tasks = [task for unit in units for task in unit.tasks]
    return StepProgress(
        occurrence,
        step_index,
        len(tasks),
        sum(task.placement is not None for task in tasks),
        sum(task.is_done for task in tasks),
        sum(unit.failures for unit in units),
        sum(task.run for task in tasks),
    )


def build_job(request: JobRequest) -> SiteJob:
    """Returns a job as it is accepted, with all its tasks."""
    job = SiteJob(request)
    for occurrence in range(max(1, request.repeat_count)):
        for step_index, step in enumerate(request.steps):
            task_ranges = (
                [range(step.count)]
                if step.is_gang
                else [range(index, index + 1) for index in range(step.count)]
            )
            units = []
            for task_range in task_ranges:
                unit = SchedulingUnit(job, occurrence, step_index)
                unit.tasks = [
                    Task(
                        make_task_id(
                            request.job_id, occurrence, step_index, task_index
                        ),
                        unit,
                    )
                    for task_index in task_range
                ]
                units.append(unit)
            job.units[occurrence, step_index] = units
            job.unfinished_unit_count += len(units)
    return job
