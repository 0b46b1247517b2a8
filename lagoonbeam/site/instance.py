"""One instance: replicates the journal, serves callers, and runs elections."""

from __future__ import annotations

import random
import secrets
from collections.abc import Callable
from dataclasses import dataclass

import anyio
import anyio.abc

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.events import Event
from lagoonbeam.site.job_service import JobService
from lagoonbeam.site.journal_appender import JournalAppender, claim_term
from lagoonbeam.site.journal_follower import JournalFollower, add_jitter
from lagoonbeam.site.model import Configuration
from lagoonbeam.site.platform_interface import JournalWriter, PlatformServices
from lagoonbeam.site.policies import PolicyNames, make_policies
from lagoonbeam.site.records import InstanceJoined
from lagoonbeam.site.scheduler import Scheduler
from lagoonbeam.site.time_limits import PlatformTimeLimits

SCHEDULER_WRITER_NAME = "scheduler"
"""Writer name shared by all active schedulers, so that the store fences the
appends of an earlier term."""
TAKEOVER_TIMEOUT_S = 1.3
"""Time without a renewal after which a term may be claimed: three renewal
intervals, one of which may take 0.5 s in a slow store."""
TAKEOVER_JITTER_S = 0.3
"""Upper bound of the random delay that each instance adds to the timeout, so
that instances do not all claim at once."""
CLAIM_CHECK_INTERVAL_S = 0.1
"""Interval at which an instance checks whether to claim a term."""
MAX_CONFIGURATION_WAIT_S = 1.0
"""Age of the configuration up to which a read waits for a new version, which
must take effect within 2 s."""
MAX_CLAIM_STATE_AGE_S = 2.0
"""Age of the state replica up to which a term may be claimed."""
RETRY_DELAY_S = 0.2
"""Delay before a failed operation is retried, before jitter."""
GAUGE_UPDATE_INTERVAL_S = 1.0
"""Interval at which the metric gauges are updated."""
JOIN_TIMEOUT_S = 5.0
"""Time to wait for the append of the record that this instance started."""


@dataclass(frozen=True, slots=True)
class InstanceAddress:
    """Name and network address of an instance.

    Attributes:
        instance: Its name.
        availability_zone: Its zone.
        host: IP address at which peers reach it.
        port: TCP port at which peers reach it.
    """

    instance: str
    availability_zone: str
    host: str
    port: int


class SchedulerInstance:
    """One instance of the site scheduler, without its network servers.

    Args:
        address: Name and address of the instance.
        platform_services: Adapters to the platform.
        time_limits: Time limits set by the platform.
        decisions: The decision log.
        policy_names: Names of the scheduling policies; the defaults if None.

    Attributes:
        on_configuration: Called with each configuration that comes into
            force.
        follower: Keeps the replica of the state.
        service: Accepts, cancels and looks up jobs.
    """

    def __init__(
        self,
        *,
        address: InstanceAddress,
        platform_services: PlatformServices,
        time_limits: PlatformTimeLimits,
        decisions: DecisionLog,
        policy_names: PolicyNames | None = None,
    ):
        self._policies = make_policies(policy_names)
        self._address = address
        self._platform_services = platform_services
        self._time_limits = time_limits
        self._decisions = decisions
        self._incarnation = f"{address.instance}-{secrets.token_hex(6)}"
        self._scheduler: Scheduler | None = None
        self._takeover_jitter_s = random.uniform(0, TAKEOVER_JITTER_S)
        self.on_configuration: Callable[[Configuration], None] = (
            lambda configuration: None
        )
        self.follower = JournalFollower(
            platform_services.journal_store, decisions
        )
        self._appender = JournalAppender(
            platform_services.journal_store,
            JournalWriter(self._incarnation),
            self.follower,
        )
        self.service = JobService(
            self.follower,
            self._appender,
            decisions,
            configuration_apply_s=time_limits.configuration_apply_s,
        )

    async def run(self) -> None:
        """Runs the instance until cancelled."""
        self._decisions.emit(
            Event.INSTANCE_START, incarnation=self._incarnation
        )
        async with anyio.create_task_group() as task_group:
            task_group.start_soon(self.follower.run)
            task_group.start_soon(self._appender.run)
            task_group.start_soon(self._append_join_record)
            task_group.start_soon(self._follow_configuration)
            task_group.start_soon(self._claim_and_schedule)
            task_group.start_soon(self._update_gauges)
            task_group.start_soon(self._decisions.metrics.measure_loop_delay)

    async def drain(self) -> None:
        """Resigns the term, if held, and reports the instance as not ready."""
        self.service.is_draining = True
        self._decisions.emit(Event.INSTANCE_DRAIN)
        if self._scheduler is not None:
            await self._scheduler.resign()

    def get_instance_hosts(self) -> tuple[str, ...]:
        """Returns the IP addresses of all instances known from the journal."""
        instances = self.follower.state.instances.values()
        return tuple(instance.host for instance in instances)

    async def _update_gauges(self) -> None:
        metrics = self._decisions.metrics
        while True:
            scheduler = self._scheduler
            metrics.term.set(scheduler.token if scheduler else 0)
            metrics.configuration.set(self.service.configuration.version)
            metrics.configuration_age_s.set(self.service.configuration_age_s)
            metrics.journal_age_s.set(self.follower.age_s)
            state = self.follower.state
            metrics.open_jobs.set(state.count_open_jobs())
            metrics.running_tasks.set(
                sum(map(len, state.tasks_by_worker.values()))
            )
            metrics.queued_jobs.clear()
            for labels, count in state.count_pending_by_organisation().items():
                metrics.queued_jobs.labels(*labels).set(count)
            await anyio.sleep(GAUGE_UPDATE_INTERVAL_S)

    async def _append_join_record(self) -> None:
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
                await anyio.sleep(add_jitter(RETRY_DELAY_S))
            else:
                return

    async def _follow_configuration(self) -> None:
        dependency_monitor = DependencyMonitor("configuration", self._decisions)
        while True:
            if not await dependency_monitor.run(self._read_configuration):
                await anyio.sleep(add_jitter(RETRY_DELAY_S))

    async def _read_configuration(self) -> None:
        """Waits for a change, but only until the configuration is too old."""
        version = self.service.configuration.version
        age_s = self.service.configuration_age_s
        source = self._platform_services.configuration
        new_configuration = await source.wait_for_newer(
            version, wait_s=max(0.0, MAX_CONFIGURATION_WAIT_S - age_s)
        )
        self.service.configuration_synced_s = source.synced_s
        if new_configuration is not None:
            self.service.configuration = new_configuration
            self.on_configuration(new_configuration)
            self._decisions.emit(
                Event.CONFIGURATION_IN_FORCE,
                version=new_configuration.version,
                before=version,
                age_s=round(age_s, 3) if version else None,
                queues=len(new_configuration.routes),
            )

    def should_claim_term(self) -> bool:
        """Whether this instance should try to claim a new term.

        It should if the holder resigned or restarted, or if the journal shows
        no renewal for longer than the timeout. Silence is measured from the
        last renewal, the last failed read and the first complete read,
        whichever is latest, up to the last complete read: time in which this
        instance could not read the journal does not count.
        """
        follower = self.follower
        if (
            self.service.is_draining
            or not self.service.configuration.version
            or follower.age_s > MAX_CLAIM_STATE_AGE_S
        ):
            return False
        if follower.state.is_term_vacant:
            return True
        silence_start_s = max(
            follower.last_term_record_s,
            follower.last_failure_s,
            follower.first_synced_s,
        )
        return (
            follower.last_synced_s - silence_start_s
            > TAKEOVER_TIMEOUT_S + self._takeover_jitter_s
        )

    async def _claim_and_schedule(self) -> None:
        while True:
            await anyio.sleep(add_jitter(CLAIM_CHECK_INTERVAL_S))
            if not self.should_claim_term():
                continue
            claim = await claim_term(
                self._platform_services.journal_store,
                self.follower,
                writer_name=SCHEDULER_WRITER_NAME,
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
                platform_services=self._platform_services,
                follower=self.follower,
                instance=self._address.instance,
                writer=writer,
                sequence=sequence,
                get_configuration=lambda: self.service.configuration,
                time_limits=self._time_limits,
                policies=self._policies,
                decisions=self._decisions,
            )
            self.follower.is_active_scheduler = True
            try:
                await self._scheduler.run()
            finally:
                self.follower.is_active_scheduler = False
                self._scheduler = None
