"""Machine controllers over a machine service in memory."""

from __future__ import annotations

import contextlib
from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import anyio

from lagoonbeam.errors import FencedError, ResponseLostError
from lagoonbeam.site.controllers import ControllerContext
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.machine_fences import MachineFences
from lagoonbeam.site.machines import (
    Machine,
    MachineService,
    MachineState,
    TermHolder,
    UpkeepWave,
    UpkeepWaveState,
    WaveRegistry,
)
from lagoonbeam.site.model import Configuration
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import Record
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.spare_pools import ShortageTracker, SparePoolController
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.upkeep import UpkeepController

HOLDER = TermHolder("n0", 7)


class FakeMachineService(MachineService):
    """Machine service in memory; raises the given failures in turn."""

    def __init__(self, count: int, pool: str = "compute"):
        self.machines = {
            f"m{n}": Machine(
                f"m{n}",
                pool,
                MachineState.UP,
                "z1",
                accelerators=8,
                cpu_millis=128_000,
                memory_mb=500_000,
                worker=f"w{n}",
            )
            for n in range(count)
        }
        self.failures: list[Exception] = []
        self.are_lost_orders_applied = True
        self.orders: list[tuple[str, object]] = []
        self.late_moves: list[tuple[str, str, TermHolder]] = []
        self.tokens: dict[str, int] = {}

    def set_machine(
        self, name: str, state: MachineState, **fields: Any
    ) -> None:
        previous = self.machines[name]
        values = {n: getattr(previous, n) for n in Machine.__slots__}
        self.machines[name] = Machine(**{**values, "state": state, **fields})

    def count_down(self) -> int:
        return sum(
            m.state is MachineState.UPKEEP for m in self.machines.values()
        )

    async def list_machines(self) -> dict[str, Machine]:
        return dict(self.machines)

    async def begin_upkeep(
        self, machine_id: str, wave: int, holder: TermHolder
    ) -> None:
        assert holder is HOLDER
        self.orders.append((machine_id, wave))
        failure = self.failures.pop(0) if self.failures else None
        if failure is None or (
            isinstance(failure, ResponseLostError)
            and self.are_lost_orders_applied
        ):
            self.set_machine(machine_id, MachineState.UPKEEP)
        if failure is not None:
            raise failure

    async def move_to_pool(
        self, machine_id: str, pool: str, holder: TermHolder
    ) -> None:
        self.orders.append((machine_id, pool))
        if self.failures:
            self.late_moves.append((machine_id, pool, holder))
            raise self.failures.pop(0)
        self._move(machine_id, pool, holder)

    def carry_out_late_moves(self) -> None:
        """Carries out the moves that failed."""
        for move in self.late_moves:
            with contextlib.suppress(FencedError):
                self._move(*move)

    def _move(self, machine_id: str, pool: str, holder: TermHolder) -> None:
        if holder.token < self.tokens.get(machine_id, 0):
            raise FencedError(machine_id)
        self.tokens[machine_id] = holder.token
        self.set_machine(machine_id, MachineState.UP, pool=pool)


class FakeWaveRegistry(WaveRegistry):
    def __init__(self, *waves: UpkeepWave):
        self.waves = list(waves)
        self.reported_states: list[tuple[int, UpkeepWaveState]] = []

    def get_waves(self) -> list[UpkeepWave]:
        return self.waves

    async def set_state(self, number: int, state: UpkeepWaveState) -> None:
        self.reported_states.append((number, state))


class ControllerScenario:
    """Upkeep and spare pool controllers over a machine service in memory."""

    def __init__(self, machines: FakeMachineService, *waves: UpkeepWave):
        self.state = SiteState()
        self.machines = machines
        self.wave_registry = FakeWaveRegistry(*waves)
        self.stopped_units: list[str] = []
        self.term_losses: list[str] = []
        self.fleet: Any = SimpleNamespace(sessions={}, evacuations=set())
        self.shortage_tracker = ShortageTracker()
        self.configuration = Configuration(
            1, spare_services=frozenset({"spare"})
        )
        decisions = DecisionLog("n0", "z1", descriptor=2)
        planner_state = PlannerState(decisions)
        self.evacuations = WorkerEvacuator(
            lambda: self.state,
            self.fleet,
            planner_state,
            lambda unit, cause: self.stopped_units.append(unit.key),
        )
        context = ControllerContext(
            machines=machines,
            get_state=lambda: self.state,
            append_records=self.append_records,
            evacuations=self.evacuations,
            fences=MachineFences(HOLDER),
            lose_term=self.term_losses.append,
            decisions=decisions,
        )
        self.upkeep_controller = UpkeepController(context, self.wave_registry)
        self.pool_controller = SparePoolController(
            context, self.shortage_tracker, lambda: self.configuration
        )

    async def append_records(self, records: Sequence[Record]) -> bool:
        for record in records:
            self.state.apply(record)
        return True

    def begin_term(self) -> None:
        """Replaces the controller; the state comes from a snapshot."""
        self.state = decode_state(encode_state(self.state))
        self.upkeep_controller = UpkeepController(
            self.upkeep_controller._context, self.wave_registry
        )

    def step(self, count: int = 1) -> None:
        for _ in range(count):
            anyio.run(self.upkeep_controller.step)


def make_wave(
    count: int, at_once: int = 1, duration_s: float = 60.0
) -> UpkeepWave:
    return UpkeepWave(
        1, tuple(f"m{n}" for n in range(count)), duration_s, at_once
    )
