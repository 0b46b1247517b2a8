"""Late starts in the replicated state."""

from __future__ import annotations

import msgspec

from lagoonbeam.site.late_starts.late_start_index import (
    RETENTION_S,
    LateStart,
    count_renewals,
)
from lagoonbeam.site.model import RunEndReason
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
