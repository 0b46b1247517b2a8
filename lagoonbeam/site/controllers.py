"""Control loops of the active scheduler that manage machines."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.machine_fences import MachineFences
from lagoonbeam.site.machines import MachineService, TermHolder
from lagoonbeam.site.records import Record
from lagoonbeam.site.state import SiteState


@dataclass(frozen=True, slots=True)
class ControllerContext:
    """What the machine controllers of one term share.

    Attributes:
        machines: The platform's machine service.
        get_state: Returns the state in force.
        append_records: Appends records to the journal; returns whether they
            are stored.
        evacuations: Cordons workers and stops their runs.
        fences: Instance and fencing token on each order.
        lose_term: Ends the term; called with the cause when a machine has seen
            a higher fencing token.
        decisions: The decision log.
    """

    machines: MachineService
    get_state: Callable[[], SiteState]
    append_records: Callable[[Sequence[Record]], Awaitable[bool]]
    evacuations: WorkerEvacuator
    fences: MachineFences
    lose_term: Callable[[str], None]
    decisions: DecisionLog


class MachineController(ABC):
    """A control loop that runs while a term lasts.

    Args:
        context: What the controllers of one term share.

    Attributes:
        name: Name of the controller in the decision log.
        interval_s: Seconds between two steps.
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

    def _lose_term_if_newest(self, machine_id: str, holder: TermHolder) -> None:
        """Ends the term if a machine refused its newest fencing token."""
        if self._context.fences.is_newest(machine_id, holder):
            self._context.lose_term(f"machine {machine_id} has a newer token")

    async def run(self) -> None:
        """Runs steps at the interval until cancelled."""
        while True:
            await self._dependency_monitor.run(self.step)
            await anyio.sleep(self.interval_s)

    @abstractmethod
    async def step(self) -> None:
        """Compares the machines with their wanted state and gives orders.

        Raises:
            UnavailableError: If a service it depends on does not answer.
        """
