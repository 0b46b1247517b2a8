"""Interface of adapters that command the platform's workers.

Workers fence off schedulers of earlier terms: a worker accepts commands of
the newest term that it has seen and refuses older ones. It stops tasks whose
lease is not renewed.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from lagoonbeam.core.records import Term
from lagoonbeam.core.registry import PluginRegistry
from lagoonbeam.core.settings import EndpointsSettings
from lagoonbeam.types import JobId, TaskId


class TaskState(enum.StrEnum):
    """State of a task on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"

    @property
    def has_ended(self) -> bool:
        """Whether the task has ended for good."""
        return self not in (TaskState.RESERVED, TaskState.RUNNING)


class TaskOrder(msgspec.Struct, frozen=True):
    """Order to a worker to run one member of a gang.

    Attributes:
        task_id: Unique identifier; the same order may be sent again.
        job_id: Job that the gang runs.
        attempt: Identifier of the gang's launch.
        member: Index of the task in the gang.
        members: Number of members in the gang.
        first_slot: First slot of the worker that the task uses.
        slots: Number of slots that the task uses.
        payload: Text from the caller that the task receives.
        annotation: Text that the worker stores and reports back, from which a
            later scheduler rebuilds the gang.
        resume_s: Run time preserved by the checkpoint to resume from.
    """

    task_id: TaskId
    job_id: JobId
    attempt: str
    member: int
    members: int
    first_slot: int
    slots: int
    payload: str
    annotation: str
    resume_s: float = 0.0


class TaskReport(msgspec.Struct, frozen=True):
    """A worker's report on a task; see `TaskOrder` for the other fields.

    Attributes:
        state: State of the task.
        result: Result of the task, once completed.
        ran_s: Run time so far.
        started: Whether the task has ever run.
    """

    task_id: TaskId
    job_id: JobId
    attempt: str
    member: int
    members: int
    first_slot: int
    slots: int
    state: TaskState
    annotation: str = ""
    result: str = ""
    ran_s: float = 0.0
    started: bool = False


class SyncRequest(msgspec.Struct, frozen=True):
    """Renewal of leases and poll for changes.

    Attributes:
        term: The scheduler's term.
        lease_s: Duration of the renewed leases.
        renew: Attempts whose tasks on this worker get a new lease.
        forget: Ended tasks that the worker may delete.
        seen: Revision of the last reply received; -1 for none.
        wait_s: How long the worker waits for a newer revision before it
            replies.
    """

    term: Term
    lease_s: float
    renew: Sequence[str] = ()
    forget: Sequence[TaskId] = ()
    seen: int = -1
    wait_s: float = 0.0


class SyncReply(msgspec.Struct, frozen=True):
    """State of a worker and its changed tasks.

    Attributes:
        incarnation: Identifier that changes when the worker restarts, which
            loses its tasks.
        revision: Number that changes with every change of state.
        leaving: Whether the worker accepts no new tasks.
        tasks: Tasks that have changed since the revision in the request.
    """

    incarnation: str
    revision: int
    leaving: bool = False
    tasks: list[TaskReport] = []


class EndpointDriver(ABC):
    """Sends commands to one worker.

    All commands are idempotent. They raise `StaleTermError` if the worker has
    seen a newer term, `WorkerRefusedError` if it refuses for another reason
    (the command had no effect), and `WorkerUnreachableError` if there is no
    valid reply (the command may have been executed).

    Args:
        url: Base URL of the worker.
        settings: Time limits.
    """

    def __init__(self, url: str, settings: EndpointsSettings):
        self.url = url
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Opens the adapter's connections."""

    async def close(self) -> None:  # noqa: B027
        """Closes the adapter's connections."""

    @abstractmethod
    async def sync(self, request: SyncRequest) -> SyncReply:
        """Renews leases and returns the worker's state."""

    @abstractmethod
    async def reserve(
        self, term: Term, tasks: Sequence[TaskOrder], *, lease_s: float
    ) -> str:
        """Reserves slots for tasks; returns the worker's incarnation."""

    @abstractmethod
    async def run(
        self, term: Term, task_ids: Sequence[TaskId], *, lease_s: float
    ) -> None:
        """Starts reserved tasks."""

    @abstractmethod
    async def stop(
        self, term: Term, task_ids: Sequence[TaskId], *, checkpoint: bool
    ) -> None:
        """Releases reserved tasks and stops running ones."""


ENDPOINT_DRIVERS: PluginRegistry[type[EndpointDriver]] = PluginRegistry(
    "endpoints adapter"
)
