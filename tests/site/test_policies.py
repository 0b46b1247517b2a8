from __future__ import annotations

import time
from typing import Any

import pytest

from lagoonbeam.errors import PluginError, SettingsError
from lagoonbeam.site.durations import Earning
from lagoonbeam.site.eviction import LeastLost, NeverStop, YoungestJob
from lagoonbeam.site.model import Step
from lagoonbeam.site.ordering import (
    EarningFirst,
    FirstCome,
    PriorityFirst,
    UnitStanding,
)
from lagoonbeam.site.packing import Compact, FirstFit, FullestFirst
from lagoonbeam.site.policies import PolicyNames, make_policies, parse_names
from lagoonbeam.site.reserve import (
    KeptShare,
    NoReserve,
)
from lagoonbeam.site.rooms import make_room
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept, make_job, make_report


def stand(**fields: Any) -> UnitStanding:
    values = {
        "is_covered": False,
        "is_long_running": False,
        "priority": 1,
        "earning": Earning.FULL,
        "due_s": 10.0,
    }
    return UnitStanding(**{**values, **fields})


def test_names_choose_policies() -> None:
    names = parse_names("ordering=first_come,reserve=none")
    assert names == PolicyNames(ordering="first_come", reserve="none")
    assert isinstance(make_policies(names).ordering, FirstCome)
    assert parse_names("") == PolicyNames()


@pytest.mark.parametrize("text", ["ordering", "speed=high"])
def test_unknown_family_is_a_typed_error(text: str) -> None:
    with pytest.raises((SettingsError, PluginError)):
        make_policies(parse_names(text))


def test_unknown_name_tells_the_choices() -> None:
    with pytest.raises(PluginError, match="earning"):
        make_policies(PolicyNames(ordering="alphabet"))


def test_orderings() -> None:
    covered = stand(is_covered=True, priority=0, due_s=30.0)
    urgent = stand(priority=0, due_s=20.0)
    late = stand(priority=0, earning=Earning.NOTHING, due_s=5.0)
    plain = stand(due_s=1.0)
    units = [plain, late, urgent, covered]
    assert sorted(units, key=EarningFirst().rank) == [
        covered,
        urgent,
        plain,
        late,
    ]
    by_priority = sorted(units, key=PriorityFirst().rank)
    assert by_priority == [late, urgent, covered, plain]
    assert sorted(units, key=FirstCome().rank)[0] is plain


def test_packings() -> None:
    state = SiteState()
    (unit,) = accept(state, make_job("a", Step(accelerators=2)))
    rooms = [make_room(make_report(f"w{n}", f"r{n // 2}")) for n in range(4)]
    rooms[1].accelerators = 4
    rooms[2].accelerators = 2
    rooms[3].accelerators = 4

    def first(packing: FullestFirst | FirstFit | Compact) -> str:
        return packing.sort(unit, rooms)[0].report.worker

    assert first(FirstFit()) == "w0"
    assert first(FullestFirst()) == "w2"
    rooms[2].accelerators = 8
    assert first(FullestFirst()) == "w1"
    rooms[3].accelerators = 2
    assert first(Compact()) == "w3"


def test_reserves() -> None:
    assert KeptShare().count_allowed(1, 20, 4) == 14
    assert KeptShare().count_allowed(2, 20, 4) == 12
    assert KeptShare().count_allowed(7, 20, 40) == 1
    assert NoReserve().count_allowed(2, 20, 4) == 20


def test_evictions() -> None:
    state = SiteState()
    now_s = time.time()
    units = [
        accept(state, make_job(name, accepted_at_s=now_s + n))[0]
        for n, name in enumerate("abc")
    ]
    costs = {"a": 5.0, "b": 1.0, "c": 3.0}

    def names(found: list[Any]) -> list[str]:
        return [unit.job.request.job_id for unit in found]

    def get_cost(unit: Any) -> float:
        return costs[unit.job.request.job_id]

    assert names(LeastLost().sort(units, get_cost)) == ["b", "c", "a"]
    assert names(YoungestJob().sort(units, get_cost)) == ["c", "b", "a"]
    assert not NeverStop().sort(units, get_cost)
