"""An event loop whose time passes only while nothing else happens."""

from __future__ import annotations

import asyncio
import selectors
import time
from collections.abc import Awaitable, Callable
from typing import Any

import anyio
import pytest

START_S = 1_000.0


class _IdleSelector(selectors.DefaultSelector):  # type: ignore[misc, valid-type]
    """Skips the time for which the event loop would wait."""

    def __init__(self) -> None:
        super().__init__()
        self.now_s = START_S

    def select(self, timeout: float | None = None) -> Any:
        ready = super().select(0)
        if not ready and timeout:
            self.now_s += timeout
        return ready


class VirtualTimeLoop(asyncio.SelectorEventLoop):
    """An event loop in virtual time."""

    def __init__(self) -> None:
        self.idle_selector = _IdleSelector()
        super().__init__(self.idle_selector)

    def time(self) -> float:
        return self.idle_selector.now_s

    def pause(self, duration_s: float) -> None:
        """Lets time pass while no task of the process runs."""
        self.idle_selector.now_s += duration_s


def run_in_virtual_time(
    monkeypatch: pytest.MonkeyPatch, scenario: Callable[[], Awaitable[None]]
) -> None:
    """Runs a scenario; all monotonic clocks show the time of its loop."""
    loops: list[VirtualTimeLoop] = []

    def make_loop() -> VirtualTimeLoop:
        loops.append(VirtualTimeLoop())
        return loops[-1]

    def read_clock(*clock: int) -> float:
        return loops[-1].time() if loops else START_S

    with monkeypatch.context() as patch:
        patch.setattr(time, "monotonic", read_clock)
        patch.setattr(time, "clock_gettime", read_clock)
        anyio.run(
            scenario,
            backend="asyncio",
            backend_options={"loop_factory": make_loop},
        )
