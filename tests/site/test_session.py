"""What a session records of a worker that restarts or stops answering."""

from __future__ import annotations

from collections.abc import Callable, Sequence
from typing import Any

import anyio
import pytest

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.lease import Lease
from lagoonbeam.site.model import (
    ActiveRun,
    EndEvidence,
    FinishedRun,
    PollReply,
    RunEndReason,
)
from lagoonbeam.site.platform_interface import WorkerReplacedError
from lagoonbeam.site.prior_leases import LeaseTermRecorder
from lagoonbeam.site.records import (
    Placement,
    Record,
    RunEnd,
    RunsEnded,
    TermClaimed,
)
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.unconfirmed_orders import UnansweredStarts, WorkerFence
from tests.site.builders import (
    accept_job,
    make_job,
    make_worker_report,
    record_placement,
)

pytestmark = pytest.mark.anyio

RESTARTED = 2
"""Incarnation of the worker after its restart; the directory shows 1."""


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeClient:
    """Answers polls with replies in turn, then closes the session."""

    def __init__(self, replies: Sequence[PollReply | Exception]):
        self.replies = list(replies)
        self.acked: list[int] = []
        self.lease_deadlines_ms: list[int | None] = []
        self.stopped: list[tuple[str, int]] = []
        self.on_exhausted: Callable[[], None] = lambda: None

    async def renew_leases(
        self,
        *,
        acked_sequence: int,
        lease_deadline_ms: int | None,
        **fields: Any,
    ) -> PollReply:
        await anyio.sleep(0.001)
        if not self.replies:
            # Orders that were sent before are carried out.
            await anyio.sleep(0.05)
            self.on_exhausted()
            await anyio.sleep_forever()
        self.acked.append(acked_sequence)
        self.lease_deadlines_ms.append(lease_deadline_ms)
        reply = self.replies.pop(0)
        if isinstance(reply, Exception):
            raise reply
        return reply

    async def start(self, order: Any, **fields: Any) -> int:
        return 1

    async def stop(self, task_id: str, run: int, *, token: int) -> None:
        await anyio.sleep(0.001)
        self.stopped.append((task_id, run))

    async def close(self) -> None:
        pass


class FakeScheduler:
    """State of a term, on which the ends of runs are applied at once."""

    token = 1
    may_renew_leases = True

    def __init__(self) -> None:
        self.state = SiteState()
        self.ends: list[RunEnd] = []
        self.lease_terms = LeaseTermRecorder(
            lambda: self.state, self.append, self.token
        )

    async def append(self, records: Sequence[Record]) -> bool:
        for record in records:
            self.state.apply(record)
        return True

    async def record_run_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        self.ends += ends
        self.state.apply(RunsEnded(tuple(ends)))
        return True

    def repeat_start(self, task: Any) -> bool:
        return False

    def __getattr__(self, name: str) -> Any:
        """Ignores the callbacks that only planning and health need."""
        return lambda *args, **fields: None


class SessionRun:
    """A session with one worker that is to run the tasks of a job."""

    def __init__(
        self,
        *replies: PollReply | Exception,
        tasks: int = 1,
        leases_expire_at_s: float = float("inf"),
    ):
        self.scheduler = FakeScheduler()
        self.units = [
            unit
            for number in range(tasks)
            for unit in accept_job(self.scheduler.state, make_job(f"j{number}"))
        ]
        self.client: Any = FakeClient(replies)
        scheduler: Any = self.scheduler
        self.lease = Lease(5.0, leases_expire_at_s)
        self.fence = WorkerFence(1, 1)
        self.session = WorkerSession(
            make_worker_report("w1"),
            self.client,
            scheduler,
            lease=self.lease,
            fence=self.fence,
            pending_starts=set(),
            unanswered_starts=UnansweredStarts(12.0),
            decisions=DecisionLog("n0", "z1", descriptor=2),
        )
        self.client.on_exhausted = self.session.close

    async def confirm_starts(self) -> None:
        self.lease.record_clock(1000)
        for unit in self.units:
            record_placement(self.scheduler.state, unit, "w1")
            placement = Placement(unit.key, 1, "w1", 1)
            await self.session.dispatcher.start_run(
                unit.tasks[0], placement, ""
            )

    async def run(self) -> list[tuple[str, RunEndReason]]:
        with anyio.fail_after(5.0):
            await self.session.run()
        return [(end.task_id, end.end) for end in self.scheduler.ends]


def make_reply(incarnation: int = 1, **fields: Any) -> PollReply:
    return PollReply(clock_ms=1000, incarnation=incarnation, **fields)


async def test_end_listed_after_a_restart_is_not_recorded_as_lapsed() -> None:
    """Work that was done on the new incarnation ran again."""
    key = "j0.0.0.0"
    done = FinishedRun(1, key, 1, RunEndReason.DONE, "")
    play = SessionRun(
        make_reply(),
        make_reply(RESTARTED, finished=(done,)),
        make_reply(RESTARTED),
    )
    await play.confirm_starts()
    play.client.replies[0] = make_reply(running=(ActiveRun(key, 1, "", 0.0),))
    assert await play.run() == [(key, RunEndReason.DONE)]
    assert play.client.acked == [0, 0, 1]


async def test_run_of_the_previous_incarnation_lapses_at_once() -> None:
    play = SessionRun(make_reply(RESTARTED))
    await play.confirm_starts()
    assert await play.run() == [("j0.0.0.0", RunEndReason.LEASE_EXPIRED)]
    assert play.client.stopped == []


async def test_start_in_doubt_is_not_repeated_before_a_stop() -> None:
    """A start without an answer may be executed by the new incarnation."""
    play = SessionRun(make_reply(RESTARTED))
    record_placement(play.scheduler.state, play.units[0], "w1")
    assert await play.run() == []
    assert play.client.stopped == [("j0.0.0.0", 1)]


async def test_stop_confirmed_before_a_restart_does_not_end_a_run() -> None:
    """A late start was executed after another worker had started the task."""
    play = SessionRun(make_reply(), make_reply(RESTARTED))
    record_placement(play.scheduler.state, play.units[0], "w1")
    assert await play.run() == []
    assert play.client.stopped == [("j0.0.0.0", 1)] * 2


async def test_stop_answered_by_an_earlier_life_is_not_confirmed() -> None:
    """The answer arrives when a poll has shown the new life already."""
    play = SessionRun()
    dispatcher = play.session.dispatcher
    async with anyio.create_task_group() as tasks:
        dispatcher.task_group = tasks
        dispatcher.request_stop("j0.0.0.0", 1, "test")
        await anyio.sleep(0)
        play.fence.record_incarnation(RESTARTED)
        dispatcher.discard_stops()
    assert play.client.stopped == [("j0.0.0.0", 1)]
    assert not dispatcher.was_stop_confirmed_before("j0.0.0.0", 1, float("inf"))


async def test_restarted_worker_gets_no_runs_by_its_earlier_capacity() -> None:
    play = SessionRun(make_reply(RESTARTED))
    await play.run()
    assert not play.session.is_usable
    report = make_worker_report("w1", incarnation=RESTARTED)
    play.session.update_report(report)
    assert play.session.is_usable


async def test_runs_of_a_replaced_worker_wait_for_their_leases() -> None:
    """Work of a worker was started twice while another had its address."""
    play = SessionRun(WorkerReplacedError("421"))
    record_placement(play.scheduler.state, play.units[0], "w1")
    assert await play.run() == []


async def test_runs_of_a_replaced_worker_end_with_their_leases() -> None:
    """Work of a lost worker waited for leases that nothing could hold."""
    play = SessionRun(WorkerReplacedError("421"), leases_expire_at_s=0.0)
    record_placement(play.scheduler.state, play.units[0], "w1")
    assert await play.run() == [("j0.0.0.0", RunEndReason.LEASE_EXPIRED)]


async def test_no_lease_is_renewed_before_its_term_is_journaled() -> None:
    key = "j0.0.0.0"
    reply = make_reply(running=(ActiveRun(key, 1, "", 0.0),))
    play = SessionRun(*[reply] * 4)
    record_placement(play.scheduler.state, play.units[0], "w1")
    play.scheduler.state.apply(TermClaimed(1, "n0", "n0-1"))
    async with anyio.create_task_group() as tasks:
        await play.run()
        assert play.client.lease_deadlines_ms == [None] * 4
        play.client.replies = [reply]
        tasks.start_soon(play.scheduler.lease_terms.run)
        await anyio.sleep(0.05)
        await play.session._poll()
        tasks.cancel_scope.cancel()
    assert play.client.lease_deadlines_ms[-1] is not None


async def test_start_confirmed_of_an_earlier_run_does_not_end_the_next() -> (
    None
):
    """The next run, whose start was in doubt, was taken as begun and lost."""
    play = SessionRun(make_reply(RESTARTED))
    await play.confirm_starts()
    (unit,) = play.units
    failed = RunEnd(unit.key, 1, RunEndReason.FAILED)
    play.scheduler.state.apply(RunsEnded((failed,)))
    record_placement(play.scheduler.state, unit, "w1", run=2)
    assert await play.run() == []
    assert play.client.stopped == [(unit.key, 2)]


async def test_run_beyond_a_full_page_of_ends_is_not_taken_as_ended(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Workers list 500 ends at a time; further ones are neither listed."""
    count = 501
    done = [
        FinishedRun(number + 1, f"j{number}.0.0.0", 1, RunEndReason.DONE, "")
        for number in range(count)
    ]
    page = make_reply(finished=tuple(done[:500]), is_truncated=True)
    session_run = SessionRun(
        page, page, page, make_reply(finished=(done[500],)), tasks=count
    )
    scheduler = session_run.scheduler
    record_run_ends = scheduler.record_run_ends
    calls = 0

    async def fail_at_first(
        ends: list[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        nonlocal calls
        calls += 1
        if calls <= 2:
            await anyio.sleep(0.01)
            return False
        return await record_run_ends(ends, evidence)

    monkeypatch.setattr(scheduler, "record_run_ends", fail_at_first)
    await session_run.confirm_starts()
    ends = await session_run.run()
    assert (done[500].task_id, RunEndReason.LEASE_EXPIRED) not in ends
    assert (done[500].task_id, RunEndReason.DONE) in ends
