"""Queries on the history of runs that the workers of a site record."""

from __future__ import annotations

from collections import Counter, defaultdict
from typing import Any


def find_duplicate_runs(history: list[dict[str, Any]]) -> list[str]:
    """Returns tasks with overlapping runs or a run after completion."""
    active_runs: dict[str, set[int]] = defaultdict(set)
    completed_tasks: set[str] = set()
    duplicates = []
    for event in sorted(history, key=lambda event: event["at_s"]):
        task, run = event["task"], event["run"]
        if event["event"] == "started":
            if active_runs[task] or task in completed_tasks:
                duplicates.append(task)
            active_runs[task].add(run)
            continue
        active_runs[task].discard(run)
        if event["event"] == "done" and not event["lasting"]:
            completed_tasks.add(task)
    return duplicates


def count_events(history: list[dict[str, Any]], job_path: str) -> Counter[str]:
    """Counts the events of a job's tasks by type."""
    job_id = job_path.rsplit("/", 1)[1]
    return Counter(
        event["event"]
        for event in history
        if event["task"].startswith(f"{job_id}.")
    )
