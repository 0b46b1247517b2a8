from __future__ import annotations

from collections.abc import Iterator

import pytest

from lagoonbeam.site.model import RunningTask
from lagoonbeam.site.speed import MEMORY_S, SpeedWatch


class Steady:
    """A steady clock that tests move."""

    def __init__(self) -> None:
        self.now_s = 100.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def steady(monkeypatch: pytest.MonkeyPatch) -> Iterator[Steady]:
    clock = Steady()
    monkeypatch.setattr("time.monotonic", clock)
    yield clock


def look(watch: SpeedWatch, **percents: float) -> float | None:
    running = [RunningTask(name, 1, "", p) for name, p in percents.items()]
    return watch.observe(running, lambda task: 10.0)


def test_worker_at_a_fifth_of_the_usual_speed_is_slow(steady: Steady) -> None:
    watch = SpeedWatch()
    for second in range(4):
        look(watch, a=2.0 * second, b=20 + 2.0 * second)
        steady.now_s += 1.0
    assert watch.is_slow
    steady.now_s += MEMORY_S
    assert not watch.is_slow


def test_worker_with_one_long_task_among_others_is_not(steady: Steady) -> None:
    watch = SpeedWatch()
    for second in range(4):
        look(watch, a=2.0 * second, b=10.0 * second, c=9.0 * second)
        steady.now_s += 1.0
    assert not watch.is_slow


def test_run_that_resumes_is_not_held_against_its_worker(
    steady: Steady,
) -> None:
    watch = SpeedWatch()
    for percent in (40.0, 44.0, 54.0, 64.0):
        look(watch, a=percent)
        steady.now_s += 1.0
        assert not watch.is_slow


def test_looks_in_short_order_measure_nothing(steady: Steady) -> None:
    watch = SpeedWatch()
    for _ in range(5):
        assert look(watch, a=10.0) is None
        steady.now_s += 0.1


def test_tasks_without_a_usual_run_time_say_nothing(steady: Steady) -> None:
    watch = SpeedWatch()
    for _ in range(4):
        running = [RunningTask("a", 1, "", 10.0)]
        assert watch.observe(running, lambda task: None) is None
        steady.now_s += 1.0
    assert not watch.is_slow
