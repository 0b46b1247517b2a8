"""A launched gang and its members on their workers."""

from __future__ import annotations

import collections
from dataclasses import dataclass, field

import msgspec

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.planned_job import PlannedJob
from lagoonbeam.endpoints.base import TaskOrder, TaskReport, TaskState
from lagoonbeam.types import TaskId, WorkerName


class TaskAnnotation(msgspec.Struct, frozen=True, omit_defaults=True):
    """What a worker keeps for a scheduler that takes over.

    Attributes:
        job: The job.
        standing: On whose cells it runs.
        bound_slots: Size of the guaranteed cell that holds the member.
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
        worker: Where it runs.
        task_order: What the worker is asked.
        incarnation: The worker process that took the reservation.
        report: What the worker last said of it.
        lost: Whether the worker can no longer have it.
    """

    worker: WorkerName
    task_order: TaskOrder
    incarnation: str = ""
    report: TaskReport | None = None
    lost: bool = False

    @property
    def state(self) -> TaskState | None:
        """Where it stands, if its worker has said so."""
        return self.report.state if self.report else None

    @property
    def has_ended(self) -> bool:
        """Whether it runs no more and never will again."""
        return self.lost or (self.state is not None and self.state.has_ended)


@dataclass
class Gang:
    """One launch of a job.

    Attributes:
        planned: The job.
        attempt: Identifies the launch.
        members: Its tasks, in member order.
        started: Whether members were told to run.
        launching: Whether its launch is still under way.
        stopping: Whether it has been told to stop.
        cancelled: Whether its caller cancelled it.
        stop_cause: Why it was told to stop.
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
        """Returns the members of each worker."""
        members_by_worker: dict[WorkerName, list[GangMember]] = (
            collections.defaultdict(list)
        )
        for member in self.members:
            members_by_worker[member.worker].append(member)
        return members_by_worker

    def find_member(self, task_id: TaskId) -> GangMember | None:
        """Returns the member with that task, or None."""
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
        """Whether no member has ended other than by completing."""
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
        """Whether no member runs or ever will."""
        return all(member.has_ended for member in self.members)

    @property
    def is_confirmed_unstarted(self) -> bool:
        """Whether every worker has said that its members never ran."""
        return all(
            member.report is not None
            and member.report.state.has_ended
            and not member.report.started
            for member in self.members
        )

    @property
    def checkpointed_run_s(self) -> float:
        """Run time that the checkpoints of all members preserve."""
        reports = [member.report for member in self.members]
        if any(
            report is None or report.state is not TaskState.CHECKPOINTED
            for report in reports
        ):
            return 0.0
        return min(report.ran_s for report in reports if report)
