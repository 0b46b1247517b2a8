"""One instance: follows the journal, serves callers, schedules in its term."""

from __future__ import annotations

import random
import secrets
from dataclasses import dataclass

import anyio
import anyio.abc

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.appender import JournalAppender, claim_term
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.events import Event
from lagoonbeam.site.journal import JournalFollower, jitter
from lagoonbeam.site.policies import PolicyNames, make_policies
from lagoonbeam.site.ports import Ports, Writer
from lagoonbeam.site.records import InstanceJoined
from lagoonbeam.site.scheduler import Scheduler
from lagoonbeam.site.service import JobService
from lagoonbeam.site.time_limits import PlatformTimeLimits

SCHEDULER_WRITER = "scheduler"
"""Name under which active schedulers append; the store fences it."""
TAKEOVER_S = 1.3
"""Seconds without a sign of life after which a term may be claimed; three
renewals, of which one may take 0.5 s in a slow store."""
TAKEOVER_SPREAD_S = 0.3
"""Seconds over which instances spread their claims."""
ELECTION_S = 0.1
"""Seconds between two looks at whether to claim."""
CONFIGURATION_WAIT_S = 1.0
"""Seconds one reading waits for a new configuration; it must be in force
within two."""
RETRY_S = 0.2
"""Seconds before a failed reading is repeated."""
MEASURE_S = 1.0
"""Seconds between two updates of the gauges."""
JOIN_TIMEOUT_S = 5.0
"""Seconds to wait for the record of this instance's start."""


@dataclass(frozen=True, slots=True)
class InstanceAddress:
    """Where an instance is.

    Attributes:
        instance: Its name.
        availability_zone: Its zone.
        host: IP number at which peers reach it.
        port: TCP port at which peers reach it.
    """

    instance: str
    availability_zone: str
    host: str
    port: int


class Node:
    """Everything of one instance but its outside faces.

    Args:
        address: Where it is.
        ports: The platform.
        bounds: Times that the platform gives.
        decisions: The decision log.
        policies: Names of the policies; the defaults if None.
    """

    def __init__(
        self,
        *,
        address: InstanceAddress,
        ports: Ports,
        bounds: PlatformTimeLimits,
        decisions: DecisionLog,
        policies: PolicyNames | None = None,
    ):
        self._policies = make_policies(policies)
        self._address = address
        self._ports = ports
        self._bounds = bounds
        self._decisions = decisions
        self._incarnation = f"{address.instance}-{secrets.token_hex(6)}"
        self._scheduler: Scheduler | None = None
        self._spread_s = random.uniform(0, TAKEOVER_SPREAD_S)
        self.follower = JournalFollower(ports.store, decisions)
        self._appender = JournalAppender(
            ports.store, Writer(self._incarnation), self.follower
        )
        self.service = JobService(self.follower, self._appender, decisions)

    async def run(self) -> None:
        """Works until cancelled."""
        self._decisions.emit(
            Event.INSTANCE_START, incarnation=self._incarnation
        )
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(self.follower.run)
            tasks.start_soon(self._appender.run)
            tasks.start_soon(self._join)
            tasks.start_soon(self._follow_configuration)
            tasks.start_soon(self._schedule)
            tasks.start_soon(self._measure)
            tasks.start_soon(self._decisions.metrics.measure_loop_delay)

    async def drain(self) -> None:
        """Hands the term over and takes no new callers."""
        self.service.is_draining = True
        self._decisions.emit(Event.INSTANCE_DRAIN)
        if self._scheduler is not None:
            await self._scheduler.resign()

    def peer_hosts(self) -> tuple[str, ...]:
        """Returns the IP numbers of all instances that joined."""
        instances = self.follower.state.instances.values()
        return tuple(instance.host for instance in instances)

    async def _measure(self) -> None:
        metrics = self._decisions.metrics
        while True:
            scheduler = self._scheduler
            metrics.term.set(scheduler.token if scheduler else 0)
            metrics.configuration.set(self.service.configuration.version)
            metrics.journal_age_s.set(self.follower.age_s)
            state = self.follower.state
            metrics.open_jobs.set(state.count_open())
            metrics.running_tasks.set(sum(map(len, state.placed.values())))
            metrics.queued_jobs.clear()
            for labels, count in state.count_queued().items():
                metrics.queued_jobs.labels(*labels).set(count)
            await anyio.sleep(MEASURE_S)

    async def _join(self) -> None:
        record = InstanceJoined(
            self._address.instance,
            self._incarnation,
            self._address.host,
            self._address.port,
        )
        while True:
            try:
                await self._appender.append([record], timeout_s=JOIN_TIMEOUT_S)
            except LagoonbeamError as error:
                self._decisions.emit(
                    Event.INSTANCE_JOIN_FAILED, cause=str(error)
                )
                await anyio.sleep(jitter(RETRY_S))
            else:
                return

    async def _follow_configuration(self) -> None:
        watch = DependencyMonitor("configuration", self._decisions)
        while True:
            if not await watch.run(self._read_configuration):
                await anyio.sleep(jitter(RETRY_S))

    async def _read_configuration(self) -> None:
        version = self.service.configuration.version
        newer = await self._ports.configuration.wait_newer(
            version, wait_s=CONFIGURATION_WAIT_S
        )
        if newer is not None:
            self.service.configuration = newer
            self._decisions.emit(
                Event.CONFIGURATION_IN_FORCE,
                version=newer.version,
                before=version,
                queues=len(newer.routes),
            )

    def should_claim(self) -> bool:
        """Whether the term seems to be vacant to an instance that knows."""
        follower = self.follower
        if (
            self.service.is_draining
            or not self.service.configuration.version
            or follower.age_s > 2 * CONFIGURATION_WAIT_S
        ):
            return False
        if follower.state.is_vacant:
            return True
        heard_s = max(
            follower.term_seen_s, follower.failed_s, follower.first_synced_s
        )
        return follower.synced_s - heard_s > TAKEOVER_S + self._spread_s

    async def _schedule(self) -> None:
        while True:
            await anyio.sleep(jitter(ELECTION_S))
            if not self.should_claim():
                continue
            claim = await claim_term(
                self._ports.store,
                self.follower,
                writer_name=SCHEDULER_WRITER,
                instance=self._address.instance,
                incarnation=self._incarnation,
            )
            if claim is None:
                self._decisions.emit(Event.TERM_NOT_CLAIMED)
                continue
            writer, sequence = claim
            self._decisions.emit(
                Event.TERM_CLAIMED,
                term=writer.epoch,
                offset=self.follower.offset,
                age_s=round(self.follower.age_s, 3),
            )
            self._scheduler = Scheduler(
                ports=self._ports,
                follower=self.follower,
                instance=self._address.instance,
                writer=writer,
                sequence=sequence,
                get_configuration=lambda: self.service.configuration,
                bounds=self._bounds,
                policies=self._policies,
                decisions=self._decisions,
            )
            self.follower.is_active = True
            try:
                await self._scheduler.run()
            finally:
                self.follower.is_active = False
                self._scheduler = None
