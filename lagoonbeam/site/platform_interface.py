"""Interfaces through which the site scheduler uses a platform.

An adapter for a platform implements them.
"""

from __future__ import annotations

from abc import ABC, abstractmethod
from collections.abc import Sequence
from dataclasses import dataclass

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.machines import MachineService, WaveRegistry
from lagoonbeam.site.model import Configuration, PollReply, WorkerReport
from lagoonbeam.types import Offset, ZoneName


@dataclass(frozen=True, slots=True)
class JournalWriter:
    """Identifies the author of an append, which makes appends idempotent.

    Attributes:
        name: Name of the writer; each writer has at most one append in flight.
        epoch: Fencing epoch; after an append with a higher epoch the store
            rejects those with a lower one.
    """

    name: str
    epoch: int = 0


@dataclass(frozen=True, slots=True)
class JournalPage:
    """Consecutive records read from the journal.

    Attributes:
        first_offset: Offset of the first record.
        records: Encoded records, in order.
        end_offset: Offset that the next appended record will get.
        as_of_s: Time on the boot clock; all records appended before it lie
            below `end_offset`.
    """

    first_offset: Offset
    records: tuple[bytes, ...]
    end_offset: Offset
    as_of_s: float = float("-inf")


@dataclass(frozen=True, slots=True)
class Snapshot:
    """The state after all records before an offset.

    Attributes:
        offset: Offset of the first record not included in the state.
        data: The encoded state.
    """

    offset: Offset
    data: bytes


class JournalStore(ABC):
    """An ordered journal with fenced, idempotent appends."""

    @abstractmethod
    async def append(
        self,
        records: Sequence[bytes],
        *,
        writer: JournalWriter,
        sequence: int,
        timeout_s: float,
        expected_offset: Offset | None = None,
    ) -> Offset:
        """Appends records atomically.

        Args:
            records: The encoded records.
            writer: Author of the append.
            sequence: Sequence number of the append within the writer's epoch;
                the store deduplicates appends with the same number.
            timeout_s: Seconds after which the attempt times out.
            expected_offset: If given, the append succeeds only if the journal
                ends at this offset.

        Returns:
            Offset of the first record.

        Raises:
            FencedError: If the store has seen a higher epoch of the writer.
            OffsetConflictError: If the journal does not end at
                `expected_offset`.
            ProducerSequenceError: If the sequence number is not the writer's
                next one.
            StoreBusyError: If the store rejected the append without effect.
            ServerUnreachableError: If the request was not sent.
            ResponseLostError: If the records may have been appended.
        """

    @abstractmethod
    async def read(self, first_offset: Offset, *, wait_s: float) -> JournalPage:
        """Reads records, waiting up to `wait_s` if there are none yet.

        Raises:
            LogTruncatedError: If `first_offset` is older than the oldest
                retained record.
            UnavailableError: If the store cannot be read.
        """

    @abstractmethod
    async def load_snapshot(self) -> Snapshot | None:
        """Returns the latest complete snapshot, or None if there is none.

        Raises:
            MalformedDataError: If the snapshot is incomplete or cannot be
                decoded.
            UnavailableError: If the store cannot be read.
        """

    @abstractmethod
    async def save_snapshot(self, snapshot: Snapshot) -> None:
        """Stores a snapshot, replacing the previous one.

        A failed attempt may take effect later, but not after another one has
        begun to.

        Raises:
            LagoonbeamError: If the snapshot may not have been stored.
        """


class ConfigurationSource(ABC):
    """Source of the configuration that operators publish."""

    @property
    @abstractmethod
    def synced_s(self) -> float:
        """Time on the boot clock up to which all versions have been read.

        Negative infinity before the first complete read.
        """

    @abstractmethod
    async def wait_for_newer(
        self, version: int, *, wait_s: float
    ) -> Configuration | None:
        """Waits for a configuration newer than a version.

        Returns:
            The configuration, or None if there is none after `wait_s`.

        Raises:
            UnavailableError: If the source cannot be read.
        """


class ZoneEvacuations(ABC):
    """Operators' requests to evacuate availability zones."""

    @abstractmethod
    def list_evacuated_zones(self) -> frozenset[ZoneName]:
        """Returns the zones, as last read, whose workers get no new runs."""


class WorkerDirectory(ABC):
    """Directory of the registered workers."""

    @abstractmethod
    async def list_workers(self) -> dict[str, WorkerReport]:
        """Returns the latest report of each registered worker, by name.

        Raises:
            UnavailableError: If the directory cannot be read.
        """


@dataclass(frozen=True, slots=True)
class StartOrder:
    """An order to start a run.

    Attributes:
        task_id: Identifier of the task.
        run: Number of the run; each start of a task gets the next number.
        payload: Specification passed to the task unchanged.
        checkpoint: Checkpoint to resume from; empty for none.
        ticket: Admission ticket from the advice service; empty for none.
    """

    task_id: str
    run: int
    payload: str
    checkpoint: str = ""
    ticket: str = ""


class StartRefusedError(Exception):
    """A worker refused to start a run.

    Args:
        reason: The worker's reason: ``fence``, ``old``, ``late``, ``room``,
            ``ticket``, ``unhealthy``, ``incarnation`` or ``invalid``.
    """

    def __init__(self, reason: str):
        super().__init__(reason)
        self.reason = reason


class WorkerReplacedError(LagoonbeamError):
    """Another worker answers at the address.

    The worker itself may run on: its directory entry may be out of date, or
    may not be its own.
    """

    code = "worker_replaced"


class WorkerClient(ABC):
    """Client for one incarnation of a worker.

    All methods raise `ServerUnreachableError` if the request was not sent,
    `ResponseLostError` if the order may have been or may still be executed, and
    `FencedError` if the worker has seen a higher fencing token.
    """

    @abstractmethod
    async def renew_leases(
        self,
        *,
        token: int,
        acked_sequence: int,
        lease_deadline_ms: int | None,
        wait_s: float,
    ) -> PollReply:
        """Renews the leases of all runs and returns the worker's view.

        Args:
            token: Fencing token; see `WorkerFence`.
            acked_sequence: Number of the last finished run already recorded;
                the worker reports only later ones.
            lease_deadline_ms: New end of the leases on the worker's clock, in
                milliseconds; None to leave them unchanged.
            wait_s: Seconds to wait for a run to end.

        Raises:
            WorkerReplacedError: If another worker answers at the address.
        """

    @abstractmethod
    async def start(
        self, order: StartOrder, *, token: int, lease_deadline_ms: int
    ) -> int:
        """Starts a run under a lease.

        Args:
            order: The run.
            token: Fencing token; see `WorkerFence`.
            lease_deadline_ms: End of the lease on the worker's clock, in
                milliseconds.

        Returns:
            The worker's clock, in milliseconds.

        Raises:
            StartRefusedError: If the worker refused; the run was not started.
        """

    @abstractmethod
    async def stop(self, task_id: str, run: int, *, token: int) -> None:
        """Stops a run, or prevents its start if it has not started yet."""

    @abstractmethod
    async def set_pace(
        self, task_id: str, run: int, percent: int, *, token: int
    ) -> None:
        """Limits a run to a percentage of its full speed."""

    @abstractmethod
    async def close(self) -> None:
        """Closes all connections."""


@dataclass(frozen=True, slots=True)
class Advice:
    """The workers on which a step may run.

    Attributes:
        tickets: Tickets to present when starting the step, by allowed worker.
        valid_s: Seconds for which the tickets are valid.
    """

    tickets: dict[str, str]
    valid_s: float


class AdviceService(ABC):
    """Decides on which workers a queue's policy lets a step run."""

    @abstractmethod
    async def request_advice(self, step: str, workers: Sequence[str]) -> Advice:
        """Returns tickets for those of the workers that may run a step.

        Args:
            step: Name of the step and its occurrence.
            workers: Names of the candidate workers.

        Raises:
            UnavailableError: If the service does not respond.
        """


class WorkerConnector(ABC):
    """Creates clients for workers."""

    @abstractmethod
    def connect(self, report: WorkerReport) -> WorkerClient:
        """Returns a client for one incarnation of a worker."""


@dataclass(frozen=True, slots=True)
class PlatformServices:
    """The services of a platform that the site scheduler uses.

    Attributes:
        journal_store: Store of the journal and its snapshots.
        configuration: Source of the operators' configuration.
        worker_directory: Directory of the registered workers.
        worker_connector: Creates clients for workers.
        advice_service: Decides on which workers the steps of some queues may
            run; None if the platform has no such service.
        machines: Service for the machines that host workers; None if the
            platform has none.
        wave_registry: Operators' requests for upkeep; None if the platform has
            none.
        zone_evacuations: Operators' requests to evacuate zones; None if the
            platform has none.
    """

    journal_store: JournalStore
    configuration: ConfigurationSource
    worker_directory: WorkerDirectory
    worker_connector: WorkerConnector
    advice_service: AdviceService | None = None
    machines: MachineService | None = None
    wave_registry: WaveRegistry | None = None
    zone_evacuations: ZoneEvacuations | None = None
