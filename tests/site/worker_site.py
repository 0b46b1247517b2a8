"""A scheduler of the product with modelled workers, in virtual time."""

from __future__ import annotations

from collections.abc import AsyncIterator, Awaitable, Callable
from contextlib import asynccontextmanager
from typing import Any

import anyio
import anyio.abc
import pytest
from lagoonbeam_platform import workers as platform_workers
from lagoonbeam_platform.workers import PlatformWorkerConnector

from lagoonbeam.errors import ResponseLostError, UnavailableError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.journal_appender import claim_term
from lagoonbeam.site.journal_follower import JournalFollower
from lagoonbeam.site.model import Step, WorkerReport
from lagoonbeam.site.platform_interface import (
    JournalPage,
    JournalStore,
    PlatformServices,
    Snapshot,
    WorkerDirectory,
)
from lagoonbeam.site.policies import make_policies
from lagoonbeam.site.records import (
    JobAccepted,
    RunsEnded,
    RunsPlaced,
    decode_record,
    encode_record,
)
from lagoonbeam.site.scheduler import Scheduler
from lagoonbeam.site.time_limits import PlatformTimeLimits
from tests.site.builders import make_configuration, make_job
from tests.site.test_journal_appender import FakeJournalStore
from tests.site.virtual_time import run_in_virtual_time
from tests.site.worker_model import (
    MAX_HOLD_MS,
    Fault,
    RunAudit,
    RunKey,
    WorkerModel,
    WorkerNetwork,
    get_address,
    make_report,
)

JOB_ID = "a" * 16
FIRST_RUN: RunKey = (f"{JOB_ID}.0.0.0", 1)
SECOND_RUN: RunKey = (f"{JOB_ID}.0.0.0", 2)
OLD_TERM_S = 25.0
"""Age of a term at which no lease of an earlier one can exist."""


class AuditedJournal(FakeJournalStore):
    """A journal in memory; each end of a run is audited when stored.

    Attributes:
        before_placement: Called before a placement is stored.
    """

    def __init__(self, audit: RunAudit):
        super().__init__()
        self._audit = audit
        self.before_placement: Callable[[], None] = lambda: None

    def _append(self, records: Any, *args: Any) -> int:
        if any(isinstance(decode_record(d), RunsPlaced) for d in records):
            self.before_placement()
        known = len(self.records)
        first_offset = super()._append(records, *args)
        if len(self.records) > known:
            ends = [
                end
                for data in records
                if isinstance(record := decode_record(data), RunsEnded)
                for end in record.ends
            ]
            for end in ends:
                self._audit.check_end((end.task_id, end.run), end.end)
        return first_offset


class InstanceJournal(JournalStore):
    """An instance's access to the journal, with injectable faults.

    Attributes:
        answer_delay_s: Time by which answers to appends are delayed.
        lost_calls: Which calls, of `append` and `read`, get no answer.
    """

    def __init__(self, journal: AuditedJournal):
        self._journal = journal
        self.answer_delay_s = 0.0
        self.lost_calls: set[str] = set()

    async def append(self, records: Any, **fields: Any) -> int:
        if "append" in self.lost_calls:
            await anyio.sleep(fields["timeout_s"])
            raise ResponseLostError("cut")
        offset = await self._journal.append(records, **fields)
        await anyio.sleep(self.answer_delay_s)
        return offset

    async def read(self, first_offset: int, *, wait_s: float) -> JournalPage:
        page = await self._journal.read(first_offset, wait_s=wait_s)
        if "read" in self.lost_calls:
            await anyio.sleep(1.0)
            raise ResponseLostError("cut")
        return page

    async def load_snapshot(self) -> Snapshot | None:
        return await self._journal.load_snapshot()

    async def save_snapshot(self, snapshot: Snapshot) -> None:
        await self._journal.save_snapshot(snapshot)


class ModelDirectory(WorkerDirectory):
    """A directory of workers in memory."""

    def __init__(self) -> None:
        self.reports: dict[str, WorkerReport] = {}
        self.is_available = True

    async def list_workers(self) -> dict[str, WorkerReport]:
        await anyio.sleep(0.002)
        if not self.is_available:
            raise UnavailableError("the store does not answer")
        return dict(self.reports)


class WorkerSite:
    """Workers w1 and w2, and the instance whose scheduler is active."""

    def __init__(self, tasks: anyio.abc.TaskGroup):
        self.tasks = tasks
        self.audit = RunAudit()
        self.network = WorkerNetwork(tasks)
        self.directory = ModelDirectory()
        self.store = AuditedJournal(self.audit)
        self.stores: dict[str, InstanceJournal] = {}
        self.decisions = DecisionLog("n0", "z1", descriptor=2)
        self.scheduler: Scheduler

    def add_worker(self, name: str, number: int, **fields: Any) -> WorkerModel:
        """Adds a worker to the site and to the directory."""
        worker = WorkerModel(name, self.audit, **fields)
        report = make_report(name, number)
        self.network.workers[get_address(report)] = worker
        self.directory.reports[name] = report
        return worker

    def list_life(self, worker: WorkerModel, number: int) -> None:
        """Lists the present life of a worker in the directory."""
        self.directory.reports[worker.name] = make_report(
            worker.name, number, worker.life.born
        )

    def add_fault(self, number: int, route: str = "", **fields: Any) -> Fault:
        """Injects a fault into calls to the address of a number."""
        address = get_address(make_report("", number))
        fault = Fault(address, route, **fields)
        self.network.faults.append(fault)
        return fault

    async def start_scheduler(
        self, instance: str = "n0", directory: ModelDirectory | None = None
    ) -> Scheduler:
        """Claims the next term for an instance and runs its scheduler."""
        directory = directory or self.directory
        store = self.stores[instance] = InstanceJournal(self.store)
        follower = JournalFollower(store, self.decisions)
        self.tasks.start_soon(follower.run)
        assert await follower.catch_up(5.0)
        claimed = await claim_term(
            store,
            follower,
            writer_name="scheduler",
            instance=instance,
            incarnation=f"{instance}-1",
        )
        assert claimed is not None
        writer, sequence = claimed
        follower.is_active_scheduler = True
        unused: Any = None
        self.scheduler = Scheduler(
            platform_services=PlatformServices(
                store, unused, directory, PlatformWorkerConnector()
            ),
            follower=follower,
            instance=instance,
            writer=writer,
            sequence=sequence,
            get_configuration=make_configuration,
            time_limits=PlatformTimeLimits(MAX_HOLD_MS / 1000, 600.0, 5.0),
            policies=make_policies(),
            decisions=self.decisions,
        )
        self.tasks.start_soon(self.scheduler.run)
        return self.scheduler

    def accept_job(self) -> None:
        """Stores a job of one task, as the interface for callers does."""
        step = Step(accelerators=1, estimated_s=60.0)
        record = JobAccepted(make_job(JOB_ID, step))
        self.store.records.append(encode_record(record))

    async def send_late_start(self, delay_s: float) -> None:
        """Lets a start to w1 lose its answer and be carried out late."""
        self.add_fault(1, "run-start", delay_s=delay_s, count=1)
        self.accept_job()
        with anyio.fail_after(5.0):
            while not self.has_sent_start:
                await anyio.sleep(0.01)

    @property
    def has_sent_start(self) -> bool:
        task = self.scheduler.state.tasks.get(FIRST_RUN[0])
        return task is not None and task.placement is not None

    async def wait_for_begin(self, worker: WorkerModel, key: RunKey) -> None:
        """Waits until a worker has begun a run."""
        with anyio.fail_after(60.0):
            while key not in worker.begun:
                await anyio.sleep(0.01)

    async def begin_slow_append(self, answer_delay_s: float) -> WorkerModel:
        """Journals a placement on w1, whose confirmation takes some time."""
        worker = self.add_worker("w1", 1, clock_rate=0.98)
        await self.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        self.stores["n0"].answer_delay_s = answer_delay_s
        self.accept_job()
        with anyio.fail_after(30.0):
            while not self.is_placement_stored:
                await anyio.sleep(0.001)
        assert not worker.begun
        return worker

    @property
    def is_placement_stored(self) -> bool:
        return any(
            isinstance(decode_record(data), RunsPlaced)
            for data in self.store.records
        )

    async def wait_for_any_begin(self) -> None:
        """Waits until any worker has begun a run."""
        with anyio.fail_after(60.0):
            while not any(worker.begun for worker in self.audit.workers):
                await anyio.sleep(0.01)

    async def run_on_first_worker(self, **fields: Any) -> WorkerModel:
        """Starts a run on w1, in a term without leases of earlier ones."""
        worker = self.add_worker("w1", 1, **fields)
        await self.start_scheduler()
        await anyio.sleep(OLD_TERM_S)
        self.accept_job()
        await self.wait_for_begin(worker, FIRST_RUN)
        await anyio.sleep(2.0)
        assert worker.is_running(FIRST_RUN)
        return worker


@asynccontextmanager
async def open_site() -> AsyncIterator[WorkerSite]:
    async with anyio.create_task_group() as tasks:
        yield WorkerSite(tasks)
        tasks.cancel_scope.cancel()


SiteScenario = Callable[[WorkerSite], Awaitable[None]]


def play(monkeypatch: pytest.MonkeyPatch, scenario: SiteScenario) -> RunAudit:
    """Plays a scenario in virtual time and returns what was audited."""
    audits: list[RunAudit] = []

    async def main() -> None:
        async with open_site() as site:
            audits.append(site.audit)
            monkeypatch.setattr(
                platform_workers, "HttpClient", site.network.make_client
            )
            await scenario(site)

    run_in_virtual_time(monkeypatch, main)
    return audits[0]
