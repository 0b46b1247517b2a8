"""Scenes: workloads of a fleet, drawn at random from a seed."""

from __future__ import annotations

import random
from collections.abc import Callable, Iterator
from dataclasses import dataclass, field, replace

from benchmarks.fleets import Fleet
from lagoonbeam.core.jobs import GangShape, Job, Urgency

ARRIVAL_PERIOD_S = 3_600.0
"""Period in which jobs are submitted."""
FLOOD_START_S = 900.0
FLOOD_END_S = 2_700.0


@dataclass(frozen=True)
class Arrival:
    """A job with its submission time and actual run time.

    Attributes:
        at_s: Time of the submission.
        job: The job.
        run_s: Actual run time.
        job_class: Class by which the metrics group jobs.
        is_flood: Whether the job belongs to the flood of its scene.
        always_fails: Whether the job fails on every worker.
    """

    at_s: float
    job: Job
    run_s: float
    job_class: str
    is_flood: bool = False
    always_fails: bool = False


@dataclass(frozen=True)
class Scene:
    """A workload, with worker failures and changes of the rules.

    Attributes:
        name: Name of the scene.
        arrivals: The submitted jobs.
        failing_workers: Workers on which every job fails: name, start and end
            of the failure.
        guarantee_revisions: Changes of the guarantees: time and factor, see
            `Fleet.make_rules`.
        has_flood: Whether some arrivals belong to a flood, a burst of jobs
            from one organisation.
    """

    name: str
    arrivals: list[Arrival]
    failing_workers: list[tuple[str, float, float]] = field(
        default_factory=list
    )
    guarantee_revisions: list[tuple[float, int]] = field(default_factory=list)
    has_flood: bool = False

    def without_flood(self) -> Scene:
        """Returns the scene without the arrivals of its flood."""
        other_arrivals = [
            arrival for arrival in self.arrivals if not arrival.is_flood
        ]
        return replace(self, arrivals=other_arrivals)


class _ArrivalGenerator:
    """Draws the arrivals of one scene."""

    def __init__(self, fleet: Fleet, seed: int):
        self.fleet = fleet
        self.rng = random.Random(seed)
        self._job_count = 0

    def generate_arrival(
        self,
        job_class: str,
        at_s: float,
        *,
        organisation: str = "",
        caller: str = "",
        flood: bool = False,
        run_s: float = 0.0,
    ) -> Arrival:
        """Draws a job of a class; empty arguments are drawn too."""
        rng = self.rng
        self._job_count += 1
        organisation_name = (
            organisation
            or f"org{rng.randrange(min(4, self.fleet.organisations))}"
        )
        shape, mean_s, urgency = _DRAW_BY_JOB_CLASS[job_class](rng)
        run_s = run_s or mean_s * rng.uniform(0.5, 1.5)
        idempotent = rng.random() < 0.8
        checkpointable = job_class == "train" or rng.random() < 0.5
        job = Job(
            job_id=f"{job_class}{self._job_count}",
            organisation=organisation_name,
            caller=caller or f"{job_class}{rng.randrange(6)}",
            kind=job_class,
            shape=shape,
            urgency=urgency,
            declared_run_s=run_s * rng.uniform(0.7, 1.4),
            start_within_s=2.5 if urgency == "urgent" else 0.0,
            idempotent=idempotent,
            checkpointable=checkpointable and job_class != "check",
        )
        return Arrival(at_s, job, run_s, job_class, flood)

    def generate_arrivals(
        self,
        job_class: str,
        fleet_share: float,
        *,
        start_s: float = 0.0,
        end_s: float = ARRIVAL_PERIOD_S,
        **fields: object,
    ) -> Iterator[Arrival]:
        """Yields jobs of a class whose mean load is a share of the fleet."""
        sampled_jobs = [
            _DRAW_BY_JOB_CLASS[job_class](self.rng) for _ in range(200)
        ]
        sampled_slot_s = sum(
            s.members * max(1, s.accelerators) * mean_s
            for s, mean_s, _ in sampled_jobs
        )
        rate = (
            fleet_share
            * self.fleet.accelerator_slots
            / (sampled_slot_s / len(sampled_jobs))
        )
        at_s = start_s + self.rng.expovariate(rate)
        while at_s < end_s:
            yield self.generate_arrival(job_class, at_s, **fields)  # type: ignore[arg-type]
            at_s += self.rng.expovariate(rate)


def _draw_check(rng: random.Random) -> tuple[GangShape, float, Urgency]:
    return GangShape(1, rng.choice([1, 1, 2])), 20.0, "urgent"


def _draw_buyer(rng: random.Random) -> tuple[GangShape, float, Urgency]:
    return GangShape(1, 1), 60.0, "normal"


def _draw_render(rng: random.Random) -> tuple[GangShape, float, Urgency]:
    members = rng.choice([1, 1, 2])
    return GangShape(members, rng.choice([1, 2, 4])), 240.0, "batch"


def _draw_train(rng: random.Random) -> tuple[GangShape, float, Urgency]:
    members, accelerators = rng.choice([(1, 8), (2, 8), (2, 4), (4, 8)])
    adjacency = "rack" if members > 1 else "none"
    shape = GangShape(members, accelerators, adjacency=adjacency)
    return shape, 900.0, "normal"


_DRAW_BY_JOB_CLASS: dict[
    str, Callable[[random.Random], tuple[GangShape, float, Urgency]]
] = {
    "check": _draw_check,
    "buyer": _draw_buyer,
    "render": _draw_render,
    "train": _draw_train,
}


def _generate_mixed_load(
    generator: _ArrivalGenerator, load_factor: float = 1.0
) -> list[Arrival]:
    return [
        *generator.generate_arrivals("check", 0.04 * load_factor),
        *generator.generate_arrivals("buyer", 0.16 * load_factor),
        *generator.generate_arrivals("render", 0.25 * load_factor),
        *generator.generate_arrivals("train", 0.30 * load_factor),
    ]


def make_steady(fleet: Fleet, seed: int) -> Scene:
    """A mixed load below the capacity of the fleet."""
    return Scene("steady", _generate_mixed_load(_ArrivalGenerator(fleet, seed)))


def make_batch_flood(fleet: Fleet, seed: int) -> Scene:
    """One organisation submits batch jobs of three times the capacity."""
    generator = _ArrivalGenerator(fleet, seed)
    flood = generator.generate_arrivals(
        "render",
        3.0,
        start_s=FLOOD_START_S,
        end_s=FLOOD_END_S,
        organisation="org3",
        caller="flooder",
        flood=True,
    )
    arrivals = [*_generate_mixed_load(generator, 0.8), *flood]
    return Scene("flood_of_batch", arrivals, has_flood=True)


def make_urgent_flood(fleet: Fleet, seed: int) -> Scene:
    """One organisation submits urgent jobs of the whole capacity."""
    generator = _ArrivalGenerator(fleet, seed)
    flood = generator.generate_arrivals(
        "check",
        1.0,
        start_s=FLOOD_START_S,
        end_s=FLOOD_END_S,
        organisation="org3",
        caller="flooder",
        flood=True,
    )
    arrivals = [*_generate_mixed_load(generator, 0.8), *flood]
    return Scene("flood_of_urgent", arrivals, has_flood=True)


def make_heavy_callers(fleet: Fleet, seed: int) -> Scene:
    """Two callers each load 45 % of the fleet, beside many small callers."""
    generator = _ArrivalGenerator(fleet, seed)
    arrivals = [
        *generator.generate_arrivals("check", 0.03),
        *generator.generate_arrivals("buyer", 0.25, organisation="org2"),
        *generator.generate_arrivals(
            "buyer", 0.45, organisation="org2", caller="large1"
        ),
        *generator.generate_arrivals(
            "buyer", 0.45, organisation="org2", caller="large2"
        ),
    ]
    return Scene("heavy_callers", arrivals)


def make_long_gangs(fleet: Fleet, seed: int) -> Scene:
    """Long-running gangs beside many small jobs."""
    generator = _ArrivalGenerator(fleet, seed)
    arrivals = [
        *generator.generate_arrivals("check", 0.03),
        *generator.generate_arrivals("buyer", 0.40),
        *generator.generate_arrivals("train", 0.50),
    ]
    return Scene("long_gangs", arrivals)


def make_wrong_estimates(fleet: Fleet, seed: int) -> Scene:
    """Declared run times are off by up to 10 times; a few jobs never end."""
    generator = _ArrivalGenerator(fleet, seed)
    arrivals = []
    estimate_biases = {
        (f"org{index}", job_class): 10 ** generator.rng.uniform(-1, 1)
        for index in range(4)
        for job_class in _DRAW_BY_JOB_CLASS
    }
    for arrival in _generate_mixed_load(generator):
        bias = estimate_biases.get(
            (arrival.job.organisation, arrival.job_class), 1.0
        )
        noise = 10 ** generator.rng.uniform(-0.3, 0.3)
        job = replace(arrival.job, declared_run_s=arrival.run_s * bias * noise)
        is_endless = (
            arrival.job_class == "render" and generator.rng.random() < 0.005
        )
        run_s = 100_000.0 if is_endless else arrival.run_s
        arrivals.append(replace(arrival, job=job, run_s=run_s))
    return Scene("wrong_estimates", arrivals)


def make_failing_workers(fleet: Fleet, seed: int) -> Scene:
    """All jobs fail on two workers, and 2 % of the jobs on every worker."""
    generator = _ArrivalGenerator(fleet, seed)
    arrivals = [
        replace(arrival, always_fails=generator.rng.random() < 0.02)
        for arrival in _generate_mixed_load(generator)
    ]
    first_zone, second_zone = fleet.zones[0], fleet.zones[1]
    failing_workers = [
        (f"{first_zone}-w1", 500.0, 2_000.0),
        (f"{second_zone}-w2", 1_000.0, ARRIVAL_PERIOD_S),
    ]
    return Scene("failing_workers", arrivals, failing_workers=failing_workers)


def make_revised_rules(fleet: Fleet, seed: int) -> Scene:
    """Guarantees double, are withdrawn and are restored under load."""
    arrivals = _generate_mixed_load(_ArrivalGenerator(fleet, seed))
    guarantee_revisions = [
        (600.0, 2),
        (620.0, 1),
        (640.0, 2),
        (1_800.0, 0),
        (2_500.0, 1),
    ]
    return Scene(
        "revised_rules", arrivals, guarantee_revisions=guarantee_revisions
    )


SCENE_FACTORIES = [
    make_steady,
    make_batch_flood,
    make_urgent_flood,
    make_heavy_callers,
    make_long_gangs,
    make_wrong_estimates,
    make_failing_workers,
    make_revised_rules,
]
