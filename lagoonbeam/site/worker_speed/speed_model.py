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
DAMPING = 0.6
"""Share of a worker's effect that one pass replaces."""
SEED_PRECISION = 20.0
"""Precision of an estimate of an earlier term."""


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


@dataclass(frozen=True, slots=True)
class Fit:
    """Result of a fit.

    Attributes:
        effects: Effect of each worker.
        spread: Differences of workers.
        log_speeds: Effects of workers, those that are known less well moved
            towards the median worker; the next fit starts from them.
    """

    effects: Mapping[WorkerName, Effect]
    spread: Spread
    log_speeds: Mapping[WorkerName, float]


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
    between_cells, measured_variance = compare_cells(blocks, variances)
    seeds = {
        worker: Residual(log_pace, SEED_PRECISION, weigh_age(item, now_s))
        for worker, items in observations.items()
        for item in items
        if item.group is None
        for log_pace in item.log_paces.values()
    }
    worker_variance = max(
        measured_variance,
        statistics.pvariance([seed.log_pace for seed in seeds.values()])
        if seeds
        else 0.0,
    )
    run_variances = {key: variance for key, (variance, _) in variances.items()}
    shrunk = dict(log_speeds)
    for _ in range(ITERATIONS):
        raw, shrunk, precisions = _update_effects(
            blocks,
            shrunk,
            seeds,
            run_variances,
            worker_variance,
        )
    effects = {
        worker: Effect(raw[worker], precision, len(observations[worker]))
        for worker, precision in precisions.items()
    }
    spread = Spread(
        between_cells,
        compare_workers(_list_residuals(blocks, shrunk, run_variances)),
        worker_variance,
    )
    return Fit(effects, spread, shrunk)


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
    worker_variance: float,
) -> tuple[
    dict[WorkerName, float], dict[WorkerName, float], dict[WorkerName, float]
]:
    """Updates the workers' effects from those of the other workers.

    Returns:
        The effects, these moved towards the median worker, and the precisions.
    """
    residuals = _list_residuals(blocks, log_speeds, variances)
    for worker, seed in seeds.items():
        residuals.setdefault(worker, []).append(seed)
    precisions = {
        worker: precision
        for worker, items in residuals.items()
        if (precision := sum(item.weight * item.precision for item in items))
        > 0
    }
    raw = {
        worker: sum(
            item.weight * item.precision * item.log_pace
            for item in residuals[worker]
        )
        / precision
        for worker, precision in precisions.items()
    }
    anchor = statistics.median(raw.values()) if raw else 0.0
    raw = {worker: effect - anchor for worker, effect in raw.items()}
    shrunk = {
        worker: DAMPING
        * effect
        * worker_variance
        / (worker_variance + 1.0 / precisions[worker])
        + (1.0 - DAMPING) * log_speeds.get(worker, 0.0)
        for worker, effect in raw.items()
    }
    return raw, shrunk, precisions
