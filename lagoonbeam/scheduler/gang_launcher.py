"""Launches a gang on its workers in two phases, all members or none.

The first phase reserves the slots of every member under a short lease. Once
all are reserved, the second phase starts them, again under a short lease,
which is renewed only while the gang is intact. If one member does not start,
the others therefore run for at most the duration of one start lease.
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
from lagoonbeam.scheduler.gangs import Gang, GangMember
from lagoonbeam.scheduler.log_client import LogClient, wait_until
from lagoonbeam.scheduler.worker_link import WorkerLink
from lagoonbeam.types import WorkerName

START_LEASE_S = 2.0
"""Lease of members from their reservation or start to the first renewal."""
MAX_START_TRIES = 3
"""Number of times a start is sent to a worker that does not answer."""
INTENT_CONFIRMATION_TIMEOUT_S = 600.0
"""Longest wait until it is known whether the log contains an intent."""

WorkerCommand = Callable[[WorkerLink, list[GangMember]], Awaitable[None]]


class GangLauncher:
    """Sends the commands that launch and stop gangs to the workers of a zone.

    Args:
        worker_links: Links to the workers of the zone.
        term: Term of this scheduler.
        zone_name: Name of the zone.
        log_client: The log client.
        faults: Fault points, at which a test can end the process.
        append_timeout_s: Longest wait for an intent to be appended.
    """

    def __init__(
        self,
        *,
        worker_links: Mapping[WorkerName, WorkerLink],
        term: Term,
        zone_name: str,
        log_client: LogClient,
        faults: FaultPoints,
        append_timeout_s: float,
    ):
        self._worker_links = worker_links
        self._term = term
        self._zone_name = zone_name
        self._log_client = log_client
        self._faults = faults
        self._append_timeout_s = append_timeout_s

    async def launch(self, gang: Gang) -> bool:
        """Launches a gang.

        Returns:
            Whether the workers of all members confirmed the start. If not,
            members may have been started only if `gang.started` is set.
        """
        if not gang.job.idempotent and not await self._record_intent(gang):
            return False
        self._faults.reach("launch.before_reserve")
        if not await self._send_to_workers(gang, self._reserve_members):
            await self.stop(gang, checkpoint=False)
            return False
        self._faults.reach("launch.after_reserve")
        gang.started = True
        if not await self._send_to_workers(gang, self._start_members):
            return False
        self._faults.reach("launch.after_start")
        return True

    async def stop(self, gang: Gang, *, checkpoint: bool) -> None:
        """Stops all members; on unreachable workers, their leases expire."""

        async def stop(link: WorkerLink, members: list[GangMember]) -> None:
            task_ids = [member.task_order.task_id for member in members]
            await link.driver.stop(self._term, task_ids, checkpoint=checkpoint)

        await self._send_to_workers(gang, stop)

    async def _record_intent(self, gang: Gang) -> bool:
        """Appends the launch intent of a non-idempotent job to the log.

        The first intent in the log excludes every other launch of the job
        until it is voided.

        Returns:
            Whether the log contains the intent of this launch.
        """
        entry = self._log_client.state.jobs.get(gang.job.job_id)
        if entry is not None and entry.intent is not None:
            return self._is_intent_recorded(gang)
        members = tuple(
            LaunchMember(name, self._worker_links[name].incarnation)
            for name in gang.group_members_by_worker()
            if name in self._worker_links
        )
        intent = LaunchIntended(
            job_id=gang.job.job_id,
            attempt=gang.attempt,
            availability_zone=self._zone_name,
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
                lambda: self._is_intent_recorded(gang),
                timeout_s=INTENT_CONFIRMATION_TIMEOUT_S,
            )
        self._faults.reach("launch.after_intent")
        return self._is_intent_recorded(gang)

    def _is_intent_recorded(self, gang: Gang) -> bool:
        entry = self._log_client.state.jobs.get(gang.job.job_id)
        return (
            entry is not None
            and entry.intent is not None
            and entry.intent.attempt == gang.attempt
        )

    async def _reserve_members(
        self, link: WorkerLink, members: list[GangMember]
    ) -> None:
        incarnation = await link.driver.reserve(
            self._term,
            [member.task_order for member in members],
            lease_s=START_LEASE_S,
        )
        for member in members:
            member.incarnation = incarnation

    async def _start_members(
        self, link: WorkerLink, members: list[GangMember]
    ) -> None:
        task_ids = [member.task_order.task_id for member in members]
        for tries_left in reversed(range(MAX_START_TRIES)):
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

    async def _send_to_workers(
        self, gang: Gang, command: WorkerCommand
    ) -> bool:
        """Sends a command to all workers of a gang concurrently.

        Returns:
            Whether all workers confirmed it.
        """
        successful_workers: list[WorkerName] = []
        members_by_worker = gang.group_members_by_worker()

        async def send(name: WorkerName, members: list[GangMember]) -> None:
            link = self._worker_links.get(name)
            if link is None:
                return
            try:
                await command(link, members)
            except WorkerError:
                return
            successful_workers.append(name)

        async with anyio.create_task_group() as task_group:
            for name, members in members_by_worker.items():
                task_group.start_soon(send, name, members)
        return len(successful_workers) == len(members_by_worker)
