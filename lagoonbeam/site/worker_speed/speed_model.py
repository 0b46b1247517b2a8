"""Two-way model of run times: effects of the step and of the worker.

All values are logarithms: the log pace of a run is that of its step plus that
of its worker, and a deviation of its own. Workers are compared only inside
blocks: the runs of one step or, for steps that ran on one worker only, those
of a queue.
"""

from __future__ import annotations

import math
import statistics
from collections import defaultdict
from collections.abc import Iterable, Iterator, Mapping, Sequence
from dataclasses import dataclass, field

from lagoonbeam.site.records import RunKey
from lagoonbeam.site.worker_capacity import StepKey
from lagoonbeam.types import WorkerName

GroupKey = tuple[object, ...]
"""What steps have in common whose run times are compared."""

ITERATIONS = 4
"""Passes of a fit; it starts from the result of the last one."""
DAMPING = 0.6
"""Share of a worker's effect that one pass replaces."""
DECAY_S = 60.0
"""Time constant with which observations lose weight."""
SUCCESSOR_WEIGHT = 0.85
"""Weight that an observation keeps for each newer one of its worker."""
OUTLIER_LOG_PACE = 1.1
"""Log pace below that of its block at which a run counts as a long one."""
OUTLIER_STREAK = 5
"""Long runs in a row on a worker that tell of the worker."""
MIN_BLOCK_RUNS = 4
"""Runs in a block from which the long ones are told apart."""
STEP_DEVIATION = 0.22
"""Deviation of runs of one step that is assumed at first."""
GROUP_DEVIATION = 0.5
"""Deviation of steps of one group that is assumed at first."""
PRIOR_RUNS = 10.0
"""Number of runs that these assumptions count for."""
MIN_WORKER_VARIANCE = 0.02
"""Variance of workers that is assumed at least."""
SEED_PRECISION = 20.0
"""Precision of an estimate of an earlier term."""


@dataclass(slots=True)
class Observation:
    """Log paces of the runs of one step on one worker.

    Attributes:
        group: What the step is compared with; None for an estimate of an
            earlier term, which is relative to the usual worker.
        step: The step.
        updated_at_s: Monotonic time of the newest change.
        log_paces: The log pace of each run.
    """

    group: GroupKey | None
    step: StepKey | None
    updated_at_s: float
    log_paces: dict[RunKey, float] = field(default_factory=dict)


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
class Spread:
    """Differences of workers, compared with those of runs.

    Attributes:
        ratio: Variance between workers over that of runs on one worker.
        standard_error: Standard error of its logarithm if workers are equal.
        worker_variance: Variance of the log speeds of workers.
    """

    ratio: float
    standard_error: float
    worker_variance: float


@dataclass(slots=True)
class _Cell:
    """Runs of one block on one worker.

    Attributes:
        values: Log paces of runs or, in a group's block, of steps.
        weight: Weight by age.
        mean: Mean of the values that are no outliers.
        count: Number of these values.
    """

    values: list[float] = field(default_factory=list)
    weight: float = 0.0
    mean: float = 0.0
    count: int = 0


@dataclass(slots=True)
class _Block:
    """Runs that are compared with each other, by worker.

    Attributes:
        is_step: Whether they are of one step.
        cells: The runs on each worker.
    """

    is_step: bool
    cells: dict[WorkerName, _Cell] = field(default_factory=dict)


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
    blocks = _make_blocks(observations, now_s)
    _drop_outliers(blocks, log_speeds, _find_slow_workers(blocks, log_speeds))
    variances = {
        is_step: _measure_run_variance(
            [block for block in blocks if block.is_step is is_step], deviation
        )
        for is_step, deviation in (
            (True, STEP_DEVIATION),
            (False, GROUP_DEVIATION),
        )
    }
    spread = _measure_spread(blocks, variances)
    seeds = {
        worker: (log_pace, SEED_PRECISION * _weigh_age(item, now_s))
        for worker, items in observations.items()
        for item in items
        if item.group is None
        for log_pace in item.log_paces.values()
    }
    worker_variance = max(
        spread.worker_variance,
        statistics.pvariance([seed for seed, _ in seeds.values()])
        if seeds
        else 0.0,
    )
    shrunk = dict(log_speeds)
    for _ in range(ITERATIONS):
        raw, shrunk, precisions = _update_effects(
            blocks,
            shrunk,
            seeds,
            {key: variance for key, (variance, _) in variances.items()},
            worker_variance,
        )
    effects = {
        worker: Effect(raw[worker], precision, len(observations[worker]))
        for worker, precision in precisions.items()
    }
    return Fit(effects, spread, shrunk)


def _weigh_age(item: Observation, now_s: float) -> float:
    return math.exp(-max(0.0, now_s - item.updated_at_s) / DECAY_S)


def _make_blocks(
    observations: Mapping[WorkerName, Sequence[Observation]], now_s: float
) -> list[_Block]:
    workers_by_step: dict[StepKey | None, int] = defaultdict(int)
    for items in observations.values():
        for item in items:
            workers_by_step[item.step] += 1
    blocks: dict[tuple[object, ...], _Block] = {}
    for worker, items in observations.items():
        for successors, item in enumerate(reversed(items)):
            if item.group is None or item.step is None or not item.log_paces:
                continue
            is_step = workers_by_step[item.step] > 1
            block = blocks.setdefault(
                item.step if is_step else item.group, _Block(is_step)
            )
            cell = block.cells.setdefault(worker, _Cell())
            weight = _weigh_age(item, now_s) * SUCCESSOR_WEIGHT**successors
            cell.weight = max(cell.weight, weight)
            paces = list(item.log_paces.values())
            cell.values.extend(paces if is_step else [statistics.median(paces)])
    return list(blocks.values())


def _iterate_relative_paces(
    block: _Block, log_speeds: Mapping[WorkerName, float]
) -> Iterator[tuple[WorkerName, list[float]]]:
    """Yields the log paces on each worker, relative to the block's median."""
    relative = {
        worker: [value - log_speeds.get(worker, 0.0) for value in cell.values]
        for worker, cell in block.cells.items()
    }
    values = [value for items in relative.values() for value in items]
    if len(values) < MIN_BLOCK_RUNS:
        return
    center = statistics.median(values)
    for worker, items in relative.items():
        yield worker, [value - center for value in items]


def _find_slow_workers(
    blocks: Iterable[_Block], log_speeds: Mapping[WorkerName, float]
) -> set[WorkerName]:
    """Returns the workers that have only long runs, which tell of them."""
    paces: dict[WorkerName, list[float]] = defaultdict(list)
    for block in blocks:
        for worker, items in _iterate_relative_paces(block, log_speeds):
            paces[worker].extend(items)
    return {
        worker
        for worker, items in paces.items()
        if len(items) >= OUTLIER_STREAK and max(items) < -OUTLIER_LOG_PACE
    }


def _drop_outliers(
    blocks: Iterable[_Block],
    log_speeds: Mapping[WorkerName, float],
    slow_workers: set[WorkerName],
) -> None:
    """Leaves out runs that take many times as long as others of their block."""
    for block in blocks:
        relative = dict(_iterate_relative_paces(block, log_speeds))
        for worker, cell in block.cells.items():
            if worker not in slow_workers and worker in relative:
                cell.values = [
                    value
                    for value, distance in zip(
                        cell.values, relative[worker], strict=True
                    )
                    if distance >= -OUTLIER_LOG_PACE
                ]
            cell.count = len(cell.values)
            cell.mean = statistics.fmean(cell.values) if cell.values else 0.0
        block.cells = {
            worker: cell for worker, cell in block.cells.items() if cell.count
        }


def _measure_run_variance(
    blocks: Iterable[_Block], prior_deviation: float
) -> tuple[float, float]:
    """Returns the variance on one worker, and its degrees of freedom."""
    cells = [
        cell
        for block in blocks
        for cell in block.cells.values()
        if cell.count > 1
    ]
    squares = PRIOR_RUNS * prior_deviation**2 + sum(
        (value - cell.mean) ** 2 for cell in cells for value in cell.values
    )
    degrees_of_freedom = PRIOR_RUNS + sum(cell.count - 1 for cell in cells)
    return squares / degrees_of_freedom, degrees_of_freedom


def _measure_spread(
    blocks: Iterable[_Block], variances: Mapping[bool, tuple[float, float]]
) -> Spread:
    """Compares the variance between workers with that on one worker."""
    squares = 0.0
    degrees_of_freedom = 0
    excess = 0.0
    replication = 0.0
    used: set[bool] = set()
    for block in blocks:
        counts = [cell.count for cell in block.cells.values()]
        if len(counts) < 2:
            continue
        total = sum(counts)
        mean = (
            sum(cell.count * cell.mean for cell in block.cells.values()) / total
        )
        between = sum(
            cell.count * (cell.mean - mean) ** 2
            for cell in block.cells.values()
        )
        variance = variances[block.is_step][0]
        squares += between / variance
        degrees_of_freedom += len(counts) - 1
        excess += between - (len(counts) - 1) * variance
        replication += total - sum(count**2 for count in counts) / total
        used.add(block.is_step)
    if not degrees_of_freedom:
        return Spread(1.0, math.inf, MIN_WORKER_VARIANCE)
    standard_error = math.sqrt(
        2 / degrees_of_freedom
        + 2 / min(variances[is_step][1] for is_step in used)
    )
    return Spread(
        squares / degrees_of_freedom,
        standard_error,
        max(MIN_WORKER_VARIANCE, excess / replication),
    )


def _update_effects(
    blocks: Iterable[_Block],
    log_speeds: Mapping[WorkerName, float],
    seeds: Mapping[WorkerName, tuple[float, float]],
    variances: Mapping[bool, float],
    worker_variance: float,
) -> tuple[
    dict[WorkerName, float], dict[WorkerName, float], dict[WorkerName, float]
]:
    """Updates the workers' effects from those of the other workers.

    Returns:
        The effects, these moved towards the median worker, and the precisions.
    """
    sums: dict[WorkerName, float] = defaultdict(float)
    precisions: dict[WorkerName, float] = defaultdict(float)
    for worker, (log_speed, precision) in seeds.items():
        sums[worker] += precision * log_speed
        precisions[worker] += precision
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
            share = shares[worker]
            own = share * (cell.mean - log_speeds.get(worker, 0.0))
            others = share_sum - share
            precision = cell.weight / (variance / cell.count + 1.0 / others)
            sums[worker] += precision * (cell.mean - (level_sum - own) / others)
            precisions[worker] += precision
    raw = {
        worker: sums[worker] / precision
        for worker, precision in precisions.items()
        if precision > 0
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
    return raw, shrunk, {worker: precisions[worker] for worker in raw}
