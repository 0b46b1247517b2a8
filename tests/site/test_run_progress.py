"""Pace and remaining time of runs, by the progress that workers report."""

from __future__ import annotations

import math
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.model import ActiveRun, Step
from lagoonbeam.site.release_times import ReleaseTimes
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_speed.run_progress import RunProgressTracker
from tests.site.builders import accept_job, make_job, record_placement

KEY = ("a", 1)


class TrackedWorker:
    """A tracker with one worker, and what it has refused."""

    def __init__(self) -> None:
        self.faults: list[str] = []
        self.tracker = RunProgressTracker(
            lambda worker, task_id, cause: self.faults.append(cause)
        )

    def report(
        self, percent: Any, now_s: float, started_s: float | None = 0.0
    ) -> None:
        run = ActiveRun("a", 1, "", percent)
        self.tracker.record("w0", run, now_s, started_s)

    def get_full_run_s(self) -> float | None:
        progress = self.tracker.get("w0", KEY)
        assert progress is not None
        return progress.get_full_run_s()


def test_pace_follows_from_progress_since_the_start() -> None:
    worker = TrackedWorker()
    worker.report(20, 1.0)
    full_run_s = worker.get_full_run_s()
    assert full_run_s == pytest.approx(1.0 / 0.205)


def test_pace_of_a_gang_counts_from_when_it_is_complete() -> None:
    worker = TrackedWorker()
    for percent, now_s in ((0, 0.0), (0, 5.0), (10, 5.5), (50, 6.5)):
        worker.report(percent, now_s, None)
    assert worker.get_full_run_s() == pytest.approx(2.5)


def test_member_that_waits_for_its_gang_tells_no_pace() -> None:
    worker = TrackedWorker()
    for percent, now_s in ((10, 1.0), (60, 2.0), (100, 3.0)):
        worker.report(percent, now_s, None)
    assert worker.get_full_run_s() is None


@pytest.mark.parametrize(
    ("percent", "now_s", "started_s"),
    [
        (19, 2.0, 0.0),
        (101, 2.0, 0.0),
        (-1, 2.0, 0.0),
        (math.nan, 2.0, 0.0),
        ("30", 2.0, 0.0),
        (None, 2.0, 0.0),
        (30, 0.5, 0.0),
        (30, 2.0, 3.0),
    ],
)
def test_progress_that_cannot_be_right_is_ignored(
    percent: Any, now_s: float, started_s: float
) -> None:
    worker = TrackedWorker()
    worker.report(20, 1.0)
    worker.report(percent, now_s, started_s)
    assert len(worker.faults) == 1
    assert worker.get_full_run_s() == pytest.approx(1.0 / 0.205)
    worker.report(41, 2.0)
    assert worker.get_full_run_s() == pytest.approx(2.0 / 0.415)


def test_no_time_since_the_start_tells_no_pace() -> None:
    worker = TrackedWorker()
    worker.report(20, 0.0)
    assert worker.get_full_run_s() is None


def test_progress_of_runs_that_are_no_longer_listed_is_dropped() -> None:
    worker = TrackedWorker()
    worker.report(20, 1.0)
    worker.tracker.retain("w0", [])
    assert worker.tracker.get("w0", KEY) is None


@pytest.mark.parametrize(
    ("percent", "speed", "end_s"),
    [
        (19, 1.0, 5.05),  # as expected; 81 of 100 are left
        (2, 1.0, 1.0 + 0.98 * 30.0),  # seven times as long: 30 s at least
        (50, 1.0, 1.0 + 0.5 * 2.2),  # twice as fast: 2.2 s at most
        (9, 0.5, 1.0 + 0.91 * 10.0),  # as expected of a slow worker
    ],
    ids=["as_expected", "long_run", "short_run", "slow_worker"],
)
def test_release_time_follows_from_early_progress(
    percent: int, speed: float, end_s: float
) -> None:
    """A task of 5 s, a second after its start."""
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step()))
    record_placement(state, unit, "w0")
    tracker = RunProgressTracker(lambda *fault: None)
    tracker.record("w0", ActiveRun(unit.key, 1, "", percent), 1.0, 0.0)
    sessions: dict[str, Any] = {"w0": SimpleNamespace()}
    release_times = ReleaseTimes(lambda _: 5.0, tracker, lambda _: speed)
    ((release_s, _),) = release_times.get(state, sessions, "w0", 1.0)
    assert release_s == pytest.approx(end_s, rel=0.01)


def test_gang_releases_capacity_when_its_slowest_member_ends() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=2, is_gang=True)))
    record_placement(state, unit, "w0")
    tracker = RunProgressTracker(lambda *fault: None)
    for task, percents in zip(unit.tasks, ((10, 60), (10, 30)), strict=True):
        for now_s, percent in zip((1.0, 2.0), percents, strict=True):
            run = ActiveRun(task.task_id, 1, "", percent)
            tracker.record("w0", run, now_s, None)
    sessions: dict[str, Any] = {"w0": SimpleNamespace()}
    release_times = ReleaseTimes(lambda _: 2.0, tracker)
    releases = release_times.get(state, sessions, "w0", 2.0)
    assert [end_s for end_s, _ in releases] == [
        pytest.approx(2.0 + 0.7 * 0.9 / 0.21)
    ] * 2
