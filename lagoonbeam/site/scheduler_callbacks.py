"""The part of the active scheduler that worker sessions use."""

from __future__ import annotations

from collections.abc import Mapping, Sequence
from typing import Protocol

from lagoonbeam.site.jobs import Task
from lagoonbeam.site.model import ActiveRun, EndEvidence, RunEndReason
from lagoonbeam.site.prior_leases import LeaseTermRecorder
from lagoonbeam.site.records import RunEnd
from lagoonbeam.site.state import SiteState


class SchedulerCallbacks(Protocol):
    """State and callbacks that the active scheduler offers worker sessions.

    Attributes:
        token: Number of the term, and fencing token of its first orders to
            each worker.
        lease_terms: Journals which workers' leases the term renews.
    """

    token: int
    lease_terms: LeaseTermRecorder

    @property
    def state(self) -> SiteState:
        """Replica of the state."""

    @property
    def may_renew_leases(self) -> bool:
        """Whether worker leases may be renewed."""

    def find_prior_lease_expiry_s(self, worker: str) -> float:
        """Returns when all leases of earlier terms on a worker have expired.

        In monotonic time.
        """

    async def record_run_ends(
        self, ends: Sequence[RunEnd], evidence: EndEvidence | None = None
    ) -> bool:
        """Journals the ends of runs; returns whether they are stored.

        Args:
            ends: The ends.
            evidence: Why the runs have ended; None if their worker listed the
                ends.
        """

    def lose_term(self, cause: str) -> None:
        """Stops scheduling, for example because a newer term exists."""

    def on_worker_usable(self, worker: str) -> None:
        """Requests a new plan after a worker became usable."""

    def on_run_stalled(self, worker: str, task: Task) -> None:
        """Stops a unit one of whose runs makes no progress."""

    def on_run_begun(self, task_id: str, run: int) -> None:
        """Collects a run whose start the worker has confirmed."""

    def on_start_refused(self, worker: str, task: Task) -> None:
        """Stops the other members of a gang after a start was refused."""

    def on_run_ended(
        self,
        worker: str,
        task: Task,
        end: RunEndReason,
        run_s: float | None,
    ) -> None:
        """Updates worker health and run time estimates after a run.

        Args:
            worker: The worker that reported the end.
            task: The task; the run is its current one.
            end: How the run ended.
            run_s: Run time, or None if this scheduler saw no start of the run.
        """

    def on_progress(
        self, worker: str, running: Mapping[str, ActiveRun]
    ) -> None:
        """Updates begun jobs, and the speed of a worker, after a poll.

        Args:
            worker: The worker.
            running: The runs that it reports, by task.
        """

    def repeat_start(self, task: Task) -> bool:
        """Sends the start of a placed task again, unless it is too early.

        Returns:
            Whether the task may still be started at its worker.
        """
