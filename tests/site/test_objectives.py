from __future__ import annotations

import pytest

from lagoonbeam.site.model import Step
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.state import SiteState
from tests.site.builders import accept_job, make_job, make_queue_policy

FIRST = Step(estimated_s=2.0)
SECOND = Step(estimated_s=4.0, after=(0,))
SIDE = Step(estimated_s=1.0, after=(0,))


def test_objective_counts_the_critical_path_from_acceptance() -> None:
    units = accept_job(SiteState(), make_job("a", FIRST, SECOND, SIDE))
    policy = make_queue_policy(target_s=0.5)
    end_s = RunTimeEstimator().get_objective_end_s(units[0], policy)
    assert end_s == 100.0 + 3.0 * 6.0 + 0.5


@pytest.mark.parametrize(
    ("step_index", "tail_s"), [(0, 4.0), (1, 0.0), (2, 0.0)]
)
def test_unit_leaves_time_for_the_steps_that_follow(
    step_index: int, tail_s: float
) -> None:
    units = accept_job(SiteState(), make_job("a", FIRST, SECOND, SIDE))
    estimator = RunTimeEstimator()
    policy = make_queue_policy()
    unit = units[step_index]
    expected = estimator.get_objective_end_s(unit, policy) - tail_s
    assert estimator.get_latest_end_s(unit, policy) == expected
