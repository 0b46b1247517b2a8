"""What the active scheduler does about machines, beside placing work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.machines import MachineService, TermHolder
from lagoonbeam.site.records import Record
from lagoonbeam.site.state import SiteState


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """What the duties of one term share.

    Attributes:
        machines: The machines.
        get_state: Returns the state in force.
        journal: Appends records; returns whether they are stored.
        vacating: Empties workers.
        holder: Who gives the orders.
        lose_term: Called when a machine has seen a higher token.
        decisions: The decision log.
    """

    machines: MachineService
    get_state: Callable[[], SiteState]
    append_records: Callable[[Sequence[Record]], Awaitable[bool]]
    evacuations: WorkerEvacuator
    holder: TermHolder
    lose_term: Callable[[str], None]
    decisions: DecisionLog


class MachineController(ABC):
    """Something to be done again and again while a term lasts.

    Args:
        context: What the duties share.

    Attributes:
        name: What it is, for the decision log.
        pause_s: Seconds between two steps.
    """

    name = "duty"
    interval_s = 1.0

    def __init__(self, context: ControllerContext):
        self._context = context
        self._machines = context.machines
        self._evacuator = context.evacuations
        self._dependency_monitor = DependencyMonitor(
            f"machines, for {self.name}", context.decisions
        )

    async def run(self) -> None:
        """Does it until cancelled."""
        while True:
            await self._dependency_monitor.run(self.step)
            await anyio.sleep(self.interval_s)

    @abstractmethod
    async def step(self) -> None:
        """Does the next piece.

        Raises:
            UnavailableError: If something needed does not answer.
        """
