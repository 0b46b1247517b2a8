"""Late starts in the replicated state."""

from __future__ import annotations

import msgspec
import pytest

from lagoonbeam.site.late_starts.late_start_index import (
    RETENTION_S,
    LateStart,
    count_renewals,
)
from lagoonbeam.site.model import EndEvidence, RunEndReason
from lagoonbeam.site.records import (
    RunEnd,
    RunsEnded,
    TermClaimed,
    TermRenewed,
    decode_record,
    encode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts
from tests.site.builders import accept_job, make_job, record_placement

DELAY_S = 12.0


def make_state_with_late_start() -> SiteState:
    """Ends run 1 of a task on w1, whose start may arrive for `DELAY_S`."""
    state = SiteState()
    state.apply(TermClaimed(1000, "n0", "n0-1"))
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w1")
    end = RunEnd(
        unit.key,
        1,
        RunEndReason.NEVER_STARTED,
        late_start_ms=int(DELAY_S * 1000),
    )
    state.apply(RunsEnded((end,)))
    return state


def renew(state: SiteState, count: int) -> None:
    for _ in range(count):
        state.apply(TermRenewed(1000))


def list_late_starts(state: SiteState) -> list[LateStart]:
    return list(state.late_starts)


def test_late_start_is_kept_until_no_run_of_it_can_hold_a_lease() -> None:
    state = make_state_with_late_start()
    (late_start,) = state.late_starts.list_by_worker("w1")
    assert state.late_starts.list_by_task(late_start.task_id) == [late_start]
    arrives_before = count_renewals(DELAY_S)
    assert late_start.arrives_before_renewal == arrives_before
    first_of_term = 1
    renew(
        state, first_of_term + arrives_before + count_renewals(RETENTION_S) - 1
    )
    assert len(state.late_starts) == 1
    renew(state, 1)
    assert list_late_starts(state) == []
    assert state.late_starts.list_by_worker("w1") == []
    assert state.late_starts.list_by_task(late_start.task_id) == []


def test_renewals_of_a_term_take_at_least_the_counted_time() -> None:
    assert count_renewals(0.0) == 1
    assert count_renewals(0.4) == 2
    assert count_renewals(0.5) == 3


def test_snapshot_keeps_late_starts() -> None:
    """An instance that restarted from a snapshot did not know of them."""
    state = make_state_with_late_start()
    restored = decode_state(encode_state(state))
    assert list_late_starts(restored) == list_late_starts(state)


def test_end_of_an_earlier_version_has_no_late_start() -> None:
    record = RunsEnded((RunEnd("a.0.0.0", 1, RunEndReason.DONE),))
    tag, ends = msgspec.msgpack.decode(encode_record(record))
    data = msgspec.msgpack.encode([tag, [end[:4] for end in ends]])
    assert decode_record(data) == record


@pytest.mark.parametrize(
    ("evidence", "is_late"),
    [
        (None, False),
        (EndEvidence.RESTARTED, False),
        (EndEvidence.STOP_CONFIRMED, True),
        (EndEvidence.NO_SESSION, True),
    ],
)
def test_run_of_an_earlier_term_that_its_worker_listed_leaves_no_late_start(
    evidence: EndEvidence | None, is_late: bool
) -> None:
    """After a takeover, all that ended for whatever reason gave way."""
    unanswered = UnansweredStarts(DELAY_S, frozenset({("a.0.0.0", 1)}))
    end = RunEnd("a.0.0.0", 1, RunEndReason.STOPPED)
    (marked,) = unanswered.mark_late_starts([end], evidence)
    assert (marked.late_start_ms > 0) == is_late


def test_start_without_an_answer_is_late_whatever_its_worker_lists() -> None:
    """The run may have been begun by a repeat, with the first on its way."""
    unanswered = UnansweredStarts(DELAY_S)
    unanswered.record(("a.0.0.0", 1))
    ends = [RunEnd("a.0.0.0", run, RunEndReason.STOPPED) for run in (1, 2)]
    marked = unanswered.mark_late_starts(ends)
    assert [end.late_start_ms > 0 for end in marked] == [True, False]
