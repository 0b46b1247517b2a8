"""What an adapter for the platform's workers must do.

A worker is the arbiter of what runs on it: it obeys the newest term it has
seen and refuses older ones, and it stops tasks whose lease is not renewed.
"""

from __future__ import annotations

import enum
from abc import ABC, abstractmethod
from collections.abc import Sequence

import msgspec

from lagoonbeam.core.records import Term
from lagoonbeam.core.registry import Registry
from lagoonbeam.core.settings import EndpointsSettings
from lagoonbeam.types import JobId, TaskId


class TaskState(enum.StrEnum):
    """Where a task stands on its worker."""

    RESERVED = "reserved"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    STOPPED = "stopped"
    CHECKPOINTED = "checkpointed"
    LAPSED = "lapsed"

    @property
    def has_ended(self) -> bool:
        """Whether it runs no more and never will again."""
        return self not in (TaskState.RESERVED, TaskState.RUNNING)


class TaskOrder(msgspec.Struct, frozen=True):
    """A member of a gang, as a worker is asked to run it.

    Attributes:
        task_id: Unique identifier; the same order may be sent again.
        job_id: Its job.
        attempt: Its gang's launch.
        member: Its number in the gang.
        members: Size of the gang.
        first_slot: First of the worker's slots it gets.
        slots: How many.
        payload: The caller's text.
        annotation: Kept by the worker and reported back.
        resume_s: Run time that an earlier checkpoint preserved.
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
    """A task, as a worker reports it; see `TaskOrder`.

    Attributes:
        state: Where it stands.
        result: Its answer, when completed.
        ran_s: Run time so far.
        started: Whether it ever ran.
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
    """One exchange with a worker.

    Attributes:
        term: The scheduler's term.
        lease_s: Lease that renewed tasks get.
        renew: Attempts whose tasks on this worker are renewed.
        forget: Ended tasks that the worker may forget.
        seen: Revision of the last reply; -1 for none.
        wait_s: How long to wait for a newer one.
    """

    term: Term
    lease_s: float
    renew: Sequence[str] = ()
    forget: Sequence[TaskId] = ()
    seen: int = -1
    wait_s: float = 0.0


class SyncReply(msgspec.Struct, frozen=True):
    """A worker's state.

    Attributes:
        incarnation: Changes when the worker restarts and forgets its tasks.
        revision: Changes with every change of state.
        leaving: Whether it takes no new tasks.
        tasks: The tasks that have changed since the revision that the
            request has seen.
    """

    incarnation: str
    revision: int
    leaving: bool = False
    tasks: list[TaskReport] = []


class EndpointDriver(ABC):
    """Commands one worker.

    All commands are idempotent and raise `StaleTermError` if the worker has
    seen a newer term, `WorkerRefusedError` if it refuses for another reason
    (nothing was done then) and `WorkerUnreachableError` if there is no
    answer (it may have been done).

    Args:
        url: Where the worker is.
        settings: Deadlines.
    """

    def __init__(self, url: str, settings: EndpointsSettings):
        self.url = url
        self.settings = settings

    async def start(self) -> None:  # noqa: B027
        """Prepares the adapter."""

    async def close(self) -> None:  # noqa: B027
        """Ends its connections."""

    @abstractmethod
    async def sync(self, request: SyncRequest) -> SyncReply:
        """Renews leases and returns the worker's state."""

    @abstractmethod
    async def reserve(
        self, term: Term, tasks: Sequence[TaskOrder], *, lease_s: float
    ) -> str:
        """Sets slots aside; returns the worker's incarnation."""

    @abstractmethod
    async def run(
        self, term: Term, task_ids: Sequence[TaskId], *, lease_s: float
    ) -> None:
        """Runs reserved tasks."""

    @abstractmethod
    async def stop(
        self, term: Term, task_ids: Sequence[TaskId], *, checkpoint: bool
    ) -> None:
        """Releases reserved tasks and stops running ones."""


ENDPOINT_DRIVERS: Registry[type[EndpointDriver]] = Registry("endpoints adapter")
