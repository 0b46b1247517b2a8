from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.jobs import make_fingerprint
from lagoonbeam.site.model import JobState, RunEndReason, Step
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobFailed,
    JobsBegun,
    Placement,
    RunEnd,
    RunsEnded,
    TermClaimed,
    TermResigned,
    decode_record,
    encode_record,
    split_placements,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import MAX_UNCOMPACTED_JOBS, SiteState
from tests.site.builders import accept_job, make_job, record_placement


def end_run(
    state: SiteState,
    task_id: str,
    run: int,
    reason: RunEndReason,
    **fields: str,
) -> None:
    state.apply(RunsEnded((RunEnd(task_id, run, reason, **fields),)))


def test_second_acceptance_of_a_job_id_is_ignored() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    state.apply(JobAccepted(make_job("a", Step(count=9))))
    assert len(list(state.jobs["a"].all_units())) == 1


def test_job_completes_when_all_units_are_done() -> None:
    state = SiteState()
    first, second = accept_job(state, make_job("a", Step(count=2)))
    for unit in (first, second):
        record_placement(state, unit, "w0")
        state.apply(JobsBegun(("a",)))
        assert state.jobs["a"].state is JobState.RUNNING
        end_run(state, unit.key, 1, RunEndReason.DONE)
    assert state.jobs["a"].state is JobState.COMPLETED
    assert state.count_open_jobs() == 0
    assert not state.tasks_by_worker["w0"]


def test_end_of_a_stale_run_is_ignored() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w0", run=3)
    end_run(state, unit.key, 2, RunEndReason.DONE)
    assert not unit.is_done
    assert unit.next_run == 4


def test_run_number_that_is_placed_twice_exists_only_once() -> None:
    """The end of a run that never began ended its namesake, which ran."""
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w1")
    record_placement(state, unit, "w2")
    (task,) = unit.tasks
    assert task.placement == Placement(unit.key, 1, "w1", 1)
    assert list(state.tasks_by_worker["w1"]) == [unit.key]
    assert not state.tasks_by_worker["w2"]


def test_only_failed_runs_count_as_failures() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    for run, reason in enumerate(
        set(RunEndReason) - {RunEndReason.DONE}, start=1
    ):
        record_placement(state, unit, "w0", run=run)
        end_run(state, unit.key, run, reason)
    assert unit.failures == 1


def test_failed_gang_run_counts_as_one_failure() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=3, is_gang=True)))
    record_placement(state, unit, "w0")
    for task in unit.tasks[:2]:
        end_run(state, task.task_id, 1, RunEndReason.FAILED)
    assert unit.failures == 1
    assert unit.has_placements
    end_run(
        state, unit.tasks[2].task_id, 1, RunEndReason.PEER_LOST, checkpoint="c"
    )
    assert not unit.has_placements
    assert unit.checkpoint == "c"


def test_done_member_completes_the_gang() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=3, is_gang=True)))
    record_placement(state, unit, "w0")
    end_run(state, unit.tasks[1].task_id, 1, RunEndReason.DONE)
    assert state.jobs["a"].state is JobState.COMPLETED
    assert not state.tasks_by_worker["w0"]


def test_final_job_state_is_immutable() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    state.apply(JobCancelled("a"))
    state.apply(JobFailed("a", "a.0.0.0"))
    assert state.jobs["a"].state is JobState.CANCELLED


def test_pending_count_excludes_started_jobs() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    accept_job(state, make_job("b"))
    assert state.count_pending("q1") == 2
    assert state.count_pending_by_organisation() == {("q1", "armor"): 2}
    record_placement(state, unit, "w0")
    end_run(state, unit.key, 1, RunEndReason.STOPPED)
    assert state.count_pending("q1") == 1


def test_resignation_of_an_older_term_is_ignored() -> None:
    state = SiteState()
    state.apply(TermClaimed(2, "n0", "x"))
    state.apply(TermResigned(1))
    assert not state.term.is_resigned


def test_term_is_vacant_after_its_holder_restarts() -> None:
    state = SiteState()
    assert state.is_term_vacant
    state.apply(InstanceJoined("n0", "first", "127.0.4.1", 1))
    state.apply(TermClaimed(1, "n0", "first"))
    assert not state.is_term_vacant
    state.apply(InstanceJoined("n1", "other", "127.0.4.2", 1))
    assert not state.is_term_vacant
    state.apply(InstanceJoined("n0", "second", "127.0.4.1", 1))
    assert state.is_term_vacant


@given(
    st.lists(st.tuples(st.integers(0, 3), st.sampled_from(list(RunEndReason))))
)
def test_snapshot_round_trip_preserves_state(
    ends: list[tuple[int, RunEndReason]],
) -> None:
    state = SiteState()
    state.apply(TermClaimed(7, "n1", "n1-x"))
    steps = (Step(count=3), Step(count=2, is_gang=True, after=(0,)))
    units = accept_job(state, make_job("a", *steps, repeat_count=1))
    for index, reason in ends:
        unit = units[index]
        if unit.is_done or not state.jobs["a"].is_open:
            continue
        run = unit.next_run
        record_placement(state, unit, f"w{index}", run)
        end_run(state, unit.key, run, reason, checkpoint=f"c{run}")
    data = encode_state(state)
    restored = decode_state(data)
    assert encode_state(restored) == data
    assert restored.term == state.term
    assert restored.count_open_jobs() == state.count_open_jobs()
    assert {w: set(t) for w, t in restored.tasks_by_worker.items() if t} == {
        w: set(t) for w, t in state.tasks_by_worker.items() if t
    }


def test_split_placements_stay_below_the_record_size_limit() -> None:
    task_id = "5c0e7a21d94b36f8.10.10.1000"
    placement = Placement(task_id, 1000, "i-7f3a91c2aa", 2**41, "c" * 64)
    records = split_placements([placement] * 3760)
    assert sum(len(record.placements) for record in records) == 3760
    assert max(len(encode_record(record)) for record in records) < 262_144


def test_record_round_trip() -> None:
    record = JobAccepted(make_job("a", Step(count=2, data_rack="r1")))
    assert decode_record(encode_record(record)) == record


@given(st.binary(max_size=200))
def test_malformed_bytes_raise_malformed_answer_error(data: bytes) -> None:
    for decode in (decode_record, decode_state):
        try:
            decode(data)
        except MalformedDataError as error:
            assert error.detail


@pytest.mark.parametrize(
    "reason",
    [RunEndReason.STOPPED, RunEndReason.LEASE_EXPIRED, RunEndReason.PEER_LOST],
)
def test_run_once_job_is_unknown_after_an_interrupted_run(
    reason: RunEndReason,
) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", runs_once=True))
    record_placement(state, unit, "w0")
    end_run(state, unit.key, 1, reason)
    assert state.jobs["a"].state is JobState.UNKNOWN


def test_run_once_job_stays_open_if_its_run_never_started() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", runs_once=True))
    record_placement(state, unit, "w0")
    end_run(state, unit.key, 1, RunEndReason.NEVER_STARTED)
    assert state.jobs["a"].is_open


def test_run_once_gang_stays_open_if_a_member_never_started() -> None:
    state = SiteState()
    gang = Step(count=2, is_gang=True)
    (unit,) = accept_job(state, make_job("a", gang, runs_once=True))
    record_placement(state, unit, "w0")
    end_run(state, unit.tasks[0].task_id, 1, RunEndReason.NEVER_STARTED)
    end_run(state, unit.tasks[1].task_id, 1, RunEndReason.STOPPED)
    assert state.jobs["a"].is_open


def test_started_job_is_not_dropped() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    (started_unit,) = accept_job(state, make_job("b"))
    record_placement(state, started_unit, "w0")
    state.apply(JobsBegun(("b",)))
    for job_id in "ab":
        state.apply(JobDropped(job_id))
    assert state.jobs["a"].state is JobState.DID_NOT_RUN
    assert state.jobs["b"].state is JobState.RUNNING


def test_snapshot_keeps_the_last_failed_run_of_a_gang() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=2, is_gang=True)))
    record_placement(state, unit, "w0")
    end_run(state, unit.tasks[0].task_id, 1, RunEndReason.FAILED)
    restored = decode_state(encode_state(state))
    end_run(restored, unit.tasks[1].task_id, 1, RunEndReason.FAILED)
    (restored_unit,) = restored.jobs["a"].all_units()
    assert restored_unit.failures == 1
    assert restored.jobs["a"].unit_with_most_failures is restored_unit


def complete_job(state: SiteState, job_id: str) -> None:
    (unit,) = accept_job(state, make_job(job_id, payload="x" * 500))
    record_placement(state, unit, "w0")
    end_run(state, unit.key, 1, RunEndReason.DONE)


def test_old_ended_jobs_are_compacted() -> None:
    state = SiteState()
    (cancelled_unit,) = accept_job(state, make_job("cancelled"))
    record_placement(state, cancelled_unit, "w1")
    state.apply(JobCancelled("cancelled"))
    for number in range(2 * MAX_UNCOMPACTED_JOBS):
        complete_job(state, f"j{number}")
    assert len(state.tasks) <= MAX_UNCOMPACTED_JOBS + 1
    assert "cancelled.0.0.0" in state.tasks
    compacted_job = state.jobs["j0"]
    assert compacted_job.state is JobState.COMPLETED
    assert [step.done for step in compacted_job.get_progress()] == [1]
    same_request = make_job("j0", payload="x" * 500, accepted_at_s=7.0)
    assert compacted_job.get_fingerprint() == make_fingerprint(same_request)
    other_request = make_job("j0", payload="y")
    assert compacted_job.get_fingerprint() != make_fingerprint(other_request)


def test_snapshot_size_of_ended_jobs_is_bounded() -> None:
    state = SiteState()
    for number in range(2 * MAX_UNCOMPACTED_JOBS):
        complete_job(state, f"j{number}")
    data = encode_state(state)
    # At most 1,000 bytes for a job with its tasks, 300 for a compacted one.
    assert len(data) < MAX_UNCOMPACTED_JOBS * (1_000 + 300)
    restored = decode_state(data)
    assert restored.jobs["j0"].get_progress() == (
        state.jobs["j0"].get_progress()
    )
    assert encode_state(restored) == data


def test_replica_from_a_snapshot_forgets_the_same_jobs(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """An accepted job was unknown at one instance and known at others."""
    state = SiteState()
    for job_id in "abc":
        accept_job(state, make_job(job_id))
    for job_id in "cab":
        state.apply(JobCancelled(job_id))
    restored = decode_state(encode_state(state))
    assert list(restored.jobs) == list(state.jobs)
    monkeypatch.setattr("lagoonbeam.site.state.MAX_ENDED_JOBS", 2)
    for replica in (state, restored):
        accept_job(replica, make_job("d"))
        replica.apply(JobCancelled("d"))
    assert set(restored.jobs) == set(state.jobs) == {"b", "d"}
