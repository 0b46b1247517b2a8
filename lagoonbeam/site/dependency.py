"""Logging of the availability of services that an instance depends on."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event


class DependencyMonitor:
    """Logs when a dependency becomes unavailable and when it is back.

    There is one line for each change, however often calls fail.

    Args:
        name: Name of the dependency in the decision log.
        decisions: The decision log.
    """

    def __init__(self, name: str, decisions: DecisionLog):
        self._name = name
        self._decisions = decisions
        self._is_lost = False

    async def run(self, action: Callable[[], Awaitable[None]]) -> bool:
        """Runs a call to the dependency; returns whether it succeeded."""
        try:
            await action()
        except LagoonbeamError as error:
            self.report_failure(error)
            return False
        self.report_success()
        return True

    def report_failure(self, error: LagoonbeamError) -> None:
        """Records that a call to the dependency failed."""
        self._set_lost(True, str(error))

    def report_success(self) -> None:
        """Records that a call to the dependency succeeded."""
        self._set_lost(False, "")

    def _set_lost(self, is_lost: bool, cause: str) -> None:
        if is_lost != self._is_lost:
            self._is_lost = is_lost
            self._decisions.emit(
                Event.DEPENDENCY,
                name=self._name,
                state="lost" if is_lost else "regained",
                cause=cause,
            )
