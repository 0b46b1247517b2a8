"""Emptying a worker before its machine is taken away."""

from __future__ import annotations

import time
from collections.abc import Callable

from lagoonbeam.site.entries import TaskState, UnitState
from lagoonbeam.site.fleet import Fleet
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import count_core_equivalents

WORKING_PERCENT = 100.0
"""Readiness from which a long-running task is at work."""


class Vacating:
    """Keeps new work off workers, and moves their runs elsewhere.

    Args:
        get_state: Returns the state in force.
        fleet: The sessions with workers.
        memory: Knows which placements are being journaled.
        stop_unit: Stops the runs of a unit, with a cause.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        fleet: Fleet,
        memory: PlannerState,
        stop_unit: Callable[[UnitState, str], None],
    ):
        self._get_state = get_state
        self._fleet = fleet
        self._memory = memory
        self._stop_unit = stop_unit
        self._since_s: dict[str, float] = {}

    def begin(self, worker: str) -> None:
        """Gives a worker no new runs from now on."""
        self._since_s.setdefault(worker, time.monotonic())
        self._fleet.vacating.add(worker)

    def end(self, worker: str) -> None:
        """Lets a worker get new runs again."""
        self._since_s.pop(worker, None)
        self._fleet.vacating.discard(worker)

    def get_age_s(self, worker: str) -> float:
        """Returns the seconds since a worker gets no new runs."""
        now_s = time.monotonic()
        return now_s - self._since_s.get(worker, now_s)

    def is_empty(self, worker: str) -> bool:
        """Whether no run exists on a worker, nor is about to."""
        coming = (
            place
            for assignment in self._memory.launching_assignments.values()
            for _, place in assignment
        )
        return not self._get_state().placed.get(worker) and (
            worker not in coming
        )

    def get_cost(self, worker: str) -> float:
        """Returns the core-seconds that emptying a worker throws away."""
        session = self._fleet.sessions.get(worker)
        if session is None:
            return 0.0
        return sum(
            session.orders.get_lost_work_s(task)
            * count_core_equivalents(task.unit.spec)
            for task in self._get_state().placed.get(worker, {}).values()
        )

    def stop_runs(self, worker: str, cause: str) -> None:
        """Stops what may be stopped on a worker.

        Runs that must not be repeated go on to their end; of a long-running
        step no more tasks are stopped than may be away.
        """
        stopped: set[str] = set()
        for task in list(self._get_state().placed.get(worker, {}).values()):
            unit = task.unit
            if unit.job.request.runs_once or unit.key in stopped:
                continue
            if unit.spec.is_long_running and not self._may_leave(task, stopped):
                continue
            stopped.add(unit.key)
            self._stop_unit(unit, cause)

    def _may_leave(self, task: TaskState, stopped: set[str]) -> bool:
        unit = task.unit
        siblings = unit.job.units[unit.occurrence, unit.step]
        away = sum(
            other.key in stopped or not self._is_at_work(other)
            for other in siblings
            if other is not unit
        )
        return away < max(1, unit.spec.may_miss)

    def _is_at_work(self, unit: UnitState) -> bool:
        return all(self._is_working(task) for task in unit.tasks)

    def _is_working(self, task: TaskState) -> bool:
        if task.placement is None:
            return False
        session = self._fleet.sessions.get(task.placement.worker)
        running = session and session.running.get(task.task_id)
        return bool(running and running.percent >= WORKING_PERCENT)
