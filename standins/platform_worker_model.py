"""A worker of the users' platform, its runs and its lease, for the stand-in."""

from __future__ import annotations

import random
import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

if TYPE_CHECKING:
    from standins.platform_worker import WorkerService

_GANG_ASSEMBLY_TIMEOUT_S = 3.0
_MAX_HOLD_MS = 4_000
_STOP_DELAY_S = 0.1
ENTRY_LIFETIME_HEARTBEATS = 3
"""Missed heartbeats after which a worker's entry is removed."""
SERVICE_NAME = "compute"


@dataclass
class WorkerFaults:
    """Injected faults.

    Attributes:
        silent: Leaves orders unanswered and not executed.
        fail_all: Fails all runs.
        unhealthy: Refuses all starts.
        late_s: Delay after which starts are executed and left unanswered.
        late_orders: Whether ``late_s`` applies to all orders.
        lose_answers: Executes all orders and answers none.
        unlisted: Sends no heartbeats to the store.
        draining: Reports itself as draining.
        stuck: Makes no progress.
    """

    silent: bool = False
    fail_all: bool = False
    unhealthy: bool = False
    late_s: float = 0.0
    late_orders: bool = False
    lose_answers: bool = False
    unlisted: bool = False
    draining: bool = False
    stuck: bool = False


@dataclass(frozen=True)
class WorkerTiming:
    """Bounds of the timing that each worker draws for itself.

    Attributes:
        slowest_clock_rate: Lowest rate of a worker's steady clock.
        kill_delay_s: Longest time from the expiry of a lease to the kill.
        stop_delay_s: Longest time that a stop takes.
    """

    slowest_clock_rate: float = 1.0
    kill_delay_s: float = 0.0
    stop_delay_s: float = _STOP_DELAY_S


@dataclass
class Run:
    """An execution of a task on a worker, with its simulated progress."""

    task: str
    run: int
    spec: dict[str, Any]
    work_s: float
    started_at_s: float
    work_done_s: float = 0.0
    stop_at_s: float = 0.0
    resumed_from: str = ""
    is_start_late: bool = False
    has_lease_expired: bool = False

    @property
    def checkpoint(self) -> str:
        """Newest checkpoint; empty for a task that saves none."""
        return f"{self.work_done_s:.3f}" if self.spec.get("saves") else ""

    @property
    def progress_percent(self) -> int:
        """Progress, at most 100."""
        return min(100, int(100 * self.work_done_s / max(0.001, self.work_s)))

    @property
    def gang_key(self) -> tuple[str, int]:
        """Gang of the run: task identifier without the member, run number."""
        return self.task.rsplit(".", 1)[0], self.run


class Worker:
    """A worker with its runs, lease and injected faults."""

    def __init__(
        self,
        name: str,
        rack: str,
        service: WorkerService,
        *,
        zone: str = "z1",
        timing: WorkerTiming | None = None,
    ):
        self.name, self.rack, self.service = name, rack, service
        self.zone = zone
        self.timing = timing or WorkerTiming()
        self.faults = WorkerFaults()
        self.missed_heartbeats = 0
        self.last_entry = self.previous_entry = ""
        self._rng = random.Random(name)
        self.is_off = False
        self.reset()

    def power_off(self) -> None:
        """Crashes the worker and keeps it off, as when its machine is down."""
        for run in list(self.runs.values()):
            self.service.record_event(self, run, "crashed")
        self.reset()
        self.is_off = True

    def power_on(self) -> None:
        """Starts the worker without the runs it had before."""
        self.reset()
        self.is_off = False

    def reset(self) -> None:
        """Drops all state, as after a restart of the process."""
        self.started_ms = int(time.time() * 1000)
        self.previous_entry = self.last_entry or self.previous_entry
        self.last_entry = ""
        self._started_s = time.monotonic()
        self._clock_rate = self._rng.uniform(
            self.timing.slowest_clock_rate, 1.0
        )
        self._kill_at_s: float | None = None
        self.runs: dict[str, Run] = {}
        self.pending_ends: list[tuple[int, str, int, str, str]] = []
        self.end_count = 0
        self.fencing_token = 0
        self.lease_deadline_ms = 0
        self.last_lapse_end = 0  # number of the next end at the last lapse
        self.highest_ended_run: dict[str, int] = {}  # run number by task
        self.capacity = {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8}

    @property
    def clock_ms(self) -> int:
        """Steady clock of the worker in milliseconds, 1000 at its start."""
        elapsed_s = time.monotonic() - self._started_s
        return int(elapsed_s * self._clock_rate * 1000) + 1000

    def extend_lease(self, deadline_ms: int) -> None:
        """Extends the lease; a longer one is shortened to the maximum.

        A lease that has expired is not revived for the runs that it covered.
        """
        self._check_lease()
        self.lease_deadline_ms = max(
            self.lease_deadline_ms,
            min(deadline_ms, self.clock_ms + _MAX_HOLD_MS),
        )

    def draw_stop_time_s(self) -> float:
        """Returns the wall clock time at which a stop takes effect."""
        shortest_s = min(_STOP_DELAY_S, self.timing.stop_delay_s)
        return time.time() + self._rng.uniform(
            shortest_s, self.timing.stop_delay_s
        )

    def _check_lease(self) -> None:
        """Marks the runs to be killed if the lease has expired."""
        clock_ms = self.clock_ms
        if clock_ms <= self.lease_deadline_ms:
            return
        self.last_lapse_end = self.end_count + 1
        if self.runs and self._kill_at_s is None:
            expired_s = (
                (clock_ms - self.lease_deadline_ms) / 1000 / self._clock_rate
            )
            self._kill_at_s = (
                time.time()
                - expired_s
                + self._rng.uniform(0.0, self.timing.kill_delay_s)
            )
            for run in self.runs.values():
                run.has_lease_expired = True

    def _kill_expired_runs(self) -> None:
        if self._kill_at_s is None or time.time() < self._kill_at_s:
            return
        at_s, self._kill_at_s = self._kill_at_s, None
        for run in list(self.runs.values()):
            if run.has_lease_expired:
                self.end_run(run, "lapsed", max(at_s, run.started_at_s))
        self.last_lapse_end = self.end_count + 1

    def make_entry(self) -> dict[str, Any]:
        """Returns the worker's entry in the store."""
        return {
            "service": SERVICE_NAME,
            "address": self.service.get_address(self),
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "draining" if self.faults.draining else "ready",
            "capacity": self.capacity,
            "labels": ["a", self.rack],
            "born": self.started_ms,
            "drain_remaining_ms": 2500 if self.faults.draining else 0,
        }

    def end_run(
        self, run: Run, outcome: str, at_s: float | None = None
    ) -> None:
        """Ends a run and queues its end until it is acknowledged.

        Args:
            run: The run.
            outcome: How it ended.
            at_s: When it ended, if the stand-in was late to notice.
        """
        del self.runs[run.task]
        self.end_count += 1
        self.pending_ends.append(
            (self.end_count, run.task, run.run, outcome, run.checkpoint)
        )
        self.highest_ended_run[run.task] = max(
            self.highest_ended_run.get(run.task, 0), run.run
        )
        self.service.record_event(self, run, outcome, at_s)

    def advance(self, elapsed_s: float) -> None:
        """Advances all runs and ends those that are due."""
        self._check_lease()
        self._kill_expired_runs()
        for run in list(self.runs.values()):
            if run.task not in self.runs:
                continue
            if run.stop_at_s and time.time() >= run.stop_at_s:
                self.end_run(run, "stopped", run.stop_at_s)
            elif self.faults.stuck or run.has_lease_expired:
                continue
            elif self.service.is_gang_complete(run):
                now_s = time.time()
                run.work_done_s += min(elapsed_s, now_s - run.started_at_s)
                if self.faults.fail_all or run.spec.get("fail"):
                    self.service.end_gang(run, self, "failed")
                elif run.work_done_s >= run.work_s:
                    self.service.end_gang(run, self, "done")
            elif time.time() - run.started_at_s > _GANG_ASSEMBLY_TIMEOUT_S:
                self.end_run(run, "alone")
