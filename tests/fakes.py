"""In-memory fakes of the log and the workers, and a zone scheduler on them."""

from __future__ import annotations

import time
from collections.abc import AsyncIterator, Sequence
from contextlib import asynccontextmanager
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.fault_points import FaultPoints
from lagoonbeam.core.jobs import GangShape, Job, JobStatus
from lagoonbeam.core.messages import LogEntry
from lagoonbeam.core.records import JobAccepted, Term, TermStarted
from lagoonbeam.core.settings import (
    Address,
    EndpointsSettings,
    InstancesSettings,
    LogSettings,
    MetricsSettings,
    SchedulerSettings,
)
from lagoonbeam.core.statsd_metrics import StatsdMetrics
from lagoonbeam.endpoints import ENDPOINT_DRIVERS
from lagoonbeam.endpoints.base import (
    EndpointDriver,
    SyncReply,
    SyncRequest,
    TaskOrder,
    TaskReport,
    TaskState,
)
from lagoonbeam.errors import (
    LogTruncatedError,
    LogUnavailableError,
    StaleTermError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from lagoonbeam.instances.base import InstanceEntry
from lagoonbeam.log.base import LogPage, LogStore
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.term_state import ZoneContext
from lagoonbeam.scheduler.zone_scheduler import ZoneScheduler

ZONE = "z1"
TERM = Term(1, "z1-0")


class FakeLog(LogStore):
    """An in-memory log; tests inject faults through its attributes."""

    def __init__(self) -> None:
        super().__init__(LogSettings(url="memory"))
        self.entries: list[bytes] = []
        self.oldest = 0
        self.down = False
        self.refuses_appends = False
        self.lose_answers = 0
        self.appends = 0

    async def append(self, data: bytes) -> int:
        self.appends += 1
        await anyio.sleep(0)
        if self.down or self.refuses_appends:
            raise LogUnavailableError("down")
        self.entries.append(data)
        if self.lose_answers:
            self.lose_answers -= 1
            raise LogUnavailableError("lost")
        return len(self.entries) - 1

    async def read(
        self, first_offset: int, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        deadline_s = time.monotonic() + wait_s
        while (
            first_offset >= len(self.entries) and time.monotonic() < deadline_s
        ):
            await anyio.sleep(0.005)
            if self.down:
                break
        if self.down:
            raise LogUnavailableError("down")
        if first_offset < self.oldest:
            raise LogTruncatedError("gone", oldest_offset=self.oldest)
        entries = [
            LogEntry(offset, data)
            for offset, data in enumerate(self.entries)
            if offset >= first_offset
        ]
        return LogPage(entries[:limit], self.oldest, len(self.entries))


@dataclass
class FakeWorker:
    """An in-memory worker whose tasks end when the test ends them."""

    name: str
    term: Term = field(default_factory=Term)
    incarnation: str = "1"
    tasks: dict[str, TaskReport] = field(default_factory=dict)
    started_task_ids: list[str] = field(default_factory=list)
    renewed_attempts: list[str] = field(default_factory=list)
    silent: bool = False
    lose_answers: bool = False
    reject_reservations: bool = False
    reject_starts: bool = False
    fail_all: bool = False
    revision: int = 0
    revision_by_task: dict[str, int] = field(default_factory=dict)

    def set_state(self, task_id: str, state: TaskState) -> None:
        report = self.tasks[task_id]
        started = report.started or state is TaskState.RUNNING
        self.tasks[task_id] = msgspec.structs.replace(
            report, state=state, started=started, result=f"r{report.member}"
        )
        self.revision += 1
        self.revision_by_task[task_id] = self.revision

    def complete_all(self) -> None:
        for task_id, report in self.tasks.items():
            if report.state is TaskState.RUNNING:
                self.set_state(task_id, TaskState.COMPLETED)

    def crash(self) -> None:
        self.tasks.clear()
        self.incarnation = str(int(self.incarnation) + 1)
        self.term = Term()
        self.revision += 1


FAKE_WORKERS: dict[str, FakeWorker] = {}


@ENDPOINT_DRIVERS.register("fake")
class FakeDriver(EndpointDriver):
    """Sends commands to the `FakeWorker` whose name is the URL."""

    @property
    def worker(self) -> FakeWorker:
        return FAKE_WORKERS[self.url]

    async def _check_term(self, term: Term) -> None:
        await anyio.sleep(0)
        if self.worker.silent:
            raise WorkerUnreachableError("silent")
        if term < self.worker.term:
            newest = self.worker.term
            raise StaleTermError(
                "stale", number=newest.number, instance=newest.instance
            )
        self.worker.term = term

    def _raise_if_answer_lost(self) -> None:
        if self.worker.lose_answers:
            raise WorkerUnreachableError("lost")

    async def sync(self, request: SyncRequest) -> SyncReply:
        await self._check_term(request.term)
        worker = self.worker
        worker.renewed_attempts = list(request.renew)
        for task_id in request.forget:
            worker.tasks.pop(task_id, None)
        deadline_s = time.monotonic() + request.wait_s
        while worker.revision == request.seen and time.monotonic() < deadline_s:
            await anyio.sleep(0.005)
            await self._check_term(request.term)
        return SyncReply(
            worker.incarnation,
            worker.revision,
            tasks=[
                report
                for task_id, report in worker.tasks.items()
                if worker.revision_by_task.get(task_id, 0) > request.seen
            ],
        )

    async def reserve(
        self, term: Term, tasks: Sequence[TaskOrder], *, lease_s: float
    ) -> str:
        await self._check_term(term)
        if self.worker.reject_reservations:
            raise WorkerRefusedError("no_room")
        for order in tasks:
            self.worker.tasks[order.task_id] = TaskReport(
                task_id=order.task_id,
                job_id=order.job_id,
                attempt=order.attempt,
                member=order.member,
                members=order.members,
                first_slot=order.first_slot,
                slots=order.slots,
                state=TaskState.RESERVED,
                annotation=order.annotation,
            )
        self._raise_if_answer_lost()
        return self.worker.incarnation

    async def run(
        self, term: Term, task_ids: Sequence[str], *, lease_s: float
    ) -> None:
        await self._check_term(term)
        if self.worker.reject_starts:
            raise WorkerRefusedError("no_room")
        for task_id in task_ids:
            if task_id not in self.worker.tasks:
                raise WorkerRefusedError("unknown_task")
            if self.worker.tasks[task_id].state is TaskState.RESERVED:
                self.worker.started_task_ids.append(task_id)
                self.worker.set_state(task_id, TaskState.RUNNING)
                if self.worker.fail_all:
                    self.worker.set_state(task_id, TaskState.FAILED)
        self._raise_if_answer_lost()

    async def stop(
        self, term: Term, task_ids: Sequence[str], *, checkpoint: bool
    ) -> None:
        await self._check_term(term)
        ended_state = (
            TaskState.CHECKPOINTED if checkpoint else TaskState.STOPPED
        )
        for task_id in task_ids:
            report = self.worker.tasks.get(task_id)
            if report is None or report.state.has_ended:
                continue
            is_reserved = report.state is TaskState.RESERVED
            state = TaskState.STOPPED if is_reserved else ended_state
            self.worker.set_state(task_id, state)


def make_settings(**fields: object) -> SchedulerSettings:
    return SchedulerSettings(
        instance="z1-0",
        availability_zone=ZONE,
        listen=Address(port=1),
        log=LogSettings(url="memory", linger_s=0.005),
        instances=InstancesSettings(url="memory"),
        endpoints=EndpointsSettings(
            plugin="fake",
            lease_s=0.5,
            sync_wait_s=0.05,
            command_timeout_s=0.1,
        ),
        append_timeout_s=0.3,
        **fields,  # type: ignore[arg-type]
    )


@dataclass
class ZoneHarness:
    """A running zone scheduler with a fake log and fake workers."""

    log: FakeLog
    log_client: LogClient
    zone_scheduler: ZoneScheduler
    workers: dict[str, FakeWorker]
    announced_statuses: list[JobStatus]
    events: EventLog
    tasks: anyio.abc.TaskGroup
    newer_terms: list[Term]

    async def submit(self, job: Job) -> None:
        await self.log_client.append(JobAccepted(job=job), timeout_s=1.0)

    async def wait_outcome(self, job_id: str) -> str:
        with anyio.fail_after(5):
            while True:
                status = self.log_client.state.describe_job(job_id)
                if status is not None and status.outcome:
                    return status.outcome
                await anyio.sleep(0.01)

    async def wait_running(self, count: int = 1) -> None:
        with anyio.fail_after(5):
            while self.count_running() < count:
                await anyio.sleep(0.01)

    def count_running(self) -> int:
        return sum(
            report.state is TaskState.RUNNING
            for worker in self.workers.values()
            for report in worker.tasks.values()
        )

    @property
    def started_task_ids(self) -> list[str]:
        return [
            task_id
            for worker in self.workers.values()
            for task_id in worker.started_task_ids
        ]


def make_job(job_id: str = "j1", **fields: object) -> Job:
    members = fields.pop("members", 1)
    shape = GangShape(members=members)  # type: ignore[arg-type]
    return Job(
        job_id,
        "armor",
        "kiosk",
        "edge",
        shape=shape,
        availability_zone=ZONE,
        accepted_at_s=time.time(),
        **fields,  # type: ignore[arg-type]
    )


@asynccontextmanager
async def run_zone_scheduler(
    *,
    workers: dict[str, FakeWorker] | None = None,
    log: FakeLog | None = None,
    term: Term = TERM,
    count: int = 2,
) -> AsyncIterator[ZoneHarness]:
    """Runs a zone scheduler within the context."""
    log = log or FakeLog()
    names = [f"w{index}" for index in range(count)]
    workers = workers or {name: FakeWorker(name) for name in names}
    FAKE_WORKERS.clear()
    FAKE_WORKERS.update(workers)
    events = EventLog(
        program="scheduler", instance=term.instance, availability_zone=ZONE
    )
    log_client = LogClient(log, writer="z1-0", linger_s=0.005, events=events)
    announced_statuses: list[JobStatus] = []
    newer_terms: list[Term] = []
    settings = make_settings()
    context = ZoneContext(
        settings=settings,
        log_client=log_client,
        events=events,
        metrics=StatsdMetrics(MetricsSettings(), instance="z1-0"),
        faults=FaultPoints(),
        announce=announced_statuses.append,
        on_newer_term=newer_terms.append,
    )
    entries = [
        InstanceEntry(name, "worker", ZONE, url=name, rack="r0", position=index)
        for index, name in enumerate(workers)
    ]
    async with anyio.create_task_group() as tasks:
        await log_client.start(tasks)
        with anyio.fail_after(5):
            while not log_client.caught_up and not log.down:
                await anyio.sleep(0.005)
        zone_scheduler = ZoneScheduler(context, term)
        tasks.start_soon(zone_scheduler.run, entries)
        log_client.append_in_background(
            TermStarted(availability_zone=ZONE, term=term)
        )
        with anyio.fail_after(5):
            while not zone_scheduler.recovered:
                await anyio.sleep(0.005)
        yield ZoneHarness(
            log,
            log_client,
            zone_scheduler,
            workers,
            announced_statuses,
            events,
            tasks,
            newer_terms,
        )
        tasks.cancel_scope.cancel()
