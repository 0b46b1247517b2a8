from __future__ import annotations

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.errors import ResponseLostError, ServerUnreachableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.lease import Lease, LeaseGrants
from lagoonbeam.site.records import Placement
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts, WorkerFence
from tests.site.builders import (
    accept_job,
    make_job,
    make_worker_report,
    record_placement,
)

LEASE_S = 6.0


class ManualClock:
    """A monotonic clock that the test advances."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def manual_clock(monkeypatch: pytest.MonkeyPatch) -> Iterator[ManualClock]:
    clock = ManualClock()
    time_module = SimpleNamespace(monotonic=clock)
    monkeypatch.setattr("lagoonbeam.site.lease.time", time_module)
    yield clock


def make_lease() -> Lease:
    lease = Lease(LEASE_S, 0.0)
    lease.record_clock(50_000)
    return lease


def test_lease_is_over_only_after_the_worker_had_time_to_stop_its_runs(
    manual_clock: ManualClock,
) -> None:
    lease = Lease(LEASE_S, 0.0, stop_timeout_s=0.9)
    lease.record_clock(50_000)
    manual_clock.now_s += LEASE_S / 0.98 + 0.8
    assert not lease.has_expired
    manual_clock.now_s += 0.2
    assert lease.has_expired


def test_lease_is_not_over_before_that_of_the_session_before(
    manual_clock: ManualClock,
) -> None:
    grants = LeaseGrants()
    first = Lease(LEASE_S, 0.0, grants)
    first.record_clock(50_000)
    first.grant()
    second = Lease(LEASE_S, 0.0, grants)
    assert not second.has_expired
    manual_clock.now_s += 2.0
    first.grant()
    second.record_clock(50_000)
    manual_clock.now_s += LEASE_S
    assert second.expires_at_s == first.expires_at_s
    manual_clock.now_s += 0.2
    assert second.has_expired


def test_leases_of_many_replaced_sessions_are_followed(
    manual_clock: ManualClock,
) -> None:
    """A chain of a thousand leases exceeded the recursion limit."""
    grants = LeaseGrants()
    for _ in range(1_500):
        lease = Lease(LEASE_S, 0.0, grants)
        lease.record_clock(480_000)
        lease.grant()
    assert not lease.has_expired
    manual_clock.now_s += LEASE_S + 0.2
    assert lease.has_expired


def test_lease_covers_a_late_grant_of_an_expired_session(
    manual_clock: ManualClock,
) -> None:
    """A start may leave through a session just after it was replaced."""
    grants = LeaseGrants()
    earlier = Lease(LEASE_S, 0.0, grants)
    earlier.record_clock(0)
    manual_clock.now_s += 2 * LEASE_S
    lease = Lease(LEASE_S, 0.0, grants)
    earlier.grant()
    assert not lease.has_expired


def test_lease_expiry_allows_for_the_slowest_worker_clock(
    manual_clock: ManualClock,
) -> None:
    lease = make_lease()
    assert lease.grant() == 56_000
    # 6 s on a worker clock that runs at 98 % take 6.12 s.
    manual_clock.now_s += LEASE_S
    assert not lease.has_expired
    manual_clock.now_s += 0.2
    assert lease.has_expired


def make_short_lease() -> Lease:
    """Makes the lease of a worker whose present life is known."""
    lease = Lease(LEASE_S, 0.0, choose_lease_s=lambda: 2.0)
    lease.record_clock(50_000)
    lease.record_clock(50_000)
    return lease


def test_short_grant_expires_before_the_longest_lease(
    manual_clock: ManualClock,
) -> None:
    lease = make_short_lease()
    manual_clock.now_s += LEASE_S
    lease.record_clock(50_000 + int(LEASE_S * 1_000))
    lease.record_clock(50_000 + int(LEASE_S * 1_000))
    manual_clock.now_s += 1.0
    assert lease.grant() == 59_000
    manual_clock.now_s += 2.1
    assert lease.has_expired


@pytest.mark.parametrize("readings", [1, 2])
def test_new_life_of_a_worker_may_hold_the_longest_lease(
    manual_clock: ManualClock, readings: int
) -> None:
    """Its clock is behind; orders to the life before may have reached it."""
    lease = make_short_lease()
    manual_clock.now_s += 3 * LEASE_S
    lease.record_clock(50_000 + 3 * int(LEASE_S * 1_000))
    for number in range(readings):
        manual_clock.now_s += 0.5
        lease.record_clock(10 + 500 * number)
    manual_clock.now_s += LEASE_S
    assert not lease.has_expired


def test_start_on_a_new_life_of_a_worker_holds_the_longest_lease(
    manual_clock: ManualClock,
) -> None:
    """The deadline is far ahead on a clock that has begun anew."""
    lease = make_short_lease()
    manual_clock.now_s += 3 * LEASE_S
    lease.record_clock(50_000 + 3 * int(LEASE_S * 1_000))
    lease.grant()
    lease.record_start_answer(10, manual_clock.now_s)
    manual_clock.now_s += LEASE_S
    assert not lease.has_expired
    manual_clock.now_s += 0.2
    assert lease.has_expired


def test_worker_that_answers_slowly_gets_the_longest_lease(
    manual_clock: ManualClock,
) -> None:
    """A scheduler that is late may not renew it in time."""
    lease = make_short_lease()
    manual_clock.now_s += 3.0
    lease.record_clock(53_000)
    assert lease.grant() == 53_000 + int(LEASE_S * 1_000)
    manual_clock.now_s += 1.0
    lease.record_clock(54_000)
    assert lease.grant() == 56_000


def test_unsent_grant_is_rolled_back(manual_clock: ManualClock) -> None:
    lease = make_lease()
    savepoint = lease.create_savepoint()
    manual_clock.now_s += 3.0
    lease.grant()
    lease.roll_back(savepoint, unsent_grants=1)
    manual_clock.now_s += 3.2
    assert lease.has_expired


def test_roll_back_keeps_concurrent_grants(manual_clock: ManualClock) -> None:
    lease = make_lease()
    savepoint = lease.create_savepoint()
    manual_clock.now_s += 3.0
    lease.grant()
    lease.roll_back(savepoint, unsent_grants=0)
    manual_clock.now_s += 3.2
    assert not lease.has_expired


def test_failed_poll_keeps_the_lease_of_an_unacknowledged_start(
    manual_clock: ManualClock,
) -> None:
    # The unsent poll rolls back its grant; the grant of a start without an
    # answer was made meanwhile, may have reached the worker, and must stay.
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w0")
    scheduler: Any = SimpleNamespace(
        token=1,
        lease_terms=SimpleNamespace(is_recorded=lambda worker: True),
        state=state,
        may_renew_leases=True,
    )
    client: Any = SimpleNamespace()

    async def start(*_: Any, **__: Any) -> int:
        raise ResponseLostError("connection lost")

    async def scenario() -> None:
        session = WorkerSession(
            make_worker_report("w0"),
            client,
            scheduler,
            lease=Lease(LEASE_S, 0.0),
            fence=WorkerFence(1),
            pending_starts=set(),
            unanswered_starts=UnansweredStarts(12.0),
            decisions=DecisionLog("n0", "z1", descriptor=2),
        )
        session._lease.record_clock(50_000)
        session.failed_polls = 1

        async def renew_leases(**_: Any) -> None:
            placement = Placement(unit.key, 1, "w0", 1)
            await session.dispatcher.start_run(unit.tasks[0], placement, "")
            raise ServerUnreachableError("connection refused")

        client.start, client.renew_leases = start, renew_leases
        manual_clock.now_s += 3.0
        await session._poll()
        manual_clock.now_s += 3.2
        assert not session._lease.has_expired

    anyio.run(scenario)
