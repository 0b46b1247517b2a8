"""Jobs count as begun when a worker says so, not when they are placed."""

from __future__ import annotations

import anyio
import msgspec
import pytest

from lagoonbeam.site.model import JobState, RunEndReason, Step
from lagoonbeam.site.records import (
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobsBegun,
    RunEnd,
    RunsEnded,
    encode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job, make_job, record_placement
from tests.site.worker_model import WorkerModel
from tests.site.worker_site import OLD_TERM_S, WorkerSite, play

QUEUE = "q1"
WAITING_JOBS = 7
VISIBLE_S = 5.0
"""Age from which on a job that has not begun must be counted; the platform
allows 3 s and 2 s more."""
COUNT_AGE_S = 2.0
"""Oldest count that the platform allows."""


def accept(site: WorkerSite, job_id: str, step: Step) -> None:
    record = JobAccepted(make_job(job_id, step))
    site.store.records.append(encode_record(record))


def make_job_ids(count: int) -> list[str]:
    return [str(number) * 16 for number in range(1, count + 1)]


async def refuse_starts(site: WorkerSite, step: Step) -> WorkerModel:
    """Accepts jobs while the only worker refuses all starts."""
    worker = site.add_worker("w1", 1)
    await site.start_scheduler()
    await anyio.sleep(OLD_TERM_S)
    site.add_fault(1, "run-start", status=503)
    for job_id in make_job_ids(WAITING_JOBS):
        accept(site, job_id, step)
    return worker


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(Step(accelerators=8), id="task"),
        pytest.param(Step(count=2, accelerators=4, is_gang=True), id="gang"),
    ],
)
def test_jobs_whose_starts_are_refused_are_pending(
    monkeypatch: pytest.MonkeyPatch, step: Step
) -> None:
    """They were taken as begun, and shown as running, once placed."""

    async def scenario(site: WorkerSite) -> None:
        await refuse_starts(site, step)
        await anyio.sleep(VISIBLE_S)
        state = site.scheduler.state
        assert state.count_pending(QUEUE) == WAITING_JOBS
        assert {job.state for job in state.jobs.values()} == {JobState.QUEUED}

    play(monkeypatch, scenario)


def test_jobs_are_pending_beside_others_that_were_cancelled_or_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w2", 2)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        accept(site, "b" * 16, Step(accelerators=8, estimated_s=60.0))
        await site.wait_for_begin(worker, ("b" * 16 + ".0.0.0", 1))
        await refuse_starts_of_another(site)
        for job_id in make_job_ids(2):
            site.store.records.append(encode_record(JobCancelled(job_id)))
        worker.restart()
        site.add_fault(2, "run-start", status=503)
        await anyio.sleep(VISIBLE_S)
        state = site.scheduler.state
        assert state.count_pending(QUEUE) == WAITING_JOBS - 2
        assert state.jobs["b" * 16].state is JobState.RUNNING

    async def refuse_starts_of_another(site: WorkerSite) -> None:
        site.add_worker("w1", 1)
        site.add_fault(1, "run-start", status=503)
        for job_id in make_job_ids(WAITING_JOBS):
            accept(site, job_id, Step(accelerators=8))

    play(monkeypatch, scenario)


def test_job_is_running_soon_after_its_worker_has_begun_it(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        await site.run_on_first_worker()
        state = site.scheduler.state
        assert state.count_pending(QUEUE) == 0
        (job,) = state.jobs.values()
        assert job.state is JobState.RUNNING

    play(monkeypatch, scenario)


def test_gang_has_begun_once_all_members_are_there(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        workers = [site.add_worker(f"w{number}", number) for number in (1, 2)]
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        refusal = site.add_fault(2, "run-start", status=503)
        step = Step(count=2, accelerators=8, estimated_s=60.0, is_gang=True)
        accept(site, "b" * 16, step)
        await site.wait_for_any_begin()
        await anyio.sleep(COUNT_AGE_S)
        assert workers[0].begun and not workers[1].begun
        assert site.scheduler.state.count_pending(QUEUE) == 1
        site.network.faults.remove(refusal)
        await anyio.sleep(5.0)
        assert workers[1].begun
        assert site.scheduler.state.count_pending(QUEUE) == 0

    play(monkeypatch, scenario)


def test_later_term_records_what_an_earlier_one_has_begun(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The earlier term may end before it has recorded what a worker said."""

    async def scenario(site: WorkerSite) -> None:
        worker = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        site.accept_job()
        await site.wait_for_any_begin()
        site.scheduler.lose_term("test")
        await site.start_scheduler("n1")
        await anyio.sleep(COUNT_AGE_S)
        assert worker.list_running()
        assert site.scheduler.state.count_pending(QUEUE) == 0

    play(monkeypatch, scenario)


def begin(state: SiteState, job_id: str) -> None:
    (unit,) = accept_job(state, make_job(job_id))
    record_placement(state, unit, "w1")
    state.apply(JobsBegun((job_id,)))


def end_run(state: SiteState, end: RunEnd) -> None:
    state.apply(RunsEnded((end,)))


@pytest.mark.parametrize("end", list(RunEndReason))
def test_begun_job_is_never_pending_again(end: RunEndReason) -> None:
    state = SiteState()
    begin(state, "a")
    end_run(state, RunEnd("a.0.0.0", 1, end))
    restored = decode_state(encode_state(state))
    for each in (state, restored):
        assert each.count_pending(QUEUE) == 0
        assert each.jobs["a"].state is not JobState.QUEUED


def test_placed_job_is_pending_in_a_replica_from_a_snapshot() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w1")
    end_run(state, RunEnd(unit.key, 1, RunEndReason.NEVER_STARTED))
    restored = decode_state(encode_state(state))
    assert restored.count_pending(QUEUE) == 1
    assert restored.jobs["a"].state is JobState.QUEUED


def test_started_job_of_an_earlier_version_has_begun() -> None:
    """Snapshots of earlier versions only say that a job was placed."""
    state = SiteState()
    begin(state, "a")
    fields = msgspec.msgpack.decode(encode_state(state))
    fields["jobs"] = [job[:6] for job in fields["jobs"]]
    restored = decode_state(msgspec.msgpack.encode(fields))
    assert restored.count_pending(QUEUE) == 0


def test_placed_job_is_not_dropped() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w1")
    state.apply(JobDropped("a"))
    assert state.jobs["a"].is_open


@pytest.mark.parametrize(
    ("end", "late_start_ms", "is_dropped"),
    [
        (RunEndReason.NEVER_STARTED, 0, True),
        (RunEndReason.NEVER_STARTED, 12_000, False),
        (RunEndReason.LEASE_EXPIRED, 0, False),
        (RunEndReason.STOPPED, 0, False),
    ],
)
def test_job_is_dropped_only_if_no_run_of_it_can_have_begun(
    end: RunEndReason, late_start_ms: int, is_dropped: bool
) -> None:
    """A caller is told that a dropped job did not run."""
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w1")
    end_run(state, RunEnd(unit.key, 1, end, late_start_ms=late_start_ms))
    restored = decode_state(encode_state(state))
    for each in (state, restored):
        each.apply(JobDropped("a"))
        assert each.jobs["a"].is_open != is_dropped
