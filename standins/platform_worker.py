"""Stand-in for the workers of the users' platform, by its protocol.

One process serves several workers, each at its own address ``127.0.3.N``;
they register in the store's stand-in. A task's ``spec`` is JSON with
``run_s``, ``fail`` and, for gangs, ``members``. ``GET /standin/history``
returns the events of all runs. ``POST /standin/faults`` sets `WorkerFaults`
of the called worker; ``POST /standin/crash`` restarts it without its runs.
``off`` and ``on`` do so with a pause between. With ``--links``, instances
reach the workers at ``127.0.5.N``, through a `WorkerLink` each: ``link`` sets
its `LinkFaults`, ``on`` with ``link`` moves the worker to that address, and
``replay`` repeats the last registration of its previous life.
"""

from __future__ import annotations

import argparse
import asyncio
import json
import logging
import time
from typing import Any

import httpx
from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.platform_machines import MachineInventory
from standins.platform_worker_control import WorkerControl
from standins.platform_worker_model import (
    ENTRY_LIFETIME_HEARTBEATS,
    SERVICE_NAME,
    Run,
    Worker,
    WorkerTiming,
)
from standins.server import run_servers
from standins.worker_link import WorkerLink

_TICK_INTERVAL_S = 0.02
_CALLER_TIMEOUT_S = 1.0
"""Time after which a caller no longer waits for the answer to an order."""
_SPARE_ADDRESSES = 4
_LOGGED_STALL_S = 0.3

_logger = logging.getLogger(__name__)


class WorkerService:
    """All workers of the process and their HTTP handlers."""

    def __init__(self, arguments: argparse.Namespace):
        self.port, self.store = arguments.port, arguments.store
        self.heartbeat_s = arguments.heartbeat_s
        self.history: list[dict[str, Any]] = []
        timing = WorkerTiming(
            slowest_clock_rate=arguments.slowest_clock_rate,
            kill_delay_s=arguments.kill_delay_s,
            stop_delay_s=arguments.stop_delay_s,
        )
        zone_size = -(-arguments.count // arguments.zones)
        self.workers = {
            f"127.0.3.{index + 1}": Worker(
                f"w{index}",
                f"r{index // arguments.rack}",
                self,
                zone=f"z{(index // zone_size + 1) % arguments.zones}"
                if arguments.zones > 1
                else "z1",
                timing=timing,
            )
            for index in range(arguments.count)
        }
        self.links = self._make_links() if arguments.links else []
        self.machines = MachineInventory(self, SERVICE_NAME, arguments.spare)

    def _make_links(self) -> list[WorkerLink]:
        target_hosts = [*self.workers, *([None] * _SPARE_ADDRESSES)]
        return [
            WorkerLink(f"127.0.5.{number}", self.port, target_host)
            for number, target_host in enumerate(target_hosts, 1)
        ]

    def _find_host(self, worker: Worker) -> str:
        return next(h for h, each in self.workers.items() if each is worker)

    def find_links(self, worker: Worker) -> list[WorkerLink]:
        """Returns the links that lead to a worker."""
        host = self._find_host(worker)
        return [link for link in self.links if link.target_host == host]

    def get_address(self, worker: Worker) -> str:
        """Returns the host and port at which instances reach a worker."""
        hosts = [link.host for link in self.find_links(worker)]
        return f"{(hosts or [self._find_host(worker)])[0]}:{self.port}"

    def record_event(
        self,
        worker: Worker,
        run: Run,
        event: str,
        at_s: float | None = None,
    ) -> None:
        """Appends an event of a run, by default one of now, to the history."""
        self.history.append(
            {
                "at_s": at_s or time.time(),
                "worker": worker.name,
                "task": run.task,
                "run": run.run,
                "event": event,
                "resumed": run.resumed_from,
                "is_late": run.is_start_late,
                "lasting": bool(run.spec.get("lasting")),
                "spec": run.spec,
            }
        )

    def list_gang_members(self, run: Run) -> list[tuple[Worker, Run]]:
        """Returns the running members of a run's gang with their workers."""
        return [
            (worker, other)
            for worker in self.workers.values()
            for other in worker.runs.values()
            if other.gang_key == run.gang_key
        ]

    def is_gang_complete(self, run: Run) -> bool:
        """Whether all members of a run's gang run; true without a gang."""
        count = run.spec.get("members", 0)
        return not count or len(self.list_gang_members(run)) == count

    def end_gang(self, run: Run, worker: Worker, outcome: str) -> None:
        """Ends a run and the other members of its gang, if it has one."""
        others = self.list_gang_members(run) if run.spec.get("members") else []
        worker.end_run(run, outcome)
        for member, other in others:
            if other is not run:
                member.end_run(other, "done" if outcome == "done" else "broken")

    async def advance_workers(self) -> None:
        """Advances the workers and machines and renews registrations."""
        for link in self.links:
            await link.start()
        registrations = asyncio.create_task(self._keep_registering())
        advanced_at_s = time.monotonic()
        while not registrations.done():
            now_s = time.monotonic()
            elapsed_s, advanced_at_s = now_s - advanced_at_s, now_s
            if elapsed_s > _LOGGED_STALL_S:
                _logger.warning("stalled for %.2f s", elapsed_s)
            for worker in self.workers.values():
                worker.advance(elapsed_s)
            self.machines.advance()
            await asyncio.sleep(_TICK_INTERVAL_S)
        await registrations

    async def _keep_registering(self) -> None:
        async with httpx.AsyncClient(trust_env=False) as client:
            while True:
                await self._register_workers(client)
                await asyncio.sleep(self.heartbeat_s)

    async def _register_workers(self, client: httpx.AsyncClient) -> None:
        for worker in self.workers.values():
            is_heard = not (worker.faults.silent or worker.faults.unlisted)
            worker.missed_heartbeats += 1
            if is_heard:
                worker.missed_heartbeats = 0
            if 0 < worker.missed_heartbeats < ENTRY_LIFETIME_HEARTBEATS:
                continue
            is_listed = is_heard and not worker.is_off
            if is_listed:
                worker.last_entry = json.dumps(worker.make_entry())
            body = worker.last_entry if is_listed else ""
            await self.put_entry(client, worker, body)

    async def put_entry(
        self, client: httpx.AsyncClient, worker: Worker, body: str
    ) -> None:
        """Writes a worker's entry in the store; an empty body removes it."""
        url = f"{self.store}/standin/put?topic=keyed.servers"
        await client.post(f"{url}&key={worker.name}", content=body)

    async def handle_order(self, request: Request) -> Response:
        """Answers one order of a scheduler, subject to the injected faults."""
        worker = self.workers[request.scope["server"][0]]
        started_ms = worker.started_ms
        received_s = time.monotonic()
        while worker.faults.silent or worker.is_off:
            await asyncio.sleep(_TICK_INTERVAL_S)
        is_held = time.monotonic() - received_s > _CALLER_TIMEOUT_S
        body = await request.json()
        name = request.path_params["name"]
        if name == "advise":
            return self._handle_advise(body)
        expected = request.headers.get("x-lagoonbeam-expected-instance")
        if expected not in (None, worker.name):
            return Response(status_code=421)
        faults = worker.faults
        is_late = faults.late_s and (name == "run-start" or faults.late_orders)
        if is_late:
            await asyncio.sleep(faults.late_s)
        if worker.started_ms != started_ms:  # it crashed with the order
            await asyncio.sleep(3600)
        response = await self._execute_order(
            worker, name, body, is_late=bool(is_late) or is_held
        )
        if is_late or faults.lose_answers:
            await asyncio.sleep(3600)
        return response

    async def _execute_order(
        self, worker: Worker, name: str, body: dict[str, Any], *, is_late: bool
    ) -> Response:
        worker.advance(0.0)
        fencing_token = body.get("fencing_token", 0)
        if fencing_token < worker.fencing_token:
            return self._answer(worker, 409, reason="fence")
        worker.fencing_token = fencing_token
        if name == "run-start":
            return self._handle_start(worker, body, is_late=is_late)
        if name == "run-stop":
            return self._handle_stop(worker, body)
        return await self._handle_hold(worker, body)

    def _answer(
        self, worker: Worker, status: int = 200, **extra: Any
    ) -> Response:
        body = {"clock_ms": worker.clock_ms, "born": worker.started_ms, **extra}
        return JSONResponse(body, status)

    def _handle_start(
        self, worker: Worker, body: dict[str, Any], *, is_late: bool
    ) -> Response:
        task, run = body["task"], body["run"]
        if worker.faults.unhealthy:
            return Response(status_code=503)
        if body["deadline_ms"] <= worker.clock_ms:
            return self._answer(worker, 409, reason="late")
        worker.extend_lease(body["deadline_ms"])
        current = worker.runs.get(task)
        if current is not None and current.run == run:
            return self._answer(worker)
        if run <= worker.highest_ended_run.get(task, 0) or current is not None:
            return self._answer(worker, 409, reason="old")
        spec = json.loads(body["spec"])
        used_gpus = sum(
            other_run.spec.get("gpu", 0) for other_run in worker.runs.values()
        )
        if used_gpus + spec.get("gpu", 0) > worker.capacity["gpu"]:
            return self._answer(worker, 409, reason="room")
        if spec.get("advised") and body.get("ticket") != (
            f"ticket-{worker.name}"
        ):
            return self._answer(worker, 409, reason="ticket")
        checkpoint = body.get("checkpoint", "")
        work_s = float(spec["run_s"])
        new_run = Run(
            task,
            run,
            spec,
            work_s,
            time.time(),
            resumed_from=checkpoint,
            is_start_late=is_late,
        )
        new_run.work_done_s = float(checkpoint or 0)
        worker.runs[task] = new_run
        self.record_event(worker, new_run, "started")
        return self._answer(worker)

    def _handle_advise(self, body: dict[str, Any]) -> Response:
        """Allows the workers with an odd number."""
        allowed = [
            [name, f"ticket-{name}"]
            for name in body["workers"]
            if int(name[1:]) % 2
        ]
        return JSONResponse({"allowed": allowed, "valid_ms": 3000})

    def _handle_stop(self, worker: Worker, body: dict[str, Any]) -> Response:
        task, run = body["task"], body["run"]
        current = worker.runs.get(task)
        if current is not None and current.run == run:
            current.stop_at_s = current.stop_at_s or worker.draw_stop_time_s()
        else:  # a start of this run that arrives later is refused
            worker.highest_ended_run[task] = max(
                worker.highest_ended_run.get(task, 0), run
            )
        return self._answer(worker)

    async def _handle_hold(
        self, worker: Worker, body: dict[str, Any]
    ) -> Response:
        worker.extend_lease(body.get("deadline_ms", 0))
        cursor = body["ack_cursor"]
        for number, task, run, outcome, _ in worker.pending_ends:
            if number <= cursor:
                event = f"acknowledged {outcome}"
                if worker.last_lapse_end > number:
                    event = f"acknowledged late {outcome}"
                self.record_event(worker, Run(task, run, {}, 0.0, 0.0), event)
        worker.pending_ends = [
            end for end in worker.pending_ends if end[0] > cursor
        ]
        deadline_s = time.time() + body.get("wait_ms", 0) / 1000
        while not worker.pending_ends and time.time() < deadline_s:
            await asyncio.sleep(_TICK_INTERVAL_S)
        running = [
            [run.task, run.run, run.checkpoint, run.progress_percent]
            for run in worker.runs.values()
        ]
        return self._answer(
            worker, running=running, finished=worker.pending_ends
        )


def main() -> None:
    """Starts the server."""
    logging.basicConfig(format="%(asctime)s %(message)s")
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--store", required=True)
    parser.add_argument("--count", type=int, default=4)
    parser.add_argument("--rack", type=int, default=2)
    parser.add_argument("--spare", type=int, default=0)
    parser.add_argument("--zones", type=int, default=1)
    parser.add_argument("--heartbeat-s", type=float, default=0.3)
    parser.add_argument("--slowest-clock-rate", type=float, default=1.0)
    parser.add_argument("--kill-delay-s", type=float, default=0.0)
    parser.add_argument("--stop-delay-s", type=float, default=0.1)
    parser.add_argument("--links", action="store_true")
    arguments = parser.parse_args()
    service = WorkerService(arguments)
    routes = [
        *service.machines.routes(),
        Route("/lagoonbeam/{name}", service.handle_order, methods=["POST"]),
        *WorkerControl(service).routes(),
    ]
    addresses = [f"{host}:{arguments.port}" for host in service.workers]
    run_servers(Starlette(routes=routes), addresses, service.advance_workers)


if __name__ == "__main__":
    main()
