from __future__ import annotations

from types import SimpleNamespace

import pytest

from lagoonbeam.site import pacing
from lagoonbeam.site.model import ActiveRun, Step
from lagoonbeam.site.pacing import FillerPacer

STEPS = {
    "serve": Step(target_latency_ms=100.0, is_long_running=True),
    "fill": Step(is_filling=True),
}


def compute_changes(pacer: FillerPacer, latency_ms: float) -> list[int]:
    running = [
        ActiveRun("serve", 1, "", 100, latency_ms),
        ActiveRun("fill", 1, "", 10, 5.0),
    ]
    return [percent for _, percent in pacer.compute_changes(running, STEPS.get)]


@pytest.fixture(autouse=True)
def no_change_interval(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pacing, "MIN_CHANGE_INTERVAL_S", 0.0)


def test_filler_rate_is_halved_down_to_zero_at_high_latency() -> None:
    pacer = FillerPacer()
    rates = [compute_changes(pacer, 120.0) for _ in range(4)]
    assert rates == [[50], [25], [0], []]


def test_filler_rate_is_raised_in_steps_at_low_latency() -> None:
    pacer = FillerPacer()
    for _ in range(3):
        compute_changes(pacer, 120.0)
    assert compute_changes(pacer, 75.0) == []
    assert [compute_changes(pacer, 20.0) for _ in range(3)] == [
        [10],
        [20],
        [30],
    ]


def test_filler_without_serving_task_is_not_paced() -> None:
    pacer = FillerPacer()
    alone = [ActiveRun("fill", 1, "", 10, 5.0)]
    assert pacer.compute_changes(alone, STEPS.get) == []


def test_no_second_change_within_the_minimum_interval(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(pacing, "MIN_CHANGE_INTERVAL_S", 60.0)
    pacer = FillerPacer()
    assert compute_changes(pacer, 120.0) == [50]
    assert compute_changes(pacer, 120.0) == []


def test_filler_sped_up_by_a_late_order_is_stopped_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It went on beside a serving task over its target, for good."""
    now_s = [100.0]
    monkeypatch.setattr(
        pacing, "time", SimpleNamespace(monotonic=lambda: now_s[0])
    )
    pacer = FillerPacer()
    assert [compute_changes(pacer, 120.0) for _ in range(3)][-1] == [0]
    now_s[0] += 0.5
    assert compute_changes(pacer, 120.0) == []
    now_s[0] += 0.6
    assert compute_changes(pacer, 120.0) == [0]
    now_s[0] += 1.1
    assert compute_changes(pacer, 75.0) == []
