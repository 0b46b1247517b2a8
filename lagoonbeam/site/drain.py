"""Which tasks to stop before a draining worker leaves."""

from __future__ import annotations

from collections.abc import Callable, Iterable, Mapping

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import ActiveRun

DRAIN_STOP_MARGIN_S = 1.5
"""Checkpointing runs are stopped this long before a draining worker leaves;
other runs at once if they would overrun its departure by more than this."""


def find_tasks_outlasting(
    left_s: float,
    tasks: Iterable[Task],
    running: Mapping[str, ActiveRun],
    get_elapsed_s: Callable[[Task], float],
) -> list[Task]:
    """Returns the tasks to stop since their runs would not end in time.

    Args:
        left_s: Time until the worker leaves, in seconds.
        tasks: Tasks placed on the worker.
        running: Runs that the worker lists, by task.
        get_elapsed_s: Returns the time since the start of a task's run.
    """
    overrunning = []
    for task in tasks:
        run = running.get(task.task_id)
        step = task.unit.spec
        if run is None or step.is_long_running:
            continue
        if task.unit.job.request.runs_once:
            continue
        if step.is_checkpointing and left_s > DRAIN_STOP_MARGIN_S:
            continue
        progress = run.percent / 100
        needed_s = (
            get_elapsed_s(task) * (1 - progress) / progress
            if progress
            else left_s
        )
        if needed_s > left_s + DRAIN_STOP_MARGIN_S:
            overrunning.append(task)
    return overrunning
