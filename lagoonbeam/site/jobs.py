"""Jobs as held in the site's state: placement units and tasks."""

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
    """One task of one occurrence of a job.

    Attributes:
        task_id: Identifier of the task.
        unit: The unit that the task is placed with.
        run: Number of the latest run; 0 before the first.
        placement: Where the latest run may exist; None once it has ended.
        is_done: Whether the task's work is done.
    """

    task_id: str
    unit: PlacementUnit
    run: int = 0
    placement: Placement | None = None
    is_done: bool = False


@dataclass(slots=True)
class PlacementUnit:
    """Tasks that are placed together: a gang, or a single task.

    Attributes:
        job: The job.
        occurrence: Index of the occurrence.
        step_index: Index of the step.
        tasks: The tasks.
        failures: Number of failed runs; a gang's run counts once, however
            many members fail.
        last_failed_run: Number of the last failed run; kept for gangs only.
        last_aborted_run: Number of the last run in which a task never
            started, so that no member of a gang did any work.
        checkpoint: Newest known checkpoint; empty for none.
        is_done: Whether all of its work is done.
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
        """The requested step."""
        return self.job.request.steps[self.step_index]

    @property
    def key(self) -> str:
        """Identifier of the unit: that of its first task."""
        return self.tasks[0].task_id

    @property
    def has_placements(self) -> bool:
        """Whether a run of any task may exist."""
        return any(task.placement is not None for task in self.tasks)

    @property
    def next_run(self) -> int:
        """Run number for the next start, shared by all tasks."""
        return max(task.run for task in self.tasks) + 1

    def mark_done(self) -> None:
        """Records that all work of the unit is done."""
        for task in self.tasks:
            task.is_done = True
        self.is_done = True
        self.job.unfinished_unit_count -= 1


class StepProgress(msgspec.Struct, frozen=True, array_like=True):
    """Progress of one step of one occurrence.

    Attributes:
        occurrence: Index of the occurrence.
        step: Index of the step.
        tasks: Number of tasks.
        running: Number of tasks of which a run may exist.
        done: Number of tasks that are done.
        failures: Number of failed runs.
        starts: Number of runs of all tasks.
    """

    occurrence: int
    step: int
    tasks: int
    running: int
    done: int
    failures: int
    starts: int


class JobSummary(msgspec.Struct, frozen=True, array_like=True):
    """What a compacted job keeps in place of its steps and tasks.

    Attributes:
        progress: Final progress of its steps.
        fingerprint: Hash of the request, to recognise a repeated one.
    """

    progress: tuple[StepProgress, ...]
    fingerprint: str


@dataclass(slots=True)
class SiteJob:
    """A job with its placement units.

    Old ended jobs are compacted: they keep only what callers can query.

    Attributes:
        request: The accepted request; a compacted job's has no payload and
            no steps.
        units: All units by (occurrence, step index).
        state: State of the job.
        has_begun: Whether a worker has said that it began a task; for a gang,
            that all members were there.
        may_have_run: Whether it is not certain that no task ever ran; runs
            that may exist now don't count.
        unfinished_unit_count: Number of units that are not done.
        unit_with_most_failures: The unit with the most failures, if any failed;
            units of long-running steps are not counted.
        summary: What a compacted job keeps of its units; None before.
        is_end_logged: Whether this instance has logged the end of the job.
    """

    request: JobRequest
    units: dict[tuple[int, int], list[PlacementUnit]] = field(
        default_factory=dict
    )
    state: JobState = JobState.QUEUED
    has_begun: bool = False
    may_have_run: bool = False
    unfinished_unit_count: int = 0
    unit_with_most_failures: PlacementUnit | None = None
    summary: JobSummary | None = None
    is_end_logged: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the job may still start tasks."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    def mark_begun(self) -> None:
        """Records that a worker has begun a task."""
        self.has_begun = True
        self.may_have_run = True
        if self.state is JobState.QUEUED:
            self.state = JobState.RUNNING

    @property
    def has_certainly_not_run(self) -> bool:
        """Whether no task ran, or may be running."""
        return not self.may_have_run and not self.has_placements()

    def all_units(self) -> Iterator[PlacementUnit]:
        """Yields the units of all steps."""
        for units in self.units.values():
            yield from units

    def get_progress(self) -> tuple[StepProgress, ...]:
        """Returns the progress of each step."""
        if self.summary is not None:
            return self.summary.progress
        return tuple(
            _summarize_step(occurrence, step, units)
            for (occurrence, step), units in self.units.items()
        )

    def get_fingerprint(self) -> str:
        """Returns the hash by which a repeated request is recognised."""
        if self.summary is not None:
            return self.summary.fingerprint
        return make_fingerprint(self.request)

    def has_placements(self) -> bool:
        """Whether a run of any task may exist."""
        return any(unit.has_placements for unit in self.all_units())

    def compact(self) -> None:
        """Replaces units, payload and steps by a summary."""
        if self.summary is None:
            self.summary = JobSummary(
                self.get_progress(), self.get_fingerprint()
            )
            self.request = msgspec.structs.replace(
                self.request, payload="", steps=()
            )
            self.units = {}
            self.unit_with_most_failures = None

    def update_unit_with_most_failures(self, unit: PlacementUnit) -> None:
        """Updates `unit_with_most_failures` after a failure of a unit."""
        worst = self.unit_with_most_failures
        if unit.spec.is_long_running or unit.is_done:
            return
        if worst is None or worst.is_done or unit.failures > worst.failures:
            self.unit_with_most_failures = unit

    def due_s(self, occurrence: int) -> float:
        """Earliest start of an occurrence, in wall clock time; 0 for any."""
        request = self.request
        if not request.repeat_count:
            return 0.0
        return request.first_due_s + occurrence * request.interval_s

    def is_step_done(self, occurrence: int, step_index: int) -> bool:
        """Whether all units of a step are done."""
        return all(unit.is_done for unit in self.units[occurrence, step_index])


def make_fingerprint(request: JobRequest) -> str:
    """Returns a hash of a request.

    The acceptance time and the queue's policy are left out: they may differ
    when the caller repeats a request.
    """
    normalized = msgspec.structs.replace(
        request, accepted_at_s=0.0, queue=QueuePolicy(request.queue.name, "")
    )
    return hashlib.sha256(msgspec.msgpack.encode(normalized)).hexdigest()[:16]


def _summarize_step(
    occurrence: int, step_index: int, units: list[PlacementUnit]
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
    """Builds a newly accepted job with all of its tasks."""
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
                unit = PlacementUnit(job, occurrence, step_index)
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
