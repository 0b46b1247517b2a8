"""Late starts of runs that were stopped, beside the next runs elsewhere.

The platform's protocol lets a start without an answer begin on a life of its
worker that nobody has reached. Here that is certain to happen, so these tests
check that no two runs of a task are at work at the same time, and that a task
does not wait while its worker answers.
"""

from __future__ import annotations

from dataclasses import dataclass

import anyio
import pytest

from lagoonbeam.site.model import Step
from lagoonbeam.site.records import JobAccepted, encode_record
from tests.site.builders import make_job
from tests.site.worker_model import RunKey, WorkerModel
from tests.site.worker_site import (
    FIRST_RUN,
    JOB_ID,
    OLD_TERM_S,
    WorkerSite,
    play,
)

LATE_S = 8.0
"""Delay after which the start without an answer is carried out."""
REFUSAL_S = 5.0
"""Time for which its worker refuses starts."""
CUT_AT_S = 5.0
RESTART_AT_S = 6.0
CUT_END_S = 10.5
MAX_WAIT_S = 3.0
"""Longest time without a run while a worker has room; the platform's rule."""


@dataclass
class CutWorker:
    """A site whose worker w1 got a late start, refuses others, and is cut."""

    site: WorkerSite
    first: WorkerModel
    sent_s: float

    async def wait_until(self, offset_s: float) -> None:
        """Waits until a time after the late start was sent."""
        await anyio.sleep(self.sent_s + offset_s - anyio.current_time())

    async def cut_and_restart(
        self, cut_s: float = CUT_AT_S, restart_s: float = RESTART_AT_S
    ) -> None:
        """Cuts w1 off, restarts it meanwhile, and reaches it again."""
        await self.wait_until(cut_s)
        cut = self.site.add_fault(1)
        await self.wait_until(restart_s)
        self.first.restart()
        await self.wait_until(cut_s + CUT_END_S - CUT_AT_S)
        self.site.network.faults.remove(cut)


async def send_refused_start(
    site: WorkerSite, step: Step, *, others: int = 2, status: int = 503
) -> CutWorker:
    """Sends a start to w1 that is carried out late; its repeat is refused."""
    first = site.add_worker("w1", 1)
    for number in range(2, step.count + 1):
        site.add_worker(f"w{number}", number)
    await site.start_scheduler()
    await anyio.sleep(OLD_TERM_S)
    site.add_fault(1, "run-start", delay_s=LATE_S, count=1)
    site.store.records.append(
        encode_record(JobAccepted(make_job(JOB_ID, step)))
    )
    with anyio.fail_after(5.0):
        while site.network.late_calls == 0:
            await anyio.sleep(0.01)
    refusal = site.add_fault(1, "run-start", status=status)
    for number in range(step.count + 1, step.count + 1 + others):
        site.add_worker(f"w{number}", number)
    cut = CutWorker(site, first, anyio.current_time())

    async def accept_starts_again() -> None:
        await cut.wait_until(REFUSAL_S)
        site.network.faults.remove(refusal)

    site.tasks.start_soon(accept_starts_again)
    return cut


def list_running(site: WorkerSite) -> list[RunKey]:
    return [run for each in site.audit.workers for run in each.list_running()]


def list_late_begins(cut: CutWorker) -> list[RunKey]:
    """Returns the first runs that w1 began, which only a late start can."""
    return [run for run in cut.first.begun if run[1] == 1]


@pytest.mark.parametrize(
    "step",
    [
        pytest.param(Step(accelerators=8, estimated_s=60.0), id="task"),
        pytest.param(
            Step(count=3, accelerators=8, estimated_s=60.0),
            id="one of three tasks",
        ),
        pytest.param(
            Step(count=2, accelerators=8, estimated_s=60.0, is_gang=True),
            id="gang",
        ),
    ],
)
@pytest.mark.parametrize("restart_s", [5.8, 6.0, 7.0, 7.9])
def test_next_run_gives_way_to_a_late_start_behind_a_cut(
    monkeypatch: pytest.MonkeyPatch, step: Step, restart_s: float
) -> None:
    """Both were at work for seconds, until the worker was reached again."""

    async def scenario(site: WorkerSite) -> None:
        cut = await send_refused_start(site, step)
        await cut.wait_until(MAX_WAIT_S)
        assert len(list_running(site)) == step.count
        await cut.cut_and_restart(restart_s=restart_s)
        assert list_late_begins(cut)
        await anyio.sleep(5.0)
        assert len(list_running(site)) == step.count

    assert play(monkeypatch, scenario).overlaps == []


@pytest.mark.parametrize("is_cut", [True, False], ids=["cut", "not cut"])
@pytest.mark.parametrize("notice_s", [0.3, 0.02])
def test_next_run_gives_way_to_a_late_start_right_after_a_restart(
    monkeypatch: pytest.MonkeyPatch, notice_s: float, is_cut: bool
) -> None:
    """The late start arrives before anybody can notice the restart."""

    async def scenario(site: WorkerSite) -> None:
        step = Step(accelerators=8, estimated_s=60.0)
        cut = await send_refused_start(site, step)
        restart_s = LATE_S - notice_s
        if is_cut:
            await cut.cut_and_restart(restart_s - 0.01, restart_s)
        else:
            await cut.wait_until(restart_s)
            cut.first.restart()
        await anyio.sleep(5.0)

    assert play(monkeypatch, scenario).overlaps == []


@pytest.mark.parametrize("takeover_s", [2.0, 4.0, 5.5])
def test_later_term_knows_the_late_starts_of_an_earlier_one(
    monkeypatch: pytest.MonkeyPatch, takeover_s: float
) -> None:
    """It could not know them, as they were kept in one process."""

    async def scenario(site: WorkerSite) -> None:
        step = Step(accelerators=8, estimated_s=60.0)
        cut = await send_refused_start(site, step)

        async def take_over() -> None:
            await cut.wait_until(takeover_s)
            site.scheduler.lose_term("test")
            await site.start_scheduler("n1")

        site.tasks.start_soon(take_over)
        await cut.cut_and_restart()
        assert list_late_begins(cut)
        await anyio.sleep(5.0)
        assert len(list_running(site)) == 1

    assert play(monkeypatch, scenario).overlaps == []


def test_later_term_doubts_the_starts_of_an_earlier_one(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The earlier term ends before its start is found to have no answer."""

    async def scenario(site: WorkerSite) -> None:
        step = Step(accelerators=8, estimated_s=60.0)
        cut = await send_refused_start(site, step)
        site.scheduler.lose_term("test")
        await site.start_scheduler("n1")
        await cut.cut_and_restart()
        assert list_late_begins(cut)
        await anyio.sleep(5.0)
        assert len(list_running(site)) == 1

    assert play(monkeypatch, scenario).overlaps == []


def test_copy_of_a_start_that_was_repeated_does_not_run_beside_the_next_run(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """The run began by the repeat and was stopped; its first start was late."""

    async def scenario(site: WorkerSite) -> None:
        first = site.add_worker("w1", 1)
        await site.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        await site.send_late_start(LATE_S)
        cut = CutWorker(site, first, anyio.current_time())
        await site.wait_for_begin(first, FIRST_RUN)
        site.add_worker("w2", 2)
        await cut.wait_until(4.0)
        fleet = site.scheduler._fleet
        fleet.evacuations.add("w1")
        fleet.sessions["w1"].dispatcher.request_stop(*FIRST_RUN, "test")
        await cut.wait_until(4.8)
        assert len(list_running(site)) == 1
        assert not first.list_running()
        await cut.cut_and_restart()
        assert list_late_begins(cut)
        await anyio.sleep(5.0)
        assert len(list_running(site)) == 1

    assert play(monkeypatch, scenario).overlaps == []


def test_next_run_goes_on_while_the_worker_of_a_late_start_answers(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """Nothing is thrown away for a start that the worker refuses."""

    async def scenario(site: WorkerSite) -> None:
        step = Step(accelerators=8, estimated_s=60.0)
        cut = await send_refused_start(site, step)
        await cut.wait_until(MAX_WAIT_S)
        running = list_running(site)
        assert running
        await anyio.sleep(20.0)
        assert list_running(site) == running
        assert not list_late_begins(cut)

    assert play(monkeypatch, scenario).violations == []


def test_task_waits_for_a_silent_worker_only_as_long_as_a_start_may_begin(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    async def scenario(site: WorkerSite) -> None:
        step = Step(accelerators=8, estimated_s=60.0)
        cut = await send_refused_start(site, step)
        await cut.wait_until(CUT_AT_S)
        site.add_fault(1)
        del site.directory.reports["w1"]
        await cut.wait_until(RESTART_AT_S)
        assert not list_running(site)
        await anyio.sleep(12.0)
        assert len(list_running(site)) == 1

    assert play(monkeypatch, scenario).overlaps == []
