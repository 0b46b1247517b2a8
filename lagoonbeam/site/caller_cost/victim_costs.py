"""What callers lose by the eviction of running units."""

from __future__ import annotations

from collections.abc import Callable, Mapping, Sequence
from dataclasses import dataclass

from lagoonbeam.site.caller_cost.job_losses import JobLosses
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.release_times import Release
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.worker_capacity import count_core_equivalents

ReleaseLookup = Callable[[str], Sequence[Release]]
"""Returns the expected ends on a worker in wall clock time, earliest first."""
LOST_VALUE_WEIGHT = 4.0
"""Weight of the value that is lost with a core-second of work, relative to the
core-second itself."""


@dataclass(frozen=True, slots=True)
class VictimCost:
    """What the eviction of a unit costs.

    Attributes:
        lost_core_s: Core-seconds of work that are thrown away.
        lost_value: Weighted share of its job's value that the caller loses.
        cost_core_s: Core-seconds by which victims are compared: the lost work,
            the more so the more value is lost with it.
    """

    lost_core_s: float
    lost_value: float
    cost_core_s: float


class VictimCosts:
    """Computes the costs of evictions for one unit.

    Args:
        job_losses: Computes the value that jobs lose.
        estimator: Estimates run times.
        sessions: The sessions with all workers.
        get_releases: Returns the expected ends on a worker.
        now_s: Wall clock time.
        restart_s: Wall clock time at which victims may be started again.
    """

    def __init__(
        self,
        job_losses: JobLosses,
        estimator: RunTimeEstimator,
        sessions: Mapping[str, WorkerSession],
        get_releases: ReleaseLookup,
        now_s: float,
        restart_s: float,
    ):
        self._job_losses = job_losses
        self._estimator = estimator
        self._sessions = sessions
        self._get_releases = get_releases
        self._now_s = now_s
        self._restart_s = restart_s
        self._costs: dict[str, VictimCost] = {}

    def get(self, unit: PlacementUnit) -> VictimCost:
        """Returns what the eviction of a running unit costs."""
        if unit.key not in self._costs:
            self._costs[unit.key] = self._compute(unit)
        return self._costs[unit.key]

    def get_cost_core_s(self, unit: PlacementUnit) -> float:
        """Returns the core-seconds by which victims are compared."""
        return self.get(unit).cost_core_s

    def _compute(self, unit: PlacementUnit) -> VictimCost:
        core_equivalents = count_core_equivalents(unit.spec)
        lost_by_task_s = [
            session.dispatcher.get_lost_work_s(task)
            for task in unit.tasks
            if task.placement is not None
            and (session := self._sessions.get(task.placement.worker))
        ]
        lost_core_s = core_equivalents * sum(lost_by_task_s)
        run_s = self._estimator.estimate_run_s(unit)
        end_s = self._get_expected_end_s(unit)
        remaining_s = (
            max(0.0, end_s - self._now_s) + max(lost_by_task_s, default=0.0)
            if unit.spec.is_checkpointing
            else run_s
        )
        lost_value = self._job_losses.compute_loss(
            unit, end_s, self._restart_s + remaining_s
        )
        return VictimCost(
            lost_core_s,
            lost_value,
            lost_core_s * (1.0 + LOST_VALUE_WEIGHT * lost_value),
        )

    def _get_expected_end_s(self, unit: PlacementUnit) -> float:
        """Returns when a running unit ends if it is not evicted."""
        workers = {
            task.placement.worker
            for task in unit.tasks
            if task.placement is not None
            and task.placement.worker in self._sessions
        }
        return max(
            (
                end_s
                for worker in workers
                for end_s, other in self._get_releases(worker)
                if other is unit
            ),
            default=self._now_s,
        )
