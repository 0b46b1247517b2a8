"""Free capacity of workers, and what a step requires of them."""

from __future__ import annotations

from collections.abc import Mapping
from dataclasses import dataclass, field

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import Step, WorkerReport, make_step_id

CORES_PER_ACCELERATOR = 8
"""Core equivalents of an accelerator, to compare lost work."""


StepKey = tuple[str, int, int]
"""Step of one occurrence: job identifier, occurrence number, step number."""


@dataclass(slots=True)
class WorkerCapacity:
    """Free capacity of one worker.

    Attributes:
        report: The worker's own report, with its total capacity.
        cpu_millis: Free processor share, in thousandths of a core.
        memory_mb: Free memory, in megabytes.
        accelerators: Free accelerators.
        tasks_by_step: Number of tasks on the worker, by step.
    """

    report: WorkerReport
    cpu_millis: int
    memory_mb: int
    accelerators: int
    tasks_by_step: Mapping[StepKey, int] = field(default_factory=dict)

    def count_fitting(self, unit: PlacementUnit, limit: int) -> int:
        """Returns how many tasks of a unit fit, at most `limit`."""
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

    def allocate(self, unit: PlacementUnit, task_count: int = 1) -> None:
        """Subtracts the demand of tasks; a negative count releases it."""
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
        """Returns a copy that can be changed independently."""
        return WorkerCapacity(
            self.report,
            self.cpu_millis,
            self.memory_mb,
            self.accelerators,
            self.tasks_by_step,
        )


CapacityMap = dict[str, WorkerCapacity]


def get_step_key(unit: PlacementUnit) -> StepKey:
    """Returns the key of the step that a unit belongs to."""
    return (unit.job.request.job_id, unit.occurrence, unit.step_index)


def get_step_id(unit: PlacementUnit) -> str:
    """Returns the identifier of the step that a unit belongs to."""
    return make_step_id(*get_step_key(unit))


def get_placement_requirements(unit: PlacementUnit) -> tuple[object, ...]:
    """Returns all that decides where a unit fits, as a comparable key."""
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
    """Whether a worker has the label that a step requires, if any."""
    return not step.required_label or step.required_label in report.labels


def make_empty_capacity(report: WorkerReport) -> WorkerCapacity:
    """Returns the capacity of a worker without tasks."""
    return WorkerCapacity(
        report, report.cpu_millis, report.memory_mb, report.accelerators
    )


def count_core_equivalents(step: Step) -> float:
    """Returns a task's cores, with accelerators as core equivalents."""
    return step.cpu_millis / 1000 + CORES_PER_ACCELERATOR * step.accelerators
