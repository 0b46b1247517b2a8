"""Runs that a worker executes although they are no longer wanted."""

from __future__ import annotations

from collections.abc import Mapping

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.run_dispatcher import RunDispatcher
from lagoonbeam.site.state import SiteState


def stop_stale_runs(
    running: Mapping[str, ActiveRun],
    state: SiteState,
    worker: str,
    dispatcher: RunDispatcher,
) -> None:
    """Stops the runs that a worker is not to execute any longer.

    Args:
        running: The runs that it lists, by task.
        state: The site's state.
        worker: The worker's name.
        dispatcher: Sends stop commands to the worker.
    """
    for active_run in running.values():
        task = state.tasks.get(active_run.task_id)
        if cause := find_stop_cause(active_run, task, worker):
            dispatcher.request_stop(active_run.task_id, active_run.run, cause)


def find_stop_cause(
    running: ActiveRun, task: Task | None, worker: str
) -> str | None:
    """Returns why a run that a worker lists is to be stopped.

    Args:
        running: The run.
        task: Its task; None if it is unknown.
        worker: The worker's name.

    Returns:
        The cause, or None if the run is to go on.
    """
    if task is None:
        return "unknown task"
    if task.is_done and task.run == running.run:
        return None
    if task.placement is None or task.run != running.run:
        return "run superseded"
    if task.placement.worker != worker:
        return "task placed on another worker"
    if not task.unit.job.is_open:
        return f"job is {task.unit.job.state.value}"
    return None
