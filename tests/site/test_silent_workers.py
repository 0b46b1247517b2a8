"""Workers that fall silent: how long they hold work, and who gets new runs."""

from __future__ import annotations

import time
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.errors import ServerUnreachableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.instance import TAKEOVER_JITTER_S, TAKEOVER_TIMEOUT_S
from lagoonbeam.site.model import Step
from lagoonbeam.site.poll_waits import POLL_WAIT_S
from lagoonbeam.site.records import JobAccepted, encode_record
from lagoonbeam.site.silent_workers.lease_durations import (
    MAX_CONFIRMATION_AGE_S,
    SHORT_LEASE_S,
    STEADY_LEASE_S,
    TERM_SETTLING_S,
    LeaseDurations,
)
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.site.silent_workers.silent_zones import SilentZones
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job, make_job, make_worker_report
from tests.site.worker_model import Fault, RunKey, WorkerModel, make_report
from tests.site.worker_site import (
    FIRST_RUN,
    JOB_ID,
    OLD_TERM_S,
    SECOND_RUN,
    WorkerSite,
    play,
)

MAX_LEASE_S = 10.0
NEW_TERM_S = TAKEOVER_TIMEOUT_S + TAKEOVER_JITTER_S + 0.2
"""Longest time from the end of a term to the claim of the next."""
ZONE_SIZE = 4
URGENT = Step(count=2, accelerators=8, is_gang=True, estimated_s=2.5)
LONG = Step(accelerators=1, estimated_s=60.0)
SHORT = Step(accelerators=1, estimated_s=3.0)


class TwoZones:
    """Workers w1 to w4 in zone z1, and w5 to w8 in zone z2."""

    def __init__(self, site: WorkerSite):
        self.site = site
        self.workers: dict[str, list[WorkerModel]] = {"z1": [], "z2": []}
        self._faults: list[Fault] = []
        for number in range(1, 2 * ZONE_SIZE + 1):
            zone = "z1" if number <= ZONE_SIZE else "z2"
            name = f"w{number}"
            self.workers[zone].append(site.add_worker(name, number))
            site.directory.reports[name] = make_report(
                name, number, availability_zone=zone
            )

    def accept(self, job_id: str, step: Step = URGENT) -> list[RunKey]:
        """Stores a job; returns its first runs."""
        record = JobAccepted(make_job(job_id, step))
        self.site.store.records.append(encode_record(record))
        return [(f"{job_id}.0.0.{index}", 1) for index in range(step.count)]

    def darken(self, zone: str, count: int = ZONE_SIZE) -> None:
        """Lets workers of a zone neither get calls nor answer."""
        first = 1 if zone == "z1" else ZONE_SIZE + 1
        self._faults += [
            self.site.add_fault(number)
            for number in range(first, first + count)
        ]

    def lighten(self) -> None:
        for fault in self._faults:
            self.site.network.faults.remove(fault)

    def find_zones(self, run: RunKey) -> list[str]:
        """Returns the zones whose workers have begun a run."""
        return [
            zone
            for zone, workers in self.workers.items()
            if any(run in worker.begun for worker in workers)
        ]

    async def wait_for_begin(self, runs: list[RunKey]) -> None:
        with anyio.fail_after(60.0):
            while not all(map(self.find_zones, runs)):
                await anyio.sleep(0.01)


async def start_in_two_zones(site: WorkerSite) -> TwoZones:
    zones = TwoZones(site)
    await site.start_scheduler()
    await anyio.sleep(OLD_TERM_S)
    return zones


def get_other(zone: str) -> str:
    return "z2" if zone == "z1" else "z1"


@pytest.mark.parametrize("phase_s", [0.0, 0.25, 0.5, 0.75])
def test_urgent_gang_in_a_dark_zone_runs_elsewhere_after_a_short_lease(
    monkeypatch: pytest.MonkeyPatch, phase_s: float
) -> None:
    """Its workers held the gang for 10 s and earned nothing."""

    async def scenario(site: WorkerSite) -> None:
        zones = await start_in_two_zones(site)
        runs = zones.accept(JOB_ID)
        await zones.wait_for_begin(runs)
        await anyio.sleep(phase_s)
        (dark,) = zones.find_zones(runs[0])
        zones.darken(dark)
        dark_at_s = anyio.current_time()
        second_runs = [(task, 2) for task, _ in runs]
        await zones.wait_for_begin(second_runs)
        assert anyio.current_time() - dark_at_s < SHORT_LEASE_S + 2.0
        assert {zones.find_zones(run)[0] for run in second_runs} == {
            get_other(dark)
        }
        await anyio.sleep(20.0)

    assert play(monkeypatch, scenario).violations == []


def test_no_start_is_sent_to_a_zone_that_has_gone_silent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Starts went to dark workers until each had missed two polls."""

    async def scenario(site: WorkerSite) -> None:
        zones = await start_in_two_zones(site)
        zones.darken("z1")
        # Polls in progress are still answered; the next time out after 3 s.
        await anyio.sleep(2 * POLL_WAIT_S + 0.5)
        for number in range(ZONE_SIZE - 1):
            (run,) = zones.accept(f"{number:016x}", Step(accelerators=8))
            with anyio.fail_after(0.5):
                await zones.wait_for_begin([run])
            assert zones.find_zones(run) == ["z2"]

    assert play(monkeypatch, scenario).violations == []


def test_silent_worker_does_not_close_its_zone(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        zones = await start_in_two_zones(site)
        zones.darken("z1", 1)
        sessions = site.scheduler._fleet.sessions
        with anyio.move_on_after(6.0):
            while all(sessions[f"w{n}"].is_usable for n in range(2, 9)):
                await anyio.sleep(0.02)
            raise AssertionError("workers that answer are not usable")
        step = Step(count=ZONE_SIZE + 1, accelerators=8, is_gang=True)
        runs = zones.accept(JOB_ID, step)
        await anyio.sleep(0.5)
        assert all(map(zones.find_zones, runs))

    assert play(monkeypatch, scenario).violations == []


def test_zone_gets_runs_as_soon_as_it_answers_again(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        zones = await start_in_two_zones(site)
        zones.darken("z1")
        await anyio.sleep(5.0)
        zones.lighten()
        step = Step(count=2 * ZONE_SIZE, accelerators=8, is_gang=True)
        runs = zones.accept(JOB_ID, step)
        with anyio.fail_after(2.0):
            await zones.wait_for_begin(runs)

    assert play(monkeypatch, scenario).violations == []


def test_worker_that_leaves_a_start_unanswered_gets_no_more_until_it_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A start in doubt did not count, and more followed it."""

    async def scenario(site: WorkerSite) -> None:
        first = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.add_fault(1)
        site.accept_job()
        await anyio.sleep(1.2)
        session = site.scheduler._fleet.sessions["w1"]
        assert not session.failed_polls
        assert not session.is_usable
        site.network.faults.clear()
        await site.wait_for_begin(first, FIRST_RUN)
        assert session.is_usable

    assert play(monkeypatch, scenario).violations == []


@pytest.mark.parametrize("step", [SHORT, LONG], ids=["short", "long"])
@pytest.mark.parametrize("phase_s", [0.0, 0.4, 0.8])
@pytest.mark.parametrize("lost_renewals", [0, 1])
def test_store_outage_ends_no_sound_run(
    monkeypatch: pytest.MonkeyPatch,
    step: Step,
    phase_s: float,
    lost_renewals: int,
) -> None:
    """Also while the end of another run of the worker cannot be journaled."""
    other_run = ("b" * 16 + ".0.0.0", 1)

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        for job_id in (JOB_ID, "b" * 16):
            record = JobAccepted(make_job(job_id, step))
            site.store.records.append(encode_record(record))
        await site.wait_for_begin(worker, FIRST_RUN)
        await site.wait_for_begin(worker, other_run)
        await anyio.sleep(2.0 + phase_s)
        site.stores["n0"].lost_calls = {"append", "read"}
        await anyio.sleep(0.2)
        worker.finish(other_run)
        await anyio.sleep(0.5)
        if lost_renewals:
            site.add_fault(1, "hold", count=lost_renewals)
        await anyio.sleep(8.3)
        site.stores["n0"].lost_calls = set()
        await anyio.sleep(20.0)
        assert worker.is_running(FIRST_RUN)

    audit = play(monkeypatch, scenario)
    assert audit.presumed_ends == {}
    assert audit.violations == []


@pytest.mark.parametrize("phase_s", [0.0, 0.2, 0.4, 0.6, 0.8])
def test_two_takeovers_in_a_row_end_no_sound_run(
    monkeypatch: pytest.MonkeyPatch, phase_s: float
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = await site.run_on_first_worker()
        await anyio.sleep(phase_s)
        for instance in ("n1", "n2"):
            site.scheduler.lose_term("test")
            await anyio.sleep(NEW_TERM_S)
            await site.start_scheduler(instance)
        await anyio.sleep(20.0)
        assert worker.is_running(FIRST_RUN)

    audit = play(monkeypatch, scenario)
    assert audit.presumed_ends == {}
    assert audit.violations == []


def test_run_begun_on_a_new_life_of_a_silent_worker_does_not_run_twice(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A clock that has begun anew makes each deadline the longest lease."""

    async def scenario(site: WorkerSite) -> None:
        first = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.add_fault(1, "hold")
        await anyio.sleep(1.5)
        first.restart()
        record = JobAccepted(make_job(JOB_ID, SHORT))
        site.store.records.append(encode_record(record))
        await site.wait_for_begin(first, FIRST_RUN)
        await anyio.sleep(0.01)
        site.add_fault(1, error=ServerUnreachableError("refused"))
        second = site.add_worker("w2", 2)
        await site.wait_for_begin(second, SECOND_RUN)

    assert play(monkeypatch, scenario).violations == []


def make_tasks(step: Step, priority: int = 1) -> list[Any]:
    job = make_job("a", step, priority=priority)
    (unit,) = accept_job(SiteState(), job)
    return unit.tasks


def test_lease_is_short_only_where_all_runs_are() -> None:
    old_term = time.monotonic() - TERM_SETTLING_S - 1.0
    durations = LeaseDurations(MAX_LEASE_S, created_at_s=old_term)
    short, long = make_tasks(SHORT), make_tasks(LONG)
    unknown = make_tasks(Step(accelerators=1))
    assert durations.choose_s(short) == SHORT_LEASE_S
    assert durations.choose_s([]) == SHORT_LEASE_S
    assert durations.choose_s([*short, *long]) == MAX_LEASE_S
    assert durations.choose_s(unknown) == MAX_LEASE_S


def test_lease_beside_urgent_runs_is_shorter_than_the_longest() -> None:
    old_term = time.monotonic() - TERM_SETTLING_S - 1.0
    durations = LeaseDurations(MAX_LEASE_S, created_at_s=old_term)
    long = make_tasks(LONG)
    urgent = make_tasks(Step(accelerators=1, estimated_s=3.0), priority=0)
    assert durations.choose_s(urgent) == SHORT_LEASE_S
    assert durations.choose_s([*urgent, *long]) == STEADY_LEASE_S
    lasting = make_tasks(Step(is_long_running=True), priority=0)
    assert durations.choose_s(lasting) == MAX_LEASE_S


def test_lease_is_the_longest_while_store_or_term_are_in_doubt() -> None:
    tasks = make_tasks(SHORT)
    old_term = time.monotonic() - TERM_SETTLING_S - 1.0
    doubtful_store = LeaseDurations(
        MAX_LEASE_S, lambda: MAX_CONFIRMATION_AGE_S + 0.1, old_term
    )
    assert doubtful_store.choose_s(tasks) == MAX_LEASE_S
    assert LeaseDurations(MAX_LEASE_S).choose_s(tasks) == MAX_LEASE_S
    brief = LeaseDurations(STEADY_LEASE_S, created_at_s=old_term)
    assert brief.choose_s(tasks) == STEADY_LEASE_S
    assert not brief.is_shortened


def test_leases_outlast_the_takeovers_that_they_are_to_bear() -> None:
    assert SHORT_LEASE_S > POLL_WAIT_S + NEW_TERM_S
    assert STEADY_LEASE_S > POLL_WAIT_S + 2 * NEW_TERM_S


def test_scheduler_that_is_late_itself_closes_no_zone() -> None:
    """After a long pass, the answers of all workers are still to be read."""
    workers: list[Any] = [
        SimpleNamespace(
            report=make_worker_report(f"w{n}", availability_zone=f"z{n % 3}"),
            is_listed=True,
            has_been_polled=True,
            polls=PollWatch(),
        )
        for n in range(30)
    ]
    for worker in workers:
        worker.polls.record_failure()
    SilentZones(DecisionLog("n0", "z1", descriptor=2)).update(workers)
    assert not any(worker.polls.awaits_answer for worker in workers)
    for worker in workers:
        if worker.report.availability_zone != "z1":
            worker.polls.record_answer(time.monotonic())
    SilentZones(DecisionLog("n0", "z1", descriptor=2)).update(workers)
    assert {
        worker.report.availability_zone
        for worker in workers
        if worker.polls.awaits_answer
    } == {"z1"}
