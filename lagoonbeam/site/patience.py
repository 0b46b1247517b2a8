"""How long a unit waits for a place where it runs at full speed."""

from __future__ import annotations

from lagoonbeam.site.durations import Durations
from lagoonbeam.site.jobs import SchedulingUnit
from lagoonbeam.site.placement import could_be_near
from lagoonbeam.site.rooms import Rooms, get_demand

FAR_AFTER_RUNS = 2.0
"""Run times that a unit waits for a place where it runs at full speed; away
from it, it takes three times as long."""
LONGEST_PATIENCE_S = 10.0
"""Longest wait for a place at full speed; the platform asks for all waiting
work to run 14 seconds after the last caller."""
IDLE_PATIENCE_S = 2.0
"""Longest such wait while less than half of the capacity is in use; then
work that could run must not wait for three seconds."""


class Patience:
    """Says what may run away from its data, or over several racks.

    Args:
        durations: How long tasks take.
        now_s: Wall clock time.
    """

    def __init__(self, durations: Durations, now_s: float):
        self._durations = durations
        self._now_s = now_s
        self._near: dict[tuple[object, ...], bool] = {}
        self._idle: dict[str, bool] = {}

    def is_idle(self, service: str, rooms: Rooms) -> bool:
        """Whether less than half of a service's capacity was in use.

        It is measured once, when it is first asked for.
        """
        if service not in self._idle:
            whole = [room.report for room in rooms.values()]
            free = sum(room.accelerators for room in rooms.values())
            millis = sum(room.cpu_millis for room in rooms.values())
            self._idle[service] = 2 * free > sum(
                report.accelerators for report in whole
            ) and 2 * millis > sum(report.cpu_millis for report in whole)
        return self._idle[service]

    def get_wait_s(self, unit: SchedulingUnit) -> float:
        """Returns the seconds since a unit's job was accepted or due."""
        request = unit.job.request
        due_s = unit.job.due_s(unit.occurrence)
        return self._now_s - max(request.accepted_at_s, due_s)

    def has_waited(self, unit: SchedulingUnit) -> bool:
        """Whether a unit must not wait longer beside an idle service."""
        return self.get_wait_s(unit) > IDLE_PATIENCE_S

    def may_be_far(
        self, unit: SchedulingUnit, service: str, rooms: Rooms
    ) -> bool:
        """Whether a unit may start where it is slower.

        Args:
            unit: A unit that could start.
            service: Its service.
            rooms: Usable workers of the service.
        """
        run_s = self._durations.estimate_s(unit)
        patience_s = min(FAR_AFTER_RUNS * run_s, LONGEST_PATIENCE_S)
        if self.is_idle(service, rooms):
            patience_s = min(patience_s, IDLE_PATIENCE_S)
        if self.get_wait_s(unit) > patience_s:
            return True
        key = get_demand(unit)
        if key not in self._near:
            reports = [room.report for room in rooms.values()]
            self._near[key] = could_be_near(unit, reports)
        return not self._near[key]
