"""Stand-in for the platform's workers, for the third review's cases.

One process serves all workers, each at an address of its own. The ``spec`` of
a job is JSON with ``run_s`` and ``gpu``. ``/standin/history`` returns what was
started and how it ended; ``/standin/faults`` sets the faults of the worker
that is called.
"""

from __future__ import annotations

import argparse
import asyncio
import http.client
import json
import time
from dataclasses import dataclass
from typing import Any

from case_http import Answer, Call, answer_json, serve

TICK_S = 0.02
HEARTBEAT_S = 1.5
STOP_S = 0.2
SILENCE_S = 6.0
"""Time after which a call without an answer loses its channel."""
CAPACITY = {"cpu": 128_000, "mem_mb": 262_144, "gpu": 8}


@dataclass
class Run:
    """One run of a work item."""

    task: str
    run: int
    spec: dict[str, Any]
    started_s: float
    stop_at_s: float = float("inf")

    @property
    def percent(self) -> int:
        """Progress."""
        elapsed_s = time.monotonic() - self.started_s
        return min(99, int(100 * elapsed_s / max(0.01, self.spec["run_s"])))


class Worker:
    """One worker.

    Attributes:
        is_unhealthy: Whether it refuses all starts with 503.
        is_cut: Whether it is cut off from the system; it runs on.
    """

    def __init__(self, number: int, port: int, options: argparse.Namespace):
        self.name = f"w{number}"
        self.address = f"127.0.3.{number + 1}:{port}"
        self.rack = f"r{number // options.rack}"
        self.zone = f"z{number % options.zones}"
        self.max_hold_ms = options.max_hold_ms
        self.is_unhealthy = False
        self.is_cut = False
        self.history: list[dict[str, Any]] = []
        self.runs: dict[str, Run] = {}
        self.begin_life()

    def begin_life(self) -> None:
        """Starts (again): what was there before is gone."""
        for run in self.runs.values():
            self.note("crashed", run)
        self.born_ms = int(time.time() * 1000)
        self._began_s = time.monotonic()
        self._token = 0
        self._lease_ms = 0
        self._heartbeats = 0
        self.is_unhealthy = False
        self.runs = {}
        self.ends: list[tuple[int, str, int, str, str]] = []
        self._end_count = 0
        self._highest_ended: dict[str, int] = {}

    @property
    def clock_ms(self) -> int:
        """The worker's steady clock."""
        return int((time.monotonic() - self._began_s) * 1000) + 1000

    def make_entry(self) -> dict[str, Any]:
        """Returns the worker's report about itself."""
        self._heartbeats += 1
        return {
            "service": "compute",
            "address": self.address,
            "zone": self.zone,
            "version": "v1",
            "slots": 8,
            "state": "ready",
            "seq": self._heartbeats,
            "capacity": CAPACITY,
            "labels": ["a", self.rack],
            "born": self.born_ms,
        }

    def note(self, event: str, run: Run) -> None:
        """Adds an event to the history."""
        self.history.append(
            {
                "at_s": time.time(),
                "worker": self.name,
                "event": event,
                "task": run.task,
                "run": run.run,
                "spec": run.spec,
            }
        )

    def _end(self, run: Run, how: str) -> None:
        del self.runs[run.task]
        self._end_count += 1
        self.ends.append((self._end_count, run.task, run.run, how, ""))
        self._highest_ended[run.task] = run.run
        self.note(how, run)

    def advance(self) -> None:
        """Ends the runs that are due."""
        now_s = time.monotonic()
        has_lapsed = self.clock_ms > self._lease_ms
        for run in list(self.runs.values()):
            if has_lapsed:
                self._end(run, "lapsed")
            elif now_s >= run.stop_at_s:
                self._end(run, "stopped")
            elif now_s >= run.started_s + run.spec["run_s"]:
                self._end(run, "done")

    def _answer(self, status: int = 200, **fields: Any) -> Answer:
        body = {"clock_ms": self.clock_ms, "born": self.born_ms, **fields}
        return answer_json(body, status)

    def _extend_lease(self, deadline_ms: int) -> None:
        longest_ms = self.clock_ms + self.max_hold_ms
        self._lease_ms = max(self._lease_ms, min(deadline_ms, longest_ms))

    async def handle_order(self, name: str, call: Call) -> Answer:
        """Answers an order of the system."""
        body = call.read_json()
        expected = call.headers.get("x-lagoonbeam-expected-instance")
        if expected not in (None, self.name):
            return 421, b""
        self.advance()
        token = body.get("fencing_token", 0)
        if token < self._token:
            return self._answer(409, reason="fence")
        if name == "run-start" and self.is_unhealthy:
            return 503, b""
        self._token = token
        if name == "run-start":
            return self._start(body)
        if name == "run-stop":
            return self._stop(body)
        if name == "hold":
            return await self._hold(body)
        return self._answer()

    def _start(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        if body["deadline_ms"] <= self.clock_ms:
            return self._answer(409, reason="late")
        self._extend_lease(body["deadline_ms"])
        current = self.runs.get(task)
        if current is not None and current.run == number:
            return self._answer()
        if current is not None or number <= self._highest_ended.get(task, 0):
            return self._answer(409, reason="old")
        spec = json.loads(body["spec"])
        used = sum(run.spec["gpu"] for run in self.runs.values())
        if used + spec["gpu"] > CAPACITY["gpu"]:
            return self._answer(409, reason="room")
        run = Run(task, number, spec, time.monotonic())
        self.runs[task] = run
        self.note("started", run)
        return self._answer()

    def _stop(self, body: dict[str, Any]) -> Answer:
        task, number = body["task"], body["run"]
        current = self.runs.get(task)
        if current is not None and current.run == number:
            due_s = time.monotonic() + STOP_S
            current.stop_at_s = min(current.stop_at_s, due_s)
        elif current is None:
            highest = self._highest_ended.get(task, 0)
            self._highest_ended[task] = max(highest, number)
        return self._answer()

    async def _hold(self, body: dict[str, Any]) -> Answer:
        if "deadline_ms" in body:
            self._extend_lease(body["deadline_ms"])
        cursor = body.get("ack_cursor", 0)
        self.ends = [end for end in self.ends if end[0] > cursor]
        until_s = time.monotonic() + body.get("wait_ms", 0) / 1000
        while not self.ends and time.monotonic() < until_s:
            await asyncio.sleep(TICK_S)
        running = [
            [run.task, run.run, "", run.percent, 0]
            for run in self.runs.values()
        ]
        return self._answer(running=running, finished=self.ends[:500])


class Workers:
    """All workers, and the list of their machines."""

    def __init__(self, options: argparse.Namespace):
        self._store_port = options.store_port
        self._late_s = 0.0
        self._late_worker = ""
        self._late_starts: set[asyncio.Task[Answer]] = set()
        self.workers = {
            f"127.0.3.{number + 1}": Worker(number, options.port, options)
            for number in range(options.count)
        }

    async def handle(self, call: Call) -> Answer:
        """Answers one call."""
        worker = self.workers[call.host]
        if call.path == "/standin/history":
            events = [e for w in self.workers.values() for e in w.history]
            return answer_json(sorted(events, key=lambda e: e["at_s"]))
        if call.path == "/standin/faults":
            return self._set_faults(worker, call.read_json())
        if call.path == "/lagoonbeam/machines":
            return answer_json({"machines": self._list_machines()})
        name = call.path.rpartition("/")[2]
        if worker.is_cut:
            return await self._answer_nothing()
        if name == "run-start" and self._late_s:
            task = asyncio.create_task(
                self._carry_out_late(worker, call, self._late_s)
            )
            self._late_starts.add(task)
            self._late_s = 0.0
            self._late_worker = worker.name
            worker.is_unhealthy = True
            return await self._answer_nothing()
        answer = await worker.handle_order(name, call)
        return await self._answer_nothing() if worker.is_cut else answer

    async def _carry_out_late(
        self, worker: Worker, call: Call, delay_s: float
    ) -> Answer:
        await asyncio.sleep(delay_s)
        return await worker.handle_order("run-start", call)

    async def _answer_nothing(self) -> Answer:
        await asyncio.sleep(SILENCE_S)
        raise ConnectionResetError

    def _set_faults(self, worker: Worker, faults: dict[str, Any]) -> Answer:
        worker.is_unhealthy = faults.get("unhealthy", worker.is_unhealthy)
        worker.is_cut = faults.get("cut", worker.is_cut)
        self._late_s = faults.get("late_s", self._late_s)
        if faults.get("reborn"):
            worker.begin_life()
        return answer_json({"late": self._late_worker})

    def _list_machines(self) -> list[dict[str, Any]]:
        return [
            {
                "machine_id": f"m-{worker.name}",
                "pool": "compute",
                "state": "up",
                "zone": worker.zone,
                "labels": ["a", worker.rack],
                "capacity": CAPACITY,
                "id": worker.name,
            }
            for worker in self.workers.values()
        ]

    async def advance(self) -> None:
        """Advances all workers until cancelled."""
        while True:
            for worker in self.workers.values():
                worker.advance()
            await asyncio.sleep(TICK_S)

    async def register(self) -> None:
        """Writes the workers' entries into the store until cancelled."""
        while True:
            for worker in self.workers.values():
                await asyncio.to_thread(self._put_entry, worker)
            await asyncio.sleep(HEARTBEAT_S)

    def _put_entry(self, worker: Worker) -> None:
        connection = http.client.HTTPConnection(
            "127.0.0.1", self._store_port, timeout=2
        )
        try:
            connection.request(
                "POST",
                f"/standin/put?topic=keyed.servers&key={worker.name}",
                json.dumps(worker.make_entry()),
            )
            connection.getresponse().read()
        except OSError:
            pass
        finally:
            connection.close()


async def _run(options: argparse.Namespace) -> None:
    workers = Workers(options)
    async with asyncio.TaskGroup() as tasks:
        tasks.create_task(workers.advance())
        tasks.create_task(workers.register())
        hosts = list(workers.workers)
        tasks.create_task(serve(workers.handle, hosts, options.port))


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store-port", type=int, required=True)
    parser.add_argument("--count", type=int, default=4)
    parser.add_argument("--rack", type=int, default=2)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--max-hold-ms", type=int, default=6000)
    asyncio.run(_run(parser.parse_args()))


if __name__ == "__main__":
    main()
