from __future__ import annotations

import pytest
from hypothesis import given
from hypothesis import strategies as st

from lagoonbeam.errors import MalformedDataError
from lagoonbeam.site.entries import make_fingerprint
from lagoonbeam.site.model import End, JobState, Step
from lagoonbeam.site.records import (
    InstanceJoined,
    JobAccepted,
    JobCancelled,
    JobDropped,
    JobFailed,
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
from lagoonbeam.site.state import WHOLE_JOBS_KEPT, SiteState
from tests.site.builders import accept_job, make_job, record_placement


def end(state: SiteState, task_id: str, run: int, how: End, **kw: str) -> None:
    state.apply(RunsEnded((RunEnd(task_id, run, how, **kw),)))


def test_first_record_of_an_identifier_counts() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    state.apply(JobAccepted(make_job("a", Step(count=9))))
    assert len(list(state.jobs["a"].all_units())) == 1


def test_job_is_completed_when_all_its_units_are_done() -> None:
    state = SiteState()
    first, second = accept_job(state, make_job("a", Step(count=2)))
    for unit in (first, second):
        record_placement(state, unit, "w0")
        assert state.jobs["a"].state is JobState.RUNNING
        end(state, unit.key, 1, End.DONE)
    assert state.jobs["a"].state is JobState.COMPLETED
    assert state.count_open() == 0
    assert not state.placed["w0"]


def test_end_of_another_run_changes_nothing() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w0", run=3)
    end(state, unit.key, 2, End.DONE)
    assert not unit.is_done
    assert unit.next_run == 4


def test_only_failed_ends_count_as_attempts() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    for run, how in enumerate(set(End) - {End.DONE}, start=1):
        record_placement(state, unit, "w0", run=run)
        end(state, unit.key, run, how)
    assert unit.failures == 1


def test_gang_fails_once_for_one_run() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=3, is_gang=True)))
    record_placement(state, unit, "w0")
    for task in unit.tasks[:2]:
        end(state, task.task_id, 1, End.FAILED)
    assert unit.failures == 1
    assert unit.has_runs
    end(state, unit.tasks[2].task_id, 1, End.BROKEN, checkpoint="c")
    assert not unit.has_runs
    assert unit.checkpoint == "c"


def test_one_done_member_ends_the_gang() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=3, is_gang=True)))
    record_placement(state, unit, "w0")
    end(state, unit.tasks[1].task_id, 1, End.DONE)
    assert state.jobs["a"].state is JobState.COMPLETED
    assert not state.placed["w0"]


def test_final_state_never_changes() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    state.apply(JobCancelled("a"))
    state.apply(JobFailed("a", "a.0.0.0"))
    assert state.jobs["a"].state is JobState.CANCELLED


def test_pending_counts_jobs_that_never_started() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    accept_job(state, make_job("b"))
    assert state.count_pending("q1") == 2
    assert state.count_queued() == {("q1", "armor"): 2}
    record_placement(state, unit, "w0")
    end(state, unit.key, 1, End.STOPPED)
    assert state.count_pending("q1") == 1


def test_resignation_of_an_older_term_changes_nothing() -> None:
    state = SiteState()
    state.apply(TermClaimed(2, "n0", "x"))
    state.apply(TermResigned(1))
    assert not state.term.is_resigned


def test_term_is_vacant_once_its_holder_has_started_again() -> None:
    state = SiteState()
    assert state.is_vacant
    state.apply(InstanceJoined("n0", "first", "127.0.4.1", 1))
    state.apply(TermClaimed(1, "n0", "first"))
    assert not state.is_vacant
    state.apply(InstanceJoined("n1", "other", "127.0.4.2", 1))
    assert not state.is_vacant
    state.apply(InstanceJoined("n0", "second", "127.0.4.1", 1))
    assert state.is_vacant


@given(st.lists(st.tuples(st.integers(0, 3), st.sampled_from(list(End)))))
def test_snapshot_keeps_the_whole_state(ends: list[tuple[int, End]]) -> None:
    state = SiteState()
    state.apply(TermClaimed(7, "n1", "n1-x"))
    steps = (Step(count=3), Step(count=2, is_gang=True, after=(0,)))
    units = accept_job(state, make_job("a", *steps, repeat_count=1))
    for index, how in ends:
        unit = units[index]
        if unit.is_done or not state.jobs["a"].is_open:
            continue
        run = unit.next_run
        record_placement(state, unit, f"w{index}", run)
        end(state, unit.key, run, how, checkpoint=f"c{run}")
    data = encode_state(state)
    restored = decode_state(data)
    assert encode_state(restored) == data
    assert restored.term == state.term
    assert restored.count_open() == state.count_open()
    assert {w: set(t) for w, t in restored.placed.items() if t} == {
        w: set(t) for w, t in state.placed.items() if t
    }


def test_many_placements_fit_the_records_of_the_store() -> None:
    task_id = "5c0e7a21d94b36f8.10.10.1000"
    one = Placement(task_id, 1000, "i-7f3a91c2aa", 2**41, "c" * 64)
    records = split_placements([one] * 3760)
    assert sum(len(record.placements) for record in records) == 3760
    assert max(len(encode_record(record)) for record in records) < 262_144


def test_record_survives_its_encoding() -> None:
    record = JobAccepted(make_job("a", Step(count=2, data_rack="r1")))
    assert decode_record(encode_record(record)) == record


@given(st.binary(max_size=200))
def test_foreign_bytes_are_a_typed_error(data: bytes) -> None:
    for decode in (decode_record, decode_state):
        try:
            decode(data)
        except MalformedDataError as error:
            assert error.detail


@pytest.mark.parametrize("how", [End.STOPPED, End.LAPSED, End.BROKEN])
def test_job_that_runs_once_is_unknown_after_a_cut_run(how: End) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", runs_once=True))
    record_placement(state, unit, "w0")
    end(state, unit.key, 1, how)
    assert state.jobs["a"].state is JobState.UNKNOWN


def test_start_that_never_happened_may_be_repeated() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", runs_once=True))
    record_placement(state, unit, "w0")
    end(state, unit.key, 1, End.NEVER_STARTED)
    assert state.jobs["a"].is_open


def test_gang_with_a_member_that_never_started_has_not_worked() -> None:
    state = SiteState()
    gang = Step(count=2, is_gang=True)
    (unit,) = accept_job(state, make_job("a", gang, runs_once=True))
    record_placement(state, unit, "w0")
    end(state, unit.tasks[0].task_id, 1, End.NEVER_STARTED)
    end(state, unit.tasks[1].task_id, 1, End.STOPPED)
    assert state.jobs["a"].is_open


def test_job_is_dropped_only_before_its_first_start() -> None:
    state = SiteState()
    accept_job(state, make_job("a"))
    (started,) = accept_job(state, make_job("b"))
    record_placement(state, started, "w0")
    for job_id in "ab":
        state.apply(JobDropped(job_id))
    assert state.jobs["a"].state is JobState.DID_NOT_RUN
    assert state.jobs["b"].state is JobState.RUNNING


def test_snapshot_keeps_which_run_of_a_gang_failed() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(count=2, is_gang=True)))
    record_placement(state, unit, "w0")
    end(state, unit.tasks[0].task_id, 1, End.FAILED)
    restored = decode_state(encode_state(state))
    end(restored, unit.tasks[1].task_id, 1, End.FAILED)
    (again,) = restored.jobs["a"].all_units()
    assert again.failures == 1
    assert restored.jobs["a"].most_failed is again


def finish(state: SiteState, job_id: str) -> None:
    (unit,) = accept_job(state, make_job(job_id, payload="x" * 500))
    record_placement(state, unit, "w0")
    end(state, unit.key, 1, End.DONE)


def test_jobs_that_ended_long_ago_keep_no_tasks() -> None:
    state = SiteState()
    (held,) = accept_job(state, make_job("held"))
    record_placement(state, held, "w1")
    state.apply(JobCancelled("held"))
    for number in range(2 * WHOLE_JOBS_KEPT):
        finish(state, f"j{number}")
    assert len(state.tasks) <= WHOLE_JOBS_KEPT + 1
    assert "held.0.0.0" in state.tasks
    old = state.jobs["j0"]
    assert old.state is JobState.COMPLETED
    assert [step.done for step in old.get_progress()] == [1]
    same = make_job("j0", payload="x" * 500, accepted_at_s=7.0)
    assert old.get_fingerprint() == make_fingerprint(same)
    other = make_job("j0", payload="y")
    assert old.get_fingerprint() != make_fingerprint(other)


def test_snapshot_of_ended_jobs_stays_small() -> None:
    state = SiteState()
    for number in range(2 * WHOLE_JOBS_KEPT):
        finish(state, f"j{number}")
    data = encode_state(state)
    assert len(data) < WHOLE_JOBS_KEPT * (1_000 + 300)
    restored = decode_state(data)
    assert restored.jobs["j0"].get_progress() == (
        state.jobs["j0"].get_progress()
    )
    assert encode_state(restored) == data
