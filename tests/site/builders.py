"""Builders of test data for the site scheduler."""

from __future__ import annotations

from typing import Any

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import (
    Configuration,
    JobRequest,
    Organisation,
    QueuePolicy,
    QueueRoute,
    Step,
    WorkerReport,
)
from lagoonbeam.site.records import JobAccepted, Placement, RunsPlaced
from lagoonbeam.site.state import SiteState


def make_queue_policy(priority: int = 1, **fields: Any) -> QueuePolicy:
    return QueuePolicy(f"q{priority}", "compute", priority, 2, 3.0, **fields)


def make_job(job_id: str, *steps: Step, **fields: Any) -> JobRequest:
    priority = fields.pop("priority", 1)
    values = {
        "accepted_at_s": 100.0,
        "organisation": "armor",
        "payload": "{}",
        **fields,
    }
    return JobRequest(
        job_id=job_id,
        queue=make_queue_policy(priority),
        steps=steps or (Step(accelerators=1),),
        **values,
    )


def make_worker_report(
    name: str, rack: str = "r0", **fields: Any
) -> WorkerReport:
    values = {
        "incarnation": 1,
        "service": "compute",
        "host": "127.0.3.1",
        "port": 1,
        "availability_zone": "z1",
        "is_draining": False,
        "cpu_millis": 128_000,
        "memory_mb": 500_000,
        "accelerators": 8,
        "labels": ("a", rack),
        **fields,
    }
    return WorkerReport(worker=name, **values)


def make_configuration(guaranteed: int = 16) -> Configuration:
    routes = tuple(
        QueueRoute(make_queue_policy(n), "jobs.example", f"/q{n}/")
        for n in range(3)
    )
    organisation = Organisation("armor", frozenset({"key"}), guaranteed)
    return Configuration(1, routes, {"armor": organisation})


def accept_job(state: SiteState, request: JobRequest) -> list[PlacementUnit]:
    state.apply(JobAccepted(request))
    return list(state.jobs[request.job_id].all_units())


def record_placement(
    state: SiteState, unit: PlacementUnit, worker: str, run: int = 1
) -> None:
    state.apply(
        RunsPlaced(
            tuple(
                Placement(task.task_id, run, worker, 1) for task in unit.tasks
            )
        )
    )
