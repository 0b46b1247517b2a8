"""Estimates run times from declarations and past observations."""

from __future__ import annotations

import math

from lagoonbeam.core.jobs import Job

_SMOOTHING_FACTOR = 0.2
"""Weight of the newest observation in the moving average."""
_MAX_LOG_RATIO = math.log(100.0)
"""Limits the correction to a factor of 100 either way."""


class RunTimeEstimator:
    """Corrects declared run times for each organisation and kind of work.

    The correction is a moving average of the logarithm of observed over
    declared run time.

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
        """Returns the estimated run time of a job in seconds."""
        log_ratio = self._log_ratios.get((job.organisation, job.kind), 0.0)
        return max(0.001, job.declared_run_s) * math.exp(log_ratio)

    def observe(self, job: Job, run_s: float) -> None:
        """Updates the correction from a completed job.

        Args:
            job: The job.
            run_s: Its actual run time in seconds.
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
