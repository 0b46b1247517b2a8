from __future__ import annotations

from hypothesis import given, settings
from hypothesis import strategies as st

from lagoonbeam.errors import ImpossibleShapeError
from properties.test_planner import PlannerDriver


class TestLiveness:
    @settings(max_examples=60, deadline=None)
    @given(st.integers(0, 1 << 32))
    def test_queue_drains_after_last_submission(self, seed: int) -> None:
        """Every feasible job eventually runs, whichever jobs free its cells.

        Jobs remain queued forever if freed cells do not make the ordering
        policy offer the skipped jobs again.
        """
        driver = PlannerDriver(seed)
        for _ in range(60):
            driver.now_s += 1.0
            driver.submit()
            driver.decide()
            driver.end_random_job()
            driver.decide()
        idle_planner = PlannerDriver(seed).planner
        for planned in list(driver.planner.queued_jobs):
            try:
                idle_planner.check_job_feasible(planned.job)
            except ImpossibleShapeError:
                driver.planner.cancel(planned.job.job_id)
        for _ in range(2_000):
            if not driver.planner.jobs:
                break
            driver.now_s += 1.0
            driver.decide()
            driver.requeue_oldest_stopping_job()
            for job_id in sorted(driver.running)[:1]:
                if job_id not in driver.stopping:
                    driver.running.discard(job_id)
                    driver.unfinished_job_ids.discard(job_id)
                    driver.planner.finished(job_id)
        assert not driver.planner.jobs
