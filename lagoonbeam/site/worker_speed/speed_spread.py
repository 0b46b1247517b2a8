"""Tests of whether workers differ by more than their runs do."""

from __future__ import annotations

import math
from collections.abc import Iterable, Mapping, Sequence
from dataclasses import dataclass

from lagoonbeam.site.worker_speed.speed_blocks import Block
from lagoonbeam.types import WorkerName

STEP_DEVIATION = 0.22
"""Deviation of runs of one step that is assumed at first."""
GROUP_DEVIATION = 0.5
"""Deviation of steps of one group that is assumed at first."""
PRIOR_RUNS = 10.0
"""Number of runs that these assumptions count for."""
MIN_WORKER_VARIANCE = 0.02
"""Variance of workers that is assumed at least."""
MAX_SQUARED_SCORE = 50.0
"""Bounds what one worker adds to a variance between all."""


@dataclass(frozen=True, slots=True)
class VarianceRatio:
    """Ratio of two measured variances, to test whether they are equal.

    Attributes:
        log_ratio: Its logarithm.
        standard_error: Standard error of the logarithm if they are equal.
    """

    log_ratio: float
    standard_error: float


@dataclass(frozen=True, slots=True)
class Spread:
    """Differences of workers, compared with those of runs.

    Attributes:
        between_cells: Variance between workers inside blocks over that of
            runs of one block on one worker.
        between_workers: Variance between the effects of workers over that of
            the blocks on one worker.
        worker_variance: Variance of the log speeds of workers.
    """

    between_cells: VarianceRatio
    between_workers: VarianceRatio
    worker_variance: float


@dataclass(frozen=True, slots=True)
class Residual:
    """Difference of a worker's runs from those of others in one block.

    Attributes:
        log_pace: The difference.
        precision: Inverse of its variance.
        weight: Weight by age.
    """

    log_pace: float
    precision: float
    weight: float


def measure_run_variance(
    blocks: Iterable[Block], prior_deviation: float
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


def _compare_variances(
    first: float, first_freedom: float, second: float, second_freedom: float
) -> VarianceRatio:
    """Compares two variances with their degrees of freedom."""
    if first <= 0 or second <= 0 or not first_freedom or not second_freedom:
        return VarianceRatio(0.0, math.inf)
    return VarianceRatio(
        math.log(first / second),
        math.sqrt(2 / first_freedom + 2 / second_freedom),
    )


def compare_cells(
    blocks: Iterable[Block], variances: Mapping[bool, tuple[float, float]]
) -> tuple[VarianceRatio, float]:
    """Compares the variance between workers with that on one worker.

    Returns:
        The ratio, and the variance of workers.
    """
    squares = 0.0
    freedom = 0
    excess = 0.0
    replication = 0.0
    used: set[bool] = set()
    for block in blocks:
        cells = block.cells.values()
        total = sum(cell.count for cell in cells)
        if len(cells) < 2:
            continue
        mean = sum(cell.count * cell.mean for cell in cells) / total
        variance = variances[block.is_step][0]
        deviations = [cell.count * (cell.mean - mean) ** 2 for cell in cells]
        squares += sum(
            min(MAX_SQUARED_SCORE, deviation / variance)
            for deviation in deviations
        )
        freedom += len(cells) - 1
        excess += sum(deviations) - (len(cells) - 1) * variance
        replication += total - sum(cell.count**2 for cell in cells) / total
        used.add(block.is_step)
    if not freedom:
        return VarianceRatio(0.0, math.inf), MIN_WORKER_VARIANCE
    return (
        _compare_variances(
            squares / freedom,
            freedom,
            1.0,
            min(variances[is_step][1] for is_step in used),
        ),
        max(MIN_WORKER_VARIANCE, excess / replication),
    )


def compare_workers(
    residuals: Mapping[WorkerName, Sequence[Residual]],
) -> VarianceRatio:
    """Compares the variance of workers with that of blocks on one worker."""
    between = 0.0
    within = 0.0
    for items in residuals.values():
        precision = sum(item.precision for item in items)
        mean = sum(item.precision * item.log_pace for item in items) / precision
        between += min(MAX_SQUARED_SCORE, precision * mean**2)
        within += sum(
            item.precision * (item.log_pace - mean) ** 2 for item in items
        )
    workers = len(residuals)
    freedom = sum(len(items) - 1 for items in residuals.values())
    if not freedom:
        return VarianceRatio(0.0, math.inf)
    return _compare_variances(
        between / workers, workers, within / freedom, freedom
    )
