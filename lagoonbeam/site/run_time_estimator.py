"""Run time estimates by queue, and the remaining value of jobs."""

from __future__ import annotations

import enum
from collections.abc import Callable, Iterable, Mapping

from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy

NEWEST_RUN_WEIGHT = 0.15
"""Weight of the newest run in a queue's exponential moving average."""
LONG_RUN_FACTOR = 3.0
"""Multiple of a queue's mean that a single run counts for at most."""
EARLY_RUNS = 5
"""Runs during which the first ones of a queue may have been long ones."""
DEFAULT_RUN_TIME_S = 5.0
"""Run time assumed where neither a past run nor an estimate is known."""
VALUE_CUTOFF_FACTOR = 3.0
"""Multiple of its objective after which a completed job has no value, as the
platform specifies."""


class JobValue(enum.IntEnum):
    """Value of completing a job; it falls with the time since acceptance."""

    FULL = 0
    REDUCED = 1
    NONE = 2


class RunTimeEstimator:
    """Estimates run times from a moving average for each queue.

    The averages are run times at the usual speed of workers.

    Args:
        get_speed: Returns the speed of a worker; all are usual if None.
    """

    def __init__(self, get_speed: Callable[[str], float] | None = None):
        self._get_speed = get_speed or (lambda worker: 1.0)
        self._mean_run_s: dict[str, float] = {}
        self._run_counts: dict[str, int] = {}

    def load(self, run_times_s: Mapping[str, float]) -> None:
        """Starts from the averages of an earlier term, by queue."""
        self._mean_run_s.update(run_times_s)
        self._run_counts.update(dict.fromkeys(run_times_s, EARLY_RUNS))

    def get_run_times_s(self) -> Mapping[str, float]:
        """Returns the average run time at the usual speed, by queue."""
        return self._mean_run_s

    def record_run(
        self, queue: str, run_s: float, workers: Iterable[str] = ()
    ) -> None:
        """Adds a finished run to its queue's moving average.

        A few runs take many times as long as the others; one of them does not
        tell how long the next run takes.

        Args:
            queue: The queue.
            run_s: Run time.
            workers: Workers of the run; the slowest has determined its time.
        """
        usual_run_s = run_s * self._find_slowest_speed(workers)
        count = self._run_counts.get(queue, 0)
        mean_s = self._mean_run_s.get(queue, usual_run_s)
        if count < EARLY_RUNS and usual_run_s * LONG_RUN_FACTOR < mean_s:
            mean_s = usual_run_s
        counted_s = min(usual_run_s, LONG_RUN_FACTOR * mean_s)
        self._run_counts[queue] = min(count + 1, EARLY_RUNS)
        self._mean_run_s[queue] = mean_s + NEWEST_RUN_WEIGHT * (
            counted_s - mean_s
        )

    def estimate_run_on_s(
        self, unit: PlacementUnit, workers: Iterable[str]
    ) -> float:
        """Returns the expected run time of a unit on given workers.

        Args:
            unit: The unit.
            workers: Its workers; a gang is as slow as the slowest of them.
        """
        return self.estimate_run_s(unit) / self._find_slowest_speed(workers)

    def _find_slowest_speed(self, workers: Iterable[str]) -> float:
        return min(map(self._get_speed, workers), default=1.0)

    def estimate_run_s(self, unit: PlacementUnit) -> float:
        """Returns the expected run time of a unit with local placement.

        This is the run time at the usual speed of workers.
        """
        queue = unit.job.request.queue.name
        mean_s = self._mean_run_s.get(queue)
        return mean_s or unit.spec.estimated_s or DEFAULT_RUN_TIME_S

    def estimate_critical_path_s(self, job: SiteJob) -> float:
        """Returns the expected run time of a job's critical path of steps."""
        return max(self._list_finish_times_s(job))

    def _list_finish_times_s(self, job: SiteJob) -> list[float]:
        """Returns when each step ends at the earliest, from its job's start."""
        finish_times_s: list[float] = []
        for step_number, step in enumerate(job.request.steps):
            unit = job.units[0, step_number][0]
            start_s = max(
                (finish_times_s[predecessor] for predecessor in step.after),
                default=0.0,
            )
            finish_times_s.append(start_s + self.estimate_run_s(unit))
        return finish_times_s

    def get_objective_end_s(
        self, unit: PlacementUnit, policy: QueuePolicy
    ) -> float:
        """Returns when a unit's job must be completed for its full value.

        Args:
            unit: A unit of the job; its occurrence counts from its due time.
            policy: The current policy of its queue.

        Returns:
            Wall clock time.
        """
        job = unit.job
        eligible_at_s = max(
            job.request.accepted_at_s, job.due_s(unit.occurrence)
        )
        critical_path_s = self.estimate_critical_path_s(job)
        return (
            eligible_at_s + policy.stretch * critical_path_s + policy.target_s
        )

    def get_latest_end_s(
        self, unit: PlacementUnit, policy: QueuePolicy
    ) -> float:
        """Returns when a unit must end so that later steps end in time.

        Args:
            unit: A ready unit.
            policy: The current policy of its queue.

        Returns:
            Wall clock time at which the later steps on the critical path must
            begin so that the job has its full value.
        """
        tails_s = self._list_tails_s(unit.job)
        return self.get_objective_end_s(unit, policy) - tails_s[unit.step_index]

    def _list_tails_s(self, job: SiteJob) -> list[float]:
        """Returns the expected run time of what follows each step."""
        steps = job.request.steps
        tails_s = [0.0] * len(steps)
        for index in reversed(range(len(steps))):
            run_s = self.estimate_run_s(job.units[0, index][0])
            for predecessor in steps[index].after:
                tails_s[predecessor] = max(
                    tails_s[predecessor], run_s + tails_s[index]
                )
        return tails_s

    def get_job_value(
        self, unit: PlacementUnit, policy: QueuePolicy, now_s: float
    ) -> JobValue:
        """Returns the value of a unit's job if the unit starts now.

        Args:
            unit: A ready unit.
            policy: The current policy of its queue.
            now_s: Wall clock time.
        """
        job = unit.job
        critical_path_s = self.estimate_critical_path_s(job)
        objective_s = policy.stretch * critical_path_s + policy.target_s
        eligible_at_s = max(
            job.request.accepted_at_s, job.due_s(unit.occurrence)
        )
        turnaround_s = now_s - eligible_at_s + self.estimate_run_s(unit)
        if turnaround_s <= objective_s:
            return JobValue.FULL
        if turnaround_s <= VALUE_CUTOFF_FACTOR * objective_s:
            return JobValue.REDUCED
        return JobValue.NONE
