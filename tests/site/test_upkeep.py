from __future__ import annotations

from collections.abc import Sequence
from types import SimpleNamespace
from typing import Any

import anyio
import pytest

from lagoonbeam.errors import AnswerLostError, FencedError, LagoonbeamError
from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.duties import DutyContext
from lagoonbeam.site.machines import (
    DutyHolder,
    Machine,
    MachineRefusal,
    MachineService,
    MachineState,
    RefusalReason,
    Wave,
    WaveBoard,
    WaveState,
)
from lagoonbeam.site.model import Configuration, Step
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.pools import Pools, Shortage
from lagoonbeam.site.records import MachineMoved, Record
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.upkeep import Upkeep
from lagoonbeam.site.vacating import Vacating
from tests.site.builders import accept_job, make_job, record_placement

HOLDER = DutyHolder("n0", 7)


class FakeMachines(MachineService):
    """Machines in memory; orders fail as they are told."""

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
        self.is_carried_out = True
        self.orders: list[tuple[str, object]] = []

    def set(self, name: str, state: MachineState, **fields: Any) -> None:
        old = self.machines[name]
        values = {n: getattr(old, n) for n in Machine.__slots__}
        self.machines[name] = Machine(**{**values, "state": state, **fields})

    def count_down(self) -> int:
        return sum(
            m.state is MachineState.UPKEEP for m in self.machines.values()
        )

    async def list_machines(self) -> dict[str, Machine]:
        return dict(self.machines)

    async def begin_upkeep(
        self, machine_id: str, wave: int, holder: DutyHolder
    ) -> None:
        assert holder is HOLDER
        self.orders.append((machine_id, wave))
        failure = self.failures.pop(0) if self.failures else None
        if failure is None or (
            isinstance(failure, AnswerLostError) and self.is_carried_out
        ):
            self.set(machine_id, MachineState.UPKEEP)
        if failure is not None:
            raise failure

    async def move(
        self, machine_id: str, pool: str, holder: DutyHolder
    ) -> None:
        self.orders.append((machine_id, pool))
        if self.failures:
            raise self.failures.pop(0)
        self.set(machine_id, MachineState.UP, pool=pool)


class FakeBoard(WaveBoard):
    def __init__(self, *waves: Wave):
        self.waves = list(waves)
        self.told: list[tuple[int, WaveState]] = []

    def get_waves(self) -> list[Wave]:
        return self.waves

    async def report(self, number: int, state: WaveState) -> None:
        self.told.append((number, state))


class Scene:
    """Upkeep and pools over machines in memory."""

    def __init__(self, machines: FakeMachines, *waves: Wave):
        self.state = SiteState()
        self.machines = machines
        self.board = FakeBoard(*waves)
        self.stopped: list[str] = []
        self.lost: list[str] = []
        self.fleet: Any = SimpleNamespace(sessions={}, vacating=set())
        self.shortage = Shortage()
        self.configuration = Configuration(
            1, spare_services=frozenset({"spare"})
        )
        decisions = Decisions("n0", "z1", descriptor=2)
        memory = PlannerState(decisions)
        self.vacating = Vacating(
            lambda: self.state,
            self.fleet,
            memory,
            lambda unit, cause: self.stopped.append(unit.key),
        )
        context = DutyContext(
            machines=machines,
            get_state=lambda: self.state,
            journal=self.journal,
            vacating=self.vacating,
            holder=HOLDER,
            lose_term=self.lost.append,
            decisions=decisions,
        )
        self.upkeep = Upkeep(context, self.board)
        self.pools = Pools(context, self.shortage, lambda: self.configuration)

    async def journal(self, records: Sequence[Record]) -> bool:
        for record in records:
            self.state.apply(record)
        return True

    def step(self, count: int = 1) -> None:
        for _ in range(count):
            anyio.run(self.upkeep.step)


def make_wave(count: int, at_once: int = 1, duration_s: float = 60.0) -> Wave:
    return Wave(1, tuple(f"m{n}" for n in range(count)), duration_s, at_once)


def test_empty_machines_are_serviced_within_the_cap() -> None:
    scene = Scene(FakeMachines(4), make_wave(4, at_once=2))
    for _ in range(12):
        scene.step()
        assert scene.machines.count_down() <= 2
        for name in ("m0", "m1", "m2", "m3"):
            scene.machines.set(name, MachineState.UP)
    assert [name for name, _ in scene.machines.orders] == [
        "m0",
        "m1",
        "m2",
        "m3",
    ]
    assert scene.board.told == [
        (1, WaveState.RUNNING),
        (1, WaveState.COMPLETED),
    ]
    assert not scene.fleet.vacating


def test_machine_with_work_is_emptied_before_its_upkeep() -> None:
    scene = Scene(FakeMachines(1), make_wave(1, duration_s=0.0))
    (unit,) = accept_job(scene.state, make_job("a"))
    record_placement(scene.state, unit, "w0")
    scene.step(2)
    assert set(scene.stopped) == {unit.key}
    assert not scene.machines.orders
    assert scene.fleet.vacating == {"w0"}
    scene.state.clear_placement(unit.tasks[0])
    scene.step()
    assert scene.machines.orders == [("m0", 1)]


def test_runs_may_end_by_themselves_while_there_is_time() -> None:
    scene = Scene(FakeMachines(1), make_wave(1))
    (unit,) = accept_job(scene.state, make_job("a"))
    record_placement(scene.state, unit, "w0")
    scene.step(3)
    assert not scene.stopped


def test_work_that_runs_once_is_never_stopped_for_upkeep() -> None:
    scene = Scene(FakeMachines(1), make_wave(1, duration_s=0.0))
    (unit,) = accept_job(scene.state, make_job("a", runs_once=True))
    record_placement(scene.state, unit, "w0")
    scene.step(3)
    assert not scene.stopped
    assert not scene.machines.orders


def test_long_running_tasks_leave_one_at_a_time() -> None:
    scene = Scene(FakeMachines(1), make_wave(1, duration_s=0.0))
    step = Step(count=3, is_long_running=True)
    units = accept_job(scene.state, make_job("a", step))
    for unit in units:
        record_placement(scene.state, unit, "w0")
    scene.fleet.sessions["w0"] = SimpleNamespace(
        orders=SimpleNamespace(get_lost_work_s=lambda task: 1.0),
        running={u.key: SimpleNamespace(percent=100.0) for u in units},
    )
    scene.step(1)
    assert scene.stopped == [units[0].key]


def test_order_in_doubt_counts_as_down_and_is_repeated() -> None:
    machines = FakeMachines(2)
    machines.is_carried_out = False
    machines.failures = [AnswerLostError("silent")] * 2
    scene = Scene(machines, make_wave(2))
    scene.step(3)
    assert machines.orders == [("m0", 1)] * 3
    assert scene.machines.count_down() == 1


@pytest.mark.parametrize(
    ("reason", "orders"),
    [(RefusalReason.BUSY, 2), (RefusalReason.NOT_CONCERNED, 1)],
)
def test_refused_machine_is_asked_again_only_if_it_was_busy(
    reason: RefusalReason, orders: int
) -> None:
    machines = FakeMachines(1)
    machines.failures = [MachineRefusal(reason)]
    scene = Scene(machines, make_wave(1))
    scene.step(4)
    assert len(machines.orders) == orders


def test_newer_token_ends_the_term() -> None:
    machines = FakeMachines(1)
    machines.failures = [FencedError("newer")]
    scene = Scene(machines, make_wave(1))
    scene.step()
    assert scene.lost


def test_next_scheduler_counts_what_is_down_and_repeats_nothing() -> None:
    scene = Scene(FakeMachines(2), make_wave(2))
    scene.step()
    assert scene.machines.orders == [("m0", 1)]
    later = Scene(scene.machines, make_wave(2))
    later.state = decode_state(encode_state(scene.state))
    later.step(3)
    assert scene.machines.orders == [("m0", 1)]
    scene.machines.set("m0", MachineState.UP)
    later.step()
    assert scene.machines.orders == [("m0", 1), ("m1", 1)]


def test_machine_that_is_gone_holds_no_wave_up() -> None:
    scene = Scene(FakeMachines(1), make_wave(2))
    scene.step()
    scene.machines.set("m0", MachineState.UP)
    scene.step(2)
    assert scene.board.told[-1] == (1, WaveState.COMPLETED)


def run_pools(scene: Scene, count: int = 1) -> None:
    for _ in range(count):
        anyio.run(scene.pools.step)


def test_spare_machine_goes_to_a_service_that_is_short(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scene = Scene(FakeMachines(2, pool="spare"))
    scene.shortage.note({"compute": Step(accelerators=8)})
    run_pools(scene)
    assert not scene.machines.orders
    now_s[0] += 3.0
    run_pools(scene, 2)
    assert scene.machines.orders == [("m0", "compute")]
    assert scene.state.lent_machines["m0"].home == "spare"
    scene.shortage.note({})
    run_pools(scene)
    assert len(scene.machines.orders) == 1
    now_s[0] += 60.0
    run_pools(scene)
    assert scene.machines.orders[1:] == [("m0", "spare")]
    assert not scene.state.lent_machines


def test_too_small_spare_machine_stays_where_it_is(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scene = Scene(FakeMachines(1, pool="spare"))
    scene.shortage.note({"compute": Step(accelerators=16)})
    now_s[0] += 3.0
    run_pools(scene)
    assert not scene.machines.orders


def test_lent_machine_with_work_is_emptied_first(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scene = Scene(FakeMachines(1))
    scene.state.apply(MachineMoved("m0", "compute", "spare"))
    (unit,) = accept_job(scene.state, make_job("a"))
    record_placement(scene.state, unit, "w0")
    now_s[0] += 60.0
    run_pools(scene)
    assert scene.fleet.vacating == {"w0"}
    assert not scene.machines.orders
    scene.shortage.note({"compute": Step()})
    run_pools(scene)
    assert not scene.fleet.vacating


@pytest.mark.parametrize(
    "failure", [AnswerLostError("silent"), MachineRefusal(RefusalReason.BUSY)]
)
def test_only_an_order_that_may_be_done_is_a_loan(
    failure: LagoonbeamError, monkeypatch: pytest.MonkeyPatch
) -> None:
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scene = Scene(FakeMachines(1, pool="spare"))
    scene.machines.failures = [failure]
    scene.shortage.note({"compute": Step()})
    now_s[0] += 3.0
    run_pools(scene)
    is_loan = "m0" in scene.state.lent_machines
    assert is_loan is isinstance(failure, AnswerLostError)


def test_snapshot_keeps_waves_and_loans() -> None:
    scene = Scene(FakeMachines(2), make_wave(2))
    scene.step()
    scene.state.apply(MachineMoved("m9", "compute", "spare"))
    restored = decode_state(encode_state(scene.state))
    assert restored.waves == scene.state.waves
    assert restored.lent_machines == scene.state.lent_machines
