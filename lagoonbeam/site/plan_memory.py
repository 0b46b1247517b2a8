"""What lasts from one plan to the next."""

from __future__ import annotations

from dataclasses import dataclass

from lagoonbeam.core.clock import Clock
from lagoonbeam.site.advice import AdviceCache
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.durations import Durations
from lagoonbeam.site.entries import JobEntry, UnitState
from lagoonbeam.site.events import Event
from lagoonbeam.site.placement import Assignment
from lagoonbeam.site.policies import Policies, make_policies
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.usage import Usage

EVICTION_S = 2.0
"""Seconds that room is kept for a unit after its victims were stopped."""


@dataclass(slots=True)
class Reserved:
    """Room kept for a unit whose victims are being stopped."""

    unit: UnitState
    assignment: Assignment
    until_s: float


class PlanMemory:
    """What lasts from one plan to the next.

    Args:
        decisions: The decision log.
        advice: Tickets for the workers that queues may use.
        policies: The policies in force; the defaults if None.
        clock: Tells the time.
    """

    def __init__(
        self,
        decisions: DecisionLog,
        advice: AdviceCache | None = None,
        *,
        policies: Policies | None = None,
        clock: Clock | None = None,
    ):
        self.policies = policies or make_policies()
        self.clock = clock or Clock()
        self.durations = Durations()
        self.launching: dict[str, Assignment] = {}
        self.reserved: dict[str, Reserved] = {}
        self.tried: set[str] = set()
        self.usage = Usage()
        self.decisions = decisions
        self.advice = advice
        self._waiting: dict[str, int] = {}
        self._avoided: dict[str, set[str]] = {}

    def reserve(self, unit: UnitState, assignment: Assignment) -> None:
        """Keeps room for a unit while its victims are stopped."""
        until_s = self.clock.read_steady_s() + EVICTION_S
        self.reserved[unit.key] = Reserved(unit, assignment, until_s)

    def drop_stale(self, state: SiteState) -> None:
        """Forgets what concerns units that ended or waited too long."""
        now_s = self.clock.read_steady_s()
        self.reserved = {
            key: reserved
            for key, reserved in self.reserved.items()
            if reserved.until_s > now_s
            and reserved.unit.job.is_open
            and not reserved.unit.has_runs
        }
        self._avoided = {
            key: workers
            for key, workers in self._avoided.items()
            if _is_open(state, key)
        }
        self._waiting = {
            key: run
            for key, run in self._waiting.items()
            if _is_open(state, key)
        }

    def is_launching(self, job: JobEntry) -> bool:
        """Whether placements of a job are being journaled."""
        return any(
            assignment[0][0].unit.job is job
            for assignment in self.launching.values()
        )

    def avoid(self, unit: UnitState, worker: str) -> None:
        """Notes that a unit fared badly on a worker."""
        self._avoided.setdefault(unit.key, set()).add(worker)

    def get_avoided(self, unit: UnitState) -> frozenset[str]:
        """Returns the workers on which a unit fared badly."""
        return frozenset(self._avoided.get(unit.key, ()))

    def note_waiting(self, unit: UnitState, **inputs: object) -> None:
        """Writes once for each start why a unit could not be placed."""
        if self._waiting.get(unit.key) == unit.next_run:
            return
        self._waiting[unit.key] = unit.next_run
        step = unit.spec
        self.decisions.emit(
            Event.UNIT_WAITS,
            task=unit.key,
            run=unit.next_run,
            tasks=len(unit.tasks),
            accelerators=step.accelerators,
            is_gang=step.is_gang,
            is_one_rack=step.is_one_rack,
            data_rack=step.data_rack,
            **inputs,
        )


def _is_open(state: SiteState, key: str) -> bool:
    task = state.tasks.get(key)
    return task is not None and task.unit.job.is_open
