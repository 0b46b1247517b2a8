"""How long a unit waits for a place where it runs at full speed."""

from __future__ import annotations

from lagoonbeam.site.entries import UnitState
from lagoonbeam.site.placement import fits_locally_when_empty
from lagoonbeam.site.run_time_estimator import RunTimeEstimator
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    get_placement_requirements,
)

LOCALITY_WAIT_RUNS = 2.0
"""Run times that a unit waits for a place where it runs at full speed; away
from it, it takes three times as long."""
MAX_LOCALITY_WAIT_S = 10.0
"""Longest wait for a place at full speed; the platform asks for all waiting
work to run 14 seconds after the last caller."""
MAX_IDLE_WAIT_S = 2.0
"""Longest such wait while less than half of the capacity is in use; then
work that could run must not wait for three seconds."""


class DelayScheduling:
    """Says what may run away from its data, or over several racks.

    Args:
        run_time_estimator: How long tasks take.
        now_s: Wall clock time.
    """

    def __init__(self, run_time_estimator: RunTimeEstimator, now_s: float):
        self._run_time_estimator = run_time_estimator
        self._now_s = now_s
        self._fits_locally_by_requirements: dict[tuple[object, ...], bool] = {}
        self._underused_by_service: dict[str, bool] = {}

    def is_underused(self, service: str, capacities: CapacityMap) -> bool:
        """Whether less than half of a service's capacity was in use.

        It is measured once, when it is first asked for.
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

    def get_wait_s(self, unit: UnitState) -> float:
        """Returns the seconds since a unit's job was accepted or due."""
        request = unit.job.request
        due_s = unit.job.due_s(unit.occurrence)
        return self._now_s - max(request.accepted_at_s, due_s)

    def exceeds_idle_wait(self, unit: UnitState) -> bool:
        """Whether a unit must not wait longer beside an idle service."""
        return self.get_wait_s(unit) > MAX_IDLE_WAIT_S

    def may_run_nonlocal(
        self, unit: UnitState, service: str, capacities: CapacityMap
    ) -> bool:
        """Whether a unit may start where it is slower.

        Args:
            unit: A unit that could start.
            service: Its service.
            capacities: Usable workers of the service.
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
