"""The units that are ready to start, in the order in which they are placed."""

from __future__ import annotations

import statistics
from collections import defaultdict
from dataclasses import replace

from lagoonbeam.site.attempts import has_used_up_attempts
from lagoonbeam.site.caller_cost.job_losses import JobLosses
from lagoonbeam.site.guarantees import find_guaranteed_jobs
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import Configuration, QueuePolicy
from lagoonbeam.site.ordering import RankingAttributes
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.run_time_estimator import JobValue
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import (
    StepKey,
    count_core_equivalents,
    get_step_key,
)


class ReadyQueue:
    """Finds and ranks the ready units of one plan.

    Policies, values and ranks are the same for all units of a step and are
    computed once for each step.

    Args:
        planner_state: State that persists between plans.
        state: The site's state.
        configuration: The current configuration.
        now_s: Wall clock time.

    Attributes:
        guaranteed_job_ids: Identifiers of the jobs that use a guarantee.
    """

    def __init__(
        self,
        planner_state: PlannerState,
        state: SiteState,
        configuration: Configuration,
        now_s: float,
    ):
        self._planner_state = planner_state
        self._state = state
        self._configuration = configuration
        self._now_s = now_s
        self._policy_by_queue: dict[str, QueuePolicy] = {}
        self._job_values: dict[StepKey, JobValue] = {}
        self._median_work_core_s: dict[int, float] = {}
        self._losses = JobLosses(planner_state.estimator, self.get_policy)
        self._ranks: dict[StepKey, tuple[float, ...]] = {}
        self.guaranteed_job_ids = find_guaranteed_jobs(
            state.open_jobs(), configuration.organisations, self.get_policy
        )

    def get_policy(self, job: SiteJob) -> QueuePolicy:
        """Returns a queue's current policy, or that of the job's acceptance."""
        accepted = job.request.queue
        policy = self._policy_by_queue.get(accepted.name)
        if policy is None:
            current = self._configuration.find_policy(accepted.name)
            policy = self._policy_by_queue[accepted.name] = current or accepted
        return policy

    def _find_ready_units(self) -> list[PlacementUnit]:
        launching_assignments = self._planner_state.launching_assignments
        is_ready_by_step: dict[tuple[str, int, int], bool] = {}
        ready_units: list[PlacementUnit] = []
        guard = self._planner_state.late_start_guard
        if guard is not None and not guard.is_needed:
            guard = None
        for unit in self._state.waiting_units():
            key = get_step_key(unit)
            if key not in is_ready_by_step:
                is_ready_by_step[key] = self._is_step_ready(unit)
            if (
                is_ready_by_step[key]
                and unit.key not in launching_assignments
                and not has_used_up_attempts(unit, self.get_policy(unit.job))
                and (guard is None or guard.may_place(unit))
            ):
                ready_units.append(unit)
        return ready_units

    def _is_step_ready(self, unit: PlacementUnit) -> bool:
        """Whether a unit is due and its step's predecessors are done."""
        job = unit.job
        if job.due_s(unit.occurrence) > self._now_s:
            return False
        predecessors = unit.spec.after
        return all(job.is_step_done(unit.occurrence, n) for n in predecessors)

    def get_job_value(self, unit: PlacementUnit) -> JobValue:
        """Returns the value of a unit's job if the unit starts now."""
        key = get_step_key(unit)
        if key not in self._job_values:
            self._job_values[key] = self._planner_state.estimator.get_job_value(
                unit, self.get_policy(unit.job), self._now_s
            )
        return self._job_values[key]

    def list_ranked(self) -> list[PlacementUnit]:
        """Returns the ready units in the order in which they are placed."""
        ready_units = self._find_ready_units()
        if self._planner_state.policies.ordering.ranks_by_slack:
            self._find_median_work(ready_units)
        return sorted(ready_units, key=self._get_rank)

    def _find_median_work(self, units: list[PlacementUnit]) -> None:
        """Finds the median work of the ready steps of each priority."""
        work_by_priority: dict[int, list[float]] = defaultdict(list)
        for unit in {get_step_key(unit): unit for unit in units}.values():
            priority = self.get_policy(unit.job).priority
            work_by_priority[priority].append(self._get_work_core_s(unit))
        self._median_work_core_s = {
            priority: statistics.median(works)
            for priority, works in work_by_priority.items()
        }

    def _get_work_core_s(self, unit: PlacementUnit) -> float:
        run_s = self._planner_state.estimator.estimate_run_s(unit)
        return run_s * unit.spec.count * count_core_equivalents(unit.spec)

    def _get_rank(self, unit: PlacementUnit) -> tuple[float, ...]:
        key = get_step_key(unit)
        if key not in self._ranks:
            self._ranks[key] = self._planner_state.policies.ordering.rank(
                self._make_ranking_attributes(unit)
            )
        return self._ranks[key]

    def _make_ranking_attributes(
        self, unit: PlacementUnit
    ) -> RankingAttributes:
        job = unit.job
        attributes = RankingAttributes(
            job.request.job_id in self.guaranteed_job_ids,
            unit.spec.is_long_running,
            self.get_policy(job).priority,
            self.get_job_value(unit),
            max(job.request.accepted_at_s, job.due_s(unit.occurrence)),
        )
        if not self._planner_state.policies.ordering.ranks_by_slack:
            return attributes
        return self._add_slack(unit, attributes)

    def _add_slack(
        self, unit: PlacementUnit, attributes: RankingAttributes
    ) -> RankingAttributes:
        window = self._losses.get_window(unit)
        until_s = (
            window.full_until_s
            if attributes.job_value is JobValue.FULL
            else window.reduced_until_s
        )
        work_core_s = self._get_work_core_s(unit)
        median_core_s = self._median_work_core_s[attributes.priority]
        run_s = self._planner_state.estimator.estimate_run_s(unit)
        return replace(
            attributes,
            latest_start_s=until_s - run_s,
            value_period_s=until_s - attributes.eligible_at_s,
            relative_work=work_core_s / median_core_s if median_core_s else 1.0,
        )
