"""Scenes of a site: workloads of three kinds of jobs, and worker faults.

Widths, accelerators and run times follow the ``job.accepted`` events of the
scale days of the users' benchmark.
"""

from __future__ import annotations

import random
from collections.abc import Callable
from dataclasses import dataclass, field, replace

from lagoonbeam.site.model import (
    Configuration,
    JobRequest,
    Organisation,
    QueuePolicy,
    QueueRoute,
    Step,
)

ARRIVAL_PERIOD_S = 34.0
"""Period in which jobs are submitted."""
SERVICE_NAME = "compute"
ACCELERATORS_PER_TASK = (1, 2, 4, 8)
"""Numbers of accelerators that a task of a gang may have."""
LARGE_ACCELERATORS_PER_TASK = (1, 2, 4, 8, 8)
"""The same for the large deployment, equally likely."""


@dataclass(frozen=True, slots=True)
class SiteJobKind:
    """A kind of job.

    Attributes:
        policy: Policy of the queue for these jobs.
        rate: Jobs submitted per second.
        width: Mean number of tasks.
        widest: Largest number of tasks.
        run_s: Median run time of a task.
        spread: Standard deviation of the logarithm of the run time.
        cpu_millis: Thousandths of a core for each task.
        is_gang: Whether the tasks run only together, in one rack.
        is_checkpointing: Whether tasks save their progress.
        worth: Worth of a mean job that completes in time.
        late_worth: Share of its worth that a late job earns.
        memory_mb: Memory for each task.
        one_rack_share: Share of the gangs that need one rack.
    """

    policy: QueuePolicy
    rate: float
    width: float
    widest: int
    run_s: float
    spread: float
    cpu_millis: int
    is_gang: bool
    is_checkpointing: bool
    worth: float
    late_worth: float
    memory_mb: int = 4_000
    one_rack_share: float = 1.0


def make_job_kinds(scale: float) -> tuple[SiteJobKind, ...]:
    """Returns the kinds of jobs, at a multiple of a loaded day's rates."""
    return (
        SiteJobKind(
            QueuePolicy("checks", SERVICE_NAME, 0, 3, 1.5, 0.25),
            *(2.38 * scale, 3.4, 12, 2.5, 0.5, 15_000, True, False, 4.0, 0.8),
        ),
        SiteJobKind(
            QueuePolicy("renders", SERVICE_NAME, 1, 3, 3.0, 1.0),
            *(0.5 * scale, 4.0, 8, 11.0, 0.3, 52_000, True, True, 3.0, 0.9),
        ),
        SiteJobKind(
            QueuePolicy("batches", SERVICE_NAME, 2, 2, 3.0, 3.0),
            *(0.59 * scale, 14.0, 65, 7.6, 0.3, 11_000, False, True, 1.0, 0.3),
        ),
    )


def make_large_job_kinds(scale: float) -> tuple[SiteJobKind, ...]:
    """Returns the kinds of jobs of the large deployment."""
    return (
        SiteJobKind(
            QueuePolicy("checks", SERVICE_NAME, 0, 3, 1.5, 0.3),
            *(6.85 * scale, 5.3, 32, 2.5, 0.5, 15_000, True, False, 4.0, 0.8),
            *(31_000, 0.8),
        ),
        SiteJobKind(
            QueuePolicy("renders", SERVICE_NAME, 1, 2, 3.0, 1.0),
            *(1.72 * scale, 13.0, 76, 8.5, 0.3, 52_000, True, True, 3.0, 0.9),
            *(140_000, 0.6),
        ),
        SiteJobKind(
            QueuePolicy("batches", SERVICE_NAME, 2, 3, 3.0, 3.0),
            *(2.1 * scale, 38.0, 230, 6.1, 0.3, 11_000, False, True, 1.0, 0.3),
            29_000,
        ),
    )


@dataclass(frozen=True, slots=True)
class SiteArrival:
    """A job with its submission time and actual run time.

    Attributes:
        at_s: Time of the submission.
        request: The accepted request.
        run_s: Run time of a task on a healthy worker, in one rack.
        kind: Kind of the job.
        always_fails: Whether the tasks fail on every worker.
    """

    at_s: float
    request: JobRequest
    run_s: float
    kind: SiteJobKind
    always_fails: bool = False


@dataclass(frozen=True, slots=True)
class WorkerFault:
    """A fault of some workers.

    Attributes:
        at_s: Time at which the fault begins.
        duration_s: Duration of the fault.
        worker_share: Share of the workers that have the fault.
        effect: ``lost``, ``slow`` or ``failing``.
    """

    at_s: float
    duration_s: float
    worker_share: float
    effect: str


@dataclass(frozen=True, slots=True)
class SiteScene:
    """A workload of a site, with worker faults.

    Attributes:
        name: Name of the scene.
        arrivals: The submitted jobs, in order of time.
        worker_faults: Faults that are injected.
    """

    name: str
    arrivals: tuple[SiteArrival, ...]
    worker_faults: tuple[WorkerFault, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteFleet:
    """The workers and organisations of a current deployment.

    Attributes:
        name: Name of the deployment.
        worker_count: Number of workers.
        rack_size: Number of workers in a rack.
        organisation_shares: Share of the jobs that each organisation submits.
        guaranteed_accelerators: Accelerators guaranteed to each organisation.
        make_kinds: Returns the kinds of jobs at a multiple of their rates.
        worker_memory_mb: Memory of a worker.
        size: Load relative to the small deployments.
        accelerators_per_task: Numbers of accelerators that a task of a gang
            may have, equally likely.
    """

    name: str
    worker_count: int
    rack_size: int
    organisation_shares: dict[str, float] = field(default_factory=dict)
    guaranteed_accelerators: dict[str, int] = field(default_factory=dict)
    make_kinds: Callable[[float], tuple[SiteJobKind, ...]] = make_job_kinds
    worker_memory_mb: int = 512_000
    size: float = 1.0
    accelerators_per_task: tuple[int, ...] = ACCELERATORS_PER_TASK

    def make_configuration(self) -> Configuration:
        """Returns a configuration with one queue for each kind of job."""
        routes = tuple(
            QueueRoute(kind.policy, "jobs.example", f"/{kind.policy.name}/")
            for kind in self.make_kinds(1.0)
        )
        organisations = {
            name: Organisation(name, frozenset(), count)
            for name, count in self.guaranteed_accelerators.items()
        }
        return Configuration(1, routes, organisations)


ORGANISATION_SHARES = {
    "large": 0.45,
    "second": 0.25,
    "third": 0.18,
    "small": 0.12,
}
ORGANISATION_GUARANTEES = {"large": 56, "second": 32, "third": 16, "small": 8}
ARMOR = SiteFleet("armor", 24, 6, ORGANISATION_SHARES, ORGANISATION_GUARANTEES)
TAUVERK = SiteFleet(
    "tauverk", 24, 8, ORGANISATION_SHARES, ORGANISATION_GUARANTEES
)
LARGE = SiteFleet(
    "armor-large",
    270,
    20,
    ORGANISATION_SHARES,
    {"large": 280, "second": 160, "third": 80, "small": 40},
    make_large_job_kinds,
    worker_memory_mb=262_144,
    size=3.5,
    accelerators_per_task=LARGE_ACCELERATORS_PER_TASK,
)


class _SiteArrivalGenerator:
    """Draws the arrivals of one site scene."""

    def __init__(self, fleet: SiteFleet, seed: int):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._job_count = 0

    def generate_arrivals(
        self,
        kinds: tuple[SiteJobKind, ...],
        *,
        start_s: float = 0.0,
        end_s: float = ARRIVAL_PERIOD_S,
        failing_job_share: float = 0.01,
    ) -> list[SiteArrival]:
        """Draws the arrivals of some kinds in a period, not sorted by time."""
        arrivals = []
        for kind in kinds:
            at_s = start_s + self._rng.expovariate(kind.rate)
            while at_s < end_s:
                arrivals.append(
                    self._generate_arrival(kind, at_s, failing_job_share)
                )
                at_s += self._rng.expovariate(kind.rate)
        return arrivals

    def _generate_arrival(
        self, kind: SiteJobKind, at_s: float, failing_job_share: float
    ) -> SiteArrival:
        rng = self._rng
        self._job_count += 1
        width = round(rng.lognormvariate(0, 0.8) * kind.width / 1.38)
        width = max(1, min(kind.widest, width))
        accelerators_per_task = (
            rng.choice(self._fleet.accelerators_per_task) if kind.is_gang else 1
        )
        is_one_rack = rng.random() < kind.one_rack_share
        racks = (
            1
            if is_one_rack
            else self._fleet.worker_count / (self._fleet.rack_size)
        )
        limit = int(8 * self._fleet.rack_size * racks)
        width = min(width, max(1, limit // accelerators_per_task))
        run_s = kind.run_s * rng.lognormvariate(0, kind.spread)
        organisation_names = list(self._fleet.organisation_shares)
        organisation_weights = list(self._fleet.organisation_shares.values())
        step = Step(
            count=width,
            cpu_millis=kind.cpu_millis,
            memory_mb=kind.memory_mb,
            accelerators=accelerators_per_task,
            estimated_s=kind.run_s * rng.lognormvariate(0, 1.0),
            is_checkpointing=kind.is_checkpointing,
            is_gang=kind.is_gang and width > 1,
            is_one_rack=kind.is_gang and width > 1 and is_one_rack,
        )
        request = JobRequest(
            job_id=f"{self._job_count:016x}",
            queue=kind.policy,
            organisation=rng.choices(organisation_names, organisation_weights)[
                0
            ],
            payload="",
            steps=(step,),
            accepted_at_s=at_s,
        )
        return SiteArrival(
            at_s, request, run_s, kind, rng.random() < failing_job_share
        )


def _build_scene(
    name: str, arrivals: list[SiteArrival], *worker_faults: WorkerFault
) -> SiteScene:
    ordered_arrivals = sorted(arrivals, key=lambda arrival: arrival.at_s)
    return SiteScene(name, tuple(ordered_arrivals), worker_faults)


def calm(fleet: SiteFleet, seed: int) -> SiteScene:
    """41 % of the rates of a loaded day."""
    return _build_scene(
        "calm",
        _SiteArrivalGenerator(fleet, seed).generate_arrivals(
            fleet.make_kinds(0.41)
        ),
    )


def busy(fleet: SiteFleet, seed: int) -> SiteScene:
    """80 % of the rates of a loaded day, and 130 % for 6 seconds."""
    generator = _SiteArrivalGenerator(fleet, seed)
    arrivals = generator.generate_arrivals(fleet.make_kinds(0.8))
    arrivals += generator.generate_arrivals(
        fleet.make_kinds(0.5), start_s=12.0, end_s=18.0
    )
    return _build_scene("busy", arrivals)


def flood_of_batch(fleet: SiteFleet, seed: int) -> SiteScene:
    """A burst of batches at four times a loaded day's rate, for 8 seconds."""
    generator = _SiteArrivalGenerator(fleet, seed)
    arrivals = generator.generate_arrivals(fleet.make_kinds(0.6))
    batches = replace(fleet.make_kinds(1.0)[2], rate=2.4 * fleet.size)
    arrivals += generator.generate_arrivals((batches,), start_s=8.0, end_s=16.0)
    return _build_scene("flood_of_batch", arrivals)


def large_gangs(fleet: SiteFleet, seed: int) -> SiteScene:
    """A burst of wide render gangs, for 5 seconds."""
    generator = _SiteArrivalGenerator(fleet, seed)
    arrivals = generator.generate_arrivals(fleet.make_kinds(0.6))
    renders = replace(
        fleet.make_kinds(1.0)[1],
        rate=fleet.size,
        width=8.0 if fleet.size == 1.0 else 26.0,
    )
    arrivals += generator.generate_arrivals(
        (renders,), start_s=10.0, end_s=15.0
    )
    return _build_scene("large_gangs", arrivals)


def wide_gangs_beside_batches(fleet: SiteFleet, seed: int) -> SiteScene:
    """Floods of checks, batches and render gangs, then fewer workers."""
    generator = _SiteArrivalGenerator(fleet, seed)
    kinds = fleet.make_kinds(1.0)
    arrivals = generator.generate_arrivals(kinds)
    arrivals += generator.generate_arrivals(kinds[:1], start_s=1.0, end_s=7.0)
    arrivals += generator.generate_arrivals(kinds[2:], start_s=3.3, end_s=9.2)
    renders = replace(kinds[1], rate=1.6 * kinds[1].rate)
    arrivals += generator.generate_arrivals((renders,), start_s=8, end_s=11.1)
    arrivals += generator.generate_arrivals(fleet.make_kinds(8.0)[1:], end_s=1)
    fault = WorkerFault(13.0, 21.0, 0.12, "lost")
    return _build_scene("wide_gangs_beside_batches", arrivals, fault)


def lost_workers(fleet: SiteFleet, seed: int) -> SiteScene:
    """A fifth of the workers is lost for 6 seconds."""
    arrivals = _SiteArrivalGenerator(fleet, seed).generate_arrivals(
        fleet.make_kinds(0.6)
    )
    fault = WorkerFault(10.0, 6.0, 0.2, "lost")
    return _build_scene("lost_workers", arrivals, fault)


def failing_workers(fleet: SiteFleet, seed: int) -> SiteScene:
    """All runs fail on a tenth of the workers, and others are slow."""
    arrivals = _SiteArrivalGenerator(fleet, seed).generate_arrivals(
        fleet.make_kinds(0.6), failing_job_share=0.03
    )
    return _build_scene(
        "failing_workers",
        arrivals,
        WorkerFault(8.0, 8.0, 0.1, "failing"),
        WorkerFault(14.0, 8.0, 0.15, "slow"),
    )


SceneFactory = Callable[[SiteFleet, int], SiteScene]
SCENE_FACTORIES: tuple[SceneFactory, ...] = (
    calm,
    busy,
    flood_of_batch,
    large_gangs,
    wide_gangs_beside_batches,
    lost_workers,
    failing_workers,
)
