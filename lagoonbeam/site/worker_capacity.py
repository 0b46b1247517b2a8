"""What is free on workers, and which of them a step may use."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.model import Step, WorkerReport, make_step_id

CORES_PER_ACCELERATOR = 8
"""Cores that an accelerator counts as when work is thrown away."""


StepKey = tuple[str, int, int]
"""Identifies a step of an occurrence: job, occurrence, step."""


@dataclass(slots=True)
class WorkerCapacity:
    """What is free on one worker.

    Attributes:
        report: The worker.
        cpu_millis: Free processor share, in thousandths of a core.
        memory_mb: Free memory.
        accelerators: Free accelerators.
        tasks_by_step: Tasks present, by step.
    """

    report: WorkerReport
    cpu_millis: int
    memory_mb: int
    accelerators: int
    tasks_by_step: Mapping[StepKey, int] = field(default_factory=dict)

    def count_fitting(self, unit: UnitState, limit: int) -> int:
        """Returns how many tasks of a unit fit, at most so many."""
        step = unit.spec
        bounds = [limit]
        if step.cpu_millis and not step.is_filling:
            bounds.append(self.cpu_millis // step.cpu_millis)
        if step.memory_mb:
            bounds.append(self.memory_mb // step.memory_mb)
        if step.accelerators:
            bounds.append(self.accelerators // step.accelerators)
        if step.max_per_worker:
            bounds.append(
                step.max_per_worker
                - self.tasks_by_step.get(get_step_key(unit), 0)
            )
        return max(0, min(bounds))

    def allocate(self, unit: UnitState, task_count: int = 1) -> None:
        """Reserves room for tasks of a unit; negative counts free it."""
        step = unit.spec
        if not step.is_filling:
            self.cpu_millis -= step.cpu_millis * task_count
        self.memory_mb -= step.memory_mb * task_count
        self.accelerators -= step.accelerators * task_count
        key = get_step_key(unit)
        self.tasks_by_step = {
            **self.tasks_by_step,
            key: self.tasks_by_step.get(key, 0) + task_count,
        }

    def copy(self) -> WorkerCapacity:
        """Returns a room that can be changed by itself."""
        return WorkerCapacity(
            self.report,
            self.cpu_millis,
            self.memory_mb,
            self.accelerators,
            self.tasks_by_step,
        )


CapacityMap = dict[str, WorkerCapacity]


def get_step_key(unit: UnitState) -> StepKey:
    """Identifies the step of an occurrence that a unit belongs to."""
    return (unit.job.request.job_id, unit.occurrence, unit.step)


def get_step_id(unit: UnitState) -> str:
    """Returns the name of the step that a unit belongs to."""
    return make_step_id(*get_step_key(unit))


def get_placement_requirements(unit: UnitState) -> tuple[object, ...]:
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


def has_required_label(report: WorkerReport, step: Step) -> bool:
    """Whether a worker has the label that a step requires."""
    return not step.required_label or step.required_label in report.labels


def make_empty_capacity(report: WorkerReport) -> WorkerCapacity:
    """Returns an empty worker's room."""
    return WorkerCapacity(
        report, report.cpu_millis, report.memory_mb, report.accelerators
    )


def count_core_equivalents(step: Step) -> float:
    """Returns the cores that a task of a step counts as."""
    return step.cpu_millis / 1000 + CORES_PER_ACCELERATOR * step.accelerators
