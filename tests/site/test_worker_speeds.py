"""Estimates of workers' speeds under loads of batch steps."""

from __future__ import annotations

import itertools
import math
import random

import pytest

from lagoonbeam.site.model import Step
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.worker_speeds import (
    MAX_WORKERS,
    WorkerSpeeds,
)
from tests.site.builders import accept_job, make_job
from tests.site.speed_load import SpeedLoad

CLASS_SPEEDS = (0.6, 1.0, 1.6)
SEEDS = range(4)


def make_equal_workers(count: int = 176) -> dict[str, float]:
    return {f"w{n}": 1.0 for n in range(count)}


def make_uneven_workers(seed: int, count: int = 176) -> dict[str, float]:
    """Returns workers of which a third each has one of the speeds."""
    speeds = [CLASS_SPEEDS[n % len(CLASS_SPEEDS)] for n in range(count)]
    random.Random(seed).shuffle(speeds)
    return {f"w{n}": speed for n, speed in enumerate(speeds)}


def classify(speed: float) -> float:
    return min(CLASS_SPEEDS, key=lambda known: abs(math.log(speed / known)))


def count_mistaken(
    worker_speeds: WorkerSpeeds, actual: dict[str, float]
) -> int:
    return sum(
        classify(worker_speeds.get_speed(worker)) != actual[worker]
        for worker in worker_speeds.get_known_speeds()
    )


@pytest.mark.parametrize("seed", SEEDS)
def test_uneven_workers_are_told_apart_by_the_progress_of_first_runs(
    seed: int,
) -> None:
    """Steps of 39 tasks, 8 on a worker; 176 workers, a third of each class.

    A step that runs on a few workers of one kind only can't be told from one
    whose tasks are long, so some workers stay mistaken until later steps.
    """
    actual = make_uneven_workers(seed)
    worker_speeds = WorkerSpeeds()
    SpeedLoad(actual, seed, steps_per_s=4.0).play(worker_speeds, 3.0)
    known = worker_speeds.get_known_speeds()
    assert worker_speeds.is_uneven
    assert len(known) >= 20
    assert count_mistaken(worker_speeds, actual) <= 0.4 * len(known)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "load",
    [
        {},
        {"steps_per_s": 20.0, "tasks": 1},
        {"task_spread": 0.3, "step_spread": 0.6},
    ],
    ids=["steps_of_39_tasks", "single_tasks", "wide_spread"],
)
def test_uneven_workers_are_known_after_a_minute(
    seed: int, load: dict[str, float]
) -> None:
    actual = make_uneven_workers(seed, 60)
    worker_speeds = WorkerSpeeds()
    SpeedLoad(actual, seed, **load).play(  # type: ignore[arg-type]
        worker_speeds, 60.0
    )
    known = worker_speeds.get_known_speeds()
    assert len(known) >= 50
    assert count_mistaken(worker_speeds, actual) <= 0.15 * len(known)


@pytest.mark.parametrize("seed", SEEDS)
@pytest.mark.parametrize(
    "load",
    [
        {},
        {"steps_per_s": 8.0, "tasks": 1},
        {"steps_per_s": 2.5, "tasks": 5, "run_s": 2.1, "tasks_per_worker": 1},
        {"task_spread": 0.3, "step_spread": 0.6},
    ],
    ids=["steps_of_39_tasks", "single_tasks", "small_steps", "wide_spread"],
)
def test_equal_workers_are_never_told_apart(
    seed: int, load: dict[str, float]
) -> None:
    """A minute of each load; 3 in 100 tasks take 7 times as long."""
    worker_speeds = WorkerSpeeds()

    def check_is_even(now_s: float) -> None:
        assert not worker_speeds.is_uneven, now_s

    SpeedLoad(make_equal_workers(60), seed, **load).play(  # type: ignore[arg-type]
        worker_speeds, 60.0, check_is_even
    )


@pytest.mark.parametrize("seed", [5, 6])
def test_equal_workers_are_not_told_apart_in_an_hour(seed: int) -> None:
    worker_speeds = WorkerSpeeds()

    def check_is_even(now_s: float) -> None:
        assert not worker_speeds.is_uneven, now_s

    load = SpeedLoad(
        make_equal_workers(12),
        seed,
        steps_per_s=0.3,
        tasks=12,
        tasks_per_worker=4,
    )
    load.play(worker_speeds, 3600.0, check_is_even)


def test_worker_that_is_slow_for_a_while_recovers() -> None:
    """One worker of 60 is cold or sick for two minutes."""
    load = SpeedLoad(make_equal_workers(60), 3)
    worker_speeds = WorkerSpeeds()
    seen: list[float] = []

    def change_speed(now_s: float) -> None:
        load.speeds["w5"] = 0.3 if 60.0 < now_s < 180.0 else 1.0
        seen.append(worker_speeds.get_speed("w5"))

    load.play(worker_speeds, 360.0, change_speed)
    assert max(seen) == 1.0
    assert min(seen) < 0.5
    assert worker_speeds.get_speed("w5") == 1.0


def test_workers_in_use_keep_their_speed_while_others_rest() -> None:
    """Only the fast workers get runs for five minutes."""
    actual = make_uneven_workers(2, 60)
    worker_speeds = WorkerSpeeds()
    SpeedLoad(actual, 1).play(worker_speeds, 60.0)
    fast = {worker: 1.6 for worker, speed in actual.items() if speed == 1.6}
    SpeedLoad(fast, 2).play(worker_speeds, 300.0, start_s=60.0)
    speeds = [worker_speeds.get_speed(worker) for worker in fast]
    assert sum(classify(speed) == 1.6 for speed in speeds) >= 0.8 * len(speeds)


def test_estimates_of_an_earlier_term_hold_at_once_and_then_fade() -> None:
    actual = make_uneven_workers(7, 60)
    worker_speeds = WorkerSpeeds()
    SpeedLoad(actual, 1).play(worker_speeds, 60.0)
    known = worker_speeds.get_known_speeds()
    successor = WorkerSpeeds()
    successor.load(known, 500.0)
    assert successor.get_known_speeds() == known
    SpeedLoad(make_equal_workers(60), 2).play(successor, 300.0, start_s=500.0)
    assert not successor.is_uneven


def test_known_workers_and_runs_are_bounded() -> None:
    worker_speeds = WorkerSpeeds()
    units = accept_job(SiteState(), make_job("a", Step(count=2)))
    for number, unit in itertools.product(range(MAX_WORKERS + 10), units):
        worker_speeds.record_run(f"w{number}", unit.tasks[0], 5.0, 1.0)
    worker_speeds.update(2.0)
    assert len(worker_speeds.get_known_speeds()) == MAX_WORKERS


@pytest.mark.parametrize("run_s", [0.0, -1.0, math.nan, math.inf])
def test_run_time_that_cannot_be_right_is_ignored(run_s: float) -> None:
    worker_speeds = WorkerSpeeds()
    (unit,) = accept_job(SiteState(), make_job("a"))
    worker_speeds.record_run("w0", unit.tasks[0], run_s, 1.0)
    worker_speeds.update(2.0)
    assert not worker_speeds.get_known_speeds()
