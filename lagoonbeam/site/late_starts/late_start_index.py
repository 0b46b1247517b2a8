"""The late starts that the journal shows, by task and by worker."""

from __future__ import annotations

import math
from collections import defaultdict
from collections.abc import Iterator

import msgspec

from lagoonbeam.site.records import RunEnd, RunKey
from lagoonbeam.site.state_model import TERM_RENEWAL_INTERVAL_S

RETENTION_S = 60.0
"""Time for which a late start is kept after it can no longer arrive; longer
than the lease of a run that it began."""


def count_renewals(duration_s: float) -> int:
    """Returns a number of renewals of terms that take at least a duration.

    The first may follow at once, as the duration may begin between two.
    """
    return math.ceil(duration_s / TERM_RENEWAL_INTERVAL_S) + 1


class LateStart(msgspec.Struct, frozen=True, array_like=True):
    """A start without an answer whose run was recorded as ended.

    Attributes:
        task_id: The task.
        run: Number of the run.
        worker: The worker that may still carry it out.
        arrives_before_renewal: Number of renewals of terms, as counted in the
            site's state, from which on it can no longer arrive.
    """

    task_id: str
    run: int
    worker: str
    arrives_before_renewal: int

    @property
    def run_key(self) -> RunKey:
        """The run that it would begin."""
        return self.task_id, self.run


class LateStartIndex:
    """All late starts, until each can neither arrive nor have left a run.

    Time is counted in renewals of terms, so all replicas of the state agree.
    It stands still while no term is renewed.
    """

    def __init__(self) -> None:
        self._by_run: dict[RunKey, LateStart] = {}
        self._by_task: dict[str, dict[int, LateStart]] = defaultdict(dict)
        self._by_worker: dict[str, dict[RunKey, LateStart]] = defaultdict(dict)

    def __len__(self) -> int:
        return len(self._by_run)

    def __iter__(self) -> Iterator[LateStart]:
        return iter(list(self._by_run.values()))

    def add(self, late_start: LateStart) -> None:
        """Adds a late start."""
        run_key = late_start.run_key
        self._by_run[run_key] = late_start
        self._by_task[late_start.task_id][late_start.run] = late_start
        self._by_worker[late_start.worker][run_key] = late_start

    def add_ended(self, end: RunEnd, worker: str, renewal_count: int) -> None:
        """Adds the start of an ended run, if it may still arrive.

        Args:
            end: The end of the run.
            worker: The worker on which the run was placed.
            renewal_count: Present number of renewals of terms.
        """
        if end.late_start_ms > 0:
            renewals = count_renewals(end.late_start_ms / 1000)
            self.add(
                LateStart(
                    end.task_id, end.run, worker, renewal_count + renewals
                )
            )

    def list_by_task(self, task_id: str) -> list[LateStart]:
        """Returns the late starts of a task."""
        return list(self._by_task.get(task_id, {}).values())

    def list_by_worker(self, worker: str) -> list[LateStart]:
        """Returns the late starts that a worker may carry out."""
        return list(self._by_worker.get(worker, {}).values())

    def discard_expired(self, renewal_count: int) -> None:
        """Discards late starts after their retention time.

        Args:
            renewal_count: Present number of renewals of terms.
        """
        retention = count_renewals(RETENTION_S)
        for late_start in self:
            if late_start.arrives_before_renewal + retention <= renewal_count:
                self._discard(late_start)

    def _discard(self, late_start: LateStart) -> None:
        del self._by_run[late_start.run_key]
        of_task = self._by_task[late_start.task_id]
        del of_task[late_start.run]
        if not of_task:
            del self._by_task[late_start.task_id]
        at_worker = self._by_worker[late_start.worker]
        del at_worker[late_start.run_key]
        if not at_worker:
            del self._by_worker[late_start.worker]
