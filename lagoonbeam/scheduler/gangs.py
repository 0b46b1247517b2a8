"""A gang, that is one launch of a job, and its members on their workers."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

import msgspec

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.endpoints.base import TaskOrder, TaskReport, TaskState
from lagoonbeam.types import TaskId, WorkerName


class TaskAnnotation(msgspec.Struct, frozen=True, omit_defaults=True):
    """Data of a task that its worker keeps and reports with the task.

    A scheduler that takes over the zone rebuilds the gang from it.

    Attributes:
        job: The job.
        standing: By which right the job uses its cells.
        bound_slots: Size of the bound cell of the guarantee that contains the
            member; 0 outside the guarantee.
        workers: Workers of all members, in member order.
    """

    job: Job
    standing: str
    bound_slots: int = 0
    workers: tuple[WorkerName, ...] = ()


@dataclass
class GangMember:
    """One task of a gang.

    Attributes:
        worker: Worker of the task.
        task_order: The task as the worker is asked to run it.
        incarnation: Incarnation of the worker that made the reservation.
        report: Latest report of the task; None before the first.
        lost: Whether the worker can no longer be running the task, because it
            restarted or because the lease of the task has expired.
    """

    worker: WorkerName
    task_order: TaskOrder
    incarnation: str = ""
    report: TaskReport | None = None
    lost: bool = False

    @property
    def state(self) -> TaskState | None:
        """State of the task in its latest report; None before the first."""
        return self.report.state if self.report else None

    @property
    def has_ended(self) -> bool:
        """Whether the task does not run and never will again."""
        return self.lost or (self.state is not None and self.state.has_ended)


@dataclass
class Gang:
    """One launch of a job.

    Attributes:
        planned: The job.
        attempt: Identifier of the launch.
        members: Its tasks, in member order.
        started: Whether commands to run its members may have been sent.
        launching: Whether the launch, or the voiding of its intent, is in
            progress.
        stopping: Whether its stop has been requested.
        cancelled: Whether the caller cancelled the job.
        stop_cause: Reason for the stop.
    """

    planned: PlannedJob
    attempt: str
    members: list[GangMember] = field(default_factory=list)
    started: bool = False
    launching: bool = True
    stopping: bool = False
    cancelled: bool = False
    stop_cause: str = ""

    @property
    def job(self) -> Job:
        """The job."""
        return self.planned.job

    def group_members_by_worker(self) -> dict[WorkerName, list[GangMember]]:
        """Returns the members on each worker."""
        members_by_worker: dict[WorkerName, list[GangMember]] = (
            collections.defaultdict(list)
        )
        for member in self.members:
            members_by_worker[member.worker].append(member)
        return members_by_worker

    def find_member(self, task_id: TaskId) -> GangMember | None:
        """Returns the member that runs a task, or None."""
        return next(
            (
                member
                for member in self.members
                if member.task_order.task_id == task_id
            ),
            None,
        )

    @property
    def is_intact(self) -> bool:
        """Whether every member is running, yet to start or completed."""
        return not any(
            member.lost
            or (
                member.state is not None
                and member.state.has_ended
                and member.state is not TaskState.COMPLETED
            )
            for member in self.members
        )

    @property
    def has_completed(self) -> bool:
        """Whether every member completed."""
        return all(
            member.state is TaskState.COMPLETED for member in self.members
        )

    @property
    def has_ended(self) -> bool:
        """Whether no member runs or ever will again."""
        return all(member.has_ended for member in self.members)

    @property
    def is_confirmed_unstarted(self) -> bool:
        """Whether every member has ended and was reported as never started."""
        return all(
            member.report is not None
            and member.report.state.has_ended
            and not member.report.started
            for member in self.members
        )

    @property
    def checkpointed_run_s(self) -> float:
        """Run time preserved by checkpoints; 0 unless all members have one."""
        reports = [member.report for member in self.members]
        if any(
            report is None or report.state is not TaskState.CHECKPOINTED
            for report in reports
        ):
            return 0.0
        return min(report.ran_s for report in reports if report)
