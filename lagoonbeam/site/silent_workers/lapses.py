"""Ends of runs whose leases have expired."""

from __future__ import annotations

from collections.abc import Mapping

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import ActiveRun, RunEndReason
from lagoonbeam.site.records import RunEnd


def make_lapse(task: Task, running: Mapping[str, ActiveRun]) -> RunEnd:
    """Returns the end of a task's run, with the newest known checkpoint."""
    active_run = running.get(task.task_id)
    checkpoint = active_run.checkpoint if active_run is not None else ""
    return RunEnd(
        task.task_id, task.run, RunEndReason.LEASE_EXPIRED, checkpoint
    )
