"""What a worker's present incarnation is known to refuse."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import pytest

from lagoonbeam.site.late_starts.late_start_index import LateStart
from lagoonbeam.site.late_starts.late_start_refusals import LateStartRefusals
from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.records import TermClaimed, TermRenewed
from lagoonbeam.site.state import SiteState

RUN = ("a.0.0.0", 1)


class Refusals:
    """The refusals of a worker that may carry out one late start."""

    def __init__(self, arrives_before_renewal: int = 1) -> None:
        self.state = SiteState()
        self.state.apply(TermClaimed(1000, "n0", "n0-1"))
        self.state.apply(TermRenewed(1000))
        self.state.late_starts.add(
            LateStart(*RUN, "w1", arrives_before_renewal)
        )
        self.stops = 0
        self.stop_confirmed_at_s = float("inf")
        scheduler: Any = SimpleNamespace(
            state=self.state, on_worker_usable=lambda worker: None
        )
        dispatcher: Any = SimpleNamespace(
            request_stop=self.request_stop,
            was_stop_confirmed_before=lambda task_id, run, time_s: (
                self.stop_confirmed_at_s < time_s
            ),
        )
        self.subject = LateStartRefusals("w1", scheduler, dispatcher)

    def request_stop(self, task_id: str, run: int, cause: str) -> None:
        self.stops += 1

    def poll(self, *runs: ActiveRun) -> None:
        """Handles a report that lists these runs."""
        running = {run.task_id: run for run in runs}
        self.subject.update(running, time.monotonic())

    def confirm_stop(self) -> None:
        self.stop_confirmed_at_s = time.monotonic()


def test_start_is_refused_once_a_list_after_its_stop_lacks_the_run() -> None:
    refusals = Refusals()
    refusals.poll()
    assert refusals.stops == 1
    refusals.confirm_stop()
    refusals.poll(ActiveRun(*RUN, "", 0.0))
    assert not refusals.subject.is_refused(RUN)
    refusals.poll()
    assert refusals.subject.is_refused(RUN)
    assert refusals.stops == 2


def test_next_incarnation_is_asked_to_refuse_the_start_again() -> None:
    """The next run went on beside an incarnation that knew of no stop."""
    refusals = Refusals()
    refusals.confirm_stop()
    refusals.poll()
    assert refusals.subject.is_refused(RUN)
    refusals.subject.discard_refused()
    refusals.stop_confirmed_at_s = float("inf")
    refusals.poll()
    assert not refusals.subject.is_refused(RUN)
    assert refusals.stops == 1


@pytest.mark.parametrize("has_arrived", [True, False])
def test_start_is_settled_by_a_list_after_its_latest_arrival(
    has_arrived: bool,
) -> None:
    refusals = Refusals(arrives_before_renewal=0 if has_arrived else 1)
    refusals.confirm_stop()
    for _ in range(3):
        refusals.poll()
    assert refusals.subject.may_arrive != has_arrived
    assert refusals.subject.is_settled(RUN) == has_arrived
    assert refusals.subject.is_watching != has_arrived
