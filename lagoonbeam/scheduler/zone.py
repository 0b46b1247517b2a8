"""The active scheduler of a zone: queue, gangs and workers during one term."""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, replace
from functools import singledispatchmethod

import anyio
import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.faultpoints import FaultPoints
from lagoonbeam.core.health import HealthTracker
from lagoonbeam.core.jobs import Job, JobStatus, Outcome, Phase
from lagoonbeam.core.messages import WorkerStatus
from lagoonbeam.core.metrics import Metrics
from lagoonbeam.core.planned import PlannedJob
from lagoonbeam.core.planner import Decision, Planner, Start, Stop
from lagoonbeam.core.pool import WorkerHealth
from lagoonbeam.core.records import (
    AnyRecord,
    EndpointDrained,
    JobAccepted,
    JobFinished,
    LaunchVoided,
    RulesPublished,
    Term,
    TermStarted,
)
from lagoonbeam.core.settings import SchedulerSettings
from lagoonbeam.core.state import JobEntry
from lagoonbeam.endpoints import ENDPOINTS
from lagoonbeam.endpoints.base import SyncReply, TaskReport, TaskState
from lagoonbeam.errors import (
    InvariantError,
    LogUnavailableError,
    LogUncertainError,
    StaleTermError,
    UnknownJobError,
    WorkerError,
)
from lagoonbeam.instances.base import InstanceEntry
from lagoonbeam.scheduler.adoption import (
    adopt_gang,
    build_gang,
    read_annotation,
)
from lagoonbeam.scheduler.catalog import get_worker_shape
from lagoonbeam.scheduler.gangs import Gang, Member
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.launcher import Launcher
from lagoonbeam.scheduler.outcomes import Outcomes, describe_job
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import JobId, TaskId, WorkerName

IDLE_S = 0.25
"""Longest time between two looks at the queue."""
RELAUNCH_PAUSE_S = 0.2
"""Pause before a gang that could not be launched is queued again."""
RESOLVE_S = 60.0
"""Time for a worker to come back and tell what became of a launch."""


@dataclass
class ZoneContext:
    """What a term's scheduler shares with its instance.

    Attributes:
        settings: The instance's settings.
        journal: The log client.
        events: Where events go.
        metrics: Where metrics go.
        faults: Steps at which a test ends the process.
        announce: Tells the peers and the local entry a job's status.
        on_stale: Called when a worker obeys a newer term.
    """

    settings: SchedulerSettings
    journal: Journal
    events: EventLog
    metrics: Metrics
    faults: FaultPoints
    announce: Callable[[JobStatus], None]
    on_stale: Callable[[Term], None]


class ZoneScheduler:
    """Schedules one zone for the time of one term.

    Args:
        context: What it shares with its instance.
        term: Its term.
    """

    def __init__(self, context: ZoneContext, term: Term):
        self.term = term
        self.recovered = False
        self.links: dict[WorkerName, WorkerLink] = {}
        self.planner = Planner(
            context.settings.availability_zone, now=time.monotonic
        )
        self._context = context
        self._events = context.events
        self._journal = context.journal
        self._zone = context.settings.availability_zone
        self._lease_s = context.settings.endpoints.lease_s
        self._health = HealthTracker(time.monotonic)
        self._launcher = Launcher(
            links=self.links,
            term=term,
            zone=self._zone,
            journal=context.journal,
            faults=context.faults,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self._gangs: dict[str, Gang] = {}
        self._by_job: dict[JobId, Gang] = {}
        self._reports: dict[WorkerName, dict[TaskId, TaskReport]] = {}
        self._fresh: set[JobId] = set()
        self._touched: set[JobId] = set()
        self._blamed: dict[JobId, set[WorkerName]] = {}
        self._outcomes = Outcomes(
            journal=context.journal,
            events=context.events,
            metrics=context.metrics,
            faults=context.faults,
            announce=context.announce,
            append_timeout_s=context.settings.append_timeout_s,
        )
        self._attempts = 0
        self._settling = False
        self._wake = anyio.Event()
        self._tasks: anyio.abc.TaskGroup | None = None
        self._scopes: dict[WorkerName, anyio.CancelScope] = {}
        self._started_s = time.monotonic()
        self._shortfall = 0

    # Running

    async def run(self, workers: Iterable[InstanceEntry]) -> None:
        """Schedules until cancelled.

        Args:
            workers: The zone's workers, as the instance list has them.
        """
        self._journal.listen(self.on_record)
        self.planner.set_rules(self._journal.state.rules)
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            await self._outcomes.start(tasks)
            self.set_workers(workers)
            tasks.start_soon(self._recover)
            while True:
                with anyio.move_on_after(IDLE_S):
                    await self._wake.wait()
                self._wake = anyio.Event()
                self._step()

    def stop(self) -> None:
        """Ends all tasks of the term; gangs keep running on their workers."""
        if self._tasks is not None:
            self._tasks.cancel_scope.cancel()

    def wake(self) -> None:
        """Looks at the queue soon."""
        self._wake.set()

    async def settle(self) -> None:
        """Waits until no launch is under way, starting no new one."""
        self._settling = True
        while any(gang.launching for gang in self._gangs.values()):
            await anyio.sleep(0.02)

    def inherit(self, job: Job) -> None:
        """Takes an accepted job that the log does not have yet.

        It is queued once it is known what an earlier term left running.
        """
        self._outcomes.provisional[job.job_id] = job

    def set_workers(self, entries: Iterable[InstanceEntry]) -> None:
        """Takes the zone's workers from the instance list."""
        assert self._tasks is not None
        for entry in entries:
            link = self.links.get(entry.name)
            if link is not None and link.entry.url == entry.url:
                link.entry = entry
                self._judge_worker(entry.name)
                continue
            if entry.name in self._scopes:
                self._scopes[entry.name].cancel()
            self._add_link(entry)

    def list_workers(self) -> list[WorkerStatus]:
        """Returns what is known of each worker."""
        found = []
        for pool in self.planner.pools:
            for place in pool.workers.values():
                first = place.first_slot
                slots = range(first, first + place.shape.slots)
                found.append(
                    WorkerStatus(
                        worker=place.shape.worker,
                        availability_zone=self._zone,
                        rack=place.shape.rack,
                        state=place.health.value,
                        slots=place.shape.slots,
                        busy_slots=sum(s in pool.occupants for s in slots),
                    )
                )
        return found

    # Jobs in

    def enqueue(self, job: Job, *, provisional: bool) -> None:
        """Queues an accepted job.

        Args:
            job: The job.
            provisional: Whether the log does not have it yet.
        """
        if (
            self._outcomes.is_finished(job.job_id)
            or job.job_id in self.planner.jobs
        ):
            return
        if provisional and job.job_id not in self._journal.state.jobs:
            self._outcomes.provisional[job.job_id] = job
        self._fresh.add(job.job_id)
        self.planner.submit(job)
        self._events.emit(
            "job.queued", job=job.job_id, organisation=job.organisation
        )
        self.wake()

    def cancel(self, job_id: JobId) -> None:
        """Cancels a job, queued or running.

        Raises:
            UnknownJobError: If it is not a job of this zone.
        """
        if self._outcomes.is_finished(job_id):
            return
        gang = self._by_job.get(job_id)
        if gang is not None:
            gang.cancelled = True
            self._stop_gang(gang, "cancelled", checkpoint=False)
            return
        planned = self.planner.jobs.get(job_id)
        job = planned.job if planned else self._find_in_log(job_id)
        if job is None:
            raise UnknownJobError(
                f"got job {job_id!r}, expected one of zone {self._zone!r}"
            )
        if planned is not None and planned.placement is not None:
            self.planner.abandon(job_id)
            del self.planner.jobs[job_id]
        else:
            self.planner.cancel(job_id)
        self._deny(job, "cancelled by its caller", Outcome.CANCELLED)

    def describe(self, job_id: JobId) -> JobStatus | None:
        """Returns a job's status, or None if it is not known here."""
        told = self._outcomes.describe(job_id)
        if told is not None:
            return told
        planned = self.planner.jobs.get(job_id)
        if planned is None:
            return None
        gang = self._by_job.get(job_id)
        running = gang is not None and planned.started_at_s > 0
        launching = Phase.LAUNCHING if planned.placement else Phase.QUEUED
        status = describe_job(
            planned.job, Phase.RUNNING if running else launching
        )
        if running:
            passed_s = time.monotonic() - planned.started_at_s
            status = replace(status, started_at_s=time.time() - passed_s)
        return status

    # What the log and the workers say

    def on_record(self, record: AnyRecord) -> None:
        """Takes note of a record that was just folded."""
        if (
            self._tasks is not None
            and not self._tasks.cancel_scope.cancel_called
        ):
            self._note(record)

    @singledispatchmethod
    def _note(self, record: AnyRecord) -> None:
        """Other records change nothing here."""

    @_note.register
    def _(self, record: RulesPublished) -> None:
        self.planner.set_rules(self._journal.state.rules)
        self.wake()

    @_note.register
    def _(self, record: JobAccepted) -> None:
        job = record.job
        known = job.job_id in self._journal.state.jobs
        if known:
            self._outcomes.provisional.pop(job.job_id, None)
        elif job.job_id in self._outcomes.provisional:
            self._drop_duplicate(job)
            return
        if known and job.availability_zone == self._zone:
            self.enqueue(job, provisional=False)

    @_note.register
    def _(self, record: JobFinished) -> None:
        job_id = record.job_id
        self._outcomes.settle(job_id)
        self._fresh.discard(job_id)
        self._touched.discard(job_id)
        self._blamed.pop(job_id, None)
        gang = self._by_job.get(job_id)
        if gang is not None:
            self._stop_gang(gang, "finished elsewhere", checkpoint=False)
        else:
            self.planner.cancel(job_id)
        for name, reports in self._reports.items():
            ended = [
                report.task_id
                for report in reports.values()
                if report.job_id == job_id and report.state.has_ended
            ]
            if ended and name in self.links:
                self.links[name].forget.update(ended)

    @_note.register
    def _(self, record: EndpointDrained) -> None:
        self._judge_worker(record.worker)

    @_note.register
    def _(self, record: TermStarted) -> None:
        if record.availability_zone == self._zone and record.term > self.term:
            self._context.on_stale(record.term)

    def _on_sync(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Takes a worker's reply; it had `incarnation` before."""
        if incarnation not in ("", reply.incarnation):
            self._events.emit("worker.restarted", worker=link.name)
        if not self.planner.has_worker(link.name):
            self.planner.add_worker(get_worker_shape(link.entry))
        link.leaving = reply.leaving
        link.reachable = True
        self._judge_worker(link.name)
        self._keep_reports(link, reply, incarnation)
        touched = {
            gang.attempt: gang
            for gang in self._list_gangs_on(link.name)
            if self._mark_lost(gang, link.name, reply.incarnation)
        }
        for report in reply.tasks:
            gang = self._take_report(link, report)
            if gang is not None:
                touched[gang.attempt] = gang
        for gang in touched.values():
            self._review(gang)
        self.wake()

    def _keep_reports(
        self, link: WorkerLink, reply: SyncReply, incarnation: str
    ) -> None:
        """Keeps the latest report of each task that is not forgotten."""
        kept = self._reports.setdefault(link.name, {})
        if incarnation != reply.incarnation:
            kept.clear()
        for task_id in link.forgotten:
            kept.pop(task_id, None)
        kept.update((report.task_id, report) for report in reply.tasks)

    def _take_report(self, link: WorkerLink, report: TaskReport) -> Gang | None:
        gang = self._gangs.get(report.attempt)
        if gang is None and self.recovered:
            self._meet_stranger(link, report)
            return None
        if gang is None:
            self._adopt(report.attempt)
            return None
        member = gang.members[report.member]
        if member.worker != link.name:
            return None
        before = member.state
        member.report = report
        if report.state is not before and report.state in (
            TaskState.COMPLETED,
            TaskState.FAILED,
        ):
            ok = report.state is TaskState.COMPLETED
            self._health.observe(link.name, report.job_id, ok=ok)
            self._judge_worker(link.name)
        return gang

    def _on_silence(self, link: WorkerLink) -> None:
        """A worker did not answer."""
        link.reachable = False
        self._judge_worker(link.name)
        for gang in self._list_gangs_on(link.name):
            if link.silent_s > self._lease_s / 2 and len(gang.members) > 1:
                self._stop_gang(gang, f"{link.name} is silent", checkpoint=True)
        if link.has_lapsed:
            for gang in self._list_gangs_on(link.name):
                for member in gang.members:
                    if member.worker == link.name and not member.has_ended:
                        member.lost = True
                self._review(gang)

    def _mark_lost(self, gang: Gang, worker: str, incarnation: str) -> bool:
        """Marks members that an earlier worker process has lost."""
        lost = [
            member
            for member in gang.members
            if member.worker == worker
            and member.incarnation not in ("", incarnation)
            and not member.has_ended
        ]
        for member in lost:
            member.lost = True
        return bool(lost)

    def _list_gangs_on(self, worker: WorkerName) -> list[Gang]:
        return [
            gang
            for gang in self._gangs.values()
            if any(member.worker == worker for member in gang.members)
        ]

    def _list_renewals(self, worker: WorkerName) -> list[str]:
        """Returns the attempts on a worker whose gangs are whole."""
        return [
            gang.attempt
            for gang in self._list_gangs_on(worker)
            if gang.started and not gang.stopping and gang.is_whole
        ]

    def _judge_worker(self, name: WorkerName) -> None:
        """Opens or closes a worker to new work."""
        link = self.links.get(name)
        if link is None or not self.planner.has_worker(name):
            return
        if not link.reachable:
            health = WorkerHealth.UNREACHABLE
        elif (
            link.leaving
            or link.entry.state == "leaving"
            or name in self._journal.state.drained
        ):
            health = WorkerHealth.LEAVING
        elif self._health.is_quarantined(name):
            health = WorkerHealth.QUARANTINED
        else:
            health = WorkerHealth.HEALTHY
        if self.planner.set_health(name, health):
            self._events.emit("worker.judged", worker=name, cause=health.value)
            self._report_shortfall()

    def _report_shortfall(self) -> None:
        shortfall = self.planner.shortfall_slots
        if shortfall != self._shortfall:
            self._shortfall = shortfall
            self._events.emit("guarantee.shortfall", cause=f"{shortfall} slots")
            self._context.metrics.gauge("guarantee.shortfall_slots", shortfall)

    # Deciding

    def _step(self) -> None:
        if self._settling:
            return
        for planned in self.planner.expire():
            self._deny(
                planned.job, "it could not start in time", Outcome.UNKNOWN
            )
        for name in list(self.links):
            self._judge_worker(name)
        try:
            decisions = self.planner.decide()
        except InvariantError as error:
            self._events.emit("invariant.broken", cause=str(error))
            self._context.metrics.count("invariant.broken")
            raise
        for decision in decisions:
            self._act(decision)

    @singledispatchmethod
    def _act(self, decision: Decision) -> None:
        raise TypeError(type(decision))

    @_act.register
    def _(self, decision: Start) -> None:
        assert self._tasks is not None
        planned = decision.planned
        if self._outcomes.is_finished(planned.job.job_id):
            self.planner.finished(planned.job.job_id, completed=False)
            return
        self._attempts += 1
        attempt = f"{self.term.number}-{self.term.instance}-{self._attempts}"
        gang = build_gang(self.planner, planned, decision.placement, attempt)
        self._gangs[attempt] = gang
        self._by_job[planned.job.job_id] = gang
        self._tasks.start_soon(self._launch, gang)

    @_act.register
    def _(self, decision: Stop) -> None:
        gang = self._by_job.get(decision.planned.job.job_id)
        if gang is not None:
            checkpoint = gang.job.checkpointable
            self._stop_gang(gang, decision.cause, checkpoint=checkpoint)

    async def _launch(self, gang: Gang) -> None:
        job = gang.job
        self._emit("gang.launching", gang)
        launched = await self._launcher.launch(gang)
        if not launched and not gang.started:
            await self._requeue_unlaunched(gang)
            return
        gang.launching = False
        self._touched.add(job.job_id)
        if launched:
            self.planner.started(job.job_id)
            self._emit("gang.started", gang)
            self._context.metrics.time(
                "job.wait", time.time() - job.accepted_at_s
            )
            status = describe_job(job, Phase.RUNNING)
            self._context.announce(replace(status, started_at_s=time.time()))
            if gang.stopping:
                await self._launcher.stop(gang, checkpoint=job.checkpointable)
        else:
            self._stop_gang(gang, "a member did not start", checkpoint=False)
        self._review(gang)

    async def _requeue_unlaunched(self, gang: Gang) -> None:
        """Queues a gang again that no worker was told to run."""
        self._emit("gang.not_launched", gang)
        if not gang.job.idempotent and not await self._void(gang):
            return
        await anyio.sleep(RELAUNCH_PAUSE_S)
        self._forget_gang(gang)
        if gang.cancelled:
            self.planner.finished(gang.job.job_id, completed=False)
            self._deny(gang.job, "cancelled by its caller", Outcome.CANCELLED)
            return
        self.planner.requeue(gang.job.job_id)
        self.wake()

    async def _void(self, gang: Gang) -> bool:
        """Takes back the intent of a launch that started nothing."""
        entry = self._journal.state.jobs.get(gang.job.job_id)
        if entry is None or entry.intent is None:
            return True
        record = LaunchVoided(
            job_id=gang.job.job_id,
            attempt=entry.intent.attempt,
            availability_zone=self._zone,
            term=self.term,
        )
        while True:
            try:
                await self._journal.append(
                    record, timeout_s=self._context.settings.append_timeout_s
                )
                return True
            except (LogUnavailableError, LogUncertainError):
                await anyio.sleep(RELAUNCH_PAUSE_S)

    def _stop_gang(self, gang: Gang, cause: str, *, checkpoint: bool) -> None:
        if gang.stopping:
            return
        gang.stopping = True
        gang.stop_cause = cause
        self._emit("gang.stopping", gang, cause=cause)
        if not gang.launching and self._tasks is not None:
            self._tasks.start_soon(self._send_stop, gang, checkpoint)

    async def _send_stop(self, gang: Gang, checkpoint: bool) -> None:
        await self._launcher.stop(gang, checkpoint=checkpoint)

    # Outcomes

    def _review(self, gang: Gang) -> None:
        """Looks whether a gang has ended or is no longer whole."""
        if gang.launching or gang.attempt not in self._gangs:
            return
        if gang.has_completed:
            results = [m.report.result for m in gang.members if m.report]
            self._end(gang, Outcome.COMPLETED, "", tuple(results))
        elif gang.has_ended:
            self._review_ended(gang)
        elif not gang.is_whole:
            self._stop_gang(gang, "a member ended", checkpoint=True)

    def _review_ended(self, gang: Gang) -> None:
        job = gang.job
        failed = [m for m in gang.members if m.state is TaskState.FAILED]
        if gang.cancelled:
            self._end(gang, Outcome.CANCELLED, "stopped while it ran")
        elif failed:
            self._review_failed(gang, failed)
        elif job.idempotent or gang.saved_s > 0 or gang.never_ran:
            self._run_again(gang)
        else:
            cause = gang.stop_cause or "its worker was lost"
            self._end(
                gang,
                Outcome.UNKNOWN,
                f"it started and did not report an end ({cause}); it is not"
                " repeated because it is not idempotent",
            )

    def _review_failed(self, gang: Gang, failed: list[Member]) -> None:
        job = gang.job
        gang.planned.exclude(m.worker for m in failed)
        blamed = self._blamed.setdefault(job.job_id, set())
        blamed.update(m.worker for m in failed)
        counted = [w for w in blamed if not self._health.is_blamed(w)]
        budget = self._context.settings.job_attempts
        if job.idempotent and len(counted) < budget:
            self._run_again(gang)
            return
        detail = next((m.report.result for m in failed if m.report), "")
        self._end(gang, Outcome.FAILED, detail)

    def _run_again(self, gang: Gang) -> None:
        """Queues a gang again whose members have all ended."""
        self._emit("gang.requeued", gang, cause=gang.stop_cause)
        if self._outcomes.is_finished(gang.job.job_id):
            self._forget_gang(gang)
            self.planner.finished(gang.job.job_id, completed=False)
        elif gang.job.idempotent:
            self._requeue(gang)
        else:
            assert self._tasks is not None
            gang.launching = True
            self._tasks.start_soon(self._void_and_requeue, gang)

    async def _void_and_requeue(self, gang: Gang) -> None:
        if await self._void(gang):
            self._requeue(gang)

    def _requeue(self, gang: Gang) -> None:
        self._forget_gang(gang)
        if len(gang.planned.excluded_workers) >= len(self.links):
            gang.planned.include_all()
        self.planner.requeue(gang.job.job_id, done_s=gang.saved_s)
        self.wake()

    def _end(
        self,
        gang: Gang,
        outcome: Outcome,
        detail: str,
        results: tuple[str, ...] = (),
    ) -> None:
        """Gives a gang's job its outcome."""
        self._forget_gang(gang)
        completed = outcome is Outcome.COMPLETED
        self.planner.finished(gang.job.job_id, completed=completed)
        self._outcomes.finish(gang.job, outcome, detail, results)
        self.wake()

    def _deny(self, job: Job, detail: str, doubtful: Outcome) -> None:
        """Ends a job that is queued.

        Args:
            job: The job.
            detail: Why it ends.
            doubtful: Outcome to tell if it ran before, or if an earlier term
                may have started it on a worker that has not answered since.
        """
        if self._can_deny(job):
            self._outcomes.finish(job, Outcome.DID_NOT_RUN, detail)
        else:
            doubt = "it was started before or may have been"
            self._outcomes.finish(job, doubtful, f"{detail}; {doubt}")

    def _can_deny(self, job: Job) -> bool:
        """Whether no start can have taken effect and none still can."""
        entry = self._journal.state.jobs.get(job.job_id)
        if entry is not None and entry.intent is not None:
            return False
        if job.job_id in self._touched:
            return False
        if job.job_id in self._fresh:
            return True
        fenced = all(link.synced for link in self.links.values())
        return fenced and bool(self.links)

    def _drop_duplicate(self, job: Job) -> None:
        """Ends a provisional job whose key another job used first."""
        del self._outcomes.provisional[job.job_id]
        entry = self._journal.state.find_by_key(
            job.organisation, job.idempotency_key
        )
        if entry is None or job.job_id in self._by_job:
            return
        if self.planner.cancel(job.job_id):
            self._events.emit("job.duplicate", job=job.job_id)

    def _forget_gang(self, gang: Gang) -> None:
        self._gangs.pop(gang.attempt, None)
        if self._by_job.get(gang.job.job_id) is gang:
            del self._by_job[gang.job.job_id]
        if gang.job.idempotent and not gang.has_completed:
            for member in gang.members:
                link = self.links.get(member.worker)
                if link is not None and member.has_ended:
                    link.forget.add(member.order.task_id)

    def _emit(self, name: str, gang: Gang, *, cause: str = "") -> None:
        self._events.emit(
            name,
            job=gang.job.job_id,
            attempt=gang.attempt,
            organisation=gang.job.organisation,
            term=self.term.number,
            cause=cause,
        )

    # Taking over

    def _add_link(self, entry: InstanceEntry) -> None:
        assert self._tasks is not None
        endpoints = self._context.settings.endpoints
        driver = ENDPOINTS.get(endpoints.plugin)(entry.url, endpoints)
        link = WorkerLink(
            entry,
            driver,
            term=self.term,
            list_renewals=self._list_renewals,
            on_sync=self._on_sync,
            on_silence=self._on_silence,
            on_stale=self._on_stale,
        )
        self.links[entry.name] = link
        scope = anyio.CancelScope()
        self._scopes[entry.name] = scope
        self._tasks.start_soon(self._run_link, link, scope)

    async def _run_link(
        self, link: WorkerLink, scope: anyio.CancelScope
    ) -> None:
        with scope:
            await link.run()

    def _on_stale(self, error: StaleTermError) -> None:
        self._context.on_stale(Term(error.number, error.instance))

    async def _recover(self) -> None:
        """Learns what runs before queueing what an earlier term left."""
        with anyio.move_on_after(self._lease_s):
            while not (
                self.links and all(link.synced for link in self.links.values())
            ):
                await anyio.sleep(0.05)
        self.recovered = True
        attempts = {
            report.attempt
            for reports in self._reports.values()
            for report in reports.values()
        }
        for attempt in sorted(attempts):
            self._adopt(attempt)
        adopted = len(self._gangs)
        left = [
            entry
            for entry in self._journal.state.iterate_unfinished(self._zone)
            if entry.job.job_id not in self.planner.jobs
            and not self._outcomes.is_finished(entry.job.job_id)
        ]
        for entry in left:
            if entry.intent is None:
                self.planner.submit(entry.job)
            else:
                assert self._tasks is not None
                self._tasks.start_soon(self._resolve, entry)
        for job in list(self._outcomes.provisional.values()):
            if not self._outcomes.is_finished(job.job_id):
                self.planner.submit(job)
        self._events.emit(
            "scheduler.recovered",
            term=self.term.number,
            cause=f"{adopted} gangs adopted, {len(left)} jobs queued, after"
            f" {time.monotonic() - self._started_s:.2f} s",
        )
        self.wake()

    def _meet_stranger(self, link: WorkerLink, report: TaskReport) -> None:
        """Takes over or ends a task that this term did not launch."""
        self._adopt(report.attempt)
        if report.attempt in self._gangs:
            return
        if report.state.has_ended:
            if self._is_settled(report):
                link.forget.add(report.task_id)
            return
        assert self._tasks is not None
        self._tasks.start_soon(self._stop_stranger, link, report.task_id)

    def _is_settled(self, report: TaskReport) -> bool:
        """Whether nobody needs an ended task's report any more."""
        annotation = read_annotation(report)
        return (
            annotation is None
            or annotation.job.idempotent
            or self._outcomes.is_in_log(report.job_id)
        )

    async def _stop_stranger(self, link: WorkerLink, task_id: TaskId) -> None:
        try:
            await link.driver.stop(self.term, [task_id], checkpoint=False)
        except StaleTermError as error:
            self._on_stale(error)
        except WorkerError:
            return

    def _adopt(self, attempt: str) -> None:
        """Takes over a gang that an earlier term launched, if it is whole."""
        if attempt in self._gangs:
            return
        found = [
            (name, report)
            for name, by_task in self._reports.items()
            for report in by_task.values()
            if report.attempt == attempt
        ]
        job_id = found[0][1].job_id if found else ""
        if (
            not found
            or job_id in self._by_job
            or self._outcomes.is_finished(job_id)
        ):
            return
        incarnations = {n: link.incarnation for n, link in self.links.items()}
        gang = adopt_gang(self.planner, found, incarnations)
        if gang is None:
            return
        self._gangs[attempt] = gang
        self._by_job[job_id] = gang
        self._touched.add(job_id)
        if job_id not in self._journal.state.jobs:
            self._outcomes.provisional[job_id] = gang.job
            self._journal.append_later(JobAccepted(job=gang.job))
        self._emit("gang.adopted", gang)
        self._review(gang)

    async def _resolve(self, entry: JobEntry) -> None:
        """Finds out what became of a launch that an earlier term intended."""
        job, intent = entry.job, entry.intent
        assert intent is not None
        deadline_s = time.monotonic() + RESOLVE_S
        while time.monotonic() < deadline_s:
            if job.job_id in self._by_job or self._outcomes.is_finished(
                job.job_id
            ):
                return
            links = [self.links.get(m.worker) for m in intent.members]
            answers = [
                link is not None and link.synced and link.reachable
                for link in links
            ]
            if all(answers):
                break
            await anyio.sleep(IDLE_S)
        proven = all(
            link is not None
            and link.synced
            and link.incarnation == member.incarnation
            and not self._has_report(member.worker, intent.attempt)
            for link, member in zip(links, intent.members, strict=True)
        )
        if job.job_id in self._by_job or self._outcomes.is_finished(job.job_id):
            return
        if not proven:
            self._outcomes.finish(
                job,
                Outcome.UNKNOWN,
                "it may have started and its worker cannot tell; it is not"
                " repeated because it is not idempotent",
            )
            return
        planned = PlannedJob(job, time.monotonic())
        await self._void(Gang(planned, intent.attempt))
        self.planner.submit(job)
        self.wake()

    def _has_report(self, worker: WorkerName, attempt: str) -> bool:
        reports = self._reports.get(worker, {}).values()
        return any(
            report.attempt == attempt and report.started for report in reports
        )

    def _find_in_log(self, job_id: JobId) -> Job | None:
        """Returns a job of this zone that is not planned yet, or None."""
        entry = self._journal.state.jobs.get(job_id)
        if entry is None or entry.job.availability_zone != self._zone:
            return None
        return entry.job
