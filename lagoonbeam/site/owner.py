"""What a worker's session needs of its scheduler."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Protocol

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import RunEndReason
from lagoonbeam.site.records import RunEnd
from lagoonbeam.site.state import SiteState


class Owner(Protocol):
    """What a session needs of its scheduler."""

    token: int
    foreign_lease_s: float

    @property
    def state(self) -> SiteState:
        """The state in force."""

    @property
    def may_renew(self) -> bool:
        """Whether leases may still be renewed."""

    async def end_runs(self, ends: Sequence[RunEnd]) -> bool:
        """Journals ends; returns whether they are stored."""

    def lose_term(self, cause: str) -> None:
        """Stops scheduling: a newer term exists."""

    def note_usable(self, worker: str) -> None:
        """Plans again after a worker became usable."""

    def note_stall(self, worker: str, task: Task) -> None:
        """Stops a unit whose run stands still."""

    def note_refusal(self, worker: str, task: Task) -> None:
        """Gives up the rest of a unit after a refused start."""

    def note_end(
        self,
        worker: str,
        task: Task,
        end: RunEndReason,
        run_s: float | None,
    ) -> None:
        """Learns from the end of a run that is the task's present one."""

    def is_wanted(self, task: Task) -> bool:
        """Whether a task's run should go on."""
