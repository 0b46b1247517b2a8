"""Lending of machines from spare pools to services short of capacity."""

from __future__ import annotations

import time
from collections.abc import Callable

from lagoonbeam.errors import FencedError, LagoonbeamError
from lagoonbeam.site.controllers import ControllerContext, MachineController
from lagoonbeam.site.events import Event
from lagoonbeam.site.machines import (
    Machine,
    MachineOrderRefusedError,
    MachineRefusalReason,
    MachineState,
)
from lagoonbeam.site.model import Configuration, Step
from lagoonbeam.site.records import MachineMoved

RECONCILE_INTERVAL_S = 1.0
"""Seconds between two decisions on moves."""
MIN_SHORTAGE_S = 2.0
"""Seconds that a shortage has to last before a machine is moved in."""
MIN_MOVE_INTERVAL_S = 3.0
"""Seconds between two moves into the same service: a machine takes 1.5 s to
move, and its new worker appears in the list a little later."""
IDLE_BEFORE_RETURN_S = 20.0
"""Seconds without a shortage after which a machine is moved back; a move costs
several seconds of a machine's time."""


class ShortageTracker:
    """Tracks how long each service has had work that it could not place.

    Only work that still has a value when completed counts.
    """

    def __init__(self) -> None:
        self._short_since_s: dict[str, float] = {}
        self._short_until_s: dict[str, float] = {}
        self._unplaced_steps: dict[str, Step] = {}

    def update(self, unplaced_steps: dict[str, Step]) -> None:
        """Updates the shortages from the latest plan.

        Args:
            unplaced_steps: A step that could not be placed, by service.
        """
        now_s = time.monotonic()
        for service in set(self._short_since_s) - set(unplaced_steps):
            del self._short_since_s[service]
            self._short_until_s[service] = now_s
        for service, step in unplaced_steps.items():
            self._short_since_s.setdefault(service, now_s)
            self._unplaced_steps[service] = step

    def find_long_shortages(self) -> dict[str, Step]:
        """Returns an unplaced step of each service with a lasting shortage."""
        latest_start_s = time.monotonic() - MIN_SHORTAGE_S
        return {
            service: self._unplaced_steps[service]
            for service, since_s in self._short_since_s.items()
            if since_s < latest_start_s
        }

    def is_idle(self, service: str, started_s: float) -> bool:
        """Whether a service has had no shortage for `IDLE_BEFORE_RETURN_S`.

        Args:
            service: The service.
            started_s: Start of the observation; idle time counts from there.
        """
        idle_since_s = max(started_s, self._short_until_s.get(service, 0.0))
        return (
            service not in self._short_since_s
            and time.monotonic() - idle_since_s > IDLE_BEFORE_RETURN_S
        )


class SparePoolController(MachineController):
    """Moves spare machines to services with a lasting shortage, and back.

    Args:
        context: What the controllers of one term share.
        shortage_tracker: Tracker of the services short of capacity.
        get_configuration: Returns the configuration in force.
    """

    name = "moves"
    interval_s = RECONCILE_INTERVAL_S

    def __init__(
        self,
        context: ControllerContext,
        shortage_tracker: ShortageTracker,
        get_configuration: Callable[[], Configuration],
    ):
        super().__init__(context)
        self._shortage_tracker = shortage_tracker
        self._get_configuration = get_configuration
        self._started_s = time.monotonic()
        self._last_move_s: dict[str, float] = {}
        # Machines and services whose pairing the platform refused for good.
        self._rejected_moves: set[tuple[str, str]] = set()
        # Worker cordoned for the return of a lent machine, by machine.
        self._returning: dict[str, str] = {}

    async def step(self) -> None:
        """Moves at most one machine into each service, and idle machines back.

        Raises:
            UnavailableError: If the machine service does not answer.
        """
        spare_pools = self._get_configuration().spare_services
        unplaced_steps = {
            service: step
            for service, step in (
                self._shortage_tracker.find_long_shortages().items()
            )
            if service not in spare_pools and self._is_move_due(service)
        }
        loans = self._context.get_state().lent_machines
        if not (spare_pools and unplaced_steps) and not loans:
            return
        idle_services = {
            service
            for service in {loan.pool for loan in loans.values()}
            if self._shortage_tracker.is_idle(service, self._started_s)
        }
        if not unplaced_steps and not idle_services and not self._returning:
            return
        machines = await self._machines.list_machines()
        for service, step in unplaced_steps.items():
            machine = self._find_spare_machine(
                machines, spare_pools, service, step
            )
            if machine is not None:
                await self._move_machine(machine, service, home=machine.pool)
        await self._return_idle_machines(machines, idle_services)

    def _is_move_due(self, service: str) -> bool:
        last_move_s = self._last_move_s.get(service, float("-inf"))
        return time.monotonic() - last_move_s > MIN_MOVE_INTERVAL_S

    def _find_spare_machine(
        self,
        machines: dict[str, Machine],
        spare_pools: frozenset[str],
        service: str,
        step: Step,
    ) -> Machine | None:
        """Returns the smallest spare machine that fits a task of the step."""
        suitable = (
            machine
            for machine in machines.values()
            if machine.pool in spare_pools
            and machine.state is MachineState.UP
            and (machine.machine_id, service) not in self._rejected_moves
            and machine.accelerators >= step.accelerators
            and machine.memory_mb >= step.memory_mb
            and (step.is_filling or machine.cpu_millis >= step.cpu_millis)
            and (
                not step.required_label or step.required_label in machine.labels
            )
        )
        return min(
            suitable,
            key=lambda machine: (machine.accelerators, machine.machine_id),
            default=None,
        )

    async def _return_idle_machines(
        self, machines: dict[str, Machine], idle_services: set[str]
    ) -> None:
        """Empties the machines lent to idle services and moves them back."""
        for machine_id, loan in list(
            self._context.get_state().lent_machines.items()
        ):
            machine = machines.get(machine_id)
            if loan.pool not in idle_services:
                self._end_return(machine_id)
            elif machine is None:
                self._end_return(machine_id)
                await self._context.append_records(
                    [MachineMoved(machine_id, loan.home, loan.home)]
                )
            elif machine.state is MachineState.UP:
                if machine.pool == loan.pool:
                    self._returning[machine_id] = machine.worker
                    self._evacuator.cordon(machine.worker)
                    if not self._evacuator.is_empty(machine.worker):
                        continue
                # Also sent to a machine that was not lent: it then refuses the
                # loan, which may still be carried out.
                await self._move_machine(machine, loan.home, home=loan.home)

    def _end_return(self, machine_id: str) -> None:
        """Makes the worker of a machine due for return available again."""
        worker = self._returning.pop(machine_id, None)
        if worker is not None:
            self._evacuator.uncordon(worker)

    async def _move_machine(
        self, machine: Machine, pool: str, *, home: str
    ) -> None:
        """Moves a machine; a loan is journaled before it is ordered.

        A return without an answer is repeated while the loan lasts.
        """
        is_loan = pool != home
        self._last_move_s[pool] = time.monotonic()
        moved = MachineMoved(machine.machine_id, pool, home)
        if is_loan and not await self._context.append_records([moved]):
            return
        outcome = "moved"
        holder = self._context.fences.get_holder(
            machine.machine_id, f"move to {pool}"
        )
        try:
            await self._machines.move_to_pool(machine.machine_id, pool, holder)
        except MachineOrderRefusedError as refusal:
            outcome = f"refused: {refusal.reason.value}"
            if refusal.reason is MachineRefusalReason.NOT_CONCERNED:
                self._rejected_moves.add((machine.machine_id, pool))
        except FencedError:
            self._lose_term_if_newest(machine.machine_id, holder)
            return
        except LagoonbeamError as error:
            outcome = f"in doubt: {error}"
        is_refused = outcome.startswith("refused")
        if is_loan and is_refused:
            returned = MachineMoved(machine.machine_id, home, home)
            await self._context.append_records([returned])
        elif not is_loan and outcome == "moved":
            self._end_return(machine.machine_id)
            await self._context.append_records([moved])
        self._context.decisions.emit(
            Event.MACHINE_MOVE,
            machine=machine.machine_id,
            pool=pool,
            before=machine.pool,
            term=self._context.fences.holder.token,
            outcome=outcome,
        )
