from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonbeam.errors import ImpossibleShapeError
from properties.test_planner import Driver


class TestLiveness:
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_queue_empties_when_no_more_comes(self, seed: int) -> None:
        """No queued job is forgotten, whatever was freed by whom."""
        driver = Driver(seed)
        for _ in range(60):
            driver.now_s += 1.0
            driver.submit()
            driver.decide()
            driver.end_one()
            driver.decide()
        idle = Driver(seed).planner
        for planned in list(driver.planner.waiting):
            try:
                idle.check_possible(planned.job)
            except ImpossibleShapeError:
                driver.planner.cancel(planned.job.job_id)
        for _ in range(2_000):
            if not driver.planner.jobs:
                break
            driver.now_s += 1.0
            driver.decide()
            driver.leave_one()
            for job_id in sorted(driver.running)[:1]:
                if job_id not in driver.stopping:
                    driver.running.discard(job_id)
                    driver.alive.discard(job_id)
                    driver.planner.finished(job_id)
        assert not driver.planner.jobs
