"""Eviction policies: which units are stopped so that another one fits."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Callable, Iterable, Mapping
from dataclasses import dataclass

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.packing import PackingPolicy
from lagoonbeam.site.placement import Assignment, pack_unit
from lagoonbeam.site.rooms import Room, Rooms, is_suited

GetCost = Callable[[UnitState], float]


class EvictionPolicy(ABC):
    """Sorts units that may be stopped."""

    @abstractmethod
    def sort(
        self, units: Iterable[UnitState], get_cost: GetCost
    ) -> list[UnitState]:
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
        self, units: Iterable[UnitState], get_cost: GetCost
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped."""
        return sorted(units, key=get_cost)


@EVICTIONS.register("youngest_job")
class YoungestJob(EvictionPolicy):
    """Stops units of the job that came last first; a baseline."""

    def sort(
        self, units: Iterable[UnitState], get_cost: GetCost
    ) -> list[UnitState]:
        """Returns units in the order in which they are stopped."""
        del get_cost
        return sorted(units, key=lambda u: -u.job.request.accepted_at_s)


@EVICTIONS.register("never")
class NeverStop(EvictionPolicy):
    """Stops nothing; a baseline that honours no guarantee."""

    def sort(
        self, units: Iterable[UnitState], get_cost: GetCost
    ) -> list[UnitState]:
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
    victims: list[UnitState]
    cost: float


def find_eviction(
    unit: UnitState,
    rooms: Rooms,
    lent: Mapping[str, list[UnitState]],
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
        groups = list(racks.values())
    else:
        groups = [{w: r for rack in racks.values() for w, r in rack.items()}]
    search = _Search(unit, lent, get_cost, policy, packing)
    found = [search.run(group) for group in groups]
    return min(
        (eviction for eviction in found if eviction is not None),
        key=lambda eviction: eviction.cost,
        default=None,
    )


@dataclass(slots=True)
class _Search:
    """The search for units to stop in one group of workers."""

    unit: UnitState
    lent: Mapping[str, list[UnitState]]
    get_cost: GetCost
    policy: EvictionPolicy
    packing: PackingPolicy

    def run(self, group: Rooms) -> Eviction | None:
        """Returns what to stop in a group, if that is enough."""
        rooms = {worker: room.copy() for worker, room in group.items()}
        candidates = {
            victim.key: victim for w in rooms for victim in self.lent.get(w, ())
        }
        waiting = self.policy.sort(candidates.values(), self.get_cost)
        victims: list[UnitState] = []
        assignment = self._pack(rooms.values())
        while assignment is None:
            if not waiting:
                return None
            victim = waiting.pop(0)
            victims.append(victim)
            _free(victim, rooms)
            assignment = self._pack(rooms.values())
        return self._spare(assignment, victims, rooms)

    def _spare(
        self, assignment: Assignment, victims: list[UnitState], rooms: Rooms
    ) -> Eviction:
        """Leaves out units that need not be stopped, the dearest first."""
        needed = {victim.key: victim for victim in victims}
        for victim in sorted(victims, key=lambda v: -self.get_cost(v)):
            _free(victim, rooms, sign=-1)
            smaller = self._pack(rooms.values())
            if smaller is None:
                _free(victim, rooms)
            else:
                assignment = smaller
                del needed[victim.key]
        cost = sum(map(self.get_cost, needed.values()))
        return Eviction(assignment, list(needed.values()), cost)

    def _pack(self, rooms: Iterable[Room]) -> Assignment | None:
        return pack_unit(self.unit, rooms, self.packing)


def _free(unit: UnitState, rooms: Rooms, sign: int = 1) -> None:
    for task in unit.tasks:
        if task.placement is not None and task.placement.worker in rooms:
            rooms[task.placement.worker].take(unit, -sign)
