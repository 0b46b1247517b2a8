"""What runs take of each worker, kept from one plan to the next."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable
from dataclasses import dataclass, field

from lagoonbeam.site.jobs import SchedulingUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.rooms import StepKey, step_key
from lagoonbeam.site.state import SiteState


@dataclass(slots=True)
class WorkerUse:
    """What the runs on one worker take.

    Attributes:
        cpu_millis: Processor share, in thousandths of a core.
        memory_mb: Memory.
        accelerators: Accelerators.
        tasks: Tasks by step.
        lent: Units that may be stopped for urgent work.
        urgent: Accelerators of urgent work.
        once: A unit for each task that must not run again.
    """

    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    tasks: dict[StepKey, int] = field(default_factory=dict)
    lent: dict[str, SchedulingUnit] = field(default_factory=dict)
    urgent: int = 0
    once: list[SchedulingUnit] = field(default_factory=list)


class Usage:
    """Adds up each worker's runs again only after they have changed."""

    def __init__(self) -> None:
        self._state: SiteState | None = None
        self._version = -1
        self._uses: dict[str, tuple[int, WorkerUse]] = {}

    def prepare(self, state: SiteState, version: int) -> None:
        """Forgets all if the state or the configuration is another one."""
        if state is not self._state or version != self._version:
            self._state, self._version = state, version
            self._uses.clear()

    def get(
        self,
        state: SiteState,
        worker: str,
        get_policy: Callable[[SiteJob], QueuePolicy],
    ) -> WorkerUse:
        """Returns what the runs on a worker take.

        Args:
            state: The state in force.
            worker: The worker.
            get_policy: Returns the policy in force for a job.
        """
        placement_version = state.placement_version.get(worker, 0)
        known = self._uses.get(worker)
        if known is not None and known[0] == placement_version:
            return known[1]
        use = _add_up(state, worker, get_policy)
        self._uses[worker] = (placement_version, use)
        return use


def _add_up(
    state: SiteState,
    worker: str,
    get_policy: Callable[[SiteJob], QueuePolicy],
) -> WorkerUse:
    use = WorkerUse()
    tasks: dict[StepKey, int] = defaultdict(int)
    for task in state.tasks_by_worker.get(worker, {}).values():
        unit = task.unit
        step = unit.spec
        if not step.is_filling:
            use.cpu_millis += step.cpu_millis
        use.memory_mb += step.memory_mb
        use.accelerators += step.accelerators
        tasks[step_key(unit)] += 1
        if unit.job.request.runs_once:
            use.once.append(unit)
        elif not step.is_long_running:
            if get_policy(unit.job).priority > 0:
                use.lent[unit.key] = unit
            else:
                use.urgent += step.accelerators
    use.tasks = dict(tasks)
    return use
