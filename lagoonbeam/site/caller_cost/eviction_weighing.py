"""Weighs what an urgent unit keeps by an eviction against what it costs."""

from __future__ import annotations

import enum
from collections.abc import Callable, Mapping, Set
from dataclasses import dataclass

from lagoonbeam.site.caller_cost.job_losses import (
    JobLosses,
    has_objective,
)
from lagoonbeam.site.caller_cost.victim_costs import VictimCosts
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.release_times import Release
from lagoonbeam.site.run_time_estimator import JobValue
from lagoonbeam.site.session import WorkerSession
from lagoonbeam.site.state import SiteState

STOP_S = 0.5
"""Usual time from an eviction until the capacity is free."""


class HoldCause(enum.StrEnum):
    """Why nothing is evicted for an urgent unit."""

    NO_VALUE_LEFT = "its job would have no value left"


@dataclass(frozen=True, slots=True)
class UrgentOutlook:
    """What the job of an urgent unit is worth after an eviction.

    Attributes:
        value_if_evicting: Value if capacity is evicted for it now.
        hold_cause: Why nothing is to be evicted for it, if so.
    """

    value_if_evicting: JobValue
    hold_cause: HoldCause | None = None


class EvictionWeighing:
    """Weighs the evictions of one plan.

    Units under a guarantee and restarts of long-running tasks evict whatever it
    costs others, and so do queues without an objective.

    Args:
        planner_state: State that persists between plans.
        state: The site's state.
        sessions: The sessions with all workers.
        get_policy: Returns the current policy of a job's queue.
        guaranteed_job_ids: Identifiers of the jobs that use a guarantee.
        now_s: Wall clock time.
    """

    def __init__(
        self,
        planner_state: PlannerState,
        state: SiteState,
        sessions: Mapping[str, WorkerSession],
        get_policy: Callable[[SiteJob], QueuePolicy],
        guaranteed_job_ids: Set[str],
        now_s: float,
    ):
        self._planner_state = planner_state
        self._state = state
        self._sessions = sessions
        self._get_policy = get_policy
        self._guaranteed_job_ids = guaranteed_job_ids
        self._now_s = now_s
        self._monotonic_s = planner_state.clock.read_monotonic_s()
        self._losses = JobLosses(planner_state.estimator, get_policy)

    def make_victim_costs(self, unit: PlacementUnit) -> VictimCosts:
        """Returns the costs of evictions for a unit."""
        run_s = self._planner_state.estimator.estimate_run_s(unit)
        return VictimCosts(
            self._losses,
            self._planner_state.estimator,
            self._sessions,
            self._list_releases,
            self._now_s,
            self._now_s + STOP_S + run_s,
        )

    def _may_be_held(self, unit: PlacementUnit) -> bool:
        """Whether the eviction for a unit depends on what it costs others."""
        return not (
            unit.spec.is_long_running
            or unit.job.request.job_id in self._guaranteed_job_ids
            or not has_objective(self._get_policy(unit.job))
        )

    def assess_urgent(self, unit: PlacementUnit) -> UrgentOutlook:
        """Returns what a unit that fits nowhere is worth after an eviction.

        Args:
            unit: The unit.
        """
        run_s = self._planner_state.estimator.estimate_run_s(unit)
        window = self._losses.get_window(unit)
        value_if_evicting = window.get_value(self._now_s + STOP_S + run_s)
        if value_if_evicting is JobValue.NONE and self._may_be_held(unit):
            return UrgentOutlook(value_if_evicting, HoldCause.NO_VALUE_LEFT)
        return UrgentOutlook(value_if_evicting)

    def _list_releases(self, worker: str) -> list[Release]:
        releases = self._planner_state.release_times.get(
            self._state, self._sessions, worker, self._monotonic_s
        )
        offset_s = self._now_s - self._monotonic_s
        return [(end_s + offset_s, unit) for end_s, unit in releases]
