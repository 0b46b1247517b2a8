from __future__ import annotations

import time
from typing import Any

import pytest

from lagoonbeam.errors import SettingsError, UnknownPluginError
from lagoonbeam.site.eviction import (
    LeastLostWorkFirst,
    NoEviction,
    YoungestJobFirst,
)
from lagoonbeam.site.model import Step
from lagoonbeam.site.ordering import (
    FirstComeFirstServed,
    JobValueFirst,
    LeastSlackFirst,
    PriorityFirst,
    RankingAttributes,
    ValueDensityFirst,
)
from lagoonbeam.site.packing import (
    FirstFit,
    FullestRackFirst,
    FullestWorkerFirst,
)
from lagoonbeam.site.policies import (
    PolicyNames,
    make_policies,
    parse_policy_names,
)
from lagoonbeam.site.reserve import (
    FractionReserve,
    NoReserve,
    SquareRootReserve,
)
from lagoonbeam.site.run_time_estimator import JobValue
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import make_empty_capacity
from tests.site.builders import accept_job, make_job, make_worker_report


def make_attributes(**fields: Any) -> RankingAttributes:
    values = {
        "is_guaranteed": False,
        "is_long_running": False,
        "priority": 1,
        "job_value": JobValue.FULL,
        "eligible_at_s": 10.0,
    }
    return RankingAttributes(**{**values, **fields})


def test_policies_are_chosen_by_name() -> None:
    names = parse_policy_names("ordering=first_come,reserve=none")
    assert names == PolicyNames(ordering="first_come", reserve="none")
    assert isinstance(make_policies(names).ordering, FirstComeFirstServed)
    assert parse_policy_names("") == PolicyNames()


@pytest.mark.parametrize("text", ["ordering", "speed=high"])
def test_unknown_policy_family_is_rejected(text: str) -> None:
    with pytest.raises((SettingsError, UnknownPluginError)):
        make_policies(parse_policy_names(text))


def test_unknown_policy_name_error_lists_the_choices() -> None:
    with pytest.raises(UnknownPluginError, match="earning"):
        make_policies(PolicyNames(ordering="alphabet"))


def test_ordering_policies() -> None:
    guaranteed = make_attributes(
        is_guaranteed=True, priority=0, eligible_at_s=30.0
    )
    urgent = make_attributes(priority=0, eligible_at_s=20.0)
    worthless = make_attributes(
        priority=0, job_value=JobValue.NONE, eligible_at_s=5.0
    )
    normal = make_attributes(eligible_at_s=1.0)
    units = [normal, worthless, urgent, guaranteed]
    assert sorted(units, key=JobValueFirst().rank) == [
        guaranteed,
        urgent,
        normal,
        worthless,
    ]
    by_priority = sorted(units, key=PriorityFirst().rank)
    assert by_priority == [worthless, urgent, guaranteed, normal]
    assert sorted(units, key=FirstComeFirstServed().rank)[0] is normal


def test_slack_goes_before_age_within_a_priority_and_value() -> None:
    old = make_attributes(eligible_at_s=1.0, latest_start_s=90.0)
    short_of_slack = make_attributes(eligible_at_s=9.0, latest_start_s=20.0)
    late = make_attributes(job_value=JobValue.REDUCED, latest_start_s=10.0)
    worthless = make_attributes(job_value=JobValue.NONE, latest_start_s=0.0)
    urgent = make_attributes(priority=0, latest_start_s=95.0)
    units = [worthless, late, old, short_of_slack, urgent]
    assert sorted(units, key=LeastSlackFirst().rank) == [
        urgent,
        short_of_slack,
        old,
        late,
        worthless,
    ]


@pytest.mark.parametrize("relative_work", [3.0, 1000.0])
def test_much_work_defers_a_job_for_a_bounded_time(
    relative_work: float,
) -> None:
    """The largest jobs do not starve behind a flood of small ones."""
    large = make_attributes(
        latest_start_s=40.0, value_period_s=30.0, relative_work=relative_work
    )
    small, later, last = (
        make_attributes(
            latest_start_s=latest_start_s,
            value_period_s=30.0,
            relative_work=0.1,
        )
        for latest_start_s in (40.0, 45.0, 56.0)
    )
    units = [last, large, later, small]
    assert sorted(units, key=ValueDensityFirst().rank) == [
        small,
        later,
        large,
        last,
    ]


def test_packing_policies() -> None:
    state = SiteState()
    (unit,) = accept_job(state, make_job("a", Step(accelerators=2)))
    capacities = [
        make_empty_capacity(make_worker_report(f"w{n}", f"r{n // 2}"))
        for n in range(4)
    ]
    capacities[1].accelerators = 4
    capacities[2].accelerators = 2
    capacities[3].accelerators = 4

    def get_first_worker(
        packing: FullestWorkerFirst | FirstFit | FullestRackFirst,
    ) -> str:
        return packing.sort_workers(unit, capacities)[0].report.worker

    assert get_first_worker(FirstFit()) == "w0"
    assert get_first_worker(FullestWorkerFirst()) == "w2"
    capacities[2].accelerators = 8
    assert get_first_worker(FullestWorkerFirst()) == "w1"
    capacities[3].accelerators = 2
    assert get_first_worker(FullestRackFirst()) == "w3"


def test_reserve_policies() -> None:
    assert FractionReserve().count_allowed_workers(1, 20, 4) == 14
    assert FractionReserve().count_allowed_workers(2, 20, 4) == 12
    assert FractionReserve().count_allowed_workers(7, 20, 40) == 1
    assert NoReserve().count_allowed_workers(2, 20, 4) == 20


def test_reserve_of_priority_1_grows_with_the_root_of_the_fleet() -> None:
    for workers in (10, 24):
        assert SquareRootReserve().count_allowed_workers(
            1, workers, 0
        ) == FractionReserve().count_allowed_workers(1, workers, 0)
    assert SquareRootReserve().count_allowed_workers(1, 256, 40) == 208
    assert SquareRootReserve().count_allowed_workers(2, 256, 40) == 164


def test_eviction_policies() -> None:
    state = SiteState()
    now_s = time.time()
    units = [
        accept_job(state, make_job(name, accepted_at_s=now_s + n))[0]
        for n, name in enumerate("abc")
    ]
    costs = {"a": 5.0, "b": 1.0, "c": 3.0}

    def names(units_in_order: list[Any]) -> list[str]:
        return [unit.job.request.job_id for unit in units_in_order]

    def get_lost_core_s(unit: Any) -> float:
        return costs[unit.job.request.job_id]

    assert names(LeastLostWorkFirst().sort_victims(units, get_lost_core_s)) == [
        "b",
        "c",
        "a",
    ]
    assert names(YoungestJobFirst().sort_victims(units, get_lost_core_s)) == [
        "c",
        "b",
        "a",
    ]
    assert not NoEviction().sort_victims(units, get_lost_core_s)
