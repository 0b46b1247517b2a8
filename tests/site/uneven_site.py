"""A simulated site with workers of unequal speed, and its load."""

from __future__ import annotations

import random
from collections.abc import Mapping
from typing import Any

from benchmarks.site_scenes import (
    SERVICE_NAME,
    SiteFleet,
    SiteJobKind,
    SiteScene,
    _build_scene,
    _SiteArrivalGenerator,
)
from benchmarks.site_simulation import SiteJobOutcome, SiteSimulation
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import JobState, QueuePolicy
from lagoonbeam.site.policies import PolicyNames
from lagoonbeam.site.worker_speed.worker_speeds import WorkerSpeeds

SPEEDS = (0.6, 1.0, 1.6)


class KnownSpeeds(WorkerSpeeds):
    """Speeds from a table; workers that are not in it have the usual one."""

    is_uneven = True

    def __init__(self, speed_by_worker: Mapping[str, float]):
        self._speed_by_worker = speed_by_worker

    def get_speed(self, worker: str) -> float:
        return self._speed_by_worker.get(worker, 1.0)


def make_job_kinds(scale: float) -> tuple[SiteJobKind, ...]:
    """Returns the kinds of jobs, at a multiple of a calm day's rates."""
    urgent = QueuePolicy("overlays", SERVICE_NAME, 0, 4, 1.5, 0.3)
    gangs = QueuePolicy("renders", SERVICE_NAME, 1, 4, 3.0, 1.0)
    batches = QueuePolicy("profiles", SERVICE_NAME, 2, 4, 3.0, 3.0)
    return (
        SiteJobKind(
            *(urgent, 1.35 * scale, 5.4, 32, 2.1, 0.5, 7_500),
            *(True, False, 4.0, 0.8, 15_000, 0.8),
        ),
        SiteJobKind(
            *(gangs, 0.4 * scale, 13.0, 78, 7.2, 0.3, 26_000),
            *(True, False, 3.0, 0.9, 53_000, 0.6),
        ),
        SiteJobKind(
            *(batches, 0.49 * scale, 39.0, 230, 5.2, 0.3, 5_600),
            *(False, False, 1.0, 0.3, 11_000),
        ),
    )


UNEVEN_FLEET = SiteFleet(
    "uneven",
    176,
    12,
    {"a": 1.0},
    {},
    make_job_kinds,
    worker_memory_mb=131_072,
    accelerators_per_task=(1, 2, 4, 8, 8),
)


def make_scene(scale: float, seed: int) -> SiteScene:
    """Returns a day at a multiple of a calm day's rates."""
    generator = _SiteArrivalGenerator(UNEVEN_FLEET, seed)
    return _build_scene(
        "uneven",
        generator.generate_arrivals(
            make_job_kinds(scale), failing_job_share=0.0
        ),
    )


class UnevenSite(SiteSimulation):
    """Simulates workers of unequal speed, mixed within racks.

    Args:
        scene: The workload.
        seed: Seed for the speeds.
        knows_speeds: Whether the planner is told the speeds.
    """

    def __init__(self, scene: SiteScene, seed: int, *, knows_speeds: bool):
        super().__init__(UNEVEN_FLEET, scene, PolicyNames(), seed)
        workers = sorted(self._sessions)
        speeds = [SPEEDS[n % len(SPEEDS)] for n in range(len(workers))]
        random.Random(seed).shuffle(speeds)
        self.speed_by_worker = dict(zip(workers, speeds, strict=True))
        planner_state = self._planner_state
        planner_state.decisions = DecisionLog("n0", "z1", descriptor=2)
        if knows_speeds:
            planner_state.worker_speeds = KnownSpeeds(self.speed_by_worker)
        estimator: Any = planner_state.estimator
        for kind in make_job_kinds(1.0):
            estimator.record_run(kind.policy.name, kind.run_s)
        # The runs of this simulation include the speed of their workers.
        estimator.record_run = lambda *_: None

    def _compute_slowdown(
        self, unit: PlacementUnit, workers: set[str]
    ) -> float:
        slowest = min(self.speed_by_worker[worker] for worker in workers)
        return super()._compute_slowdown(unit, workers) / slowest


def compute_value(outcome: SiteJobOutcome) -> float:
    """Returns 1 for a job that is completed in time, less if it is late."""
    kind = outcome.arrival.kind
    objective_s = (
        kind.policy.stretch * outcome.arrival.run_s + kind.policy.target_s
    )
    taken_s = outcome.ended_s - outcome.arrival.at_s
    if outcome.state is not JobState.COMPLETED or taken_s > 3 * objective_s:
        return 0.0
    return 1.0 if taken_s <= objective_s else kind.late_worth
