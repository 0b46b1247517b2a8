"""Lets each incarnation of a worker refuse the starts of ended runs."""

from __future__ import annotations

import time
from collections.abc import Iterable, Mapping

from lagoonbeam.site.late_starts.late_start_index import LateStart
from lagoonbeam.site.model import ActiveRun, FinishedRun
from lagoonbeam.site.records import RunEnd, RunKey
from lagoonbeam.site.run_dispatcher import RunDispatcher
from lagoonbeam.site.scheduler_callbacks import SchedulerCallbacks


class LateStartRefusals:
    """Late starts that one worker's present incarnation refuses for certain.

    Args:
        worker: The worker's name.
        scheduler: The active scheduler.
        dispatcher: Sends stop commands to the worker.
    """

    def __init__(
        self,
        worker: str,
        scheduler: SchedulerCallbacks,
        dispatcher: RunDispatcher,
    ):
        self._worker = worker
        self._scheduler = scheduler
        self._dispatcher = dispatcher
        self._refused: set[RunKey] = set()
        self._arrived_at_s: dict[RunKey, float] = {}
        self._settled: set[RunKey] = set()

    @property
    def may_arrive(self) -> bool:
        """Whether a start of a run that has ended may still arrive."""
        return any(map(self._may_arrive, self._list_late_starts()))

    @property
    def is_watching(self) -> bool:
        """Whether a start of a run that has ended is not settled yet."""
        return any(
            late_start.run_key not in self._settled
            for late_start in self._list_late_starts()
        )

    def is_settled(self, run_key: RunKey) -> bool:
        """Whether the start of a run can no longer begin or have begun it."""
        return run_key in self._settled

    def is_refused(self, run_key: RunKey) -> bool:
        """Whether the present incarnation refuses the start of a run."""
        return run_key in self._refused

    def record_refused(self, ends: Iterable[RunEnd | FinishedRun]) -> None:
        """Records runs that the present incarnation has stopped or ended."""
        self._refused |= {(end.task_id, end.run) for end in ends}

    def discard_refused(self) -> None:
        """Discards all refusals; a restarted worker knows none of them."""
        self._refused.clear()

    def update(self, running: Mapping[str, ActiveRun], sent_s: float) -> None:
        """Stops the runs of late starts that are not refused yet.

        Args:
            running: The runs that the worker lists, by task.
            sent_s: Monotonic time at which it was asked for them.
        """
        late_starts = self._list_late_starts()
        if not late_starts:
            self._refused.clear()
            return
        run_keys = {late_start.run_key for late_start in late_starts}
        self._refused &= run_keys
        self._settled &= run_keys
        self._settle(late_starts, sent_s)
        for task_id, run in run_keys - self._refused:
            active_run = running.get(task_id)
            is_running = active_run is not None and active_run.run == run
            if not is_running and self._dispatcher.was_stop_confirmed_before(
                task_id, run, sent_s
            ):
                self._refused.add((task_id, run))
                self._scheduler.on_worker_usable(self._worker)
            else:
                self._dispatcher.request_stop(
                    task_id, run, "a start of the ended run may arrive"
                )

    def _settle(self, late_starts: Iterable[LateStart], sent_s: float) -> None:
        """Settles refused starts if the worker was asked after their arrival.

        Args:
            late_starts: The late starts.
            sent_s: As for `update`.
        """
        now_s = time.monotonic()
        self._arrived_at_s = {
            late_start.run_key: self._arrived_at_s.get(
                late_start.run_key, now_s
            )
            for late_start in late_starts
            if not self._may_arrive(late_start)
        }
        self._settled |= {
            run_key
            for run_key, arrived_at_s in self._arrived_at_s.items()
            if run_key in self._refused and sent_s >= arrived_at_s
        }

    def _list_late_starts(self) -> list[LateStart]:
        late_starts = self._scheduler.state.late_starts
        return late_starts.list_by_worker(self._worker)

    def _may_arrive(self, late_start: LateStart) -> bool:
        renewal_count = self._scheduler.state.renewal_count
        return renewal_count < late_start.arrives_before_renewal
