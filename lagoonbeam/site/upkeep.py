"""Waves of upkeep: each machine of a wave in time, never too many at once."""

from __future__ import annotations

import math
import time

from lagoonbeam.errors import FencedError, LagoonbeamError
from lagoonbeam.site.duties import Duty, DutyContext
from lagoonbeam.site.events import Event
from lagoonbeam.site.machines import (
    Machine,
    MachineRefusal,
    MachineState,
    RefusalReason,
    Wave,
    WaveBoard,
    WaveState,
)
from lagoonbeam.site.records import (
    MachineServiced,
    WaveBegun,
    WaveCompleted,
)

STEP_S = 0.5
"""Seconds between two steps of the waves that are open."""
DOWN_S = 3.0
"""Seconds that a machine is expected to be down; the platform states two."""
PATIENCE_SHARE = 0.5
"""Part of a machine's share of the time in which its runs may end by
themselves; then they are stopped."""


class Upkeep(Duty):
    """Carries out the operators' waves.

    Args:
        context: What the duties share.
        board: Where waves are asked for.
    """

    name = "upkeep"
    pause_s = STEP_S

    def __init__(
        self,
        context: DutyContext,
        board: WaveBoard,
    ):
        super().__init__(context)
        self._board = board
        self._chosen: dict[str, int] = {}
        self._down: dict[str, int] = {}
        self._excluded: set[tuple[int, str]] = set()
        self._vacated: dict[str, str] = {}

    async def step(self) -> None:
        """Brings each open wave one step further.

        Raises:
            UnavailableError: If the machines or the board do not answer.
        """
        waves = [
            wave
            for wave in self._board.get_waves()
            if wave.number not in self._context.get_state().completed_waves
        ]
        if not waves and not self._down:
            return
        machines = await self._machines.list_machines()
        self._note_returned(machines)
        for wave in waves:
            await self._advance(wave, machines)

    async def _advance(self, wave: Wave, machines: dict[str, Machine]) -> None:
        state = self._context.get_state()
        if wave.number not in state.waves:
            await self._board.report(wave.number, WaveState.RUNNING)
            record = WaveBegun(wave.number, time.time())
            if not await self._context.journal([record]):
                return
            self._context.decisions.emit(
                Event.WAVE_BEGUN,
                wave=wave.number,
                machines=len(wave.machines),
                at_once=wave.at_once,
                duration_s=wave.duration_s,
            )
        serviced = state.waves[wave.number].serviced
        left = [
            name
            for name in wave.machines
            if name in machines
            and name not in serviced
            and (wave.number, name) not in self._excluded
        ]
        if not left:
            await self._complete(wave)
            return
        self._choose(wave, left, machines)
        chosen = [
            n for n, number in self._chosen.items() if number == wave.number
        ]
        for name in chosen:
            await self._take_down(wave, machines[name], len(left))

    def _choose(
        self, wave: Wave, left: list[str], machines: dict[str, Machine]
    ) -> None:
        """Chooses machines to be emptied next, the cheapest first."""
        for name, number in list(self._chosen.items()):
            if number == wave.number and name not in left:
                self._release(name)
        busy = {n for n in wave.machines if self._is_down(n, machines)}
        busy |= {
            n for n, number in self._chosen.items() if number == wave.number
        }
        free = sorted(
            (
                name
                for name in left
                if name not in busy
                and name not in self._chosen
                and machines[name].state is MachineState.UP
            ),
            key=lambda name: self._vacating.get_cost(machines[name].worker),
        )
        for name in free[: max(0, wave.at_once - len(busy))]:
            self._chosen[name] = wave.number
            self._vacated[name] = machines[name].worker
            self._vacating.begin(machines[name].worker)

    async def _take_down(self, wave: Wave, machine: Machine, left: int) -> None:
        """Empties a machine's worker, then begins the upkeep."""
        if self._is_stale(machine):
            self._release(machine.machine_id)
            return
        is_in_doubt = machine.machine_id in self._down
        if not is_in_doubt and not self._vacating.is_empty(machine.worker):
            if self._vacating.get_age_s(machine.worker) > self._get_patience_s(
                wave, left
            ):
                self._vacating.stop_runs(
                    machine.worker, f"upkeep of {machine.machine_id}"
                )
            return
        outcome = "begun"
        self._down[machine.machine_id] = wave.number
        try:
            await self._machines.begin_upkeep(
                machine.machine_id, wave.number, self._context.holder
            )
        except MachineRefusal as refusal:
            outcome = f"refused: {refusal.reason.value}"
            del self._down[machine.machine_id]
            if refusal.reason is RefusalReason.NOT_CONCERNED:
                self._excluded.add((wave.number, machine.machine_id))
                self._release(machine.machine_id)
        except FencedError:
            self._context.lose_term(
                f"machine {machine.machine_id} has a newer token"
            )
            return
        except LagoonbeamError as error:
            outcome = f"in doubt: {error}"
        else:
            record = MachineServiced(wave.number, machine.machine_id)
            await self._context.journal([record])
        self._context.decisions.emit(
            Event.MACHINE_UPKEEP,
            machine=machine.machine_id,
            worker=machine.worker,
            wave=wave.number,
            term=self._context.holder.token,
            waited_s=round(self._vacating.get_age_s(machine.worker), 2),
            outcome=outcome,
        )

    async def _complete(self, wave: Wave) -> None:
        await self._board.report(wave.number, WaveState.COMPLETED)
        if await self._context.journal([WaveCompleted(wave.number)]):
            self._context.decisions.emit(Event.WAVE_COMPLETED, wave=wave.number)

    def _get_patience_s(self, wave: Wave, left: int) -> float:
        """Returns the seconds in which a worker's runs may end."""
        begun_s = self._context.get_state().waves[wave.number].begun_at_s
        rest_s = begun_s + wave.duration_s - time.time()
        rounds = math.ceil(left / max(1, wave.at_once))
        return PATIENCE_SHARE * max(0.0, rest_s / rounds - DOWN_S)

    def _is_down(self, name: str, machines: dict[str, Machine]) -> bool:
        machine = machines.get(name)
        return name in self._down or (
            machine is not None and machine.state is MachineState.UPKEEP
        )

    def _is_stale(self, machine: Machine) -> bool:
        """Whether a machine has another worker than when it was chosen."""
        return (
            machine.machine_id not in self._down
            and self._vacated.get(machine.machine_id) != machine.worker
        )

    def _note_returned(self, machines: dict[str, Machine]) -> None:
        """Releases machines whose upkeep has begun and ended."""
        serviced = self._list_serviced()
        for name, number in list(self._down.items()):
            machine = machines.get(name)
            is_back = (
                machine is not None
                and machine.state is MachineState.UP
                and (number, name) in serviced
            )
            if machine is None or is_back:
                del self._down[name]
                self._release(name)

    def _list_serviced(self) -> set[tuple[int, str]]:
        return {
            (number, name)
            for number, wave in self._context.get_state().waves.items()
            for name in wave.serviced
        }

    def _release(self, name: str) -> None:
        self._chosen.pop(name, None)
        worker = self._vacated.pop(name, None)
        if worker is not None:
            self._vacating.end(worker)
