"""Estimated speeds of workers."""

from __future__ import annotations

import math
from collections import Counter
from collections.abc import Callable, Mapping

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.worker_capacity import get_step_key
from lagoonbeam.site.worker_speed.speed_blocks import GroupKey, Observation
from lagoonbeam.site.worker_speed.speed_levels import (
    LEVEL_RATIO,
    MAX_LEVEL,
    find_levels,
    get_level_speed,
    is_spread_significant,
)
from lagoonbeam.site.worker_speed.speed_model import fit_effects
from lagoonbeam.types import WorkerName

USUAL_SPEED = 1.0
"""Speed of a worker of which nothing else is known."""
FIT_INTERVAL_S = 0.5
"""Shortest interval between two fits."""
FIT_INTERVAL_PER_WORKER_S = 0.0025
"""Time by which each worker prolongs the interval, as a fit takes longer."""
MAX_WORKERS = 2_000
"""Workers that are kept; those not observed for longest are dropped."""
MAX_STEPS_PER_WORKER = 12
"""Steps that are kept of each worker; the oldest are dropped."""
MAX_RUNS_PER_STEP = 16
"""Runs that are kept of each step on a worker."""
MAX_AGE_S = 600.0
"""Age after which an observation is dropped."""
REST_S = 20.0
"""Time without a run after which a worker keeps its estimate alone; those that
its runs were compared with may not run either."""


class WorkerSpeeds:
    """Speeds of workers, relative to the usual worker.

    A run that takes 3 s at a speed of 1 takes 6 s at a speed of 0.5. The usual
    worker is the median one.

    Args:
        report_change: Is told of the new speeds of workers after a change,
            and of the number of known workers by speed.
    """

    def __init__(
        self,
        report_change: Callable[
            [Mapping[WorkerName, float], Mapping[float, int]], None
        ]
        | None = None,
    ) -> None:
        self._report_change = report_change
        self._observations: dict[WorkerName, list[Observation]] = {}
        self._log_speeds: dict[WorkerName, float] = {}
        self._levels: dict[WorkerName, int] = {}
        self._speeds: dict[WorkerName, float] = {}
        self._is_spread = False
        self._is_changed = False
        self._fitted_at_s = -math.inf

    @property
    def is_uneven(self) -> bool:
        """Whether any worker is known not to run at the usual speed."""
        return bool(self._speeds)

    def get_speed(self, worker: WorkerName) -> float:
        """Returns a worker's speed; the usual one unless known to differ.

        Speeds are rounded to a few levels, so that workers that differ by
        less than what is known of them have the same speed.
        """
        return self._speeds.get(worker, USUAL_SPEED)

    def get_known_speeds(self) -> dict[WorkerName, float]:
        """Returns the speeds of all workers of which a run was observed."""
        return {worker: self.get_speed(worker) for worker in self._log_speeds}

    def count_levels(self) -> Counter[float]:
        """Counts the workers of which a run was observed, by speed."""
        return Counter(self.get_known_speeds().values())

    def load(self, speeds: Mapping[WorkerName, float], now_s: float) -> None:
        """Starts from the estimates of an earlier term.

        Args:
            speeds: Speed of each worker that was known.
            now_s: Monotonic time.
        """
        max_log_speed = MAX_LEVEL * math.log(LEVEL_RATIO)
        self._log_speeds = {
            worker: max(-max_log_speed, min(max_log_speed, math.log(speed)))
            for worker, speed in speeds.items()
        }
        self._observations = {
            worker: [_make_estimate(worker, log_speed, now_s)]
            for worker, log_speed in self._log_speeds.items()
        }
        levels = {
            worker: round(log_speed / math.log(LEVEL_RATIO))
            for worker, log_speed in self._log_speeds.items()
        }
        self._is_spread = any(levels.values())
        self._set_levels(
            {worker: level for worker, level in levels.items() if level}
        )

    def record_run(
        self, worker: WorkerName, task: Task, full_run_s: float, now_s: float
    ) -> None:
        """Records how long a run takes in all, by its progress or its end.

        A later report of the same run replaces an earlier one.

        Args:
            worker: The worker.
            task: The task; the run is its current one.
            full_run_s: Run time, as far as is known yet.
            now_s: Monotonic time.
        """
        if not (math.isfinite(full_run_s) and full_run_s > 0):
            return
        step = get_step_key(task.unit)
        # Moves the worker to the end, since the first one is dropped.
        observations = self._observations.pop(worker, [])
        self._observations[worker] = observations
        observation = next(
            (item for item in reversed(observations) if item.step == step),
            None,
        )
        if observation is None:
            observation = Observation(_get_group(task), step, now_s)
            observations.append(observation)
            del observations[:-MAX_STEPS_PER_WORKER]
        run_key = (task.task_id, task.run)
        log_paces = observation.log_paces
        if run_key not in log_paces and len(log_paces) >= MAX_RUNS_PER_STEP:
            del log_paces[next(iter(log_paces))]
        log_paces[run_key] = -math.log(full_run_s)
        observation.updated_at_s = now_s
        self._is_changed = True
        while len(self._observations) > MAX_WORKERS:
            del self._observations[next(iter(self._observations))]

    def update(self, now_s: float) -> None:
        """Estimates all speeds again, unless it is too early.

        Args:
            now_s: Monotonic time.
        """
        interval_s = (
            FIT_INTERVAL_S + len(self._observations) * FIT_INTERVAL_PER_WORKER_S
        )
        if not self._is_changed or 0 <= now_s - self._fitted_at_s < interval_s:
            return
        self._fitted_at_s = now_s
        self._is_changed = False
        self._drop_old(now_s)
        self._reduce_resting(now_s)
        # Runs that are trimmed by an estimate that is still noise confirm it.
        known = self._log_speeds if self._is_spread else {}
        fit = fit_effects(self._observations, known, now_s)
        self._log_speeds = {
            worker: effect.log_speed for worker, effect in fit.effects.items()
        }
        for items in self._observations.values():
            for item in items:
                if item.group is None:
                    item.shift(-fit.median)
        self._is_spread = is_spread_significant(
            fit, was_significant=self._is_spread
        )
        self._set_levels(
            find_levels(fit, self._levels, is_spread=self._is_spread)
        )

    def _drop_old(self, now_s: float) -> None:
        kept = {
            worker: [
                item
                for item in observations
                if now_s - item.updated_at_s < MAX_AGE_S
            ]
            for worker, observations in self._observations.items()
        }
        self._observations = {
            worker: items for worker, items in kept.items() if items
        }

    def _reduce_resting(self, now_s: float) -> None:
        """Replaces the runs of workers that have no runs by an estimate."""
        for worker, items in list(self._observations.items()):
            newest_s = max(item.updated_at_s for item in items)
            if now_s - newest_s < REST_S:
                continue
            if worker in self._log_speeds:
                self._observations[worker] = [
                    _make_estimate(worker, self._log_speeds[worker], newest_s)
                ]
            else:
                del self._observations[worker]

    def _set_levels(self, levels: dict[WorkerName, int]) -> None:
        changed = {
            worker
            for worker in levels.keys() | self._levels.keys()
            if levels.get(worker) != self._levels.get(worker)
        }
        self._levels = levels
        self._speeds = {
            worker: get_level_speed(level) for worker, level in levels.items()
        }
        if changed and self._report_change is not None:
            self._report_change(
                {worker: self.get_speed(worker) for worker in sorted(changed)},
                self.count_levels(),
            )


def _make_estimate(
    worker: WorkerName, log_speed: float, now_s: float
) -> Observation:
    """Makes an observation of an estimate that no runs are kept of."""
    return Observation(None, None, now_s, {(worker, 0): log_speed})


def _get_group(task: Task) -> GroupKey:
    step = task.unit.spec
    queue = task.unit.job.request.queue.name
    return (queue, step.is_gang, step.required_label)
