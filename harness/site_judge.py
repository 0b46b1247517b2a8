"""Judges a site by what its callers and workers saw."""

from __future__ import annotations

import json
from collections import defaultdict
from collections.abc import Iterator, Sequence
from typing import Any

from harness.site_load import SubmittedJob

CANCEL_S = 3.0
"""Time after the acknowledgement of a cancellation in which starts may come."""
VISIBLE_S = 3.0
"""Time after which an accepted job is known at all instances."""

WorkerEvent = dict[str, Any]


def find_repeated_runs(history: Sequence[WorkerEvent]) -> Iterator[str]:
    """Yields work that ran at the same time or after an acknowledged end.

    An end counts as acknowledged whether that is before or after the start.
    """
    active: dict[str, dict[tuple[str, int], float]] = defaultdict(dict)
    done: dict[str, set[tuple[str, int]]] = defaultdict(set)
    acknowledged: dict[str, set[tuple[str, int]]] = defaultdict(set)
    started_after: dict[str, set[tuple[str, int]]] = defaultdict(set)
    for event in sorted(history, key=lambda event: event["at_s"]):
        task, run, kind = event["task"], event["run"], event["event"]
        run_key = (event["worker"], run)
        if kind == "started":
            started = f"{task}: run {run} on {event['worker']}"
            if active[task]:
                yield f"{started} beside {active[task]} at {event['at_s']:.3f}"
            if acknowledged[task]:
                yield f"{started} after {acknowledged[task]} had ended"
            started_after[task] |= done[task]
            active[task][run_key] = event["at_s"]
        elif kind == "acknowledged done":
            if run_key in started_after[task]:
                yield f"{task}: started after {run_key}, which was acknowledged"
            acknowledged[task].add(run_key)
        elif not kind.startswith("acknowledged"):
            active[task].pop(run_key, None)
            if kind == "done":
                done[task].add(run_key)


def find_unasked_starts(
    history: Sequence[WorkerEvent], jobs: Sequence[SubmittedJob]
) -> Iterator[str]:
    """Yields starts that no caller asked for, or that were called off.

    A start that its worker executed late may follow the cancellation.
    """
    jobs_by_id = {job.job_id: job for job in jobs}
    for event in history:
        if event["event"] != "started":
            continue
        task = event["task"]
        job = jobs_by_id.get(task.partition(".")[0])
        if job is None:
            yield f"{task}: nobody sent the job"
        elif event["spec"] != json.loads(job.spec):
            yield f"{task}: another spec"
        elif event["at_s"] > job.cancelled_at_s + CANCEL_S and not event.get(
            "is_late"
        ):
            late_s = event["at_s"] - job.cancelled_at_s
            yield f"{task}: started {late_s:.1f} s after its cancellation"
        elif job.is_refused:
            yield f"{task}: all submissions were refused, {job.statuses}"


def find_false_answers(
    history: Sequence[WorkerEvent], jobs: Sequence[SubmittedJob]
) -> Iterator[str]:
    """Yields jobs that were shown in a state that they were not in."""
    done = {
        e["task"].partition(".")[0] for e in history if e["event"] == "done"
    }
    for job in jobs:
        states = [state for _, state in job.shown_states]
        if "failed" in states:
            yield f"{job.job_id}: shown as failed"
        if "cancelled" in states and not job.cancel_sent:
            yield f"{job.job_id}: shown as cancelled"
        if "completed" in states and job.job_id not in done:
            yield f"{job.job_id}: shown as completed, nothing was done"
