"""What runs take of each worker, kept from one plan to the next."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonbeam.site.entries import JobEntry, UnitState
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import StepKey, get_step_key


@dataclass(slots=True)
class WorkerUsage:
    """What the runs on one worker take.

    Attributes:
        cpu_millis: Processor share, in thousandths of a core.
        memory_mb: Memory.
        accelerators: Accelerators.
        tasks_by_step: Tasks by step.
        evictable_units: Units that may be stopped for urgent work.
        urgent_accelerators: Accelerators of urgent work.
        nonevictable_units: A unit for each task that must not run again.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks_by_step: dict[StepKey, int] = field(default_factory=dict)
    evictable_units: dict[str, UnitState] = field(default_factory=dict)
    urgent_accelerators: int = 0
    nonevictable_units: list[UnitState] = field(default_factory=list)


class WorkerUsageCache:
    """Adds up each worker's runs again only after they have changed."""

    def __init__(self) -> None:
        self._state: SiteState | None = None
        self._configuration_version = -1
        self._cache: dict[str, tuple[int, WorkerUsage]] = {}

    def clear_if_changed(
        self, state: SiteState, configuration_version: int
    ) -> None:
        """Forgets all if the state or the configuration is another one."""
        if (
            state is not self._state
            or configuration_version != self._configuration_version
        ):
            self._state, self._configuration_version = (
                state,
                configuration_version,
            )
            self._cache.clear()

    def get(
        self,
        state: SiteState,
        worker: str,
        get_policy: Callable[[JobEntry], QueuePolicy],
    ) -> WorkerUsage:
        """Returns what the runs on a worker take.

        Args:
            state: The state in force.
            worker: The worker.
            get_policy: Returns the policy in force for a job.
        """
        changes = state.changes.get(worker, 0)
        cached = self._cache.get(worker)
        if cached is not None and cached[0] == changes:
            return cached[1]
        usage = _sum_usage(state, worker, get_policy)
        self._cache[worker] = (changes, usage)
        return usage


def _sum_usage(
    state: SiteState,
    worker: str,
    get_policy: Callable[[JobEntry], QueuePolicy],
) -> WorkerUsage:
    usage = WorkerUsage()
    tasks_by_step: dict[StepKey, int] = defaultdict(int)
    for task in state.placed.get(worker, {}).values():
        unit = task.unit
        step = unit.spec
        if not step.is_filling:
            usage.cpu_millis += step.cpu_millis
        usage.memory_mb += step.memory_mb
        usage.accelerators += step.accelerators
        tasks_by_step[get_step_key(unit)] += 1
        if unit.job.request.runs_once:
            usage.nonevictable_units.append(unit)
        elif not step.is_long_running:
            if get_policy(unit.job).priority > 0:
                usage.evictable_units[unit.key] = unit
            else:
                usage.urgent_accelerators += step.accelerators
    usage.tasks_by_step = dict(tasks_by_step)
    return usage
