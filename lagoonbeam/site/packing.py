"""Packing policies: the order in which a unit's tasks fill workers."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections import defaultdict
from collections.abc import Iterable

from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.worker_capacity import WorkerCapacity


class PackingPolicy(ABC):
    """Orders the workers for a unit.

    Attributes:
        chooses_best_fit_rack: Whether, of the racks that hold a whole unit,
            the one with the fewest accelerators left over is chosen; if not,
            the first one is.
    """

    chooses_best_fit_rack = True

    @abstractmethod
    def sort_workers(
        self, unit: PlacementUnit, capacities: Iterable[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns workers in the order in which they are filled."""


PACKING_POLICIES: PluginRegistry[type[PackingPolicy]] = PluginRegistry(
    "packing policy"
)


@PACKING_POLICIES.register("fullest")
class FullestWorkerFirst(PackingPolicy):
    """Fills the fullest workers first, which keeps empty workers empty."""

    def sort_workers(
        self, unit: PlacementUnit, capacities: Iterable[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns workers in the order in which they are filled."""
        task_accelerators = unit.spec.accelerators
        return sorted(
            capacities,
            key=lambda capacity: (
                capacity.accelerators % task_accelerators
                if task_accelerators
                else 0,
                capacity.accelerators,
                capacity.cpu_millis,
                capacity.report.rack,
            ),
        )


@PACKING_POLICIES.register("compact")
class FullestRackFirst(PackingPolicy):
    """Fills the fullest racks first, and in a rack the fullest workers."""

    def sort_workers(
        self, unit: PlacementUnit, capacities: Iterable[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns workers in the order in which they are filled."""
        task_accelerators = unit.spec.accelerators
        capacities = list(capacities)
        free_accelerators_by_rack: dict[str, int] = defaultdict(int)
        for capacity in capacities:
            free_accelerators_by_rack[capacity.report.rack] += (
                capacity.accelerators
            )
        return sorted(
            capacities,
            key=lambda capacity: (
                capacity.accelerators % task_accelerators
                if task_accelerators
                else 0,
                free_accelerators_by_rack[capacity.report.rack],
                capacity.report.rack,
                capacity.accelerators,
                capacity.cpu_millis,
            ),
        )


@PACKING_POLICIES.register("first_fit")
class FirstFit(PackingPolicy):
    """Fills workers in the order of their names; a baseline for comparison."""

    chooses_best_fit_rack = False

    def sort_workers(
        self, unit: PlacementUnit, capacities: Iterable[WorkerCapacity]
    ) -> list[WorkerCapacity]:
        """Returns workers in the order in which they are filled."""
        del unit
        return sorted(capacities, key=lambda capacity: capacity.report.worker)
