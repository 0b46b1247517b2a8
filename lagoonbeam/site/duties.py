"""What the active scheduler does about machines, beside placing work."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Awaitable, Callable, Sequence
from dataclasses import dataclass

import anyio

from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.dependency import DependencyWatch
from lagoonbeam.site.machines import DutyHolder, MachineService
from lagoonbeam.site.records import Record
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.vacating import Vacating


@dataclass(frozen=True, slots=True)
class DutyContext:
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
    journal: Callable[[Sequence[Record]], Awaitable[bool]]
    vacating: Vacating
    holder: DutyHolder
    lose_term: Callable[[str], None]
    decisions: Decisions


class Duty(ABC):
    """Something to be done again and again while a term lasts.

    Args:
        context: What the duties share.

    Attributes:
        name: What it is, for the decision log.
        pause_s: Seconds between two steps.
    """

    name = "duty"
    pause_s = 1.0

    def __init__(self, context: DutyContext):
        self._context = context
        self._machines = context.machines
        self._vacating = context.vacating
        self._watch = DependencyWatch(
            f"machines, for {self.name}", context.decisions
        )

    async def run(self) -> None:
        """Does it until cancelled."""
        while True:
            await self._watch.run(self.step)
            await anyio.sleep(self.pause_s)

    @abstractmethod
    async def step(self) -> None:
        """Does the next piece.

        Raises:
            UnavailableError: If something needed does not answer.
        """
