"""How long tasks take, learned by queue, and what a job can still earn."""

from __future__ import annotations

import enum

from lagoonbeam.site.jobs import SchedulingUnit, SiteJob
from lagoonbeam.site.model import QueuePolicy

WEIGHT = 0.15
"""Weight of the newest run in a queue's mean."""
UNKNOWN_S = 5.0
"""Seconds assumed for a task that nothing is known of."""
LATE_FACTOR = 3.0
"""Multiple of its objective up to which a job still earns, as the platform
states."""


class Earning(enum.IntEnum):
    """What finishing a job is still worth."""

    FULL = 0
    LATE = 1
    NOTHING = 2


class Durations:
    """Mean run time of the tasks of each queue."""

    def __init__(self) -> None:
        self._means_s: dict[str, float] = {}

    def note(self, queue: str, run_s: float) -> None:
        """Takes a finished run into account."""
        mean_s = self._means_s.get(queue, run_s)
        self._means_s[queue] = mean_s + WEIGHT * (run_s - mean_s)

    def estimate_s(self, unit: SchedulingUnit) -> float:
        """Returns the expected run time of a unit at full speed."""
        queue = unit.job.request.queue.name
        learned_s = self._means_s.get(queue)
        return learned_s or unit.spec.estimated_s or UNKNOWN_S

    def estimate_chain_s(self, job: SiteJob) -> float:
        """Returns the expected time of a job's longest chain of steps."""
        steps = job.request.steps
        ends_s: list[float] = []
        for number, step in enumerate(steps):
            first = job.units[0, number][0]
            before_s = max((ends_s[n] for n in step.after), default=0.0)
            ends_s.append(before_s + self.estimate_s(first))
        return max(ends_s)

    def get_earning(
        self, unit: SchedulingUnit, policy: QueuePolicy, now_s: float
    ) -> Earning:
        """Returns what a unit's job earns if the unit starts now.

        Args:
            unit: A unit that could start.
            policy: The queue's policy in force.
            now_s: Wall clock time.
        """
        job = unit.job
        chain_s = self.estimate_chain_s(job)
        objective_s = policy.stretch * chain_s + policy.target_s
        since_s = max(job.request.accepted_at_s, job.due_s(unit.occurrence))
        needed_s = now_s - since_s + self.estimate_s(unit)
        if needed_s <= objective_s:
            return Earning.FULL
        if needed_s <= LATE_FACTOR * objective_s:
            return Earning.LATE
        return Earning.NOTHING
