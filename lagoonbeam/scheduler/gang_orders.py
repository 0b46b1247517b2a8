"""Stopping gangs, and taking back launches that started nothing."""

from __future__ import annotations

import anyio

from lagoonbeam.core.records import LaunchVoided
from lagoonbeam.errors import LogAppendUnconfirmedError, LogUnavailableError
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.term_state import TermState

RELAUNCH_PAUSE_S = 0.2
"""Pause before a gang that could not be launched is queued again."""


class GangOrders:
    """Stops gangs and voids their launches.

    Args:
        term: What the parts of the scheduler share.
    """

    def __init__(self, term: TermState):
        self._term = term

    def stop(self, gang: Gang, cause: str, *, checkpoint: bool) -> None:
        """Stops a gang as a whole, once."""
        if gang.stopping:
            return
        gang.stopping = True
        gang.stop_cause = cause
        self._term.emit("gang.stopping", gang, cause=cause)
        if not gang.launching and self._term.tasks is not None:
            self._term.tasks.start_soon(self._send_stop, gang, checkpoint)

    async def _send_stop(self, gang: Gang, checkpoint: bool) -> None:
        await self._term.launcher.stop(gang, checkpoint=checkpoint)

    async def void(self, gang: Gang) -> bool:
        """Takes back the intent of a launch that started nothing."""
        entry = self._term.log_client.state.jobs.get(gang.job.job_id)
        if entry is None or entry.intent is None:
            return True
        record = LaunchVoided(
            job_id=gang.job.job_id,
            attempt=entry.intent.attempt,
            availability_zone=self._term.zone,
            term=self._term.term,
        )
        while True:
            try:
                await self._term.log_client.append(
                    record,
                    timeout_s=self._term.context.settings.append_timeout_s,
                )
                return True
            except (LogUnavailableError, LogAppendUnconfirmedError):
                await anyio.sleep(RELAUNCH_PAUSE_S)
