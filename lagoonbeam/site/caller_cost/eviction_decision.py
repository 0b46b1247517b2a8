"""Decides whether running units are evicted for another one, and which."""

from __future__ import annotations

from collections.abc import Mapping

from lagoonbeam.site.caller_cost.eviction_weighing import (
    EvictionWeighing,
    UrgentOutlook,
)
from lagoonbeam.site.caller_cost.victim_costs import VictimCosts
from lagoonbeam.site.events import Event
from lagoonbeam.site.eviction import CostFunction, Eviction, find_eviction
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.worker_capacity import CapacityMap


def decide_eviction(
    unit: PlacementUnit,
    capacities: CapacityMap,
    evictable_units: Mapping[str, list[PlacementUnit]],
    weighing: EvictionWeighing,
    planner_state: PlannerState,
    get_lost_core_s: CostFunction,
    *,
    allow_nonlocal: bool,
) -> Eviction | None:
    """Returns the units to evict for a unit; None if none are to be.

    Args:
        unit: The unit to place.
        capacities: Free capacity of usable workers of its service.
        evictable_units: Units that may be evicted, by worker.
        weighing: Weighs what the eviction keeps against what it costs.
        planner_state: Policies in force, the decision log and its metrics.
        get_lost_core_s: Returns the core-seconds lost if a unit stops.
        allow_nonlocal: See `place_unit`.
    """
    policies = planner_state.policies
    is_weighed = policies.eviction.weighs_caller_cost
    costs = weighing.make_victim_costs(unit)
    outlook = None
    if is_weighed:
        outlook = weighing.assess_urgent(unit)
        if outlook.hold_cause is not None:
            _log_held_back(planner_state, unit, outlook)
            return None
    eviction = find_eviction(
        unit,
        capacities,
        evictable_units,
        costs.get_cost_core_s if is_weighed else get_lost_core_s,
        allow_nonlocal=allow_nonlocal,
        policy=policies.eviction,
        packing=policies.packing,
    )
    if eviction is None:
        return None
    eviction.cost_core_s = sum(map(get_lost_core_s, eviction.victims))
    planner_state.decisions.emit(
        Event.UNIT_EVICTS,
        task=unit.key,
        victims=[victim.key for victim in eviction.victims],
        lost_core_s=round(eviction.cost_core_s, 1),
        **_describe_weighing(eviction, costs, outlook),
    )
    return eviction


def _describe_weighing(
    eviction: Eviction, costs: VictimCosts, outlook: UrgentOutlook | None
) -> dict[str, object]:
    if outlook is None:
        return {}
    return {
        "value": outlook.value_if_evicting.name.lower(),
        "victim_losses": _describe_victims(eviction, costs),
    }


def _describe_victims(
    eviction: Eviction, costs: VictimCosts
) -> list[list[object]]:
    """Returns key, lost core-seconds and lost value of each victim."""
    return [
        [
            victim.key,
            round(costs.get(victim).lost_core_s, 1),
            round(costs.get(victim).lost_value, 3),
        ]
        for victim in eviction.victims
    ]


def _log_held_back(
    planner_state: PlannerState, unit: PlacementUnit, outlook: UrgentOutlook
) -> None:
    cause = outlook.hold_cause
    if cause is None or planner_state.logged_hold_causes.get(unit.key) == cause:
        return
    planner_state.logged_hold_causes[unit.key] = cause
    planner_state.decisions.metrics.evictions_held.labels(cause.name).inc()
    planner_state.decisions.emit(
        Event.UNIT_EVICTION_HELD,
        task=unit.key,
        cause=cause,
        value=outlook.value_if_evicting.name.lower(),
    )
