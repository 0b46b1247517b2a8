"""What is free on workers, and which of them a step may use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonbeam.site.jobs import SchedulingUnit
from lagoonbeam.site.model import Step, WorkerReport, make_step_id

ACCELERATOR_CORES = 8
"""Cores that an accelerator counts as when work is thrown away."""


StepKey = tuple[str, int, int]
"""Identifies a step of an occurrence: job, occurrence, step."""


@dataclass(slots=True)
class Room:
    """What is free on one worker.

    Attributes:
        report: The worker.
        cpu_millis: Free processor share, in thousandths of a core.
        memory_mb: Free memory.
        accelerators: Free accelerators.
        tasks: Tasks present, by step.
    """

    report: WorkerReport
    cpu_millis: int
    memory_mb: int
    accelerators: int
    tasks: Mapping[StepKey, int] = field(default_factory=dict)

    def count_fitting(self, unit: SchedulingUnit, most: int) -> int:
        """Returns how many tasks of a unit fit, at most so many."""
        step = unit.spec
        counts = [most]
        if step.cpu_millis and not step.is_filling:
            counts.append(self.cpu_millis // step.cpu_millis)
        if step.memory_mb:
            counts.append(self.memory_mb // step.memory_mb)
        if step.accelerators:
            counts.append(self.accelerators // step.accelerators)
        if step.max_per_worker:
            counts.append(
                step.max_per_worker - self.tasks.get(step_key(unit), 0)
            )
        return max(0, min(counts))

    def take(self, unit: SchedulingUnit, count: int = 1) -> None:
        """Reserves room for tasks of a unit; negative counts free it."""
        step = unit.spec
        if not step.is_filling:
            self.cpu_millis -= step.cpu_millis * count
        self.memory_mb -= step.memory_mb * count
        self.accelerators -= step.accelerators * count
        key = step_key(unit)
        self.tasks = {**self.tasks, key: self.tasks.get(key, 0) + count}

    def copy(self) -> Room:
        """Returns a room that can be changed by itself."""
        return Room(
            self.report,
            self.cpu_millis,
            self.memory_mb,
            self.accelerators,
            self.tasks,
        )


Rooms = dict[str, Room]


def step_key(unit: SchedulingUnit) -> StepKey:
    """Identifies the step of an occurrence that a unit belongs to."""
    return (unit.job.request.job_id, unit.occurrence, unit.step_index)


def get_step_id(unit: SchedulingUnit) -> str:
    """Returns the name of the step that a unit belongs to."""
    return make_step_id(*step_key(unit))


def get_demand(unit: SchedulingUnit) -> tuple[object, ...]:
    """Returns what a unit needs of its workers; equal for equal needs."""
    step = unit.spec
    return (
        unit.job.request.queue.service,
        len(unit.tasks),
        step.cpu_millis,
        step.memory_mb,
        step.accelerators,
        step.is_one_rack,
        step.required_label,
        step.data_rack,
        step.max_per_worker,
        step.is_filling,
    )


def is_suited(report: WorkerReport, step: Step) -> bool:
    """Whether a worker has the label that a step requires."""
    return not step.required_label or step.required_label in report.labels


def make_room(report: WorkerReport) -> Room:
    """Returns an empty worker's room."""
    return Room(
        report, report.cpu_millis, report.memory_mb, report.accelerators
    )


def count_cores(step: Step) -> float:
    """Returns the cores that a task of a step counts as."""
    return step.cpu_millis / 1000 + ACCELERATOR_CORES * step.accelerators
