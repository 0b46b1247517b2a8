"""Resources that runs use on each worker, cached between plans."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import StepKey, get_step_key


@dataclass(slots=True)
class WorkerUsage:
    """Resources that the runs on one worker use.

    Attributes:
        cpu_millis: Processor share, in thousandths of a core.
        memory_mb: Memory, in megabytes.
        accelerators: Accelerators, of all work.
        tasks_by_step: Tasks by step.
        evictable_units: Units that may be evicted for urgent work, by key.
        urgent_accelerators: Accelerators that urgent work uses.
        nonevictable_units: Units that must run at most once, one entry for
            each of their tasks here.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks_by_step: dict[StepKey, int] = field(default_factory=dict)
    evictable_units: dict[str, PlacementUnit] = field(default_factory=dict)
    urgent_accelerators: int = 0
    nonevictable_units: list[PlacementUnit] = field(default_factory=list)


class WorkerUsageCache:
    """Recomputes a worker's usage only after its runs have changed."""

    def __init__(self) -> None:
        self._state: SiteState | None = None
        self._configuration_version = -1
        self._cache: dict[str, tuple[int, WorkerUsage]] = {}

    def clear_if_changed(
        self, state: SiteState, configuration_version: int
    ) -> None:
        """Clears the cache if the state object or the configuration changed."""
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
        get_policy: Callable[[SiteJob], QueuePolicy],
    ) -> WorkerUsage:
        """Returns the usage of a worker.

        Args:
            state: The current state.
            worker: Name of the worker.
            get_policy: Returns the current policy of a job's queue.
        """
        placement_version = state.placement_version.get(worker, 0)
        cached = self._cache.get(worker)
        if cached is not None and cached[0] == placement_version:
            return cached[1]
        usage = _sum_usage(state, worker, get_policy)
        self._cache[worker] = (placement_version, usage)
        return usage


def _sum_usage(
    state: SiteState,
    worker: str,
    get_policy: Callable[[SiteJob], QueuePolicy],
) -> WorkerUsage:
    usage = WorkerUsage()
    tasks_by_step: dict[StepKey, int] = defaultdict(int)
    for task in state.tasks_by_worker.get(worker, {}).values():
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
