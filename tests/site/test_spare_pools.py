"""Loans of spare machines, and what the journal tells of them."""

from __future__ import annotations

from typing import Any

import anyio
import pytest

from lagoonbeam.errors import LagoonbeamError, ResponseLostError
from lagoonbeam.site.machine_fences import MachineFences
from lagoonbeam.site.machines import (
    MachineOrderRefusedError,
    MachineRefusalReason,
)
from lagoonbeam.site.model import Step
from lagoonbeam.site.records import MachineMoved
from lagoonbeam.site.snapshot import decode_state, encode_state
from tests.site.builders import accept_job, make_job, record_placement
from tests.site.controller_scenario import (
    HOLDER,
    ControllerScenario,
    FakeMachineService,
    make_wave,
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


def test_loan_is_journaled_before_its_order_is_sent(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """A hand-over in between left a moved machine that nobody returned."""
    scenario = ControllerScenario(FakeMachineService(1, "spare"))
    move = scenario.machines.move_to_pool

    async def check_loan_and_move(*arguments: Any) -> None:
        assert set(scenario.state.lent_machines) == {"m0"}
        await move(*arguments)

    monkeypatch.setattr(scenario.machines, "move_to_pool", check_loan_and_move)
    machine = scenario.machines.machines["m0"]
    anyio.run(
        lambda: scenario.pool_controller._move_machine(
            machine, "compute", home="spare"
        )
    )
    assert scenario.machines.orders == [("m0", "compute")]


def test_return_without_an_answer_keeps_the_loan() -> None:
    scenario = ControllerScenario(FakeMachineService(1, "compute"))
    scenario.state.apply(MachineMoved("m0", "compute", "spare"))
    scenario.machines.failures = [ResponseLostError("silent")]
    machine = scenario.machines.machines["m0"]
    for is_lent in (True, False):
        anyio.run(
            lambda: scenario.pool_controller._move_machine(
                machine, "spare", home="spare"
            )
        )
        assert bool(scenario.state.lent_machines) is is_lent


def move(scenario: ControllerScenario, pool: str) -> None:
    machine = scenario.machines.machines["m0"]
    anyio.run(
        lambda: scenario.pool_controller._move_machine(
            machine, pool, home="spare"
        )
    )


@pytest.mark.parametrize("is_lent_again", [False, True])
def test_late_move_does_not_undo_a_newer_one(is_lent_again: bool) -> None:
    """A machine was moved once more, and what ran on it ended."""
    scenario = ControllerScenario(FakeMachineService(1, "spare"))
    scenario.machines.failures = [ResponseLostError("silent")]
    move(scenario, "compute")
    move(scenario, "spare")
    if is_lent_again:
        scenario.machines.late_moves.clear()
        scenario.machines.failures = [ResponseLostError("silent")]
        move(scenario, "spare")
        move(scenario, "compute")
    scenario.machines.carry_out_late_moves()
    expected = "compute" if is_lent_again else "spare"
    assert scenario.machines.machines["m0"].pool == expected
    assert scenario.term_losses == []


def test_loan_without_an_answer_is_fenced_off_at_its_end(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    """It was carried out after its end, and nobody returned the machine."""
    now_s = [100.0]
    monkeypatch.setattr("time.monotonic", lambda: now_s[0])
    scenario = ControllerScenario(FakeMachineService(1, "spare"))
    scenario.machines.failures = [ResponseLostError("silent")]
    move(scenario, "compute")
    now_s[0] += 60.0
    step_pools(scenario)
    assert not scenario.state.lent_machines
    scenario.machines.carry_out_late_moves()
    assert scenario.machines.machines["m0"].pool == "spare"


def test_order_refused_for_an_earlier_token_does_not_end_the_term() -> None:
    fences = MachineFences(HOLDER)
    first = fences.get_holder("m0", "move to a")
    assert fences.get_holder("m0", "move to a") is first
    second = fences.get_holder("m0", "move to b")
    assert second.token == first.token + 1
    assert not fences.is_newest("m0", first)
    assert fences.is_newest("m0", second)
