from __future__ import annotations

import pytest

from lagoonbeam.site import pacing
from lagoonbeam.site.model import ActiveRun, Step
from lagoonbeam.site.pacing import Pacer

STEPS = {
    "serve": Step(target_latency_ms=100.0, is_long_running=True),
    "fill": Step(is_filling=True),
}


def decide(pacer: Pacer, tail_ms: float) -> list[int]:
    running = [
        ActiveRun("serve", 1, "", 100, tail_ms),
        ActiveRun("fill", 1, "", 10, 5.0),
    ]
    return [percent for _, percent in pacer.decide(running, STEPS.get)]


@pytest.fixture(autouse=True)
def no_pause(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pacing, "CHANGE_S", 0.0)


def test_filler_is_paced_down_to_a_standstill() -> None:
    pacer = Pacer()
    shares = [decide(pacer, 120.0) for _ in range(4)]
    assert shares == [[50], [25], [0], []]


def test_filler_gets_its_share_back_in_steps() -> None:
    pacer = Pacer()
    for _ in range(3):
        decide(pacer, 120.0)
    assert decide(pacer, 75.0) == []
    assert [decide(pacer, 20.0) for _ in range(3)] == [[10], [20], [30]]


def test_filler_alone_works_in_full() -> None:
    pacer = Pacer()
    alone = [ActiveRun("fill", 1, "", 10, 5.0)]
    assert pacer.decide(alone, STEPS.get) == []


def test_changes_are_spread(monkeypatch: pytest.MonkeyPatch) -> None:
    monkeypatch.setattr(pacing, "CHANGE_S", 60.0)
    pacer = Pacer()
    assert decide(pacer, 120.0) == [50]
    assert decide(pacer, 120.0) == []
