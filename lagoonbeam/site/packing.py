"""Packing policies: which workers a unit fills first."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable

from lagoonbeam.core.registry import Registry
from lagoonbeam.site.jobs import SchedulingUnit
from lagoonbeam.site.rooms import Room


class PackingPolicy(ABC):
    """Sorts workers for a unit.

    Attributes:
        weighs_racks: Whether the rack with the least left over is chosen,
            among those that hold a whole unit; else the first.
    """

    weighs_racks = True

    @abstractmethod
    def sort(self, unit: SchedulingUnit, rooms: Iterable[Room]) -> list[Room]:
        """Returns rooms in the order in which they are filled."""


PACKINGS: Registry[type[PackingPolicy]] = Registry("packing policy")


@PACKINGS.register("fullest")
class FullestFirst(PackingPolicy):
    """Fills the fullest workers first, so that whole ones stay whole."""

    def sort(self, unit: SchedulingUnit, rooms: Iterable[Room]) -> list[Room]:
        """Returns rooms in the order in which they are filled."""
        size = unit.spec.accelerators
        return sorted(
            rooms,
            key=lambda room: (
                room.accelerators % size if size else 0,
                room.accelerators,
                room.cpu_millis,
                room.report.rack,
            ),
        )


@PACKINGS.register("compact")
class Compact(PackingPolicy):
    """Fills the racks in use first, and there the fullest workers."""

    def sort(self, unit: SchedulingUnit, rooms: Iterable[Room]) -> list[Room]:
        """Returns rooms in the order in which they are filled."""
        size = unit.spec.accelerators
        rooms = list(rooms)
        free: dict[str, int] = defaultdict(int)
        for room in rooms:
            free[room.report.rack] += room.accelerators
        return sorted(
            rooms,
            key=lambda room: (
                room.accelerators % size if size else 0,
                free[room.report.rack],
                room.report.rack,
                room.accelerators,
                room.cpu_millis,
            ),
        )


@PACKINGS.register("first_fit")
class FirstFit(PackingPolicy):
    """Fills workers in the order of their names; a baseline."""

    weighs_racks = False

    def sort(self, unit: SchedulingUnit, rooms: Iterable[Room]) -> list[Room]:
        """Returns rooms in the order in which they are filled."""
        del unit
        return sorted(rooms, key=lambda room: room.report.worker)
