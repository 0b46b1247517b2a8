"""What a worker's session needs of its scheduler."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lagoonbeam.site.entries import TaskState
from lagoonbeam.site.model import End
from lagoonbeam.site.records import RunEnd
from lagoonbeam.site.state import SiteState


class SchedulerCallbacks(Protocol):
    """What a session needs of its scheduler."""

    token: int
    prior_leases_expire_at_s: float

    @property
    def state(self) -> SiteState:
        """The state in force."""

    @property
    def may_renew_leases(self) -> bool:
        """Whether leases may still be renewed."""

    async def record_run_ends(self, ends: Sequence[RunEnd]) -> bool:
        """Journals ends; returns whether they are stored."""

    def lose_term(self, cause: str) -> None:
        """Stops scheduling: a newer term exists."""

    def on_worker_usable(self, worker: str) -> None:
        """Plans again after a worker became usable."""

    def on_run_stalled(self, worker: str, task: TaskState) -> None:
        """Stops a unit whose run stands still."""

    def on_start_refused(self, worker: str, task: TaskState) -> None:
        """Gives up the rest of a unit after a refused start."""

    def on_run_ended(
        self,
        worker: str,
        task: TaskState,
        end: End,
        run_s: float | None,
    ) -> None:
        """Learns from the end of a run that is the task's present one."""

    def should_keep_running(self, task: TaskState) -> bool:
        """Whether a task's run should go on."""
