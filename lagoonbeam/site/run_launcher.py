"""Launches planned units: journals their placements, then starts the runs."""

from __future__ import annotations

import time
from collections.abc import Awaitable, Callable, Sequence
from functools import partial

import anyio.abc

from lagoonbeam.site.advice import AdviceCache
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.fleet import WorkerFleet
from lagoonbeam.site.jobs import PlacementUnit, Task
from lagoonbeam.site.model import EndEvidence, RunEndReason
from lagoonbeam.site.placement import Assignment
from lagoonbeam.site.planner_state import PlannerState
from lagoonbeam.site.records import (
    Placement,
    Record,
    RunEnd,
    split_placements,
)
from lagoonbeam.site.state import SiteState
from lagoonbeam.site.worker_capacity import get_step_id


class RunLauncher:
    """Starts runs whose placements are in the journal.

    Args:
        get_state: Returns the replica of the state.
        fleet: The sessions with all workers.
        may_place: Whether no late start keeps a unit from running.
        advice: Tickets of the advice service.
        planner_state: Holds the placements that are not yet in the journal.
        append_to_journal: Appends records; returns whether they are stored.
        record_run_ends: Journals ends of runs; returns whether they are stored.
        decisions: The decision log.
    """

    def __init__(
        self,
        *,
        get_state: Callable[[], SiteState],
        fleet: WorkerFleet,
        may_place: Callable[[PlacementUnit], bool],
        advice: AdviceCache,
        planner_state: PlannerState,
        append_to_journal: Callable[[Sequence[Record]], Awaitable[bool]],
        record_run_ends: Callable[
            [Sequence[RunEnd], EndEvidence], Awaitable[bool]
        ],
        decisions: DecisionLog,
    ):
        self._get_state = get_state
        self._fleet = fleet
        self._may_place = may_place
        self._advice = advice
        self._planner_state = planner_state
        self._append_to_journal = append_to_journal
        self._record_run_ends = record_run_ends
        self._decisions = decisions

    def launch(
        self,
        starts: Sequence[tuple[PlacementUnit, Assignment]],
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        """Launches the units of a plan in the background."""
        placements: list[Placement] = []
        now_s = time.time()
        for unit, assignment in starts:
            due_s = max(
                unit.job.request.accepted_at_s, unit.job.due_s(unit.occurrence)
            )
            self._decisions.metrics.start_latency_s.observe(
                max(0.0, now_s - due_s)
            )
            run = unit.next_run
            for task, worker in assignment:
                session = self._fleet.sessions[worker]
                self._fleet.pending_starts.add((task.task_id, run))
                placements.append(
                    Placement(
                        task.task_id,
                        run,
                        worker,
                        session.report.incarnation,
                        unit.checkpoint,
                    )
                )
        if placements:
            unit_keys = [unit.key for unit, _ in starts]
            task_group.start_soon(
                self._journal_and_start, placements, unit_keys, task_group
            )

    async def _journal_and_start(
        self,
        placements: list[Placement],
        unit_keys: list[str],
        task_group: anyio.abc.TaskGroup,
    ) -> None:
        """Journals the placements of units, then starts those still valid."""
        is_stored = await self._append_to_journal(split_placements(placements))
        for key in unit_keys:
            self._planner_state.launching_assignments.pop(key, None)
        tasks = self._get_state().tasks
        valid_placements = [
            (task, placement)
            for placement in placements
            if is_stored
            and (task := tasks.get(placement.task_id)) is not None
            and task.placement == placement
            and task.unit.job.is_open
        ]
        valid_ids = {task.task_id for task, _ in valid_placements}
        for placement in placements:
            if placement.task_id not in valid_ids:
                self._cancel_pending_start(placement)
        withdrawn_units = {
            task.unit.key
            for task, placement in valid_placements
            if not self._fleet.accepts_runs(placement.worker)
            or self._fleet.awaits_answer(placement.worker)
            or not self._fleet.has_incarnation(
                placement.worker, placement.incarnation
            )
            or not self._may_place(task.unit)
        }
        withdrawn = [
            placement
            for task, placement in valid_placements
            if task.unit.key in withdrawn_units
        ]
        for task, placement in valid_placements:
            if task.unit.key not in withdrawn_units:
                self._start(task, placement, task_group)
        await self._withdraw(withdrawn)

    async def _withdraw(self, placements: Sequence[Placement]) -> None:
        """Records that the runs of placements were never started."""
        ends = [
            RunEnd(each.task_id, each.run, RunEndReason.NEVER_STARTED)
            for each in placements
        ]
        if ends:
            await self._record_run_ends(ends, EndEvidence.NOT_SENT)
        for placement in placements:
            self._cancel_pending_start(placement)

    def repeat_start(self, task: Task, task_group: anyio.abc.TaskGroup) -> bool:
        """Repeats a start; see `SchedulerCallbacks.repeat_start`."""
        placement = task.placement
        if (
            placement is None
            or not task.unit.job.is_open
            or not self._fleet.accepts_runs(placement.worker)
        ):
            return False
        dispatcher = self._fleet.sessions[placement.worker].dispatcher
        if dispatcher.is_start_repeat_due(task):
            self._fleet.pending_starts.add((task.task_id, placement.run))
            self._start(task, placement, task_group, is_repeat=True)
        return True

    def _start(
        self,
        task: Task,
        placement: Placement,
        task_group: anyio.abc.TaskGroup,
        *,
        is_repeat: bool = False,
    ) -> None:
        session = self._fleet.sessions[placement.worker]
        tickets = self._advice.get_tickets(get_step_id(task.unit))
        ticket = tickets.get(placement.worker, "")
        start = partial(session.dispatcher.start_run, is_repeat=is_repeat)
        task_group.start_soon(start, task, placement, ticket)

    def _cancel_pending_start(self, placement: Placement) -> None:
        self._fleet.pending_starts.discard((placement.task_id, placement.run))
