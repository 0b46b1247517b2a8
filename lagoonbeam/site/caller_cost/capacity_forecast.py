"""Whether a unit will fit once running tasks have ended by themselves."""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Callable, Sequence

from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.release_times import Release
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    WorkerCapacity,
    has_required_label,
)

ReleaseLookup = Callable[[str], Sequence[Release]]
"""Returns the expected ends on a worker, earliest first."""


def fits_by(
    unit: PlacementUnit,
    capacities: CapacityMap,
    get_releases: ReleaseLookup,
    at_s: float,
    *,
    allow_nonlocal: bool,
) -> bool:
    """Whether a unit fits at a time if nothing else starts until then.

    Args:
        unit: The unit to place.
        capacities: Free capacity of usable workers of its service.
        get_releases: Returns the expected ends on a worker.
        at_s: The time, by the clock of the expected ends.
        allow_nonlocal: See `place_unit`.
    """
    step = unit.spec
    task_count = len(unit.tasks)
    needs_rack = step.is_one_rack and task_count > 1 and not allow_nonlocal
    fitting_by_group: dict[str, int] = defaultdict(int)
    for worker, capacity in capacities.items():
        report = capacity.report
        is_far = bool(step.data_rack) and report.rack != step.data_rack
        if not has_required_label(report, step) or (
            is_far and not allow_nonlocal
        ):
            continue
        group = report.rack if needs_rack else ""
        forecast = _forecast(capacity, get_releases(worker), at_s)
        fitting_by_group[group] += forecast.count_fitting(unit, task_count)
        if fitting_by_group[group] >= task_count:
            return True
    return False


def _forecast(
    capacity: WorkerCapacity, releases: Sequence[Release], at_s: float
) -> WorkerCapacity:
    forecast = capacity.copy()
    for end_s, unit in releases:
        if end_s > at_s:
            break
        step = unit.spec
        if not step.is_filling:
            forecast.cpu_millis += step.cpu_millis
        forecast.memory_mb += step.memory_mb
        forecast.accelerators += step.accelerators
    return forecast
