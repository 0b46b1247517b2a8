"""Eviction policies: which units are stopped so that another one fits."""

from __future__ import annotations

import itertools
from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.jobs import SchedulingUnit
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.placement import Assignment, pack_unit
from lagoonbeam.site.rooms import Room, Rooms, is_suited

SEARCHED_WORKERS = 120
"""Most workers that one search looks at, so that it stays within some
milliseconds at any size; the emptiest come first."""

GetCost = Callable[[SchedulingUnit], float]


class EvictionPolicy(ABC):
    """Sorts units that may be stopped."""

    @abstractmethod
    def sort(
        self, units: Iterable[SchedulingUnit], get_cost: GetCost
    ) -> list[SchedulingUnit]:
        """Returns units in the order in which they are stopped.

        Args:
            units: Those that may be stopped.
            get_cost: Core-seconds thrown away by stopping a unit.
        """


EVICTIONS: Registry[type[EvictionPolicy]] = Registry("eviction policy")


@EVICTIONS.register("least_lost")
class LeastLost(EvictionPolicy):
    """Stops the unit that throws least work away first."""

    def sort(
        self, units: Iterable[SchedulingUnit], get_cost: GetCost
    ) -> list[SchedulingUnit]:
        """Returns units in the order in which they are stopped."""
        return sorted(units, key=get_cost)


@EVICTIONS.register("youngest_job")
class YoungestJob(EvictionPolicy):
    """Stops units of the job that came last first; a baseline."""

    def sort(
        self, units: Iterable[SchedulingUnit], get_cost: GetCost
    ) -> list[SchedulingUnit]:
        """Returns units in the order in which they are stopped."""
        del get_cost
        return sorted(units, key=lambda u: -u.job.request.accepted_at_s)


@EVICTIONS.register("never")
class NeverStop(EvictionPolicy):
    """Stops nothing; a baseline that honours no guarantee."""

    def sort(
        self, units: Iterable[SchedulingUnit], get_cost: GetCost
    ) -> list[SchedulingUnit]:
        """Returns units in the order in which they are stopped."""
        del units, get_cost
        return []


@dataclass(slots=True)
class Eviction:
    """Units to stop so that another one can be placed.

    Attributes:
        assignment: Where its tasks go then.
        victims: What has to be stopped.
        cost: Core-seconds that are thrown away.
    """

    assignment: Assignment
    victims: list[SchedulingUnit]
    cost: float


def find_eviction(
    unit: SchedulingUnit,
    rooms: Rooms,
    lent: Mapping[str, list[SchedulingUnit]],
    get_cost: GetCost,
    *,
    allow_far: bool,
    policy: EvictionPolicy,
    packing: PackingPolicy,
) -> Eviction | None:
    """Finds the cheapest units to stop so that a unit fits.

    Args:
        unit: What is to start.
        rooms: Usable workers of its service.
        lent: Units that may be stopped, by worker.
        get_cost: Core-seconds thrown away by stopping a unit.
        allow_far: See `place_unit`.
        policy: Sorts what may be stopped.
        packing: Sorts workers.
    """
    racks: dict[str, Rooms] = defaultdict(dict)
    for worker, room in rooms.items():
        if is_suited(room.report, unit.spec):
            racks[room.report.rack][worker] = room
    step = unit.spec
    if step.data_rack in racks and not allow_far:
        groups = [racks[step.data_rack]]
    elif step.is_one_rack and len(unit.tasks) > 1 and not allow_far:
        groups = _limit_racks(list(racks.values()))
    else:
        suited = [room for rack in racks.values() for room in rack.values()]
        suited.sort(key=_count_busy)
        groups = [{r.report.worker: r for r in suited[:SEARCHED_WORKERS]}]
    searches = (
        _Search(unit, group, lent, get_cost, policy) for group in groups
    )
    found = [search.run(packing) for search in searches]
    return min(
        (eviction for eviction in found if eviction is not None),
        key=lambda eviction: eviction.cost,
        default=None,
    )


def _limit_racks(racks: list[Rooms]) -> list[Rooms]:
    """Returns the emptiest racks, within the bound of a search."""
    racks.sort(key=lambda rack: sum(map(_count_busy, rack.values())))
    counts = itertools.accumulate(map(len, racks))
    return [
        rack
        for rack, count in zip(racks, counts, strict=True)
        if count <= SEARCHED_WORKERS or rack is racks[0]
    ]


def _count_busy(room: Room) -> int:
    return room.report.accelerators - room.accelerators


@dataclass(slots=True)
class _Opening:
    """What to stop on one worker so that more tasks fit there.

    Attributes:
        victims: The units.
        cost: Core-seconds that are thrown away.
        gain: Tasks more that fit.
    """

    victims: list[SchedulingUnit]
    cost: float
    gain: int


class _Search:
    """The search for units to stop in one group of workers.

    The worker where one more task costs least is opened first, until all
    tasks fit; a unit on several workers opens all of them.

    Args:
        unit: What is to start.
        group: The workers.
        lent: Units that may be stopped, by worker.
        get_cost: Core-seconds thrown away by stopping a unit.
        policy: Sorts what may be stopped.
    """

    def __init__(
        self,
        unit: SchedulingUnit,
        group: Rooms,
        lent: Mapping[str, list[SchedulingUnit]],
        get_cost: GetCost,
        policy: EvictionPolicy,
    ):
        self._unit = unit
        self._count = len(unit.tasks)
        self._rooms = {worker: room.copy() for worker, room in group.items()}
        self._lent = lent
        self._get_cost = get_cost
        self._policy = policy
        self._fits = {w: self._count_fit(r) for w, r in self._rooms.items()}
        self._total = sum(self._fits.values())
        self._openings: dict[str, _Opening | None] = {}
        self._victims: dict[str, SchedulingUnit] = {}

    def run(self, packing: PackingPolicy) -> Eviction | None:
        """Returns what to stop, if that is enough."""
        while self._total < self._count:
            opening = self._find_cheapest()
            if opening is None:
                return None
            for victim in opening.victims:
                self._stop(victim)
        self._spare()
        rooms = self._rooms.values()
        assignment = pack_unit(self._unit, rooms, packing)
        if assignment is None:
            return None
        cost = sum(map(self._get_cost, self._victims.values()))
        return Eviction(assignment, list(self._victims.values()), cost)

    def _count_fit(self, room: Room) -> int:
        return room.count_fitting(self._unit, self._count)

    def _find_cheapest(self) -> _Opening | None:
        for worker in self._rooms:
            if worker not in self._openings:
                self._openings[worker] = self._find_opening(worker)
        openings = (each for each in self._openings.values() if each)
        return min(openings, key=lambda o: o.cost / o.gain, default=None)

    def _find_opening(self, worker: str) -> _Opening | None:
        """Returns the units of one worker whose end lets more tasks fit."""
        room = self._rooms[worker].copy()
        before = self._fits[worker]
        candidates = [
            unit
            for unit in self._lent.get(worker, ())
            if unit.key not in self._victims
        ]
        chosen: list[SchedulingUnit] = []
        for victim in self._policy.sort(candidates, self._get_cost):
            chosen.append(victim)
            room.take(victim, -_count_on(victim, worker))
            if self._count_fit(room) > before:
                break
        else:
            return None
        gain = self._count_fit(room) - before
        for victim in list(chosen):
            room.take(victim, _count_on(victim, worker))
            if self._count_fit(room) - before >= gain:
                chosen.remove(victim)
            else:
                room.take(victim, -_count_on(victim, worker))
        cost = sum(map(self._get_cost, chosen))
        return _Opening(chosen, cost, gain)

    def _stop(self, victim: SchedulingUnit) -> None:
        self._victims[victim.key] = victim
        self._change(victim, -1)

    def _spare(self) -> None:
        """Leaves out units that need not be stopped, the dearest first."""
        by_cost = sorted(self._victims.values(), key=self._get_cost)
        for victim in reversed(by_cost):
            self._change(victim, 1)
            if self._total >= self._count:
                del self._victims[victim.key]
            else:
                self._change(victim, -1)

    def _change(self, victim: SchedulingUnit, sign: int) -> None:
        """Frees a unit's room, or takes it again."""
        for task in victim.tasks:
            place = task.placement
            if place is None or place.worker not in self._rooms:
                continue
            room = self._rooms[place.worker]
            room.take(victim, sign)
            fit = self._count_fit(room)
            self._total += fit - self._fits[place.worker]
            self._fits[place.worker] = fit
            self._openings.pop(place.worker, None)


def _count_on(unit: SchedulingUnit, worker: str) -> int:
    return sum(
        task.placement is not None and task.placement.worker == worker
        for task in unit.tasks
    )
