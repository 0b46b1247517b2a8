"""Pace and remaining time of running tasks, from the progress they report."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Callable, Iterable
from dataclasses import dataclass

from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.records import RunKey
from lagoonbeam.types import WorkerName

MAX_WORKERS = 2_000
"""Workers that are kept; those not heard of for longest are dropped."""
COMPLETE_PERCENT = 100.0
"""Progress of a run that has done its work."""
ROUNDING_PERCENT = 0.5
"""Progress that a report leaves out on average, as it is rounded down."""
REPORT_DELAY_S = 0.1
"""Uncertainty of the time at which a worker read a run's progress."""
MIN_PACE_PERCENT = 3.0
"""Progress from which a run's pace is told apart from rounding."""
MIN_PACE_TIME_S = 0.5
"""Time from which a run's pace is told apart from delays of reports."""


@dataclass(slots=True)
class RunProgress:
    """Progress of one run between two reports.

    Attributes:
        since_s: Monotonic time of the earliest known progress.
        since_percent: Progress at that time.
        reported_at_s: Monotonic time of the newest progress.
        percent: Progress at that time.
    """

    since_s: float
    since_percent: float
    reported_at_s: float
    percent: float

    def get_full_run_s(self) -> float | None:
        """Returns how long the run takes in all at its pace; None if unknown.

        A run that has done its work may wait for the other members of its
        gang, so its newest report does not tell its pace.
        """
        progress_percent = self.percent - self.since_percent
        if not self.since_percent:
            progress_percent += ROUNDING_PERCENT
        elapsed_s = self.reported_at_s - self.since_s
        if (
            self.percent >= COMPLETE_PERCENT
            or progress_percent < MIN_PACE_PERCENT
            or elapsed_s < MIN_PACE_TIME_S
        ):
            return None
        return elapsed_s * COMPLETE_PERCENT / progress_percent

    def estimate_end_s(self, expected_run_s: float) -> float:
        """Returns when the run is expected to end, in monotonic time.

        The progress bounds the run time from both sides, as reports are
        rounded; within the bounds, the expected run time counts.

        Args:
            expected_run_s: Expected run time on its worker.
        """
        elapsed_s = self.reported_at_s - self.since_s
        progress_percent = self.percent - self.since_percent
        shortest_s = (
            max(0.0, elapsed_s - REPORT_DELAY_S)
            * COMPLETE_PERCENT
            / (progress_percent + 1.0)
        )
        longest_s = (
            (elapsed_s + REPORT_DELAY_S) * COMPLETE_PERCENT / progress_percent
            if progress_percent > 0
            else math.inf
        )
        full_run_s = min(max(expected_run_s, shortest_s), longest_s)
        remaining_percent = COMPLETE_PERCENT - self.percent
        return (
            self.reported_at_s
            + full_run_s * remaining_percent / COMPLETE_PERCENT
        )


class RunProgressTracker:
    """Keeps the progress of all running tasks.

    Args:
        report_invalid: Is told of progress that is ignored, and why.
    """

    def __init__(self, report_invalid: Callable[[WorkerName, str, str], None]):
        self._report_invalid = report_invalid
        self._runs_by_worker: dict[WorkerName, dict[RunKey, RunProgress]] = (
            defaultdict(dict)
        )

    def get(self, worker: WorkerName, run_key: RunKey) -> RunProgress | None:
        """Returns the progress of a run; None if it has reported none."""
        return self._runs_by_worker.get(worker, {}).get(run_key)

    def retain(self, worker: WorkerName, run_keys: Iterable[RunKey]) -> None:
        """Drops the runs that a worker no longer lists."""
        runs = self._runs_by_worker.pop(worker, {})
        kept = {key: runs[key] for key in run_keys if key in runs}
        if kept:
            self._runs_by_worker[worker] = kept
        while len(self._runs_by_worker) > MAX_WORKERS:
            del self._runs_by_worker[next(iter(self._runs_by_worker))]

    def record(
        self,
        worker: WorkerName,
        run: ActiveRun,
        now_s: float,
        started_s: float | None,
    ) -> RunProgress | None:
        """Records the progress that a worker reports of a run.

        Args:
            worker: The worker.
            run: The run.
            now_s: Monotonic time of the report.
            started_s: Monotonic time at which the run began from nothing;
                None if that is unknown.

        Returns:
            The progress of the run; None if the report is ignored.
        """
        runs = self._runs_by_worker[worker]
        known = runs.get((run.task_id, run.run))
        if cause := _find_fault(run, known, now_s, started_s):
            self._report_invalid(worker, run.task_id, cause)
            return None
        if known is None:
            since_s, since_percent = (
                (now_s, run.percent) if started_s is None else (started_s, 0.0)
            )
            known = RunProgress(since_s, since_percent, now_s, run.percent)
            runs[run.task_id, run.run] = known
        elif started_s is None and known.percent <= 0:
            # The members of a gang work from when the last one is there.
            known.since_s, known.since_percent = now_s, run.percent
        known.reported_at_s, known.percent = now_s, run.percent
        return known


def _find_fault(
    run: ActiveRun,
    known: RunProgress | None,
    now_s: float,
    started_s: float | None,
) -> str:
    """Returns why a report cannot be right; empty if it can."""
    # Reports come from another machine, whatever their declared type.
    if not isinstance(run.percent, (int, float)) or not (
        0.0 <= run.percent <= COMPLETE_PERCENT
    ):
        return f"progress {run.percent!r}"
    if started_s is not None and started_s > now_s:
        return "started in the future"
    if known is None:
        return ""
    if run.percent < known.percent:
        return f"progress fell from {known.percent} to {run.percent}"
    if now_s < known.reported_at_s:
        return "clock went backwards"
    return ""
