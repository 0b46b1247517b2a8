"""Tests of the zone planner beyond the property-based tests."""

from __future__ import annotations

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planner import Planner
from lagoonbeam.core.worker_pool import WorkerShape
from lagoonbeam.types import JobId, OrganisationName, WorkerName, ZoneName


def make_job(number: int, run_s: float) -> Job:
    return Job(
        JobId(f"j{number}"),
        OrganisationName("a"),
        "caller",
        "kind",
        declared_run_s=run_s,
    )


def test_expected_wait_is_zero_for_empty_queue() -> None:
    """Floating-point residue in the queued total is not reported as a wait."""
    planner = Planner(ZoneName("z1"), now=lambda: 100.0)
    planner.add_worker(WorkerShape(WorkerName("w0"), "r0"))
    for number, run_s in enumerate((0.1, 0.2, 0.3)):
        planner.submit(make_job(number, run_s))
    assert planner.estimate_wait_s() > 0.0
    for number in range(3):
        planner.cancel(JobId(f"j{number}"))
    assert planner.estimate_wait_s() == 0.0
