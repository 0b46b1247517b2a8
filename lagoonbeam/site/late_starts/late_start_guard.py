"""Keeps a task from running while a late start may begin an earlier run of it.

A late start can only be carried out by an incarnation of its worker that has
neither confirmed a stop of the run nor seen a newer fencing token. While the
worker answers as an incarnation that did, the task may run on any worker. Once
it falls silent, it may have restarted unseen: the task then gives way until
the worker answers again or the start can no longer arrive.
"""

from __future__ import annotations

import time
from collections.abc import Callable, Iterator, Mapping
from typing import Protocol

import anyio

from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.late_starts.late_start_index import (
    LateStart,
    count_renewals,
)
from lagoonbeam.site.late_starts.late_start_refusals import LateStartRefusals
from lagoonbeam.site.metrics import Metrics
from lagoonbeam.site.model import ActiveRun
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.site.state import SiteState

MAX_SILENCE_S = 0.6
"""Age of a worker's newest answered poll up to which it counts as reached; it
is polled every 0.1 s while a late start may arrive."""
CHECK_INTERVAL_S = 0.05
"""Interval between two looks at the workers while there are late starts."""
IDLE_INTERVAL_S = 0.25
"""Interval at which new late starts are looked for."""
SESSION_OPENING_S = 1.0
"""Time that a new term is given to open its sessions with the workers."""


class WatchedSession(Protocol):
    """The part of a worker's session that tells what it may carry out late.

    Attributes:
        is_listed: Whether the directory lists the worker.
        running: The runs in the worker's newest report, by task.
        late_starts: The late starts that its present incarnation refuses.
        polls: The polls of the worker.
    """

    is_listed: bool
    running: dict[str, ActiveRun]
    late_starts: LateStartRefusals
    polls: PollWatch


class LateStartGuard:
    """Decides which units late starts keep from running.

    Args:
        get_state: Returns the replica of the state.
        sessions: The session with each worker, by name.
        lease_s: Longest lease of a run, in seconds on the worker's clock.
    """

    def __init__(
        self,
        get_state: Callable[[], SiteState],
        sessions: Mapping[str, WatchedSession],
        lease_s: float,
    ):
        self._get_state = get_state
        self._sessions = sessions
        self._lease_renewals = count_renewals(lease_s)
        self._created_at_s = time.monotonic()

    @property
    def is_needed(self) -> bool:
        """Whether there is any late start."""
        return bool(len(self._get_state().late_starts))

    def may_place(self, unit: PlacementUnit) -> bool:
        """Whether no late start may begin an earlier run of a unit's tasks."""
        return not self.is_needed or not any(
            self._may_begin(late_start, unit)
            for late_start in self._list_late_starts(unit)
        )

    def find_endangered(self) -> Iterator[tuple[PlacementUnit, str]]:
        """Yields placed units that have to give way, with the late worker.

        A job that must not run again goes on.
        """
        tasks = self._get_state().tasks
        for late_start in self._get_state().late_starts:
            task = tasks.get(late_start.task_id)
            if (
                task is not None
                and _runs_elsewhere(task, late_start.worker)
                and not task.unit.spec.is_speculative
                and not task.unit.job.request.runs_once
                and self._may_have_begun(late_start)
            ):
                yield task.unit, late_start.worker

    async def run(
        self,
        stop_unit: Callable[[PlacementUnit, str], None],
        metrics: Metrics,
    ) -> None:
        """Stops units that have to give way until cancelled.

        Args:
            stop_unit: Stops the runs of all tasks of a unit, for a cause.
            metrics: Shows the number of late starts.
        """
        while True:
            metrics.late_starts.set(len(self._get_state().late_starts))
            for unit, worker in self.find_endangered():
                stop_unit(unit, f"{worker} may carry out an earlier start")
            await anyio.sleep(
                CHECK_INTERVAL_S if self.is_needed else IDLE_INTERVAL_S
            )

    def _list_late_starts(self, unit: PlacementUnit) -> Iterator[LateStart]:
        if unit.spec.is_speculative:
            return
        late_starts = self._get_state().late_starts
        for task in unit.tasks:
            yield from late_starts.list_by_task(task.task_id)

    def _may_begin(self, late_start: LateStart, unit: PlacementUnit) -> bool:
        """Whether a late start may begin, or may have begun, a run."""
        session = self._sessions.get(late_start.worker)
        if not self._may_exist(late_start, session):
            return False
        return (
            session is None
            or not session.late_starts.is_refused(late_start.run_key)
            or session.polls.silence_s > MAX_SILENCE_S
            or (unit.job.request.runs_once and self._may_arrive(late_start))
        )

    def _may_have_begun(self, late_start: LateStart) -> bool:
        """Whether a worker that got a late start is silent, or runs it."""
        session = self._sessions.get(late_start.worker)
        if not self._may_exist(late_start, session):
            return False
        if session is None:
            age_s = time.monotonic() - self._created_at_s
            return age_s > SESSION_OPENING_S
        active_run = session.running.get(late_start.task_id)
        return session.polls.silence_s > MAX_SILENCE_S or (
            active_run is not None and active_run.run == late_start.run
        )

    def _may_arrive(self, late_start: LateStart) -> bool:
        renewal_count = self._get_state().renewal_count
        return renewal_count < late_start.arrives_before_renewal

    def _may_exist(
        self, late_start: LateStart, session: WatchedSession | None
    ) -> bool:
        """Whether a late start may arrive, or its run may hold a lease.

        The directory lists a worker that runs, but for faults shorter than a
        lease, so that only listed ones are awaited beyond the arrival.
        """
        renewal_count = self._get_state().renewal_count
        lapses_at = late_start.arrives_before_renewal + self._lease_renewals
        return self._may_arrive(late_start) or (
            session is not None
            and session.is_listed
            and not session.late_starts.is_settled(late_start.run_key)
            and renewal_count < lapses_at
        )


def _runs_elsewhere(task: Task, worker: str) -> bool:
    return task.placement is not None and task.placement.worker != worker
