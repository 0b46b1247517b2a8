"""Evacuation of workers whose machine is about to be taken down or moved."""

from __future__ import annotations

import time
from collections.abc import Callable

from lagoonbeam.site.fleet import WorkerFleet
from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import count_core_equivalents

READY_PERCENT = 100.0
"""Readiness, in percent, at which a long-running task counts as available."""


class WorkerEvacuator:
    """Cordons workers and stops their runs so that these start elsewhere.

    Args:
        get_state: Returns the state in force.
        fleet: The sessions with all workers.
        planner_state: Holds the placements that are not yet in the journal.
        stop_unit: Stops all runs of a unit; takes the cause for the log.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        fleet: WorkerFleet,
        planner_state: PlannerState,
        stop_unit: Callable[[PlacementUnit, str], None],
    ):
        self._get_state = get_state
        self._fleet = fleet
        self._planner_state = planner_state
        self._stop_unit = stop_unit
        self._cordoned_since_s: dict[str, float] = {}

    def cordon(self, worker: str) -> None:
        """Allows no new placements on a worker."""
        self._cordoned_since_s.setdefault(worker, time.monotonic())
        self._fleet.evacuations.add(worker)

    def uncordon(self, worker: str) -> None:
        """Allows new placements on a worker again."""
        self._cordoned_since_s.pop(worker, None)
        self._fleet.evacuations.discard(worker)

    def get_cordoned_s(self, worker: str) -> float:
        """Returns the seconds since a worker was cordoned; 0 for others."""
        now_s = time.monotonic()
        return now_s - self._cordoned_since_s.get(worker, now_s)

    def is_empty(self, worker: str) -> bool:
        """Whether a worker has no run and no placement being journaled."""
        launching_workers = (
            assigned_worker
            for assignment in self._planner_state.launching_assignments.values()
            for _, assigned_worker in assignment
        )
        return not self._get_state().tasks_by_worker.get(worker) and (
            worker not in launching_workers
        )

    def get_lost_core_s(self, worker: str) -> float:
        """Returns the core-seconds of work lost if a worker is emptied."""
        session = self._fleet.sessions.get(worker)
        if session is None:
            return 0.0
        return sum(
            session.dispatcher.get_lost_work_s(task)
            * count_core_equivalents(task.unit.spec)
            for task in self._get_state()
            .tasks_by_worker.get(worker, {})
            .values()
        )

    def stop_runs(self, worker: str, cause: str) -> None:
        """Stops the runs on a worker that may be stopped now.

        Runs that must not be repeated are left to complete. Of a long-running
        step, at most `may_miss` tasks (but at least one) are unavailable at a
        time.
        """
        stopped_keys: set[str] = set()
        for task in list(
            self._get_state().tasks_by_worker.get(worker, {}).values()
        ):
            unit = task.unit
            if unit.job.request.runs_once or unit.key in stopped_keys:
                continue
            if unit.spec.is_long_running and not self._may_stop_unit(
                task, stopped_keys
            ):
                continue
            stopped_keys.add(unit.key)
            self._stop_unit(unit, cause)

    def _may_stop_unit(self, task: Task, stopped_keys: set[str]) -> bool:
        unit = task.unit
        siblings = unit.job.units[unit.occurrence, unit.step_index]
        unavailable = sum(
            sibling.key in stopped_keys or not self._is_unit_ready(sibling)
            for sibling in siblings
            if sibling is not unit
        )
        return unavailable < max(1, unit.spec.may_miss)

    def _is_unit_ready(self, unit: PlacementUnit) -> bool:
        return all(self._is_task_ready(task) for task in unit.tasks)

    def _is_task_ready(self, task: Task) -> bool:
        if task.placement is None:
            return False
        session = self._fleet.sessions.get(task.placement.worker)
        running = session and session.running.get(task.task_id)
        return bool(running and running.percent >= READY_PERCENT)
