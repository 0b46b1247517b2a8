"""Stopping gangs, and taking back launches that started nothing."""

from __future__ import annotations

import anyio

from lagoonbeam.core.records import LaunchVoided
from lagoonbeam.errors import LogUnavailableError, LogUncertainError
from lagoonbeam.scheduler.gangs import Gang
from lagoonbeam.scheduler.term_state import TermState

RELAUNCH_DELAY_S = 0.2
"""Pause before a gang that could not be launched is queued again."""


class GangStopper:
    """Stops gangs and voids their launches.

    Args:
        term_state: What the parts of the scheduler share.
    """

    def __init__(self, term_state: TermState):
        self._term_state = term_state

    def stop(self, gang: Gang, cause: str, *, checkpoint: bool) -> None:
        """Stops a gang as a whole, once."""
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

    async def void_launch_intent(self, gang: Gang) -> bool:
        """Takes back the intent of a launch that started nothing."""
        entry = self._term_state.journal.state.jobs.get(gang.job.job_id)
        if entry is None or entry.intent is None:
            return True
        record = LaunchVoided(
            job_id=gang.job.job_id,
            attempt=entry.intent.attempt,
            availability_zone=self._term_state.zone_name,
            term=self._term_state.term,
        )
        while True:
            try:
                await self._term_state.journal.append(
                    record,
                    timeout_s=self._term_state.context.settings.append_timeout_s,
                )
                return True
            except (LogUnavailableError, LogUncertainError):
                await anyio.sleep(RELAUNCH_DELAY_S)
