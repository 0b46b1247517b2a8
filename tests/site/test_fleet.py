"""Which workers may get new runs, also after a placement was journaled."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.fleet import WorkerFleet
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import EndEvidence, Step
from lagoonbeam.site.placement import Assignment
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.platform_interface import ZoneEvacuations
from lagoonbeam.site.records import (
    JobCancelled,
    Record,
    RunEnd,
    RunKey,
    RunsEnded,
)
from lagoonbeam.site.run_launcher import RunLauncher
from lagoonbeam.site.silent_workers.lease_durations import LeaseDurations
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job, make_job, make_worker_report

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeEvacuations(ZoneEvacuations):
    """Evacuation requests in memory."""

    def __init__(self) -> None:
        self.zones: frozenset[str] = frozenset()

    def list_evacuated_zones(self) -> frozenset[str]:
        return self.zones


class FakeDispatcher:
    """Records the starts that it is told to send."""

    def __init__(self) -> None:
        self.started: list[str] = []

    async def start_run(
        self, task: Any, placement: Any, ticket: str, *, is_repeat: bool
    ) -> None:
        assert not is_repeat
        self.started.append(task.task_id)


class Launch:
    """A fleet of two workers in two zones, and a launcher on it."""

    def __init__(self) -> None:
        self.state = SiteState()
        self.evacuations = FakeEvacuations()
        self.decisions = DecisionLog("n0", "z1", descriptor=2)
        unused: Any = SimpleNamespace()
        self.fleet = WorkerFleet(
            unused,
            unused,
            unused,
            lease_durations=LeaseDurations(5.0),
            decisions=self.decisions,
            zone_evacuations=self.evacuations,
        )
        for number in (1, 2):
            name = f"w{number}"
            session: Any = SimpleNamespace(
                report=make_worker_report(name, availability_zone=f"z{number}"),
                incarnation=1,
                is_usable=True,
                is_listed=True,
                has_been_polled=True,
                polls=PollWatch(),
                dispatcher=FakeDispatcher(),
            )
            self.fleet.sessions[name] = session
        self.ends: list[RunEnd] = []
        self.while_journaling: Callable[[], None] = lambda: None
        advice: Any = SimpleNamespace(get_tickets=lambda step: {})
        self.launcher = RunLauncher(
            get_state=lambda: self.state,
            fleet=self.fleet,
            may_place=lambda unit: True,
            advice=advice,
            planner_state=PlannerState(self.decisions),
            append_to_journal=self.append,
            record_run_ends=self.record_run_ends,
            decisions=self.decisions,
        )

    async def append(self, records: Sequence[Record]) -> bool:
        for record in records:
            self.state.apply(record)
        self.while_journaling()
        return True

    async def record_run_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        self.ends += ends
        self.state.apply(RunsEnded(tuple(ends)))
        return True

    async def launch(self, unit: PlacementUnit, *workers: str) -> None:
        assignment: Assignment = list(zip(unit.tasks, workers, strict=True))
        async with anyio.create_task_group() as task_group:
            self.launcher.launch([(unit, assignment)], task_group)

    def list_started(self) -> list[str]:
        sessions: list[Any] = list(self.fleet.sessions.values())
        return [n for each in sessions for n in each.dispatcher.started]

    def list_pending(self) -> set[RunKey]:
        return self.fleet.pending_starts

    def start_drain(self) -> None:
        session: Any = self.fleet.sessions["w2"]
        session.report = make_worker_report(
            "w2", availability_zone="z2", is_draining=True
        )

    def evacuate(self) -> None:
        self.evacuations.zones = frozenset({"z2"})

    def restart_worker(self) -> None:
        session: Any = self.fleet.sessions["w2"]
        session.incarnation = 2

    def close_session(self) -> None:
        del self.fleet.sessions["w2"]

    def cordon(self) -> None:
        self.fleet.evacuations.add("w2")


async def test_workers_of_an_evacuated_zone_get_no_runs() -> None:
    launch = Launch()
    launch.evacuations.zones = frozenset({"z2", "unknown-zone"})
    assert set(launch.fleet.get_usable_sessions()) == {"w1"}
    launch.evacuations.zones = frozenset()
    assert set(launch.fleet.get_usable_sessions()) == {"w1", "w2"}


async def test_gang_starts_on_all_its_workers() -> None:
    launch = Launch()
    (unit,) = accept_job(
        launch.state, make_job("j", Step(count=2, is_gang=True))
    )
    await launch.launch(unit, "w1", "w2")
    assert len(launch.list_started()) == 2
    assert not launch.ends


@pytest.mark.parametrize(
    "change",
    ["start_drain", "evacuate", "cordon", "restart_worker", "close_session"],
)
async def test_gang_is_withdrawn_if_a_worker_is_closed_while_journaling(
    change: str,
) -> None:
    """The append of a placement may take seconds in a slow store."""
    launch = Launch()
    launch.while_journaling = getattr(launch, change)
    (unit,) = accept_job(
        launch.state, make_job("j", Step(count=2, is_gang=True))
    )
    await launch.launch(unit, "w1", "w2")
    assert launch.list_started() == []
    assert launch.list_pending() == set()
    assert not unit.has_placements
    assert [end.run for end in launch.ends] == [1, 1]
    assert unit.next_run == 2


async def test_cancelled_job_is_not_started_after_journaling() -> None:
    launch = Launch()
    (unit,) = accept_job(launch.state, make_job("j"))
    cancellation = JobCancelled(unit.job.request.job_id)
    launch.while_journaling = lambda: launch.state.apply(cancellation)
    await launch.launch(unit, "w1")
    assert launch.list_started() == []
    assert launch.list_pending() == set()


async def test_failing_session_ends_neither_the_term_nor_the_others() -> None:
    launch = Launch()

    class FailingSession:
        worker = "w2"
        lease_expires_at_s = 5.0

        async def run(self) -> None:
            raise UnicodeEncodeError("latin-1", "x", 0, 1, "cannot encode")

    session: Any = FailingSession()
    launch.fleet.sessions["w2"] = session
    await launch.fleet._run_session(session)
    assert set(launch.fleet.sessions) == {"w1"}
