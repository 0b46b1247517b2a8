"""The units that are ready to start, in the order in which they are placed."""

from __future__ import annotations

from lagoonbeam.site.attempts import has_used_up_attempts
from lagoonbeam.site.guarantees import find_guaranteed_jobs
from lagoonbeam.site.jobs import PlacementUnit, SiteJob
from lagoonbeam.site.model import Configuration, QueuePolicy
from lagoonbeam.site.ordering import RankingAttributes
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.run_time_estimator import JobValue
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import StepKey, get_step_key


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
        for unit in self._state.waiting_units():
            key = get_step_key(unit)
            if key not in is_ready_by_step:
                is_ready_by_step[key] = self._is_step_ready(unit)
            if (
                is_ready_by_step[key]
                and unit.key not in launching_assignments
                and not has_used_up_attempts(unit, self.get_policy(unit.job))
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
        return sorted(self._find_ready_units(), key=self._get_rank)

    def _get_rank(self, unit: PlacementUnit) -> tuple[float, ...]:
        key = get_step_key(unit)
        if key not in self._ranks:
            job = unit.job
            due_s = job.due_s(unit.occurrence)
            self._ranks[key] = self._planner_state.policies.ordering.rank(
                RankingAttributes(
                    job.request.job_id in self.guaranteed_job_ids,
                    unit.spec.is_long_running,
                    self.get_policy(job).priority,
                    self.get_job_value(unit),
                    max(job.request.accepted_at_s, due_s),
                )
            )
        return self._ranks[key]
