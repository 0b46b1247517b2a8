"""What the site scheduler needs of a platform; adapters implement these."""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from lagoonbeam.site.machines import MachineService, WaveRegistry
from lagoonbeam.site.model import Configuration, WorkerReport, WorkerView
from lagoonbeam.types import Offset


@dataclass(frozen=True, slots=True)
class Writer:
    """Who appends, so that a repeated append has its effect once.

    Attributes:
        name: The writer; one writer appends one batch at a time.
        epoch: The store refuses a writer's lower epochs after a higher one.
    """

    name: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class JournalPage:
    """Part of the journal.

    Attributes:
        first: Offset of the first record.
        records: Records in order.
        end: Offset that the next record will get.
    """

    first: Offset
    records: tuple[bytes, ...]
    end: Offset


@dataclass(frozen=True, slots=True)
class Snapshot:
    """A state as of an offset.

    Attributes:
        offset: First record that it does not contain.
        data: The encoded state.
    """

    offset: Offset
    data: bytes


class JournalStore(ABC):
    """An ordered journal with fenced, repeatable appends."""

    @abstractmethod
    async def append(
        self,
        records: Sequence[bytes],
        *,
        writer: Writer,
        sequence: int,
        timeout_s: float,
        at: Offset | None = None,
    ) -> Offset:
        """Appends records, all or none.

        Args:
            records: The records.
            writer: Who appends.
            sequence: The writer's number of this batch; a repeat of a number
                has its effect once.
            timeout_s: Seconds until the attempt is given up.
            at: Offset at which the journal must end, if it matters.

        Returns:
            Offset of the first record.

        Raises:
            FencedError: If the writer has a higher epoch elsewhere.
            OffsetConflictError: If the journal ends elsewhere than `at`.
            SequenceError: If the sequence number does not follow.
            StoreBusyError: If nothing was done.
            ServerUnreachableError: If nothing was sent.
            AnswerLostError: If it may have been done.
        """

    @abstractmethod
    async def read(self, first: Offset, *, wait_s: float) -> JournalPage:
        """Reads records, waiting for one if there is none.

        Raises:
            LogTruncatedError: If `first` is no longer kept.
            UnavailableError: If the store cannot be read.
        """

    @abstractmethod
    async def load_snapshot(self) -> Snapshot | None:
        """Returns the newest whole snapshot, if there is one."""

    @abstractmethod
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot, replacing the last one."""


class ConfigurationSource(ABC):
    """Where operators publish the configuration."""

    @abstractmethod
    async def wait_newer(
        self, version: int, *, wait_s: float
    ) -> Configuration | None:
        """Returns a configuration newer than a version, or None in time.

        Raises:
            UnavailableError: If the source cannot be read.
        """


class WorkerDirectory(ABC):
    """The list of workers."""

    @abstractmethod
    async def list_workers(self) -> dict[str, WorkerReport]:
        """Returns all known workers by name.

        Raises:
            UnavailableError: If the list cannot be read.
        """


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        task_id: The task.
        run: Number of its start.
        payload: Text for the task.
        checkpoint: Progress to resume from; empty for none.
        ticket: The advice service's permission; empty for none.
    """

    task_id: str
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StartRefusal(Exception):  # noqa: N818
    """A worker did not start a run.

    Args:
        reason: ``fence``, ``old``, ``late``, ``room``, ``ticket``,
            ``unhealthy``, ``incarnation`` or ``invalid``.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class WorkerClient(ABC):
    """Orders to one incarnation of one worker.

    All methods raise `ServerUnreachableError` if nothing was sent,
    `AnswerLostError` if the order may have been or may yet be carried out,
    `FencedError` if the worker has seen a higher token.
    """

    @abstractmethod
    async def look(
        self,
        *,
        token: int,
        acknowledged: int,
        deadline_ms: int | None,
        wait_s: float,
    ) -> WorkerView:
        """Renews all leases and returns what runs and what ended."""

    @abstractmethod
    async def start(
        self, order: StartOrder, *, token: int, deadline_ms: int
    ) -> int:
        """Starts a run; returns the worker's clock in milliseconds.

        Raises:
            StartRefusal: If the worker refused; nothing runs then.
        """

    @abstractmethod
    async def stop(self, task_id: str, run: int, *, token: int) -> None:
        """Stops a run, or makes sure that it will never start."""

    @abstractmethod
    async def pace(
        self, task_id: str, run: int, percent: int, *, token: int
    ) -> None:
        """Sets the share of its work that a run may do, in percent."""

    @abstractmethod
    async def close(self) -> None:
        """Ends all connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """Which workers may run a step.

    Attributes:
        tickets: What starts on the allowed workers must carry, by worker.
        valid_s: Seconds for which the tickets hold.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(ABC):
    """Knows which workers a queue's policy allows."""

    @abstractmethod
    async def ask(self, step: str, workers: Sequence[str]) -> Advice:
        """Returns the tickets of the workers that may run a step.

        Args:
            step: Name of the step of an occurrence.
            workers: Names of the workers in question.

        Raises:
            UnavailableError: If the service does not answer.
        """


class WorkerConnector(ABC):
    """Makes clients for workers."""

    @abstractmethod
    def connect(self, report: WorkerReport) -> WorkerClient:
        """Returns a client for one incarnation of a worker."""


@dataclass(frozen=True, slots=True)
class Ports:
    """A platform, by what the site scheduler needs of it.

    Attributes:
        store: The journal.
        configuration: Where operators publish.
        directory: The list of workers.
        connector: Makes clients for workers.
        advice: Knows which workers queues may use; None where none does.
        machines: The machines under the workers; None where none are told.
        waves: Where operators ask for upkeep; None where they do not.
    """

    store: JournalStore
    configuration: ConfigurationSource
    directory: WorkerDirectory
    connector: WorkerConnector
    advice: AdviceService | None = None
    machines: MachineService | None = None
    waves: WaveRegistry | None = None
