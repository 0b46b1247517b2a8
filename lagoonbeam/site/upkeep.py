"""Rolling upkeep of machines, in waves that operators request.

Each machine of a wave has to begin its upkeep within the wave's duration, and
the number of machines down at once is limited.
"""

from __future__ import annotations

import math
import time

from lagoonbeam.errors import FencedError, LagoonbeamError
from lagoonbeam.site.controllers import ControllerContext, MachineController
from lagoonbeam.site.events import Event
from lagoonbeam.site.machines import (
    Machine,
    MachineOrderRefusedError,
    MachineRefusalReason,
    MachineState,
    UpkeepWave,
    UpkeepWaveState,
    WaveRegistry,
)
from lagoonbeam.site.records import (
    MachineServiced,
    UpkeepOrdered,
    WaveBegun,
    WaveCompleted,
)

RECONCILE_INTERVAL_S = 0.5
"""Seconds between two passes over the open waves."""
EXPECTED_DOWNTIME_S = 3.0
"""Seconds expected for the upkeep of one machine; the platform states two."""
GRACE_FRACTION = 0.5
"""Fraction of the time available for a machine during which its runs may still
complete; after that they are stopped."""


class UpkeepController(MachineController):
    """Takes the machines of the requested waves down, a few at a time.

    Args:
        context: What the controllers of one term share.
        wave_registry: The waves that operators requested.
    """

    name = "upkeep"
    interval_s = RECONCILE_INTERVAL_S

    def __init__(
        self,
        context: ControllerContext,
        wave_registry: WaveRegistry,
    ):
        super().__init__(context)
        self._wave_registry = wave_registry
        # Wave for which a machine is being emptied or is down, by machine.
        self._selected: dict[str, int] = {}
        # Wave of an upkeep order that is not known to be over, by machine.
        self._ordered_down: dict[str, int] = {}
        self._has_loaded_orders = False
        # Waves and machines whose upkeep the platform refused for good.
        self._rejected: set[tuple[int, str]] = set()
        # Worker cordoned for a selected machine, by machine.
        self._cordoned_workers: dict[str, str] = {}

    async def step(self) -> None:
        """Advances each open wave.

        Raises:
            UnavailableError: If the machine service or the wave registry does
                not answer.
        """
        self._load_orders()
        waves = [
            wave
            for wave in self._wave_registry.get_waves()
            if wave.number not in self._context.get_state().completed_waves
        ]
        if not waves and not self._ordered_down:
            return
        machines = await self._machines.list_machines()
        self._release_returned(machines)
        for wave in waves:
            await self._advance_wave(wave, machines)

    def _load_orders(self) -> None:
        """Loads the orders of earlier terms that may still be carried out."""
        if self._has_loaded_orders:
            return
        self._has_loaded_orders = True
        self._ordered_down = {
            machine_id: number
            for number, wave in self._context.get_state().waves.items()
            for machine_id in wave.ordered - wave.serviced
        }
        self._selected.update(self._ordered_down)

    async def _advance_wave(
        self, wave: UpkeepWave, machines: dict[str, Machine]
    ) -> None:
        state = self._context.get_state()
        if wave.number not in state.waves:
            await self._wave_registry.set_state(
                wave.number, UpkeepWaveState.RUNNING
            )
            record = WaveBegun(wave.number, time.time())
            if not await self._context.append_records([record]):
                return
            self._context.decisions.emit(
                Event.WAVE_BEGUN,
                wave=wave.number,
                machines=len(wave.machines),
                at_once=wave.at_once,
                duration_s=wave.duration_s,
            )
        serviced = state.waves[wave.number].serviced
        remaining = [
            machine_id
            for machine_id in wave.machines
            if machine_id in machines
            and machine_id not in serviced
            and (wave.number, machine_id) not in self._rejected
        ]
        if not remaining:
            await self._complete_wave(wave)
            return
        self._select_machines(wave, remaining, machines)
        selected = [
            affected_id
            for affected_id, number in self._selected.items()
            if number == wave.number
        ]
        for machine_id in selected:
            await self._advance_machine(
                wave, machines[machine_id], len(remaining), machines
            )

    def _select_machines(
        self,
        wave: UpkeepWave,
        remaining: list[str],
        machines: dict[str, Machine],
    ) -> None:
        """Selects and cordons the machines to empty next.

        Those that lose the least work come first.
        """
        for machine_id, number in list(self._selected.items()):
            if number == wave.number and machine_id not in remaining:
                self._release_machine(machine_id)
        # Machines that count towards the wave's limit.
        counted = {
            affected_id
            for affected_id in wave.machines
            if self._is_unavailable(affected_id, machines)
        }
        counted |= {
            affected_id
            for affected_id, number in self._selected.items()
            if number == wave.number
        }
        candidates = sorted(
            (
                machine_id
                for machine_id in remaining
                if machine_id not in counted
                and machine_id not in self._selected
                and machines[machine_id].state is MachineState.UP
            ),
            key=lambda machine_id: self._evacuator.get_lost_core_s(
                machines[machine_id].worker
            ),
        )
        for machine_id in candidates[: max(0, wave.at_once - len(counted))]:
            self._selected[machine_id] = wave.number
            self._cordon(machines[machine_id])

    async def _advance_machine(
        self,
        wave: UpkeepWave,
        machine: Machine,
        remaining_count: int,
        machines: dict[str, Machine],
    ) -> None:
        """Empties a selected machine's worker, then orders its upkeep.

        An order is journaled before it is sent. Without an answer, it may have
        been carried out: the machine counts as down, in later terms too, and
        the order is repeated.
        """
        if self._has_new_worker(machine):
            self._release_machine(machine.machine_id)
            return
        is_ordered = machine.machine_id in self._ordered_down
        if machine.machine_id not in self._cordoned_workers:
            self._cordon(machine)
        if not is_ordered and not self._evacuator.is_empty(machine.worker):
            if self._evacuator.get_cordoned_s(
                machine.worker
            ) > self._get_grace_period_s(wave, remaining_count):
                self._evacuator.stop_runs(
                    machine.worker, f"upkeep of {machine.machine_id}"
                )
            return
        if not is_ordered:
            if self._count_unavailable(wave, machines) >= wave.at_once:
                return
            order = UpkeepOrdered(wave.number, machine.machine_id)
            if not await self._context.append_records([order]):
                return
        outcome = "begun"
        holder = self._context.fences.get_holder(
            machine.machine_id, f"upkeep of wave {wave.number}"
        )
        self._ordered_down[machine.machine_id] = wave.number
        try:
            await self._machines.begin_upkeep(
                machine.machine_id, wave.number, holder
            )
        except MachineOrderRefusedError as refusal:
            outcome = f"refused: {refusal.reason.value}"
            is_rejected = refusal.reason is MachineRefusalReason.NOT_CONCERNED
            if is_rejected or not is_ordered:
                del self._ordered_down[machine.machine_id]
            if is_rejected:
                self._rejected.add((wave.number, machine.machine_id))
                self._release_machine(machine.machine_id)
        except FencedError:
            self._lose_term_if_newest(machine.machine_id, holder)
            return
        except LagoonbeamError as error:
            outcome = f"in doubt: {error}"
        else:
            record = MachineServiced(wave.number, machine.machine_id)
            await self._context.append_records([record])
        self._context.decisions.emit(
            Event.MACHINE_UPKEEP,
            machine=machine.machine_id,
            worker=machine.worker,
            wave=wave.number,
            term=self._context.fences.holder.token,
            waited_s=round(self._evacuator.get_cordoned_s(machine.worker), 2),
            outcome=outcome,
        )

    def _cordon(self, machine: Machine) -> None:
        self._cordoned_workers[machine.machine_id] = machine.worker
        self._evacuator.cordon(machine.worker)

    async def _complete_wave(self, wave: UpkeepWave) -> None:
        await self._wave_registry.set_state(
            wave.number, UpkeepWaveState.COMPLETED
        )
        if await self._context.append_records([WaveCompleted(wave.number)]):
            self._context.decisions.emit(Event.WAVE_COMPLETED, wave=wave.number)

    def _get_grace_period_s(
        self, wave: UpkeepWave, remaining_count: int
    ) -> float:
        """Returns the seconds for which a cordoned worker's runs may go on."""
        begun_s = self._context.get_state().waves[wave.number].begun_at_s
        remaining_s = begun_s + wave.duration_s - time.time()
        rounds = math.ceil(remaining_count / max(1, wave.at_once))
        return GRACE_FRACTION * max(
            0.0, remaining_s / rounds - EXPECTED_DOWNTIME_S
        )

    def _count_unavailable(
        self, wave: UpkeepWave, machines: dict[str, Machine]
    ) -> int:
        return sum(
            self._is_unavailable(affected_id, machines)
            for affected_id in wave.machines
        )

    def _is_unavailable(
        self, machine_id: str, machines: dict[str, Machine]
    ) -> bool:
        machine = machines.get(machine_id)
        return machine_id in self._ordered_down or (
            machine is not None and machine.state is MachineState.UPKEEP
        )

    def _has_new_worker(self, machine: Machine) -> bool:
        """Whether a machine has another worker than when it was selected."""
        return (
            machine.machine_id not in self._ordered_down
            and self._cordoned_workers.get(machine.machine_id) != machine.worker
        )

    def _release_returned(self, machines: dict[str, Machine]) -> None:
        """Releases machines that are back from upkeep or no longer exist."""
        serviced = self._list_serviced()
        for machine_id, number in list(self._ordered_down.items()):
            machine = machines.get(machine_id)
            has_returned = (
                machine is not None
                and machine.state is MachineState.UP
                and (number, machine_id) in serviced
            )
            if machine is None or has_returned:
                del self._ordered_down[machine_id]
                self._release_machine(machine_id)

    def _list_serviced(self) -> set[tuple[int, str]]:
        return {
            (number, machine_id)
            for number, wave in self._context.get_state().waves.items()
            for machine_id in wave.serviced
        }

    def _release_machine(self, machine_id: str) -> None:
        self._selected.pop(machine_id, None)
        worker = self._cordoned_workers.pop(machine_id, None)
        if worker is not None:
            self._evacuator.uncordon(worker)
