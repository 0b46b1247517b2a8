"""Levels of speed that the evidence about workers supports."""

from __future__ import annotations

import math
import statistics
from collections.abc import Mapping

from lagoonbeam.site.worker_speed.speed_model import Effect, Fit
from lagoonbeam.types import WorkerName

LEVEL_RATIO = 1.25
"""Ratio of two neighbouring levels of speed."""
MAX_LEVEL = 8
"""Highest level, and the lowest with its sign changed."""
LEVEL_HYSTERESIS = 0.65
"""Distance, in levels, at which a worker leaves its level."""
MIN_WORKERS = 6
"""Workers that must be known before their spread is judged."""
SPREAD_LIMIT = 0.35
"""Logarithm of the ratio of variances from which workers may differ."""
SPREAD_DEVIATIONS = 4.5
"""Standard errors of that logarithm that are added to the limit."""
MIN_UNEVEN_VARIANCE = 0.04
"""Variance of log speeds from which workers may differ. Start and poll times
are uncertain in the same way for all runs on a worker, so that equal workers
seem to differ by less than that."""
MIN_STILL_UNEVEN_VARIANCE = 0.02
"""Variance below which workers count as equal again."""
EQUAL_SCORE = 2.0
"""Mean squared score below which workers count as equal again."""
MAX_SQUARED_SCORE = 50.0
"""Bounds what one worker adds to this mean."""
MIN_SCORE = 1.5
"""Standard errors from the usual speed if workers are known to differ."""
MIN_LONE_SCORE = 6.0
"""Standard errors from the usual speed if the other workers are equal."""
LONE_HYSTERESIS = 0.5
"""Share of the limits below which such a worker counts as usual again."""
MIN_LONE_LOG_SPEED = 0.3
"""Distance from the usual speed if the other workers are equal."""
MIN_LONE_STEPS = 2
"""Steps that must have run on a worker if the other workers are equal."""


def get_level_speed(level: int) -> float:
    """Returns the speed of a level; that of level 0 is the usual one."""
    return LEVEL_RATIO**level


def is_spread_significant(fit: Fit, *, was_significant: bool) -> bool:
    """Whether the workers as a whole differ by more than their runs do.

    Args:
        fit: The fitted effects.
        was_significant: The answer by the last fit.
    """
    if len(fit.effects) < MIN_WORKERS:
        return was_significant
    variance = _measure_effect_variance(fit)
    if was_significant:
        # The workers in use may be those that are equally fast.
        return (
            variance > MIN_STILL_UNEVEN_VARIANCE
            and _measure_mean_score(fit) > EQUAL_SCORE
        )
    return variance > MIN_UNEVEN_VARIANCE and any(
        ratio.log_ratio
        > SPREAD_LIMIT + SPREAD_DEVIATIONS * ratio.standard_error
        for ratio in (fit.spread.between_cells, fit.spread.between_workers)
    )


def find_levels(
    fit: Fit, previous: Mapping[WorkerName, int], *, is_spread: bool
) -> dict[WorkerName, int]:
    """Returns the levels of the workers that are not at the usual speed.

    Args:
        fit: The fitted effects.
        previous: The levels by the last fit.
        is_spread: Whether the workers as a whole differ.
    """
    worker_variance = max(
        fit.spread.worker_variance, _measure_effect_variance(fit)
    )
    levels = {
        worker: _round_to_level(
            _find_supported_log_speed(effect, worker_variance)
            if is_spread
            else _find_lone_log_speed(effect, previous.get(worker, 0)),
            previous.get(worker, 0),
        )
        for worker, effect in fit.effects.items()
    }
    return {worker: level for worker, level in levels.items() if level}


def _measure_mean_score(fit: Fit) -> float:
    """Returns the mean squared effect in units of its variance."""
    return statistics.fmean(
        min(MAX_SQUARED_SCORE, effect.log_speed**2 * effect.precision)
        for effect in fit.effects.values()
    )


def _measure_effect_variance(fit: Fit) -> float:
    """Returns by how much the effects vary beyond what is uncertain of them."""
    if not fit.effects:
        return 0.0
    excess = (_measure_mean_score(fit) - 1.0) * len(fit.effects)
    return excess / sum(effect.precision for effect in fit.effects.values())


def _find_supported_log_speed(effect: Effect, worker_variance: float) -> float:
    """Returns the log speed that is expected, given the spread of workers."""
    log_speed = effect.shrink(worker_variance)
    standard_error = math.sqrt(
        worker_variance / (worker_variance * effect.precision + 1.0)
    )
    return log_speed if abs(log_speed) >= MIN_SCORE * standard_error else 0.0


def _find_lone_log_speed(effect: Effect, previous: int) -> float:
    """Returns the log speed of a worker that differs from equal ones."""
    share = LONE_HYSTERESIS if previous else 1.0
    is_significant = bool(
        (previous or effect.step_count >= MIN_LONE_STEPS)
        and abs(effect.log_speed) >= share * MIN_LONE_LOG_SPEED
        and abs(effect.log_speed) * math.sqrt(effect.precision)
        >= share * MIN_LONE_SCORE
    )
    return effect.log_speed if is_significant else 0.0


def _round_to_level(log_speed: float, previous: int) -> int:
    exact = log_speed / math.log(LEVEL_RATIO)
    if log_speed and abs(exact - previous) < LEVEL_HYSTERESIS:
        return previous
    return max(-MAX_LEVEL, min(MAX_LEVEL, round(exact)))
