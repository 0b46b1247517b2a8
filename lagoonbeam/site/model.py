"""Data model of the site scheduler: jobs, queues, configuration, workers."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from lagoonbeam.core.http_server import ServerLimits
from lagoonbeam.types import OrganisationName, WorkerName, ZoneName


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A set of identical tasks with placement constraints.

    Attributes:
        count: Number of tasks.
        cpu_millis: CPU per task, in thousandths of a core.
        memory_mb: Memory per task, in megabytes.
        accelerators: Accelerators per task.
        estimated_s: The caller's estimate of a task's run time; inaccurate.
        after: Indexes of earlier steps that must be done first.
        is_checkpointing: Whether tasks save checkpoints to resume from.
        is_gang: Whether the tasks run only all at once.
        is_one_rack: Whether the tasks run slower if spread over racks.
        required_label: Label that a worker must have; empty for none.
        data_rack: Rack that holds the input data; empty for none.
        max_per_worker: Maximum number of tasks on one worker; 0 for no limit.
        is_speculative: Whether several runs of a task may execute at once.
        is_long_running: Whether the tasks run until the job is cancelled.
        image: Image of the tasks; equal images behave alike.
        target_latency_ms: Upper bound of a serving task's tail latency.
        is_filling: Whether the tasks use only CPU that others leave idle.
        may_miss: Number of tasks that the scheduler may take down at once.
    """

    count: int = 1
    cpu_millis: int = 0
    memory_mb: int = 0
    accelerators: int = 0
    estimated_s: float = 0.0
    after: tuple[int, ...] = ()
    is_checkpointing: bool = False
    is_gang: bool = False
    is_one_rack: bool = False
    required_label: str = ""
    data_rack: str = ""
    max_per_worker: int = 0
    is_speculative: bool = False
    is_long_running: bool = False
    image: str = ""
    target_latency_ms: float = 0.0
    is_filling: bool = False
    may_miss: int = 0


class QueuePolicy(msgspec.Struct, frozen=True, omit_defaults=True):
    """Scheduling policy of a queue.

    Attributes:
        name: Name of the queue.
        service: Pool of workers that runs its tasks.
        priority: Priority class; 0 is the most urgent and may preempt others.
        max_attempts: Number of failed runs of a task that fails its job.
        stretch: Completion objective, as a multiple of the job's longest
            chain of steps.
        target_s: Seconds added to the completion objective.
        is_advised: Whether tasks run only on workers that the advice service
            allows.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    is_advised: bool = False


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job, as stored in the journal.

    Attributes:
        job_id: Identifier, chosen by the caller or generated.
        queue: The queue's policy at the time of acceptance.
        organisation: Organisation whose share the job uses.
        payload: Opaque text passed to every task.
        steps: The steps, in order.
        accepted_at_s: Wall clock time of acceptance.
        repeat_count: Number of occurrences; 0 for a single one, due at once.
        first_due_s: Wall clock time at which the first occurrence is due.
        interval_s: Seconds between due times.
        caller: Caller inside the organisation; empty if not given.
        runs_once: Whether a task that may have executed must not be started
            again.
        start_within_s: Start deadline in seconds after acceptance; a job
            that misses it is dropped. 0 for none.
    """

    job_id: str
    queue: QueuePolicy
    organisation: OrganisationName
    payload: str
    steps: tuple[Step, ...]
    accepted_at_s: float
    repeat_count: int = 0
    first_due_s: float = 0.0
    interval_s: float = 0.0
    caller: str = ""
    runs_once: bool = False
    start_within_s: float = 0.0


class JobState(enum.StrEnum):
    """State of a job.

    ``UNKNOWN``: the job may have executed and must not be started again.
    ``DID_NOT_RUN``: the job was dropped before any task was started.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    DID_NOT_RUN = "did_not_run"


class RunEndReason(enum.StrEnum):
    """Why a run ended.

    ``LEASE_EXPIRED`` also covers runs of a lost worker or incarnation.
    ``PEER_LOST``: another member of the gang ended without success.
    ``PEERS_MISSING``: other members of the gang did not start in time.
    """

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    PEER_LOST = "broken"
    PEERS_MISSING = "alone"
    NEVER_STARTED = "never_started"


class EndEvidence(enum.StrEnum):
    """Why a run that its worker has not listed as ended certainly has ended."""

    LEASES_EXPIRED = "all leases have expired"
    NO_SESSION = "no session, and all leases have expired"
    RESTARTED = "a newer incarnation does not list the run"
    STOP_CONFIRMED = "not listed after a confirmed stop"
    START_REFUSED = "the worker refused the start"
    NOT_SENT = "the start was not sent"


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with guaranteed capacity.

    Attributes:
        name: Name of the organisation.
        keys: API keys of its callers.
        guaranteed_accelerators: Accelerators guaranteed to its jobs of
            priority 0 at all times.
    """

    name: OrganisationName
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """The HTTP route of a queue.

    Attributes:
        policy: Policy of the queue.
        host: Host name that callers use.
        path_prefix: Path up to the job identifier.
        is_public: Whether requests need no API key.
        timeout_s: Longest time that a request may take.
    """

    policy: QueuePolicy
    host: str
    path_prefix: str
    is_public: bool = False
    timeout_s: float = float("inf")


@dataclass(frozen=True, slots=True)
class Configuration:
    """The configuration published by operators.

    Attributes:
        version: Version, increased by each publication; 0 before the first.
        routes: Routes of all queues, longest path prefix first.
        organisations: All organisations by name.
        limits: Limits on callers' requests.
        spare_services: Pools whose machines are off until moved to another
            pool.
        services: Names of all declared pools; empty if none are declared.
    """

    version: int = 0
    routes: tuple[QueueRoute, ...] = ()
    organisations: dict[OrganisationName, Organisation] = field(
        default_factory=dict
    )
    limits: ServerLimits = ServerLimits()
    spare_services: frozenset[str] = frozenset()
    services: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Returns the route with the longest matching prefix, if any."""
        matches = (
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        )
        return next(matches, None)

    def find_policy(self, queue: str) -> QueuePolicy | None:
        """Returns the current policy of a queue, if it still exists."""
        policies = (
            route.policy for route in self.routes if route.policy.name == queue
        )
        return next(policies, None)

    def count_guaranteed_accelerators(self) -> int:
        """Returns the sum of all guarantees."""
        organisations = self.organisations.values()
        return sum(
            organisation.guaranteed_accelerators
            for organisation in organisations
        )

    def list_queue_names(self) -> list[str]:
        """Returns the names of all queues, sorted."""
        return sorted({route.policy.name for route in self.routes})

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that an API key belongs to, if any."""
        owners = (
            organisation
            for organisation in self.organisations.values()
            if key in organisation.keys
        )
        return next(owners, None)


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """A worker's description of itself.

    Attributes:
        worker: Name of the worker; kept when it restarts.
        incarnation: Wall clock time of its start, in milliseconds.
        service: Pool that it belongs to.
        host: IP address.
        port: TCP port.
        availability_zone: Availability zone.
        is_draining: Whether it is about to leave.
        cpu_millis: CPU capacity, in thousandths of a core.
        memory_mb: Memory capacity, in megabytes.
        accelerators: Number of accelerators.
        labels: Hardware kind and rack, in this order.
        drain_remaining_s: Minimum time until it leaves.
    """

    worker: WorkerName
    incarnation: int
    service: str
    host: str
    port: int
    availability_zone: ZoneName
    is_draining: bool
    cpu_millis: int
    memory_mb: int
    accelerators: int
    labels: tuple[str, ...] = ()
    drain_remaining_s: float = 0.0

    @property
    def rack(self) -> str:
        """Rack of the worker; its own name if it reports none."""
        return self.labels[1] if len(self.labels) > 1 else self.worker


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a worker reports as running.

    Attributes:
        task_id: The task.
        run: Number of the run.
        checkpoint: Newest checkpoint; empty for none.
        percent: Progress or, for long-running tasks, readiness.
        load: For serving tasks, the tail latency in milliseconds; for
            others, the share of their CPU in use.
    """

    task_id: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that a worker reports as ended.

    Attributes:
        sequence: Position in the worker's list of ended runs.
        task_id: The task.
        run: Number of the run.
        end: Why it ended.
        checkpoint: Newest checkpoint; empty for none.
    """

    sequence: int
    task_id: str
    run: int
    end: RunEndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollReply:
    """A worker's reply to a poll, which also renews its leases.

    Attributes:
        clock_ms: Reading of the worker's monotonic clock.
        incarnation: Incarnation of the worker; 0 if not reported.
        running: Runs in progress.
        finished: Ended runs that were not acknowledged yet.
        is_truncated: Whether further ended runs may be missing in `finished`.
    """

    clock_ms: int
    incarnation: int = 0
    running: tuple[ActiveRun, ...] = ()
    finished: tuple[FinishedRun, ...] = ()
    is_truncated: bool = False


def make_step_id(job_id: str, occurrence: int, step_index: int) -> str:
    """Returns the identifier of a step of an occurrence."""
    return f"{job_id}.{occurrence}.{step_index}"


def make_task_id(
    job_id: str, occurrence: int, step_index: int, task_index: int
) -> str:
    """Returns the identifier of a task, as sent to workers."""
    return f"{job_id}.{occurrence}.{step_index}.{task_index}"
