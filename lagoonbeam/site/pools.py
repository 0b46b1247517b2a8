"""Moving machines from spare pools to services that are short, and back."""

from __future__ import annotations

import time
from collections.abc import Callable

from lagoonbeam.errors import FencedError, LagoonbeamError
from lagoonbeam.site.duties import Duty, DutyContext
from lagoonbeam.site.events import Event
from lagoonbeam.site.machines import (
    Machine,
    MachineRefusal,
    MachineState,
    RefusalReason,
)
from lagoonbeam.site.model import Configuration, Step
from lagoonbeam.site.records import MachineMoved

LOOK_S = 1.0
"""Seconds between two decisions."""
SHORT_S = 2.0
"""Seconds of waiting work after which a machine is moved in."""
MOVE_PAUSE_S = 3.0
"""Seconds between two moves into a service: a machine takes 1.5 s to move,
and its worker a moment to be known."""
IDLE_S = 20.0
"""Seconds without waiting work after which a machine is moved back; a move
costs as much as some seconds of a machine."""


class Shortage:
    """For how long each service could not place work that still earns."""

    def __init__(self) -> None:
        self._since_s: dict[str, float] = {}
        self._ended_s: dict[str, float] = {}
        self._steps: dict[str, Step] = {}

    def note(self, short: dict[str, Step]) -> None:
        """Takes a plan's result into account.

        Args:
            short: The step of a unit that could not be placed, by service.
        """
        now_s = time.monotonic()
        for service in set(self._since_s) - set(short):
            del self._since_s[service]
            self._ended_s[service] = now_s
        for service, step in short.items():
            self._since_s.setdefault(service, now_s)
            self._steps[service] = step

    def find_short(self) -> dict[str, Step]:
        """Returns what waits in services that are short for long enough."""
        limit_s = time.monotonic() - SHORT_S
        return {
            service: self._steps[service]
            for service, since_s in self._since_s.items()
            if since_s < limit_s
        }

    def is_idle(self, service: str, opened_s: float) -> bool:
        """Whether a service has not been short for a long time."""
        ended_s = max(opened_s, self._ended_s.get(service, 0.0))
        return (
            service not in self._since_s and time.monotonic() - ended_s > IDLE_S
        )


class Pools(Duty):
    """Lends machines of spare pools.

    Args:
        context: What the duties share.
        shortage: Which services are short.
        get_configuration: Returns the configuration in force.
    """

    name = "moves"
    pause_s = LOOK_S

    def __init__(
        self,
        context: DutyContext,
        shortage: Shortage,
        get_configuration: Callable[[], Configuration],
    ):
        super().__init__(context)
        self._shortage = shortage
        self._get_configuration = get_configuration
        self._opened_s = time.monotonic()
        self._moved_s: dict[str, float] = {}
        self._unsuited: set[tuple[str, str]] = set()
        self._leaving: dict[str, str] = {}

    async def step(self) -> None:
        """Moves at most one machine into each service, and idle ones back.

        Raises:
            UnavailableError: If the machines do not answer.
        """
        spare = self._get_configuration().spare_services
        short = {
            service: step
            for service, step in self._shortage.find_short().items()
            if service not in spare and self._may_move(service)
        }
        lent = self._context.get_state().lent_machines
        if not (spare and short) and not lent:
            return
        idle = {
            service
            for service in {loan.pool for loan in lent.values()}
            if self._shortage.is_idle(service, self._opened_s)
        }
        if not short and not idle and not self._leaving:
            return
        machines = await self._machines.list_machines()
        for service, step in short.items():
            machine = self._find_spare(machines, spare, service, step)
            if machine is not None:
                await self._move(machine, service, home=machine.pool)
        await self._return_idle(machines, idle)

    def _may_move(self, service: str) -> bool:
        moved_s = self._moved_s.get(service, float("-inf"))
        return time.monotonic() - moved_s > MOVE_PAUSE_S

    def _find_spare(
        self,
        machines: dict[str, Machine],
        spare: frozenset[str],
        service: str,
        step: Step,
    ) -> Machine | None:
        """Returns the smallest spare machine that could run a task."""
        suited = (
            machine
            for machine in machines.values()
            if machine.pool in spare
            and machine.state is MachineState.UP
            and (machine.machine_id, service) not in self._unsuited
            and machine.accelerators >= step.accelerators
            and machine.memory_mb >= step.memory_mb
            and (step.is_filling or machine.cpu_millis >= step.cpu_millis)
            and (
                not step.required_label or step.required_label in machine.labels
            )
        )
        return min(
            suited,
            key=lambda machine: (machine.accelerators, machine.machine_id),
            default=None,
        )

    async def _return_idle(
        self, machines: dict[str, Machine], idle: set[str]
    ) -> None:
        """Empties machines of idle services, and moves empty ones back."""
        for name, loan in list(self._context.get_state().lent_machines.items()):
            machine = machines.get(name)
            if loan.pool not in idle:
                self._keep(name)
            elif machine is None or machine.pool != loan.pool:
                self._keep(name)
                await self._context.journal(
                    [MachineMoved(name, loan.home, loan.home)]
                )
            elif machine.state is MachineState.UP:
                self._leaving[name] = machine.worker
                self._vacating.begin(machine.worker)
                if self._vacating.is_empty(machine.worker):
                    await self._move(machine, loan.home, home=loan.home)

    def _keep(self, name: str) -> None:
        """Lets a machine that was to go back work on."""
        worker = self._leaving.pop(name, None)
        if worker is not None:
            self._vacating.end(worker)

    async def _move(self, machine: Machine, pool: str, *, home: str) -> None:
        self._moved_s[pool] = time.monotonic()
        outcome = "moved"
        try:
            await self._machines.move(
                machine.machine_id, pool, self._context.holder
            )
        except MachineRefusal as refusal:
            outcome = f"refused: {refusal.reason.value}"
            if refusal.reason is RefusalReason.NOT_CONCERNED:
                self._unsuited.add((machine.machine_id, pool))
        except FencedError:
            self._context.lose_term(
                f"machine {machine.machine_id} has a newer token"
            )
            return
        except LagoonbeamError as error:
            outcome = f"in doubt: {error}"
        if not outcome.startswith("refused"):
            self._keep(machine.machine_id)
            await self._context.journal(
                [MachineMoved(machine.machine_id, pool, home)]
            )
        self._context.decisions.emit(
            Event.MACHINE_MOVE,
            machine=machine.machine_id,
            pool=pool,
            before=machine.pool,
            term=self._context.holder.token,
            outcome=outcome,
        )
