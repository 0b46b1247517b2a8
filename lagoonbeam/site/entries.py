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
class TaskState:
    """One task of one occurrence.

    Attributes:
        task_id: Its name.
        unit: The unit that it is started with.
        run: Number of its latest start; 0 before the first.
        placement: Its run that may exist, if any.
        is_done: Whether a run ended as done.
    """

    task_id: str
    unit: UnitState
    run: int = 0
    placement: Placement | None = None
    is_done: bool = False


@dataclass(slots=True)
class UnitState:
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

    job: JobEntry
    occurrence: int
    step: int
    tasks: list[TaskState] = field(default_factory=list)
    failures: int = 0
    failed_run: int = 0
    void_run: int = 0
    checkpoint: str = ""
    is_done: bool = False

    @property
    def spec(self) -> Step:
        """The step's description."""
        return self.job.request.steps[self.step]

    @property
    def key(self) -> str:
        """Name of the unit: that of its first task."""
        return self.tasks[0].task_id

    @property
    def has_runs(self) -> bool:
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


class Retired(msgspec.Struct, frozen=True, array_like=True):
    """What is kept of a job that ended long ago.

    Attributes:
        progress: How far its steps were.
        fingerprint: Hash of what its caller asked for.
    """

    progress: tuple[StepProgress, ...]
    fingerprint: str


@dataclass(slots=True)
class JobEntry:
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
    units: dict[tuple[int, int], list[UnitState]] = field(default_factory=dict)
    state: JobState = JobState.QUEUED
    has_started: bool = False
    open_units: int = 0
    most_failed: UnitState | None = None
    retired: Retired | None = None
    is_noted: bool = False

    @property
    def is_open(self) -> bool:
        """Whether the job may still start tasks."""
        return self.state in (JobState.QUEUED, JobState.RUNNING)

    def all_units(self) -> Iterator[UnitState]:
        """Yields the units of all steps."""
        for units in self.units.values():
            yield from units

    def get_progress(self) -> tuple[StepProgress, ...]:
        """Returns how far each step is."""
        if self.retired is not None:
            return self.retired.progress
        return tuple(
            _count_progress(occurrence, step, units)
            for (occurrence, step), units in self.units.items()
        )

    def get_fingerprint(self) -> str:
        """Returns what tells whether another request is the same."""
        if self.retired is not None:
            return self.retired.fingerprint
        return make_fingerprint(self.request)

    def has_runs(self) -> bool:
        """Whether a run of one of its tasks may exist."""
        return any(unit.has_runs for unit in self.all_units())

    def retire(self) -> None:
        """Drops what only an open job needs."""
        if self.retired is None:
            self.retired = Retired(self.get_progress(), self.get_fingerprint())
            self.request = msgspec.structs.replace(
                self.request, payload="", steps=()
            )
            self.units = {}
            self.most_failed = None

    def note_failures(self, unit: UnitState) -> None:
        """Takes a unit's failures into account."""
        most = self.most_failed
        if unit.spec.is_long_running or unit.is_done:
            return
        if most is None or most.is_done or unit.failures > most.failures:
            self.most_failed = unit

    def due_s(self, occurrence: int) -> float:
        """Wall clock time before which an occurrence must not start."""
        request = self.request
        if not request.repeat_count:
            return 0.0
        return request.first_due_s + occurrence * request.interval_s

    def is_step_done(self, occurrence: int, step: int) -> bool:
        """Whether all tasks of a step are done."""
        return all(unit.is_done for unit in self.units[occurrence, step])


def make_fingerprint(request: JobRequest) -> str:
    """Returns a hash of what a caller asked for."""
    asked = msgspec.structs.replace(
        request, accepted_at_s=0.0, queue=QueuePolicy(request.queue.name, "")
    )
    return hashlib.sha256(msgspec.msgpack.encode(asked)).hexdigest()[:16]


def _count_progress(
    occurrence: int, step: int, units: list[UnitState]
) -> StepProgress:
    tasks = [task for unit in units for task in unit.tasks]
    return StepProgress(
        occurrence,
        step,
        len(tasks),
        sum(task.placement is not None for task in tasks),
        sum(task.is_done for task in tasks),
        sum(unit.failures for unit in units),
        sum(task.run for task in tasks),
    )


def build_entry(request: JobRequest) -> JobEntry:
    """Returns a job as it is accepted, with all its tasks."""
    entry = JobEntry(request)
    for occurrence in range(max(1, request.repeat_count)):
        for number, step in enumerate(request.steps):
            groups = (
                [range(step.count)]
                if step.is_gang
                else [range(index, index + 1) for index in range(step.count)]
            )
            units = []
            for group in groups:
                unit = UnitState(entry, occurrence, number)
                unit.tasks = [
                    TaskState(
                        make_task_id(request.job_id, occurrence, number, i),
                        unit,
                    )
                    for i in group
                ]
                units.append(unit)
            entry.units[occurrence, number] = units
            entry.open_units += len(units)
    return entry
