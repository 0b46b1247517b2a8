"""Limits on low-priority work, so that urgent work finds free capacity."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Mapping, Set
from statistics import median_low

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.reserve import ReservePolicy
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
)
from lagoonbeam.site.worker_speed.worker_speeds import WorkerSpeeds
from lagoonbeam.site.worker_usage import WorkerUsage


class PriorityLimits:
    """Tracks and enforces the limits of low-priority work in one plan.

    Urgent work has priority 0; all other work is low-priority and may be
    evicted for it, unless it must run at most once or is long-running.

    Args:
        service_capacities: Free capacity of usable workers, by service.
        guaranteed_job_ids: Identifiers of jobs that use a guarantee.
        guaranteed_total: Sum of all guarantees, in accelerators.
        reserve_policy: Bounds the workers that low-priority work may use.
        held_workers: Workers that waiting gangs hold.
        worker_speeds: Speeds of the workers; fast ones are left free first.
    """

    def __init__(
        self,
        service_capacities: Mapping[str, CapacityMap],
        guaranteed_job_ids: Set[str],
        guaranteed_total: int,
        reserve_policy: ReservePolicy,
        held_workers: Set[str] = frozenset(),
        worker_speeds: WorkerSpeeds | None = None,
    ):
        self._service_capacities = service_capacities
        self._guaranteed_job_ids = guaranteed_job_ids
        self._guaranteed_total = guaranteed_total
        self._reserve_policy = reserve_policy
        self._held_workers = held_workers
        self._worker_speeds = worker_speeds or WorkerSpeeds()
        self._allowed_capacities: dict[tuple[str, int], CapacityMap] = {}
        self.evictable_units: dict[str, dict[str, PlacementUnit]] = defaultdict(
            dict
        )
        self.urgent_accelerators_by_service: dict[str, int] = defaultdict(int)
        self.nonevictable_accelerators: dict[str, int] = defaultdict(int)

    def add_worker_usage(
        self, worker: str, service: str, usage: WorkerUsage
    ) -> None:
        """Adds the usage of a worker."""
        if usage.evictable_units:
            self.evictable_units[worker] = dict(usage.evictable_units)
        self.urgent_accelerators_by_service[service] += (
            usage.urgent_accelerators
        )
        for unit in usage.nonevictable_units:
            self.add_nonevictable_tasks(unit, service, 1)

    def add_nonevictable_tasks(
        self, unit: PlacementUnit, service: str, task_count: int
    ) -> None:
        """Adds tasks of a unit, if guarantees cannot reclaim their capacity."""
        request = unit.job.request
        if request.runs_once and request.job_id not in self._guaranteed_job_ids:
            used_accelerators = task_count * unit.spec.accelerators
            self.nonevictable_accelerators[service] += used_accelerators

    def leaves_guarantees_reclaimable(
        self, unit: PlacementUnit, policy: QueuePolicy
    ) -> bool:
        """Whether all guarantees stay reclaimable if a unit starts.

        Work that must run at most once cannot be evicted, so it may use only
        accelerators outside all guarantees, or its organisation's guarantee.
        """
        request = unit.job.request
        if not request.runs_once or request.job_id in self._guaranteed_job_ids:
            return True
        capacities = self._service_capacities[policy.service].values()
        accelerator_total = sum(
            capacity.report.accelerators for capacity in capacities
        )
        needed_accelerators = len(unit.tasks) * unit.spec.accelerators
        nonevictable_total = (
            self.nonevictable_accelerators[policy.service] + needed_accelerators
        )
        return nonevictable_total <= accelerator_total - self._guaranteed_total

    def get_allowed_capacities(self, policy: QueuePolicy) -> CapacityMap:
        """Returns the free capacity that low-priority work may use.

        Workers that run such work or are held for it come first, then whole
        racks in a fixed order, so that the remaining workers stay free for
        urgent work. Of workers of unequal speed, fast ones stay free.
        """
        key = (policy.service, policy.priority)
        if key not in self._allowed_capacities:
            self._allowed_capacities[key] = self._select_capacities(policy)
        return self._allowed_capacities[key]

    def list_evictable_units(self) -> dict[str, list[PlacementUnit]]:
        """Returns the units that may be evicted, by worker."""
        return {
            worker: list(units.values())
            for worker, units in self.evictable_units.items()
        }

    def remove_evictable_unit(self, unit: PlacementUnit) -> None:
        """Removes a unit that is being evicted from the evictable ones."""
        for task in unit.tasks:
            if task.placement is not None:
                self.evictable_units[task.placement.worker].pop(unit.key, None)

    def _select_capacities(self, policy: QueuePolicy) -> CapacityMap:
        capacities = self._service_capacities[policy.service]
        accelerators_per_worker = [
            capacity.report.accelerators for capacity in capacities.values()
        ]
        urgent_accelerators = self.urgent_accelerators_by_service[
            policy.service
        ]
        urgent_workers = urgent_accelerators / max(
            1, max(accelerators_per_worker, default=1)
        )
        worker_limit = self._reserve_policy.count_allowed_workers(
            policy.priority, len(capacities), urgent_workers
        )
        names_by_preference = sorted(
            capacities,
            key=lambda name: (
                not self.evictable_units.get(name)
                and name not in self._held_workers,
                capacities[name].report.rack,
                name,
            ),
        )
        if self._worker_speeds.is_uneven:
            names_by_preference = self._move_fast_workers_back(
                names_by_preference, len(capacities) - worker_limit
            )
        return {
            name: capacities[name]
            for name in names_by_preference[:worker_limit]
        }

    def _move_fast_workers_back(
        self, names_by_preference: list[str], count: int
    ) -> list[str]:
        """Returns the names with up to `count` of the fast workers last.

        The last of them are chosen, so that they are in few racks: urgent gangs
        that need one rack find enough of them there.
        """
        speeds = {
            name: self._worker_speeds.get_speed(name)
            for name in names_by_preference
        }
        usual_speed = median_low(speeds.values()) if speeds else 0.0
        fast_workers = [
            name for name in names_by_preference if speeds[name] >= usual_speed
        ]
        reserved = set(fast_workers[max(0, len(fast_workers) - count) :])
        return sorted(names_by_preference, key=reserved.__contains__)
