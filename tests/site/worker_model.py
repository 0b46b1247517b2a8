"""Workers that keep to the platform's protocol, on clocks of their own.

A model counts the lease of its runs on its own clock, whatever the scheduler
believes. `RunAudit` compares the scheduler's journal with the models.
"""

from __future__ import annotations

import json
from dataclasses import dataclass, field
from typing import Any

import anyio
import anyio.lowlevel

from lagoonbeam.core.http_client import Response
from lagoonbeam.errors import ResponseLostError, ServerUnreachableError
from lagoonbeam.site.model import RunEndReason, WorkerReport
from tests.site.builders import make_worker_report

MAX_HOLD_MS = 10_000
"""Longest lease that a worker accepts."""

PRESUMED_ENDS = (RunEndReason.LEASE_EXPIRED, RunEndReason.NEVER_STARTED)
"""Ends that the scheduler records without the worker's word."""

RunKey = tuple[str, int]
Address = tuple[str, int]


class RunAudit:
    """Checks that a run whose end was presumed neither runs nor begins.

    Attributes:
        presumed_ends: Runs whose end was recorded without the worker's word.
        violations: What broke the rule.
        overlaps: The violations in which two runs of a task were at work.
    """

    def __init__(self) -> None:
        self.workers: list[WorkerModel] = []
        self.presumed_ends: dict[RunKey, RunEndReason] = {}
        self.violations: list[str] = []
        self.overlaps: list[str] = []

    def check_end(self, key: RunKey, reason: RunEndReason) -> None:
        """Checks a run at the moment at which its end is recorded."""
        if reason not in PRESUMED_ENDS:
            return
        self.presumed_ends[key] = reason
        self.violations += [
            f"{worker.name} runs {key}, recorded as {reason.value}"
            for worker in self.workers
            if worker.is_running(key)
        ]

    def check_start(self, key: RunKey, worker: str) -> None:
        """Checks a run that a worker begins."""
        if key in self.presumed_ends:
            self.violations.append(
                f"{worker} begins {key} after its end was recorded"
            )
        overlaps = [
            f"{worker} begins {key} while {other.name} runs {running}"
            for other in self.workers
            for running in other.list_running()
            if running[0] == key[0] and (other.name, running) != (worker, key)
        ]
        self.violations += overlaps
        self.overlaps += overlaps


@dataclass
class WorkerLife:
    """What one incarnation of a worker knows; lost when it ends."""

    born: int
    started_s: float
    first_clock_ms: int
    fencing_token: int = 0
    deadline_ms: float = 0.0
    running: dict[RunKey, float] = field(default_factory=dict)
    finished: list[tuple[int, str, int, str]] = field(default_factory=list)
    finished_count: int = 0
    refused_run: dict[str, int] = field(default_factory=dict)
    ended: anyio.Event = field(default_factory=anyio.Event)


class WorkerModel:
    """A worker that runs what it is ordered to, until stopped or lapsed.

    Args:
        name: The worker's name.
        audit: Checks the runs that begin.
        clock_rate: Rate of its clock.
        kill_delay_ms: Time that it needs to kill its runs when the lease has
            expired, on its clock.
    """

    def __init__(
        self,
        name: str,
        audit: RunAudit,
        *,
        clock_rate: float = 1.0,
        kill_delay_ms: float = 0.0,
    ):
        self.name = name
        self.clock_rate = clock_rate
        self.kill_delay_ms = kill_delay_ms
        self._audit = audit
        self.life = WorkerLife(1, anyio.current_time(), 480_000)
        self.begun: list[RunKey] = []
        self.outcomes: dict[RunKey, str] = {}
        audit.workers.append(self)

    @property
    def clock_ms(self) -> float:
        elapsed_s = anyio.current_time() - self.life.started_s
        return self.life.first_clock_ms + elapsed_s * 1000 * self.clock_rate

    def restart(self, first_clock_ms: int = 0) -> None:
        """Crashes, and begins a new life under the same name."""
        self.life = WorkerLife(
            self.life.born + 1, anyio.current_time(), first_clock_ms
        )

    def list_running(self) -> list[RunKey]:
        self._kill_lapsed_runs()
        return list(self.life.running)

    def is_running(self, key: RunKey) -> bool:
        return key in self.list_running()

    def finish(self, key: RunKey, how: str = "done") -> None:
        """Ends a run, if it runs."""
        if key not in self.list_running():
            return
        self._end(key, how)

    def _end(self, key: RunKey, how: str) -> None:
        life = self.life
        del life.running[key]
        life.finished_count += 1
        life.finished.append((life.finished_count, *key, how))
        life.refused_run[key[0]] = max(life.refused_run.get(key[0], 0), key[1])
        life.ended.set()
        life.ended = anyio.Event()
        self.outcomes[key] = how

    def _kill_lapsed_runs(self) -> None:
        if self.clock_ms >= self.life.deadline_ms + self.kill_delay_ms:
            for key in list(self.life.running):
                self._end(key, "lapsed")

    def _extend_lease(self, deadline_ms: float) -> None:
        self.life.deadline_ms = max(
            self.life.deadline_ms,
            min(deadline_ms, self.clock_ms + MAX_HOLD_MS),
        )

    async def handle(self, route: str, fields: dict[str, Any]) -> Response:
        """Carries out a call."""
        self._kill_lapsed_runs()
        token = fields.get("fencing_token", 0)
        if token < self.life.fencing_token:
            return self._answer(409, reason="fence")
        self.life.fencing_token = token
        if route == "hold":
            return await self._handle_hold(fields)
        key = (fields["task"], fields["run"])
        if route == "run-start":
            return self._handle_start(key, fields)
        if route == "run-stop":
            return self._handle_stop(key)
        return self._answer(200)

    async def _handle_hold(self, fields: dict[str, Any]) -> Response:
        life = self.life
        acked = fields["ack_cursor"]
        life.finished = [end for end in life.finished if end[0] > acked]
        if "deadline_ms" in fields:
            self._extend_lease(fields["deadline_ms"])
        if not life.finished:
            with anyio.move_on_after(fields.get("wait_ms", 0) / 1000):
                await life.ended.wait()
        self._kill_lapsed_runs()
        running = [
            [*key, "", min(99.0, anyio.current_time() - begun_s)]
            for key, begun_s in self.life.running.items()
        ]
        finished = [[*end, ""] for end in self.life.finished]
        return self._answer(200, running=running, finished=finished)

    def _handle_start(self, key: RunKey, fields: dict[str, Any]) -> Response:
        if key in self.life.running:
            self._extend_lease(fields["deadline_ms"])
            return self._answer(200)
        if fields["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend_lease(fields["deadline_ms"])
        if key[1] <= self.life.refused_run.get(key[0], 0):
            return self._answer(409, reason="old")
        self._audit.check_start(key, self.name)
        self.begun.append(key)
        self.life.running[key] = anyio.current_time()
        return self._answer(200)

    def _handle_stop(self, key: RunKey) -> Response:
        if key in self.life.running:
            self._end(key, "stopped")
        refused_run = self.life.refused_run
        refused_run[key[0]] = max(refused_run.get(key[0], 0), key[1])
        return self._answer(200)

    def _answer(self, status: int, **fields: Any) -> Response:
        fields["clock_ms"] = int(self.clock_ms)
        fields["born"] = self.life.born
        return Response(status, json.dumps(fields).encode())


@dataclass
class Fault:
    """What happens to calls of a route.

    Attributes:
        address: Address of the calls.
        route: Their route; empty for all.
        error: Raised in place of sending the call.
        status: Answered in place of the worker; 0 if the worker answers.
        delay_s: Time after which the call is carried out; None for never.
        keeps_answer: Whether its answer arrives, after `answer_delay_s`.
        answer_delay_s: Time by which the answer is delayed.
        count: Number of calls that it happens to.
    """

    address: Address
    route: str = ""
    error: Exception | None = None
    status: int = 0
    delay_s: float | None = None
    keeps_answer: bool = False
    answer_delay_s: float = 0.0
    count: int = 1_000_000


class WorkerNetwork:
    """Carries calls to the worker at an address, with injectable faults.

    Args:
        tasks: Carries out calls whose caller no longer waits.
    """

    def __init__(self, tasks: anyio.abc.TaskGroup):
        self._tasks = tasks
        self.workers: dict[Address, WorkerModel] = {}
        self.faults: list[Fault] = []
        self.late_calls = 0

    def make_client(self, host: str, port: int) -> ModelHttpClient:
        return ModelHttpClient(self, (host, port))

    def find_fault(self, address: Address, route: str) -> Fault | None:
        for fault in self.faults:
            if fault.address == address and fault.route in ("", route):
                fault.count -= 1
                if fault.count == 0:
                    self.faults.remove(fault)
                return fault
        return None

    async def call(
        self, address: Address, route: str, fields: Any, expected: str
    ) -> Response:
        """Carries a call out, as `X-Lagoonbeam-Expected-Instance` demands."""
        worker = self.workers.get(address)
        if worker is None:
            raise ServerUnreachableError(f"nothing listens at {address}")
        if worker.name != expected:
            return Response(421)
        return await worker.handle(route, fields)

    def call_late(self, delay_s: float, *call: Any) -> None:
        self.late_calls += 1
        self._tasks.start_soon(self._call_late, delay_s, *call)

    async def _call_late(self, delay_s: float, *call: Any) -> None:
        await anyio.sleep(delay_s)
        await self.call(*call)


class ModelHttpClient:
    """Stands in for the `HttpClient` of the platform's worker client."""

    def __init__(self, network: WorkerNetwork, address: Address):
        self._network = network
        self._address = address

    async def call(
        self,
        method: str,
        target: str,
        *,
        body: bytes,
        headers: dict[str, str],
        timeout_s: float,
    ) -> Response:
        route = target.rpartition("/")[2]
        expected = headers["X-Lagoonbeam-Expected-Instance"]
        call = (self._address, route, json.loads(body), expected)
        await anyio.lowlevel.checkpoint()
        fault = self._network.find_fault(self._address, route)
        if fault is None:
            response = await self._network.call(*call)
            await anyio.sleep(0.001)
            return response
        if fault.error is not None:
            raise fault.error
        if fault.status:
            return Response(fault.status)
        if fault.keeps_answer:
            response = await self._network.call(*call)
            await anyio.sleep(fault.answer_delay_s)
            return response
        if fault.delay_s is not None:
            self._network.call_late(fault.delay_s, *call)
        await anyio.sleep(timeout_s)
        raise ResponseLostError("no answer")

    async def close(self) -> None:
        pass


def make_report(
    name: str, number: int, incarnation: int = 1, **fields: Any
) -> WorkerReport:
    """Makes the directory entry of the worker at the address of a number."""
    return make_worker_report(
        name, incarnation=incarnation, port=number, **fields
    )


def get_address(report: WorkerReport) -> Address:
    return report.host, report.port
