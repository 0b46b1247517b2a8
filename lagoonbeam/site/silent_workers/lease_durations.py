"""How long the leases that a worker's poll or start grants last.

The lease of a silent worker holds back its tasks until it has expired. It must
outlast what keeps a sound worker from being renewed: a poll, takeovers, and
stores that do not answer.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterable
from dataclasses import dataclass, field

from lagoonbeam.site.jobs import Task

SHORT_LEASE_S = 4.0
"""Lease of a worker that only has short runs; outlasts one takeover."""
STEADY_LEASE_S = 6.0
"""Lease of workers with urgent runs beside others; outlasts two takeovers in a
row."""
MAX_CONFIRMATION_AGE_S = 1.0
"""Time since the last confirmed append from which on leases are the longest."""
TERM_SETTLING_S = 5.0
"""Age of a term up to which its leases are the longest: the faults that end
terms often come in series."""


@dataclass(frozen=True, slots=True)
class LeaseDurations:
    """Chooses the duration of each lease of a term.

    Attributes:
        max_s: Longest lease that a worker grants.
        get_confirmation_age_s: Returns the time since the last confirmed
            append.
        created_at_s: Monotonic time at which the term began.
    """

    max_s: float
    get_confirmation_age_s: Callable[[], float] = lambda: 0.0
    created_at_s: float = field(default_factory=lambda: time.monotonic())

    @property
    def is_shortened(self) -> bool:
        """Whether leases may be shorter than the longest."""
        return self.max_s > STEADY_LEASE_S

    def choose_s(self, tasks: Iterable[Task]) -> float:
        """Returns the duration of a lease granted now.

        Args:
            tasks: The tasks placed on the worker.
        """
        if (
            not self.is_shortened
            or self.get_confirmation_age_s() > MAX_CONFIRMATION_AGE_S
            or time.monotonic() - self.created_at_s < TERM_SETTLING_S
        ):
            return self.max_s
        placed_tasks = list(tasks)
        if all(map(_is_short, placed_tasks)):
            return SHORT_LEASE_S
        if any(map(_is_urgent, placed_tasks)):
            return STEADY_LEASE_S
        return self.max_s


def _is_urgent(task: Task) -> bool:
    """Whether a task's job cannot wait for a long lease to expire."""
    unit = task.unit
    return (
        unit.job.request.queue.priority == 0 and not unit.spec.is_long_running
    )


def _is_short(task: Task) -> bool:
    """Whether a run is expected to end within its first lease."""
    step = task.unit.spec
    return not step.is_long_running and 0 < step.estimated_s <= SHORT_LEASE_S
