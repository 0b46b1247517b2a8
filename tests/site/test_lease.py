from __future__ import annotations

from collections.abc import Iterator
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.errors import AnswerLostError, ServerUnreachableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.records import Placement
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState
from tests.site.builders import (
    accept_job,
    make_job,
    make_worker_report,
    record_placement,
)

LEASE_S = 6.0


class Steady:
    """A steady clock that tests move."""

    def __init__(self) -> None:
        self.now_s = 1_000.0

    def __call__(self) -> float:
        return self.now_s


@pytest.fixture
def steady(monkeypatch: pytest.MonkeyPatch) -> Iterator[Steady]:
    clock = Steady()
    module = SimpleNamespace(monotonic=clock)
    monkeypatch.setattr("lagoonbeam.site.lease.time", module)
    yield clock


def make_lease() -> Lease:
    lease = Lease(LEASE_S, 0.0)
    lease.read_clock(50_000)
    return lease


def test_lease_outlasts_the_slowest_clock(steady: Steady) -> None:
    lease = make_lease()
    assert lease.grant() == 56_000
    steady.now_s += LEASE_S
    assert not lease.has_lapsed
    steady.now_s += 0.2
    assert lease.has_lapsed


def test_grant_that_was_never_sent_is_undone(steady: Steady) -> None:
    lease = make_lease()
    mark = lease.save()
    steady.now_s += 3.0
    lease.grant()
    lease.restore(mark, own=1)
    steady.now_s += 3.2
    assert lease.has_lapsed


def test_another_grant_in_between_is_kept(steady: Steady) -> None:
    lease = make_lease()
    mark = lease.save()
    steady.now_s += 3.0
    lease.grant()
    lease.restore(mark, own=0)
    steady.now_s += 3.2
    assert not lease.has_lapsed


def test_look_that_was_not_sent_keeps_the_lease_of_a_start_in_doubt(
    steady: Steady,
) -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a"))
    record_placement(state, unit, "w0")
    owner: Any = SimpleNamespace(
        token=1,
        prior_leases_expire_at_s=0.0,
        state=state,
        may_renew_leases=True,
    )
    client: Any = SimpleNamespace()

    async def start(*_: Any, **__: Any) -> int:
        raise AnswerLostError("cut")

    async def scenario() -> None:
        session = WorkerSession(
            make_worker_report("w0"),
            client,
            owner,
            lease_s=LEASE_S,
            decisions=DecisionLog("n0", "z1", descriptor=2),
        )
        session._lease.read_clock(50_000)
        session.failed_looks = 1

        async def renew_leases(**_: Any) -> None:
            placement = Placement(unit.key, 1, "w0", 1)
            await session.orders.start_run(unit.tasks[0], placement, "")
            raise ServerUnreachableError("cut")

        client.start, client.renew_leases = start, renew_leases
        steady.now_s += 3.0
        await session._look()
        steady.now_s += 3.2
        assert not session._lease.has_lapsed

    anyio.run(scenario)
