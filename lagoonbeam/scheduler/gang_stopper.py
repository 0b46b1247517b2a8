"""Stops gangs and voids the intents of launches that started no task."""

from __future__ import annotations

import anyio

from lagoonbeam.core.records import LaunchVoided
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.term_state import TermState

RELAUNCH_DELAY_S = 0.2
"""Delay before a job whose launch failed is queued again.

Also the delay between attempts to write a voided launch to the log.
"""


class GangStopper:
    """Stops gangs and voids their launch intents.

    Args:
        term_state: State shared by the components of the zone scheduler.
    """

    def __init__(self, term_state: TermState):
        self._term_state = term_state

    def stop(self, gang: Gang, cause: str, *, checkpoint: bool) -> None:
        """Stops all members of a gang; does nothing if it is stopping already.

        A gang that is still launching is stopped once all members have been
        started; if one is not, the leases of the others expire.
        """
        if gang.stopping:
            return
        gang.stopping = True
        gang.stop_cause = cause
        self._term_state.emit("gang.stopping", gang, cause=cause)
        if not gang.launching and self._term_state.task_group is not None:
            self._term_state.task_group.start_soon(
                self._send_stop, gang, checkpoint
            )

    async def _send_stop(self, gang: Gang, checkpoint: bool) -> None:
        await self._term_state.gang_launcher.stop(gang, checkpoint=checkpoint)

    async def void_launch_intent(self, gang: Gang) -> None:
        """Voids the intent of a launch that started no task.

        Retries until the log accepts the record, because a job with an intent
        cannot be launched again. The intent of another launch, which another
        scheduler may have carried out, stays as it is.
        """
        entry = self._term_state.log_client.state.jobs.get(gang.job.job_id)
        if (
            entry is None
            or entry.intent is None
            or entry.intent.attempt != gang.attempt
        ):
            return
        record = LaunchVoided(
            job_id=gang.job.job_id,
            attempt=gang.attempt,
            availability_zone=self._term_state.zone_name,
            term=self._term_state.term,
        )
        while True:
            try:
                await self._term_state.log_client.append(
                    record,
                    timeout_s=self._term_state.context.settings.append_timeout_s,
                )
                return
            except (LogUnavailableError, LogAppendUnconfirmedError):
                await anyio.sleep(RELAUNCH_DELAY_S)
