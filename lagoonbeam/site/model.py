"""What the site scheduler works with: jobs of steps, queues, workers."""

from __future__ import annotations

import enum
from dataclasses import dataclass, field

import msgspec

from lagoonbeam.types import OrganisationName, WorkerName, ZoneName


class Step(msgspec.Struct, frozen=True, omit_defaults=True):
    """A set of equal tasks with constraints on where they run.

    Attributes:
        count: Number of tasks.
        cpu_millis: Processor share of each, in thousandths of a core.
        memory_mb: Memory of each, in megabytes.
        accelerators: Accelerators of each.
        estimated_s: The caller's estimate of a task's run time; far off.
        after: Numbers of earlier steps that must be done first.
        is_checkpointing: Whether tasks save their progress.
        is_gang: Whether the tasks run only together.
        is_one_rack: Whether the tasks are slower across racks.
        required_label: Label that a worker must have; empty for none.
        data_rack: Rack that holds the data; empty for none.
        max_per_worker: Most tasks on one worker; 0 for no bound.
        is_speculative: Whether copies may run side by side.
        is_long_running: Whether the tasks run until the job is cancelled.
        image: What the tasks run; equal images behave alike.
        target_latency_ms: Tail latency that a serving task must stay below.
        is_filling: Whether the tasks use only what others leave.
        may_miss: Tasks that may be away at once by the system's doing.
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
    """How jobs of a queue are treated.

    Attributes:
        name: The queue.
        service: Pool of workers that runs its tasks.
        priority: 0 goes first and may stop others.
        max_attempts: Failed runs after which a task's job has failed.
        stretch: Objective as a multiple of the job's longest chain.
        target_s: Seconds added to the objective.
        is_advised: Whether only workers named by the advice service may run.
    """

    name: str
    service: str
    priority: int = 0
    max_attempts: int = 1
    stretch: float = 1.0
    target_s: float = 0.0
    is_advised: bool = False


class JobRequest(msgspec.Struct, frozen=True, omit_defaults=True):
    """An accepted job, as the journal keeps it.

    Attributes:
        job_id: Identifier chosen by the caller.
        queue: The queue's policy when the job was accepted.
        organisation: Whose share it uses.
        payload: Opaque text for every task.
        steps: The steps, in order.
        accepted_at_s: Wall clock time of acceptance.
        repeat_count: Times the steps run; 0 for once, at once.
        first_due_s: Wall clock time at which the first occurrence is due.
        interval_s: Seconds between due times.
        caller: Who asked, inside the organisation; empty if not said.
        runs_once: Whether a task that may have begun is never started again.
        start_within_s: Seconds after which the job is dropped if nothing of
            it was started; 0 for no bound.
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
    """Where a job stands.

    ``UNKNOWN``: it may have run, and must not run again. ``DID_NOT_RUN``: it
    was dropped before anything of it was started.
    """

    QUEUED = "queued"
    RUNNING = "running"
    COMPLETED = "completed"
    FAILED = "failed"
    CANCELLED = "cancelled"
    UNKNOWN = "unknown"
    DID_NOT_RUN = "did_not_run"


class RunEndReason(enum.StrEnum):
    """How a run ended."""

    DONE = "done"
    FAILED = "failed"
    STOPPED = "stopped"
    LEASE_EXPIRED = "lapsed"
    PEER_LOST = "broken"
    PEERS_MISSING = "alone"
    NEVER_STARTED = "never_started"


@dataclass(frozen=True, slots=True)
class Organisation:
    """A customer with a guaranteed share.

    Attributes:
        name: Its name.
        keys: Keys that its callers present.
        guaranteed_accelerators: Accelerators that belong to its jobs of
            priority 0 at all times.
    """

    name: OrganisationName
    keys: frozenset[str]
    guaranteed_accelerators: int = 0


@dataclass(frozen=True, slots=True)
class QueueRoute:
    """How callers reach a queue.

    Attributes:
        policy: The queue.
        host: Host name that callers use.
        path_prefix: Beginning of the path, up to the job identifier.
        is_public: Whether calls need no key.
    """

    policy: QueuePolicy
    host: str
    path_prefix: str
    is_public: bool = False


@dataclass(frozen=True, slots=True)
class RequestLimits:
    """Bounds on callers' requests.

    Attributes:
        header_bytes: Most bytes of header fields.
        body_bytes: Most bytes of a body.
        header_timeout_s: Longest time to send a request.
        idle_timeout_s: Longest time between two requests of a connection.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0


@dataclass(frozen=True, slots=True)
class Configuration:
    """What operators published, whole.

    Attributes:
        version: Grows with each publication.
        routes: All queues, longest path prefix first.
        organisations: All organisations by name.
        limits: Bounds on callers' requests.
        spare_services: Pools whose machines are off until they are moved.
    """

    version: int = 0
    routes: tuple[QueueRoute, ...] = ()
    organisations: dict[OrganisationName, Organisation] = field(
        default_factory=dict
    )
    limits: RequestLimits = RequestLimits()
    spare_services: frozenset[str] = frozenset()

    def find_route(self, host: str, path: str) -> QueueRoute | None:
        """Returns the route with the longest matching prefix, if any."""
        matches = (
            route
            for route in self.routes
            if route.host == host and path.startswith(route.path_prefix)
        )
        return next(matches, None)

    def find_policy(self, queue: str) -> QueuePolicy | None:
        """Returns the policy in force of a queue, if it still exists."""
        policies = (
            route.policy for route in self.routes if route.policy.name == queue
        )
        return next(policies, None)

    def count_guaranteed_accelerators(self) -> int:
        """Returns the accelerators that all guarantees add up to."""
        organisations = self.organisations.values()
        return sum(
            organisation.guaranteed_accelerators
            for organisation in organisations
        )

    def list_queue_names(self) -> list[str]:
        """Returns the names of all queues, sorted."""
        return sorted({route.policy.name for route in self.routes})

    def find_organisation(self, key: str) -> Organisation | None:
        """Returns the organisation that a key belongs to, if any."""
        owners = (
            organisation
            for organisation in self.organisations.values()
            if key in organisation.keys
        )
        return next(owners, None)


@dataclass(frozen=True, slots=True)
class WorkerReport:
    """What a worker says of itself.

    Attributes:
        worker: Its identifier; kept when it starts again.
        incarnation: Wall clock milliseconds of its start.
        service: Pool that it belongs to.
        host: IP number.
        port: TCP port.
        availability_zone: Its zone.
        is_draining: Whether it is about to leave.
        cpu_millis: Processor capacity, in thousandths of a core.
        memory_mb: Memory capacity.
        accelerators: Accelerators.
        labels: Its kind and its rack.
        drain_remaining_s: Least seconds until it leaves.
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
        """Label of its rack; the worker's own name where it has none."""
        return self.labels[1] if len(self.labels) > 1 else self.worker


@dataclass(frozen=True, slots=True)
class ActiveRun:
    """A run that a worker lists as present.

    Attributes:
        task_id: The task.
        run: Number of its start.
        checkpoint: Newest saved progress; empty for none.
        percent: Progress or, for long-running tasks, readiness.
        load: Tail latency of a serving task in milliseconds; processor
            share in use of any other.
    """

    task_id: str
    run: int
    checkpoint: str
    percent: float
    load: float = 0.0


@dataclass(frozen=True, slots=True)
class FinishedRun:
    """A run that a worker lists as ended.

    Attributes:
        sequence: Position in the worker's list of ends.
        task_id: The task.
        run: Number of its start.
        end: How it ended.
        checkpoint: Newest saved progress; empty for none.
    """

    sequence: int
    task_id: str
    run: int
    end: RunEndReason
    checkpoint: str


@dataclass(frozen=True, slots=True)
class PollReply:
    """A worker's answer to a renewal.

    Attributes:
        clock_ms: The worker's steady clock.
        incarnation: Its incarnation, 0 where it does not say.
        running: What runs.
        finished: Ends that were not acknowledged yet.
    """

    clock_ms: int
    incarnation: int = 0
    running: tuple[ActiveRun, ...] = ()
    finished: tuple[FinishedRun, ...] = ()


def make_step_id(job_id: str, occurrence: int, step_index: int) -> str:
    """Returns the name of a step of an occurrence."""
    return f"{job_id}.{occurrence}.{step_index}"


def make_task_id(
    job_id: str, occurrence: int, step_index: int, task_index: int
) -> str:
    """Returns the name of a task, as workers know it."""
    return f"{job_id}.{occurrence}.{step_index}.{task_index}"
