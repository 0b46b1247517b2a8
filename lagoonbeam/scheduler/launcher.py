"""Launching a gang: all members or none.

Every member is reserved first, under a short lease. Only when all are
reserved is any of them started, again under a short lease, which is renewed
only while the gang is whole. A member that misses its start therefore leaves
the others running for one start lease at most.
"""

from __future__ import annotations

from collections.abc import Awaitable, Callable, Mapping

import anyio
import anyio.abc

from lagoonbeam.core.fault_points import FaultPoints
from lagoonbeam.core.records import LaunchIntended, LaunchMember, Term
from lagoonbeam.errors import (
    LogAppendUnconfirmedError,
    LogUnavailableError,
    WorkerError,
    WorkerRefusedError,
)
from lagoonbeam.scheduler.gangs import Gang, Member
from lagoonbeam.scheduler.log_client import LogClient, wait_until
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import WorkerName

START_LEASE_S = 2.0
"""Lease of reserved and freshly started members."""
START_TRIES = 3
"""Times a start is sent to a worker that does not answer."""
UNCERTAIN_WAIT_S = 600.0
"""Longest wait for the log to tell whether it took an intent."""

Command = Callable[[WorkerLink, list[Member]], Awaitable[None]]


class Launcher:
    """Launches and stops gangs on the workers of a zone.

    Args:
        links: The zone's workers.
        term: Term of this scheduler.
        zone: The zone.
        log_client: The log client.
        faults: Steps at which a test ends the process.
        append_timeout_s: Longest wait for the log to take an intent.
    """

    def __init__(
        self,
        *,
        links: Mapping[WorkerName, WorkerLink],
        term: Term,
        zone: str,
        log_client: LogClient,
        faults: FaultPoints,
        append_timeout_s: float,
    ):
        self._links = links
        self._term = term
        self._zone = zone
        self._log_client = log_client
        self._faults = faults
        self._append_timeout_s = append_timeout_s

    async def launch(self, gang: Gang) -> bool:
        """Launches a gang.

        Returns:
            Whether all members were told to run. If not, none was started,
            or `gang.started` tells that some may have been.
        """
        if not gang.job.idempotent and not await self._claim(gang):
            return False
        self._faults.reach("launch.before_reserve")
        if not await self._command_all(gang, self._reserve):
            await self.stop(gang, checkpoint=False)
            return False
        self._faults.reach("launch.after_reserve")
        gang.started = True
        if not await self._command_all(gang, self._start):
            return False
        self._faults.reach("launch.after_start")
        return True

    async def stop(self, gang: Gang, *, checkpoint: bool) -> None:
        """Tells all members to stop; silence is left to their leases."""

        async def stop(link: WorkerLink, members: list[Member]) -> None:
            task_ids = [member.order.task_id for member in members]
            await link.driver.stop(self._term, task_ids, checkpoint=checkpoint)

        await self._command_all(gang, stop)

    async def _claim(self, gang: Gang) -> bool:
        """Writes the intent of the only launch of a non-idempotent job."""
        members = tuple(
            LaunchMember(name, self._links[name].incarnation)
            for name in gang.group_by_worker()
            if name in self._links
        )
        intent = LaunchIntended(
            job_id=gang.job.job_id,
            attempt=gang.attempt,
            availability_zone=self._zone,
            term=self._term,
            members=members,
        )
        try:
            await self._log_client.append(
                intent, timeout_s=self._append_timeout_s
            )
        except LogUnavailableError:
            return False
        except LogAppendUnconfirmedError:
            await wait_until(
                self._log_client,
                lambda: self._holds_claim(gang),
                timeout_s=UNCERTAIN_WAIT_S,
            )
        self._faults.reach("launch.after_intent")
        return self._holds_claim(gang)

    def _holds_claim(self, gang: Gang) -> bool:
        entry = self._log_client.state.jobs.get(gang.job.job_id)
        return (
            entry is not None
            and entry.intent is not None
            and entry.intent.attempt == gang.attempt
        )

    async def _reserve(self, link: WorkerLink, members: list[Member]) -> None:
        incarnation = await link.driver.reserve(
            self._term,
            [member.order for member in members],
            lease_s=START_LEASE_S,
        )
        for member in members:
            member.incarnation = incarnation

    async def _start(self, link: WorkerLink, members: list[Member]) -> None:
        task_ids = [member.order.task_id for member in members]
        for tries_left in reversed(range(START_TRIES)):
            try:
                await link.driver.run(
                    self._term, task_ids, lease_s=START_LEASE_S
                )
                return
            except WorkerRefusedError:
                raise
            except WorkerError:
                if not tries_left:
                    raise

    async def _command_all(self, gang: Gang, command: Command) -> bool:
        """Sends a command to all workers of a gang at the same time."""
        succeeded: list[WorkerName] = []
        groups = gang.group_by_worker()

        async def send(name: WorkerName, members: list[Member]) -> None:
            link = self._links.get(name)
            if link is None:
                return
            try:
                await command(link, members)
            except WorkerError:
                return
            succeeded.append(name)

        async with anyio.create_task_group() as tasks:
            for name, members in groups.items():
                tasks.start_soon(send, name, members)
        return len(succeeded) == len(groups)
