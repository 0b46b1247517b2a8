"""The active scheduler of a site: decides what runs where."""

from __future__ import annotations

import time
from collections.abc import Callable, Sequence

import anyio
import anyio.abc

from lagoonbeam.core.clock import read_clock_s
from lagoonbeam.errors import LagoonbeamError, LogUncertainError
from lagoonbeam.site.advice import AdviceCache
from lagoonbeam.site.appender import JournalAppender
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.endings import Endings
from lagoonbeam.site.entries import JobEntry, TaskState, UnitState
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.events import Event
from lagoonbeam.site.fleet import WorkerFleet
from lagoonbeam.site.journal import JournalFollower
from lagoonbeam.site.machine_controller import (
    ControllerContext,
    MachineController,
)
from lagoonbeam.site.machines import TermHolder
from lagoonbeam.site.model import Configuration, End, QueuePolicy
from lagoonbeam.site.plan_memory import PlanMemory
from lagoonbeam.site.planner import make_plan
from lagoonbeam.site.policies import Policies
from lagoonbeam.site.ports import Ports, Writer
from lagoonbeam.site.records import (
    Placement,
    Record,
    RunEnd,
    TermRenewed,
    TermResigned,
    split_placements,
)
from lagoonbeam.site.rooms import get_step_id
from lagoonbeam.site.spare_pools import ShortageTracker, SparePoolController
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.time_limits import PlatformTimeLimits
from lagoonbeam.site.upkeep import UpkeepController
from lagoonbeam.types import InstanceName

RENEW_S = 0.4
"""Seconds between two signs of life in the journal."""
PLAN_S = 0.25
"""Longest time between two plans."""
APPEND_TIMEOUT_S = 10.0
"""Seconds to wait for the journal; the runs concerned stay as they are."""
AUTHORITY_S = 8.0
"""Seconds without the store for which an active scheduler renews leases."""
FOREIGN_LEASE_FACTOR = 1.03
"""Longest time of an earlier term's lease, in leases; worker clocks may be
2 % slow."""
PLAN_PAUSE_S = 0.01
"""Shortest time between two plans; what comes in between is planned once."""
SNAPSHOT_SHARE = 0.25
"""Part of the store's history after which a snapshot is written."""


class Scheduler:
    """Schedules while its term lasts.

    Args:
        ports: The platform.
        follower: The copy of the state.
        instance: Name of this instance.
        writer: The term to write with.
        sequence: Number of its next append.
        get_configuration: Returns the configuration in force.
        bounds: Times that the platform gives.
        policies: The policies in force.
        decisions: The decision log.
    """

    def __init__(
        self,
        *,
        ports: Ports,
        follower: JournalFollower,
        instance: InstanceName,
        writer: Writer,
        sequence: int,
        get_configuration: Callable[[], Configuration],
        bounds: PlatformTimeLimits,
        policies: Policies,
        decisions: DecisionLog,
    ):
        self.token = writer.epoch
        self.foreign_lease_s = (
            time.monotonic()
            + AUTHORITY_S
            + bounds.lease_s * FOREIGN_LEASE_FACTOR
        )
        self._fleet = WorkerFleet(
            ports.directory,
            ports.connector,
            self,
            lease_s=bounds.lease_s,
            decisions=decisions,
        )
        self._follower = follower
        self._advice = AdviceCache(ports.advice, decisions)
        self._get_configuration = get_configuration
        self._bounds = bounds
        self._decisions = decisions
        self._appender = JournalAppender(
            ports.store, writer, follower, sequence=sequence
        )
        self._scope = anyio.CancelScope()
        self._wake = anyio.Event()
        self._memory = PlanMemory(decisions, self._advice, policies=policies)
        self._endings = Endings(
            lambda: self.state,
            self._policy,
            self._journal,
            self._memory,
            decisions,
        )
        self._shortage = ShortageTracker()
        self._duties = self._make_duties(
            ports, TermHolder(instance, writer.epoch)
        )
        self._snapshot_s = time.monotonic()
        self._tasks: anyio.abc.TaskGroup | None = None

    def _make_duties(
        self, ports: Ports, holder: TermHolder
    ) -> list[MachineController]:
        """Returns what is to be done about machines, if any are told."""
        if ports.machines is None:
            return []
        context = ControllerContext(
            machines=ports.machines,
            get_state=lambda: self.state,
            append_records=self._journal,
            evacuations=WorkerEvacuator(
                lambda: self.state, self._fleet, self._memory, self._stop_unit
            ),
            holder=holder,
            lose_term=self.lose_term,
            decisions=self._decisions,
        )
        duties: list[MachineController] = [
            SparePoolController(
                context, self._shortage, self._get_configuration
            )
        ]
        if ports.waves is not None:
            duties.append(UpkeepController(context, ports.waves))
        return duties

    @property
    def state(self) -> SiteState:
        """The state in force."""
        return self._follower.state

    @property
    def may_renew(self) -> bool:
        """Whether leases may still be renewed."""
        return read_clock_s() - self._appender.confirmed_s < AUTHORITY_S

    async def run(self) -> None:
        """Schedules until the term is lost or `resign` is called."""
        async with anyio.create_task_group() as tasks:
            self._tasks = tasks
            with self._scope:
                tasks.start_soon(self._append)
                tasks.start_soon(self._keep_term)
                tasks.start_soon(self._fleet.run)
                tasks.start_soon(self._follow_journal)
                tasks.start_soon(self._advice.run)
                tasks.start_soon(self._follow_advice)
                for duty in self._duties:
                    tasks.start_soon(duty.run)
                await self._plan_forever()
            tasks.cancel_scope.cancel()

    async def resign(self) -> None:
        """Ends the term, so that another instance may claim at once."""
        try:
            record = TermResigned(self.token)
            await self._appender.append([record], timeout_s=1.0)
        except LagoonbeamError as error:
            self._decisions.emit(Event.TERM_RESIGN_FAILED, cause=str(error))
        self.lose_term("resigned")

    def lose_term(self, cause: str) -> None:
        """Stops scheduling."""
        if not self._scope.cancel_called:
            self._decisions.emit(Event.TERM_LOST, term=self.token, cause=cause)
        self._scope.cancel()

    async def end_runs(self, ends: Sequence[RunEnd]) -> bool:
        """Journals ends; returns whether they are stored."""
        return await self._endings.end_runs(ends)

    def note_usable(self, worker: str) -> None:
        """Plans again after a worker became usable."""
        self._wake.set()

    def note_refusal(self, worker: str, task: TaskState) -> None:
        """Stops the other members of a gang after a refused start."""
        self._advice.drop_ticket(get_step_id(task.unit), worker)
        self._stop_unit(task.unit, f"a start at {worker} was refused")
        self._wake.set()

    def note_end(
        self,
        worker: str,
        task: TaskState,
        end: End,
        run_s: float | None,
    ) -> None:
        """Learns from the end of a run that is the task's present one."""
        job_id = task.unit.job.request.job_id
        if end is End.DONE:
            self._fleet.health.observe(worker, job_id, ok=True)
            if run_s is not None:
                queue = task.unit.job.request.queue.name
                self._memory.durations.note(queue, run_s)
        elif end is End.FAILED:
            self._fleet.health.observe(worker, job_id, ok=False)
            self._memory.avoid(task.unit, worker)
            if self._fleet.health.is_blamed(worker):
                self._decisions.emit(
                    Event.WORKER_QUARANTINED, worker=worker, job=job_id
                )

    def note_stall(self, worker: str, task: TaskState) -> None:
        """Stops a unit whose run stands still, and starts it elsewhere."""
        if task.unit.job.request.runs_once:
            return
        self._memory.avoid(task.unit, worker)
        self._stop_unit(task.unit, f"stands still at {worker}")

    def is_wanted(self, task: TaskState) -> bool:
        """Whether a task's run should go on."""
        return task.unit.job.is_open

    async def _append(self) -> None:
        await self._appender.run()
        self.lose_term(f"journal: {self._appender.error!r}")

    async def _journal(self, records: Sequence[Record]) -> bool:
        try:
            end = await self._appender.append(
                records, timeout_s=APPEND_TIMEOUT_S
            )
        except LagoonbeamError as error:
            if not isinstance(error, LogUncertainError):
                self._decisions.emit(Event.JOURNAL_REFUSED, cause=str(error))
            return False
        return await self._follower.wait_for(end, APPEND_TIMEOUT_S)

    async def _keep_term(self) -> None:
        while True:
            await self._journal([TermRenewed(self.token)])
            due_s = self._bounds.store_retention_s * SNAPSHOT_SHARE
            if time.monotonic() - self._snapshot_s > due_s:
                await self._save_snapshot()
            await anyio.sleep(RENEW_S)

    async def _save_snapshot(self) -> None:
        self._snapshot_s = time.monotonic()
        try:
            await self._follower.save_snapshot()
        except LagoonbeamError as error:
            self._decisions.emit(Event.SNAPSHOT_FAILED, cause=str(error))

    async def _follow_advice(self) -> None:
        while True:
            await self._advice.changed.wait()
            self._wake.set()

    async def _follow_journal(self) -> None:
        while True:
            await self._follower.wait_change()
            if self.state.term.number > self.token:
                self.lose_term(f"term {self.state.term.number} was claimed")
            self._wake.set()

    async def _plan_forever(self) -> None:
        while True:
            with anyio.move_on_after(PLAN_S):
                await self._wake.wait()
            self._wake = anyio.Event()
            if time.monotonic() > self.foreign_lease_s:
                await self._endings.end_lost_workers(self._fleet.sessions)
            await self._endings.end_hopeless()
            for worker, task in self._fleet.find_doomed():
                self._stop_unit(task.unit, f"{worker} leaves before its end")
            self._plan()
            await anyio.sleep(PLAN_PAUSE_S)

    def _plan(self) -> None:
        usable = self._fleet.get_usable_sessions()
        self._decisions.metrics.usable_workers.set(len(usable))
        plan = make_plan(
            self._memory,
            self.state,
            self._fleet.sessions,
            usable,
            self._get_configuration(),
        )
        self._decisions.metrics.lost_core_s.inc(plan.lost_core_s)
        self._shortage.update(plan.short)
        for victim, unit in plan.stops:
            self._stop_unit(victim, f"room for {unit.key}")
        placements: list[Placement] = []
        now_s = time.time()
        for unit, assignment in plan.starts:
            job = unit.job
            due_s = max(job.request.accepted_at_s, job.due_s(unit.occurrence))
            self._decisions.metrics.start_latency_s.observe(
                max(0.0, now_s - due_s)
            )
            run = unit.next_run
            for task, worker in assignment:
                session = self._fleet.sessions[worker]
                session.orders.expect_run(task.task_id)
                placements.append(
                    Placement(
                        task.task_id,
                        run,
                        worker,
                        session.report.incarnation,
                        unit.checkpoint,
                    )
                )
        if placements and self._tasks is not None:
            keys = [unit.key for unit, _ in plan.starts]
            self._tasks.start_soon(self._launch, placements, keys)
        if plan.is_cut_short:
            self._wake.set()

    async def _launch(
        self, placements: list[Placement], keys: list[str]
    ) -> None:
        """Journals placements, then orders the starts.

        Args:
            placements: The runs.
            keys: Their units.
        """
        stored = await self._journal(split_placements(placements))
        for key in keys:
            self._memory.launching.pop(key, None)
        for placement in placements:
            task = self.state.tasks.get(placement.task_id)
            session = self._fleet.sessions.get(placement.worker)
            if session is None or self._tasks is None:
                continue
            if (
                not stored
                or task is None
                or task.placement != placement
                or not task.unit.job.is_open
                or session.report.incarnation != placement.incarnation
            ):
                session.orders.forget_run(placement.task_id)
                continue
            tickets = self._advice.get_tickets(get_step_id(task.unit))
            ticket = tickets.get(placement.worker, "")
            self._tasks.start_soon(
                session.orders.start_run, task, placement, ticket
            )

    def _policy(self, job: JobEntry) -> QueuePolicy:
        """The policy in force for a job, or that of its acceptance."""
        policy = job.request.queue
        return self._get_configuration().find_policy(policy.name) or policy

    def _stop_unit(self, unit: UnitState, cause: str) -> None:
        for task in unit.tasks:
            placement = task.placement
            if placement is None:
                continue
            session = self._fleet.sessions.get(placement.worker)
            if session is not None:
                session.orders.order_stop(task.task_id, placement.run, cause)
