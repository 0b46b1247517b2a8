"""Run times, corrected by what each kind of work was seen to take."""

from __future__ import annotations

import math

from lagoonbeam.core.jobs import Job

_SMOOTHING_FACTOR = 0.2
"""Weight of the newest observation."""
_MAX_LOG_RATIO = math.log(100.0)
"""Corrections stay within a factor of 100."""


class RunTimeEstimator:
    """Learns for each organisation and kind how far declarations are off.

    Example:
        >>> from lagoonbeam.core.jobs import Job
        >>> estimator = RunTimeEstimator()
        >>> job = Job("j", "org", "caller", "kind", declared_run_s=10)
        >>> estimator.estimate(job)
        10.0
        >>> estimator.observe(job, 100.0)
        >>> round(estimator.estimate(job))
        100
    """

    def __init__(self) -> None:
        self._log_ratios: dict[tuple[str, str], float] = {}

    def estimate(self, job: Job) -> float:
        """Returns the expected run time of a job in seconds."""
        log_ratio = self._log_ratios.get((job.organisation, job.kind), 0.0)
        return max(0.001, job.declared_run_s) * math.exp(log_ratio)

    def observe(self, job: Job, run_s: float) -> None:
        """Learns from a job that completed.

        Args:
            job: The job.
            run_s: Seconds it ran.
        """
        key = (job.organisation, job.kind)
        observed = math.log(max(0.001, run_s) / max(0.001, job.declared_run_s))
        observed = max(-_MAX_LOG_RATIO, min(_MAX_LOG_RATIO, observed))
        previous = self._log_ratios.get(key)
        self._log_ratios[key] = (
            observed
            if previous is None
            else previous + _SMOOTHING_FACTOR * (observed - previous)
        )
