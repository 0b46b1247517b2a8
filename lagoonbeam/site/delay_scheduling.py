"""Delay scheduling: units wait for a local placement for a bounded time.

A placement is local if the tasks run in the rack that holds their data and, if
they need one rack, in a single rack. Elsewhere they take three times as long.
"""

from __future__ import annotations

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.placement import fits_locally_when_empty
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    get_placement_requirements,
)

LOCALITY_WAIT_RUNS = 2.0
"""Longest wait for a local placement, in run times of the unit; a nonlocal run
takes three run times."""
MAX_LOCALITY_WAIT_S = 10.0
"""Longest wait for a local placement. The platform requires that all waiting
work runs 14 s after the last request."""
MAX_IDLE_WAIT_S = 2.0
"""Longest wait for a local placement, or for the reserve, while less than half
of the capacity is in use. Work that could run must not wait for 3 s then."""


class DelayScheduling:
    """Decides which units may use a nonlocal placement.

    Args:
        run_time_estimator: Run time estimates.
        now_s: Wall clock time.
    """

    def __init__(self, run_time_estimator: RunTimeEstimator, now_s: float):
        self._run_time_estimator = run_time_estimator
        self._now_s = now_s
        self._fits_locally_by_requirements: dict[tuple[object, ...], bool] = {}
        self._underused_by_service: dict[str, bool] = {}

    def is_underused(self, service: str, capacities: CapacityMap) -> bool:
        """Whether less than half of a service's capacity is in use.

        The first result for a service is kept for the rest of the plan.
        """
        if service not in self._underused_by_service:
            reports = [capacity.report for capacity in capacities.values()]
            free_accelerators = sum(
                capacity.accelerators for capacity in capacities.values()
            )
            free_cpu_millis = sum(
                capacity.cpu_millis for capacity in capacities.values()
            )
            self._underused_by_service[service] = 2 * free_accelerators > sum(
                report.accelerators for report in reports
            ) and 2 * free_cpu_millis > sum(
                report.cpu_millis for report in reports
            )
        return self._underused_by_service[service]

    def get_wait_s(self, unit: PlacementUnit) -> float:
        """Returns the seconds since a unit's job was accepted or became due."""
        request = unit.job.request
        due_s = unit.job.due_s(unit.occurrence)
        return self._now_s - max(request.accepted_at_s, due_s)

    def exceeds_idle_wait(self, unit: PlacementUnit) -> bool:
        """Whether a unit has waited longer than an underused service allows."""
        return self.get_wait_s(unit) > MAX_IDLE_WAIT_S

    def may_run_nonlocal(
        self, unit: PlacementUnit, service: str, capacities: CapacityMap
    ) -> bool:
        """Whether a unit may use a nonlocal placement.

        That is so after its wait, or if no local placement exists at all.

        Args:
            unit: A ready unit.
            service: Its service.
            capacities: Free capacity of the service's usable workers.
        """
        run_s = self._run_time_estimator.estimate_run_s(unit)
        locality_wait_s = min(LOCALITY_WAIT_RUNS * run_s, MAX_LOCALITY_WAIT_S)
        if self.is_underused(service, capacities):
            locality_wait_s = min(locality_wait_s, MAX_IDLE_WAIT_S)
        if self.get_wait_s(unit) > locality_wait_s:
            return True
        key = get_placement_requirements(unit)
        if key not in self._fits_locally_by_requirements:
            reports = [capacity.report for capacity in capacities.values()]
            self._fits_locally_by_requirements[key] = fits_locally_when_empty(
                unit, reports
            )
        return not self._fits_locally_by_requirements[key]
