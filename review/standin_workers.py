"""Stand-ins for workers, and for the machines that host them.

A worker is one life of a machine. The `spec` of a job's work items is JSON
with `run_s`; a work item then ends `done` after that time.
"""

from __future__ import annotations

import asyncio
import json
import time
from collections.abc import Callable
from dataclasses import dataclass, field
from typing import Any

from standin_http import Reply, Request, serve
from standin_store import Store

SERVICE = "compute"
HEARTBEAT_S = 1.5
"""Interval of check-ins, the `heartbeat_ms` of the settings."""
STOP_S = 0.1
"""Time that a stop takes; at most `stop_timeout_ms`."""
MAINTENANCE_S = 2.0
"""Duration of an upkeep, the `maintenance_s` of the bounds."""
CLOUD_HOST = "127.0.6.1"
"""Address of the service for machines."""
CLOUD_ANSWER_S = 0.004
"""Time of an answer of the service for machines."""
TICK_S = 0.01


@dataclass
class Run:
    """A run of a work item."""

    task: str
    run: int
    spec: dict[str, Any]
    started_s: float
    stop_at_s: float = 0.0


@dataclass
class Worker:
    """One life of a worker at a fixed address."""

    name: str
    host: str
    labels: list[str]
    max_hold_ms: int
    born: int = field(default_factory=lambda: int(time.time() * 1000))
    started_s: float = field(default_factory=time.monotonic)
    runs: dict[str, Run] = field(default_factory=dict)
    ends: list[list[Any]] = field(default_factory=list)
    end_count: int = 0
    token: int = 0
    deadline_ms: int = 0
    ended_run: dict[str, int] = field(default_factory=dict)

    @property
    def clock_ms(self) -> int:
        """Reading of the worker's steady clock."""
        return int((time.monotonic() - self.started_s) * 1000) + 1


class Fleet:
    """All workers, each at its own loopback address, and their machines.

    Args:
        store: The store, in which the workers check in.
        hosts: Loopback address of each worker.
        port: Port of all workers.
        max_hold_ms: Longest lease.
        log: Records an event and its fields.

    Attributes:
        down: Hosts whose worker is down and refuses connections.
        hold_back_upkeep: If set, called with each upkeep order; a delay in
            seconds that it returns makes the order unanswered and late.
    """

    def __init__(
        self,
        store: Store,
        hosts: list[str],
        port: int,
        max_hold_ms: int,
        log: Callable[..., None],
    ):
        self._store, self.port, self._log = store, port, log
        self._max_hold_ms = max_hold_ms
        self.workers = {
            host: Worker(f"w{n}", host, ["a", f"r{n // 2}"], max_hold_ms)
            for n, host in enumerate(hosts)
        }
        self.down: set[str] = set()
        self._servers: list[asyncio.Server] = []
        self.machine_host = {f"m{n}": host for n, host in enumerate(hosts)}
        self.machine_state = dict.fromkeys(self.machine_host, "up")
        self.machine_token = dict.fromkeys(self.machine_host, 0)
        self.machine_done: set[tuple[str, int]] = set()
        self.wave: dict[str, Any] | None = None
        self.hold_back_upkeep: Callable[[str], float | None] | None = None
        self.capacity = {"cpu": 128_000, "mem_mb": 524_288, "gpu": 8}
        self.seq = 0

    async def start(self) -> list[asyncio.Task[None]]:
        """Starts the workers; returns the background tasks."""
        for host in self.workers:
            await serve(host, self.port, self.handle)
        await serve(CLOUD_HOST, self.port, self.handle_cloud)
        return [
            asyncio.create_task(self._advance()),
            asyncio.create_task(self._check_in()),
        ]

    def restart(self, host: str, *, labels: list[str] | None = None) -> None:
        """Crashes a worker that starts again under its id at once."""
        old = self.workers[host]
        self._log("worker_restart", worker=old.name, lost=sorted(old.runs))
        for run in old.runs.values():
            self._log("end", **self._fields(old, run), how="crash")
        self.workers[host] = Worker(
            old.name, host, labels or old.labels, self._max_hold_ms
        )

    async def _check_in(self) -> None:
        next_s = dict.fromkeys(self.workers, 0.0)
        while True:
            for number, (host, worker) in enumerate(self.workers.items()):
                if host in self.down or time.monotonic() < next_s[host]:
                    continue
                first = not next_s[host]
                next_s[host] = time.monotonic() + HEARTBEAT_S
                if first:  # the workers do not check in all at once
                    next_s[host] -= HEARTBEAT_S * number / len(self.workers)
                self.seq += 1
                entry = {
                    "service": SERVICE,
                    "address": f"{host}:{self.port}",
                    "zone": "z1",
                    "version": "v1",
                    "slots": 8,
                    "state": "ready",
                    "cold_remaining_ms": 0,
                    "capacity": self.capacity,
                    "labels": worker.labels,
                    "clock_ms": worker.clock_ms,
                    "born": worker.born,
                    "seq": self.seq,
                }
                self._store.put(
                    "keyed.servers", worker.name, json.dumps(entry).encode()
                )
                self._log(
                    "check_in",
                    worker=worker.name,
                    born=worker.born,
                    labels=worker.labels,
                )
            await asyncio.sleep(TICK_S)

    async def _advance(self) -> None:
        while True:
            now_s = time.monotonic()
            for worker in self.workers.values():
                for run in list(worker.runs.values()):
                    if worker.clock_ms > worker.deadline_ms:
                        self._end(worker, run, "lapsed")
                    elif run.stop_at_s and now_s >= run.stop_at_s:
                        self._end(worker, run, "stopped")
                    elif now_s - run.started_s >= run.spec["run_s"]:
                        self._end(worker, run, "done")
            await asyncio.sleep(TICK_S)

    def _fields(self, worker: Worker, run: Run) -> dict[str, Any]:
        return {
            "worker": worker.name,
            "born": worker.born,
            "task": run.task,
            "run": run.run,
        }

    def _end(self, worker: Worker, run: Run, how: str) -> None:
        del worker.runs[run.task]
        worker.end_count += 1
        worker.ends.append([worker.end_count, run.task, run.run, how, ""])
        worker.ended_run[run.task] = max(
            run.run, worker.ended_run.get(run.task, 0)
        )
        self._log("end", **self._fields(worker, run), how=how)

    async def handle(self, request: Request) -> Reply | None:
        """Answers one order."""
        host = request.local_host
        if host in self.down:
            return None
        worker = self.workers[host]
        name = request.path.removeprefix("/lagoonbeam/")
        body = request.json()
        expected = request.headers.get("x-lagoonbeam-expected-instance")
        if expected not in (None, worker.name):
            return Reply(421)
        token = body.get("fencing_token", 0)
        if token < worker.token:
            return self._answer(worker, 409, reason="fence")
        worker.token = token
        if name == "run-start":
            return self._start(worker, body)
        if name == "run-stop":
            run = worker.runs.get(body["task"])
            if run is not None and run.run == body["run"]:
                run.stop_at_s = run.stop_at_s or time.monotonic() + STOP_S
            worker.ended_run[body["task"]] = max(
                body["run"], worker.ended_run.get(body["task"], 0)
            )
            return self._answer(worker)
        if name == "hold":
            return await self._hold(worker, body)
        return self._answer(worker)

    async def handle_cloud(self, request: Request) -> Reply | None:
        """Answers one call to the service for machines."""
        await asyncio.sleep(CLOUD_ANSWER_S)
        self._log("call_for_machines", path=request.path)
        if request.path == "/lagoonbeam/machines":
            return self._list_machines()
        if request.path == "/lagoonbeam/machine-upkeep":
            return await self._handle_upkeep(request, request.json())
        return Reply(400)

    def _answer(
        self, worker: Worker, status: int = 200, **fields: Any
    ) -> Reply:
        return Reply(
            status,
            {"clock_ms": worker.clock_ms, "born": worker.born, **fields},
        )

    def _extend(self, worker: Worker, deadline_ms: int) -> None:
        limit_ms = worker.clock_ms + worker.max_hold_ms
        worker.deadline_ms = max(worker.deadline_ms, min(deadline_ms, limit_ms))

    def _start(self, worker: Worker, body: dict[str, Any]) -> Reply:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= worker.clock_ms:
            return self._answer(worker, 409, reason="late")
        self._extend(worker, body["deadline_ms"])
        current = worker.runs.get(task)
        if current is not None and current.run == number:
            return self._answer(worker)
        if current is not None or number <= worker.ended_run.get(task, 0):
            return self._answer(worker, 409, reason="old")
        spec = json.loads(body["spec"])
        used = sum(run.spec["gpu"] for run in worker.runs.values())
        if used + spec["gpu"] > self.capacity["gpu"]:
            return self._answer(worker, 409, reason="room")
        run = Run(task, number, spec, time.monotonic())
        worker.runs[task] = run
        self._log(
            "start",
            **self._fields(worker, run),
            token=body["fencing_token"],
            labels=worker.labels,
        )
        return self._answer(worker)

    async def _hold(self, worker: Worker, body: dict[str, Any]) -> Reply | None:
        if "deadline_ms" in body:
            self._extend(worker, body["deadline_ms"])
        cursor = body["ack_cursor"]
        for number, task, run, how, _ in worker.ends:
            if number <= cursor:
                self._log(
                    "noted",
                    worker=worker.name,
                    born=worker.born,
                    task=task,
                    run=run,
                    how=how,
                )
        worker.ends = [end for end in worker.ends if end[0] > cursor]
        limit_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not worker.ends and time.monotonic() < limit_s:
            await asyncio.sleep(TICK_S)
            if self.workers[worker.host] is not worker:
                return None  # the worker has crashed
        now_s = time.monotonic()
        running = [
            [
                run.task,
                run.run,
                "",
                min(99, int(100 * (now_s - run.started_s) / run.spec["run_s"])),
                run.spec.get("cpu", 1000),
            ]
            for run in worker.runs.values()
        ]
        return self._answer(worker, running=running, finished=worker.ends[:500])

    def _list_machines(self) -> Reply:
        machines = [
            {
                "machine_id": machine,
                "pool": SERVICE,
                "state": self.machine_state[machine],
                "zone": "z1",
                "labels": self.workers[host].labels,
                "capacity": self.capacity,
                "id": self.workers[host].name
                if self.machine_state[machine] == "up"
                else None,
            }
            for machine, host in self.machine_host.items()
        ]
        return Reply(200, {"machines": machines, "next_token": None})

    async def _handle_upkeep(
        self, request: Request, body: dict[str, Any]
    ) -> Reply | None:
        machine = body["machine_id"]
        token = int(request.headers["x-lagoonbeam-fencing-token"])
        holder = request.headers["x-lagoonbeam-duty-holder"]
        late_s = self.hold_back_upkeep and self.hold_back_upkeep(machine)
        if late_s:
            self._log(
                "upkeep_unanswered", machine=machine, token=token, holder=holder
            )
            await asyncio.sleep(late_s)
            reply = self._upkeep(machine, body["wave"], token, holder)
            self._log("upkeep_late", machine=machine, status=reply.status)
            return None
        reply = self._upkeep(machine, body["wave"], token, holder)
        self._log(
            "upkeep_order",
            machine=machine,
            token=token,
            holder=holder,
            status=reply.status,
            body=reply.body,
        )
        return reply

    def _upkeep(
        self, machine: str, wave: int, token: int, holder: str
    ) -> Reply:
        if machine not in self.machine_host:
            return Reply(400)
        if token < self.machine_token[machine]:
            return Reply(409, {"reason": "fence"})
        if (
            self.wave is None
            or wave != self.wave["wave"]
            or machine not in self.wave["machines"]
        ):
            return Reply(409, {"reason": "wave"})
        self.machine_token[machine] = token
        if (machine, wave) in self.machine_done:
            return Reply(200, {})
        if self.machine_state[machine] != "up":
            return Reply(409, {"reason": "busy"})
        down = sorted(m for m, s in self.machine_state.items() if s != "up")
        self.machine_done.add((machine, wave))
        self.machine_state[machine] = "upkeep"
        host = self.machine_host[machine]
        worker = self.workers[host]
        self._log(
            "upkeep_begins",
            machine=machine,
            holder=holder,
            token=token,
            down_already=down,
            runs=sorted(worker.runs),
        )
        for run in worker.runs.values():
            self._log("end", **self._fields(worker, run), how="upkeep")
        worker.runs.clear()
        self.down.add(host)
        self._store.put("keyed.servers", worker.name, b"")
        asyncio.get_running_loop().call_later(
            MAINTENANCE_S, self._come_back, machine
        )
        return Reply(200, {})

    def _come_back(self, machine: str) -> None:
        host = self.machine_host[machine]
        self.workers[host] = Worker(
            f"{machine}-{int(time.time())}",
            host,
            self.workers[host].labels,
            self._max_hold_ms,
        )
        self.down.discard(host)
        self.machine_state[machine] = "up"
        self._log("upkeep_ended", machine=machine)
