from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.errors import FencedError, LagoonbeamError, ResponseLostError
from lagoonbeam.site.controllers import ControllerContext
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.evacuation import WorkerEvacuator
from lagoonbeam.site.machines import (
    Machine,
    MachineOrderRefusedError,
    MachineRefusalReason,
    MachineService,
    MachineState,
    TermHolder,
    UpkeepWave,
    UpkeepWaveState,
    WaveRegistry,
)
from lagoonbeam.site.model import Configuration, Step
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import MachineMoved, Record
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.spare_pools import ShortageTracker, SparePoolController
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.upkeep import UpkeepController
from tests.site.builders import accept_job, make_job, record_placement

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
            raise self.failures.pop(0)
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
            holder=HOLDER,
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

    def step(self, count: int = 1) -> None:
        for _ in range(count):
            anyio.run(self.upkeep_controller.step)


def make_wave(
    count: int, at_once: int = 1, duration_s: float = 60.0
) -> UpkeepWave:
    return UpkeepWave(
        1, tuple(f"m{n}" for n in range(count)), duration_s, at_once
    )


def test_empty_machines_are_serviced_within_the_cap() -> None:
    scenario = ControllerScenario(
        FakeMachineService(4), make_wave(4, at_once=2)
    )
    for _ in range(12):
        scenario.step()
        assert scenario.machines.count_down() <= 2
        for name in ("m0", "m1", "m2", "m3"):
            scenario.machines.set_machine(name, MachineState.UP)
    assert [name for name, _ in scenario.machines.orders] == [
        "m0",
        "m1",
        "m2",
        "m3",
    ]
    assert scenario.wave_registry.reported_states == [
        (1, UpkeepWaveState.RUNNING),
        (1, UpkeepWaveState.COMPLETED),
    ]
    assert not scenario.fleet.evacuations


def test_machine_with_work_is_emptied_before_its_upkeep() -> None:
    scenario = ControllerScenario(
        FakeMachineService(1), make_wave(1, duration_s=0.0)
    )
    (unit,) = accept_job(scenario.state, make_job("a"))
    record_placement(scenario.state, unit, "w0")
    scenario.step(2)
    assert set(scenario.stopped_units) == {unit.key}
    assert not scenario.machines.orders
    assert scenario.fleet.evacuations == {"w0"}
    scenario.state.clear_placement(unit.tasks[0])
    scenario.step()
    assert scenario.machines.orders == [("m0", 1)]


def test_runs_are_not_stopped_within_the_grace_period() -> None:
    scenario = ControllerScenario(FakeMachineService(1), make_wave(1))
    (unit,) = accept_job(scenario.state, make_job("a"))
    record_placement(scenario.state, unit, "w0")
    scenario.step(3)
    assert not scenario.stopped_units


def test_run_that_must_not_be_repeated_is_never_stopped_for_upkeep() -> None:
    scenario = ControllerScenario(
        FakeMachineService(1), make_wave(1, duration_s=0.0)
    )
    (unit,) = accept_job(scenario.state, make_job("a", runs_once=True))
    record_placement(scenario.state, unit, "w0")
    scenario.step(3)
    assert not scenario.stopped_units
    assert not scenario.machines.orders


def test_tasks_of_a_long_running_step_are_stopped_one_at_a_time() -> None:
    scenario = ControllerScenario(
        FakeMachineService(1), make_wave(1, duration_s=0.0)
    )
    step = Step(count=3, is_long_running=True)
    units = accept_job(scenario.state, make_job("a", step))
    for unit in units:
        record_placement(scenario.state, unit, "w0")
    scenario.fleet.sessions["w0"] = SimpleNamespace(
        dispatcher=SimpleNamespace(get_lost_work_s=lambda task: 1.0),
        running={u.key: SimpleNamespace(percent=100.0) for u in units},
    )
    scenario.step(1)
    assert scenario.stopped_units == [units[0].key]


def test_upkeep_order_without_answer_counts_as_down_and_is_repeated() -> None:
    machines = FakeMachineService(2)
    machines.are_lost_orders_applied = False
    machines.failures = [ResponseLostError("silent")] * 2
    scenario = ControllerScenario(machines, make_wave(2))
    scenario.step(3)
    assert machines.orders == [("m0", 1)] * 3
    assert scenario.machines.count_down() == 1


@pytest.mark.parametrize(
    ("reason", "orders"),
    [(MachineRefusalReason.BUSY, 2), (MachineRefusalReason.NOT_CONCERNED, 1)],
)
def test_refused_upkeep_order_is_repeated_only_for_a_busy_machine(
    reason: MachineRefusalReason, orders: int
) -> None:
    machines = FakeMachineService(1)
    machines.failures = [MachineOrderRefusedError(reason)]
    scenario = ControllerScenario(machines, make_wave(1))
    scenario.step(4)
    assert len(machines.orders) == orders


def test_higher_fencing_token_ends_the_term() -> None:
    machines = FakeMachineService(1)
    machines.failures = [FencedError("newer")]
    scenario = ControllerScenario(machines, make_wave(1))
    scenario.step()
    assert scenario.term_losses


def test_next_scheduler_counts_machines_down_and_repeats_no_order() -> None:
    scenario = ControllerScenario(FakeMachineService(2), make_wave(2))
    scenario.step()
    assert scenario.machines.orders == [("m0", 1)]
    successor = ControllerScenario(scenario.machines, make_wave(2))
    successor.state = decode_state(encode_state(scenario.state))
    successor.step(3)
    assert scenario.machines.orders == [("m0", 1)]
    scenario.machines.set_machine("m0", MachineState.UP)
    successor.step()
    assert scenario.machines.orders == [("m0", 1), ("m1", 1)]


def test_removed_machine_does_not_block_its_wave() -> None:
    scenario = ControllerScenario(FakeMachineService(1), make_wave(2))
    scenario.step()
    scenario.machines.set_machine("m0", MachineState.UP)
    scenario.step(2)
    assert scenario.wave_registry.reported_states[-1] == (
        1,
        UpkeepWaveState.COMPLETED,
    )


def step_pools(scenario: ControllerScenario, count: int = 1) -> None:
    for _ in range(count):
        anyio.run(scenario.pool_controller.step)


def test_spare_machine_is_lent_during_a_shortage_and_returned_when_idle(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scenario = ControllerScenario(FakeMachineService(2, pool="spare"))
    scenario.shortage_tracker.update({"compute": Step(accelerators=8)})
    step_pools(scenario)
    assert not scenario.machines.orders
    now_s[0] += 3.0
    step_pools(scenario, 2)
    assert scenario.machines.orders == [("m0", "compute")]
    assert scenario.state.lent_machines["m0"].home == "spare"
    scenario.shortage_tracker.update({})
    step_pools(scenario)
    assert len(scenario.machines.orders) == 1
    now_s[0] += 60.0
    step_pools(scenario)
    assert scenario.machines.orders[1:] == [("m0", "spare")]
    assert not scenario.state.lent_machines


def test_spare_machine_too_small_for_the_step_is_not_moved(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scenario = ControllerScenario(FakeMachineService(1, pool="spare"))
    scenario.shortage_tracker.update({"compute": Step(accelerators=16)})
    now_s[0] += 3.0
    step_pools(scenario)
    assert not scenario.machines.orders


def test_lent_machine_with_work_is_emptied_before_its_return(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scenario = ControllerScenario(FakeMachineService(1))
    scenario.state.apply(MachineMoved("m0", "compute", "spare"))
    (unit,) = accept_job(scenario.state, make_job("a"))
    record_placement(scenario.state, unit, "w0")
    now_s[0] += 60.0
    step_pools(scenario)
    assert scenario.fleet.evacuations == {"w0"}
    assert not scenario.machines.orders
    scenario.shortage_tracker.update({"compute": Step()})
    step_pools(scenario)
    assert not scenario.fleet.evacuations


@pytest.mark.parametrize(
    "failure",
    [
        ResponseLostError("silent"),
        MachineOrderRefusedError(MachineRefusalReason.BUSY),
    ],
)
def test_move_is_recorded_unless_it_was_refused(
    failure: LagoonbeamError, monkeypatch: pytest.MonkeyPatch
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scenario = ControllerScenario(FakeMachineService(1, pool="spare"))
    scenario.machines.failures = [failure]
    scenario.shortage_tracker.update({"compute": Step()})
    now_s[0] += 3.0
    step_pools(scenario)
    is_lent = "m0" in scenario.state.lent_machines
    assert is_lent is isinstance(failure, ResponseLostError)


def test_snapshot_keeps_waves_and_loans() -> None:
    scenario = ControllerScenario(FakeMachineService(2), make_wave(2))
    scenario.step()
    scenario.state.apply(MachineMoved("m9", "compute", "spare"))
    restored = decode_state(encode_state(scenario.state))
    assert restored.waves == scenario.state.waves
    assert restored.lent_machines == scenario.state.lent_machines
