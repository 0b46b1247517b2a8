"""Two-way model of run times: effects of the step and of the worker.

All values are logarithms: the log pace of a run is that of its step plus that
of its worker, and a deviation of its own. Workers are compared only inside
blocks: the runs of one step or, for steps that ran on one worker only, those
of a queue.
"""

from __future__ import annotations

import statistics
from collections import defaultdict
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lagoonbeam.site.worker_speed.speed_blocks import (
    Block,
    Observation,
    drop_outliers,
    find_slow_workers,
    make_blocks,
    weigh_age,
)
from lagoonbeam.site.worker_speed.speed_spread import (
    GROUP_DEVIATION,
    MIN_WORKER_VARIANCE,
    STEP_DEVIATION,
    Residual,
    Spread,
    compare_cells,
    compare_workers,
    measure_run_variance,
)
from lagoonbeam.types import WorkerName

ITERATIONS = 4
"""Passes of a fit; it starts from the result of the last one."""
SEED_PRECISION = 60.0
"""Precision of an estimate that no runs are kept of."""


@dataclass(frozen=True, slots=True)
class Effect:
    """Effect of one worker on the log pace of its runs.

    Attributes:
        log_speed: Relative to the median worker.
        precision: Inverse of the variance.
        step_count: Number of steps that it was observed with.
    """

    log_speed: float
    precision: float
    step_count: int

    def shrink(self, worker_variance: float) -> float:
        """Returns the log speed that is expected, given that of others.

        Args:
            worker_variance: Variance of the log speeds of workers.
        """
        trust = worker_variance / (worker_variance + 1.0 / self.precision)
        return trust * self.log_speed


@dataclass(frozen=True, slots=True)
class Fit:
    """Result of a fit.

    Attributes:
        effects: Effect of each worker.
        spread: Differences of workers.
        median: Effect of the median worker before all were taken relative to
            it.
    """

    effects: Mapping[WorkerName, Effect]
    spread: Spread
    median: float


def fit_effects(
    observations: Mapping[WorkerName, Sequence[Observation]],
    log_speeds: Mapping[WorkerName, float],
    now_s: float,
) -> Fit:
    """Fits the effects of workers.

    Args:
        observations: For each worker, oldest first.
        log_speeds: Effects of workers by the last fit.
        now_s: Monotonic time.
    """
    blocks = make_blocks(observations, now_s)
    drop_outliers(blocks, log_speeds, find_slow_workers(blocks, log_speeds))
    variances = {
        is_step: measure_run_variance(
            [block for block in blocks if block.is_step is is_step], deviation
        )
        for is_step, deviation in (
            (True, STEP_DEVIATION),
            (False, GROUP_DEVIATION),
        )
    }
    run_variances = {key: variance for key, (variance, _) in variances.items()}
    seeds = {
        worker: Residual(log_pace, SEED_PRECISION, weigh_age(item, now_s))
        for worker, items in observations.items()
        for item in items
        if item.group is None
        for log_pace in item.log_paces.values()
    }
    for _ in range(ITERATIONS):
        log_speeds = _update_effects(blocks, log_speeds, seeds, run_variances)
    residuals = _list_residuals(blocks, log_speeds, run_variances)
    for worker, seed in seeds.items():
        residuals.setdefault(worker, []).append(seed)
    median = statistics.median(log_speeds.values()) if log_speeds else 0.0
    effects = {
        worker: Effect(
            log_speeds[worker] - median,
            sum(item.weight * item.precision for item in items),
            len(observations[worker]),
        )
        for worker, items in residuals.items()
    }
    between_cells, worker_variance = compare_cells(blocks, variances)
    cautious = {
        worker: effect.shrink(worker_variance)
        for worker, effect in effects.items()
    }
    between_workers = compare_workers(
        _list_residuals(blocks, cautious, run_variances)
    )
    spread = Spread(between_cells, between_workers, worker_variance)
    return Fit(effects, spread, median)


def _list_residuals(
    blocks: Iterable[Block],
    log_speeds: Mapping[WorkerName, float],
    variances: Mapping[bool, float],
) -> dict[WorkerName, list[Residual]]:
    """Lists how each worker's runs differ from those of other workers."""
    residuals: dict[WorkerName, list[Residual]] = defaultdict(list)
    for block in blocks:
        if len(block.cells) < 2:
            continue
        variance = variances[block.is_step]
        shares = {
            worker: 1.0 / (variance / cell.count + MIN_WORKER_VARIANCE)
            for worker, cell in block.cells.items()
        }
        share_sum = sum(shares.values())
        level_sum = sum(
            shares[worker] * (cell.mean - log_speeds.get(worker, 0.0))
            for worker, cell in block.cells.items()
        )
        for worker, cell in block.cells.items():
            own = shares[worker] * (cell.mean - log_speeds.get(worker, 0.0))
            others = share_sum - shares[worker]
            residuals[worker].append(
                Residual(
                    cell.mean - (level_sum - own) / others,
                    1.0 / (variance / cell.count + 1.0 / others),
                    cell.weight,
                )
            )
    return residuals


def _update_effects(
    blocks: Iterable[Block],
    log_speeds: Mapping[WorkerName, float],
    seeds: Mapping[WorkerName, Residual],
    variances: Mapping[bool, float],
) -> dict[WorkerName, float]:
    """Takes one step towards the least squares of all residuals.

    The weight of a run is the same wherever it counts, so that workers that
    are compared only with each other keep their common effect.
    """
    sums: dict[WorkerName, float] = defaultdict(float)
    weights: dict[WorkerName, float] = defaultdict(float)
    for worker, seed in seeds.items():
        weights[worker] += seed.weight * seed.precision
        sums[worker] += seed.weight * seed.precision * seed.log_pace
    for block in blocks:
        if len(block.cells) < 2:
            continue
        shares = {
            worker: cell.weight
            / (variances[block.is_step] / cell.count + MIN_WORKER_VARIANCE)
            for worker, cell in block.cells.items()
        }
        level = sum(
            shares[worker] * (cell.mean - log_speeds.get(worker, 0.0))
            for worker, cell in block.cells.items()
        ) / sum(shares.values())
        for worker, cell in block.cells.items():
            sums[worker] += shares[worker] * (cell.mean - level)
            weights[worker] += shares[worker]
    return {worker: sums[worker] / weights[worker] for worker in weights}
