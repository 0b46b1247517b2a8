"""Work for a site in virtual time: three kinds of jobs, and what goes wrong.

Widths, accelerators and run times follow the jobs that instances accepted on
the users' bench (``job.accepted`` lines of scale days); rates are per second.
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

HORIZON_S = 34.0
"""Length of the traffic of a scene."""
SERVICE = "compute"
SIZES = (1, 2, 4, 8)
"""Accelerators of one task."""


@dataclass(frozen=True, slots=True)
class Kind:
    """A kind of job.

    Attributes:
        policy: Its queue.
        rate: Jobs a second.
        width: Mean number of tasks.
        widest: Most tasks.
        run_s: Mean run time of a task.
        spread: Spread of run times, of their logarithm.
        cpu_millis: Processor share of a task.
        is_gang: Whether the tasks run only together, in one rack.
        is_checkpointing: Whether tasks save their progress.
        worth: What a mean job earns in time.
        late_worth: Part of it that a late one earns.
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


def make_kinds(scale: float) -> tuple[Kind, ...]:
    """Returns the kinds of a site at a share of a loaded day's rates."""
    return (
        Kind(
            QueuePolicy("checks", SERVICE, 0, 3, 1.5, 0.25),
            *(2.38 * scale, 3.4, 12, 2.5, 0.5, 15_000, True, False, 4.0, 0.8),
        ),
        Kind(
            QueuePolicy("renders", SERVICE, 1, 3, 3.0, 1.0),
            *(0.5 * scale, 4.0, 8, 11.0, 0.3, 52_000, True, True, 3.0, 0.9),
        ),
        Kind(
            QueuePolicy("batches", SERVICE, 2, 2, 3.0, 3.0),
            *(0.59 * scale, 14.0, 65, 7.6, 0.3, 11_000, False, True, 1.0, 0.3),
        ),
    )


@dataclass(frozen=True, slots=True)
class Arrival:
    """A job and what its tasks really take.

    Attributes:
        at_s: When it is submitted.
        request: What is accepted.
        run_s: Run time of a task on a sound worker near its data.
        kind: Its kind.
        is_hopeless: Whether its tasks always fail.
    """

    at_s: float
    request: JobRequest
    run_s: float
    kind: Kind
    is_hopeless: bool = False


@dataclass(frozen=True, slots=True)
class Trouble:
    """Something that goes wrong with some workers.

    Attributes:
        at_s: When it begins.
        for_s: How long it lasts.
        workers: Share of the workers.
        what: ``lost``, ``slow`` or ``failing``.
    """

    at_s: float
    for_s: float
    workers: float
    what: str


@dataclass(frozen=True, slots=True)
class SiteScene:
    """A day's work in virtual time.

    Attributes:
        name: What it is about.
        arrivals: The jobs, in order of time.
        troubles: What goes wrong.
    """

    name: str
    arrivals: tuple[Arrival, ...]
    troubles: tuple[Trouble, ...] = ()


@dataclass(frozen=True, slots=True)
class SiteFleet:
    """The workers of a deployment of today.

    Attributes:
        name: The deployment.
        workers: How many.
        rack: Workers of a rack.
        organisations: Share of each organisation's work.
        guaranteed: Accelerators guaranteed to each.
    """

    name: str
    workers: int
    rack: int
    organisations: dict[str, float] = field(default_factory=dict)
    guaranteed: dict[str, int] = field(default_factory=dict)

    def make_configuration(self) -> Configuration:
        """Returns the configuration in force."""
        routes = tuple(
            QueueRoute(kind.policy, "jobs.example", f"/{kind.policy.name}/")
            for kind in make_kinds(1.0)
        )
        organisations = {
            name: Organisation(name, frozenset(), count)
            for name, count in self.guaranteed.items()
        }
        return Configuration(1, routes, organisations)


SHARES = {"large": 0.45, "second": 0.25, "third": 0.18, "small": 0.12}
GUARANTEED = {"large": 56, "second": 32, "third": 16, "small": 8}
ARMOR = SiteFleet("armor", 24, 6, SHARES, GUARANTEED)
TAUVERK = SiteFleet("tauverk", 24, 8, SHARES, GUARANTEED)


class _Maker:
    """Draws the arrivals of one scene."""

    def __init__(self, fleet: SiteFleet, seed: int):
        self._fleet = fleet
        self._rng = random.Random(seed)
        self._number = 0

    def draw(
        self,
        kinds: tuple[Kind, ...],
        *,
        from_s: float = 0.0,
        to_s: float = HORIZON_S,
        hopeless: float = 0.01,
    ) -> list[Arrival]:
        """Returns arrivals of some kinds over a time, in no order."""
        arrivals = []
        for kind in kinds:
            at_s = from_s + self._rng.expovariate(kind.rate)
            while at_s < to_s:
                arrivals.append(self._draw_one(kind, at_s, hopeless))
                at_s += self._rng.expovariate(kind.rate)
        return arrivals

    def _draw_one(self, kind: Kind, at_s: float, hopeless: float) -> Arrival:
        rng = self._rng
        self._number += 1
        width = round(rng.lognormvariate(0, 0.8) * kind.width / 1.38)
        width = max(1, min(kind.widest, width))
        size = rng.choice(SIZES) if kind.is_gang else 1
        while width * size > 8 * self._fleet.rack:
            width -= 1
        run_s = kind.run_s * rng.lognormvariate(0, kind.spread)
        names = list(self._fleet.organisations)
        weights = list(self._fleet.organisations.values())
        step = Step(
            count=width,
            cpu_millis=kind.cpu_millis,
            memory_mb=4_000,
            accelerators=size,
            estimated_s=kind.run_s * rng.lognormvariate(0, 1.0),
            is_checkpointing=kind.is_checkpointing,
            is_gang=kind.is_gang and width > 1,
            is_one_rack=kind.is_gang and width > 1,
        )
        request = JobRequest(
            job_id=f"{self._number:016x}",
            queue=kind.policy,
            organisation=rng.choices(names, weights)[0],
            payload="",
            steps=(step,),
            accepted_at_s=at_s,
        )
        return Arrival(at_s, request, run_s, kind, rng.random() < hopeless)


def _finish(
    name: str, arrivals: list[Arrival], *troubles: Trouble
) -> SiteScene:
    ordered = sorted(arrivals, key=lambda arrival: arrival.at_s)
    return SiteScene(name, tuple(ordered), troubles)


def calm(fleet: SiteFleet, seed: int) -> SiteScene:
    """Two fifths of a loaded day's rates."""
    return _finish("calm", _Maker(fleet, seed).draw(make_kinds(0.41)))


def busy(fleet: SiteFleet, seed: int) -> SiteScene:
    """A loaded day's rates, and half as much again for some seconds."""
    maker = _Maker(fleet, seed)
    arrivals = maker.draw(make_kinds(0.8))
    arrivals += maker.draw(make_kinds(0.5), from_s=12.0, to_s=18.0)
    return _finish("busy", arrivals)


def flood_of_batch(fleet: SiteFleet, seed: int) -> SiteScene:
    """Four times as many batches for some seconds."""
    maker = _Maker(fleet, seed)
    arrivals = maker.draw(make_kinds(0.6))
    batches = replace(make_kinds(1.0)[2], rate=2.4)
    arrivals += maker.draw((batches,), from_s=8.0, to_s=16.0)
    return _finish("flood_of_batch", arrivals)


def large_gangs(fleet: SiteFleet, seed: int) -> SiteScene:
    """Renders of whole workers come at once."""
    maker = _Maker(fleet, seed)
    arrivals = maker.draw(make_kinds(0.6))
    renders = replace(make_kinds(1.0)[1], rate=1.0, width=8.0)
    arrivals += maker.draw((renders,), from_s=10.0, to_s=15.0)
    return _finish("large_gangs", arrivals)


def lost_workers(fleet: SiteFleet, seed: int) -> SiteScene:
    """A fifth of the workers is lost for some seconds."""
    arrivals = _Maker(fleet, seed).draw(make_kinds(0.6))
    trouble = Trouble(10.0, 6.0, 0.2, "lost")
    return _finish("lost_workers", arrivals, trouble)


def failing_workers(fleet: SiteFleet, seed: int) -> SiteScene:
    """Some workers fail all that they start, others are slow."""
    arrivals = _Maker(fleet, seed).draw(make_kinds(0.6), hopeless=0.03)
    return _finish(
        "failing_workers",
        arrivals,
        Trouble(8.0, 8.0, 0.1, "failing"),
        Trouble(14.0, 8.0, 0.15, "slow"),
    )


MakeScene = Callable[[SiteFleet, int], SiteScene]
SCENES: tuple[MakeScene, ...] = (
    calm,
    busy,
    flood_of_batch,
    large_gangs,
    lost_workers,
    failing_workers,
)
