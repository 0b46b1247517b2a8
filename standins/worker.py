"""Stand-in for the platform's workers; one process serves several.

All commands carry a term ``{"number", "instance"}``; a term older than the
newest seen is refused with 409 ``stale_term``. Paths start with ``/NAME``.

``POST reserve`` ``{term, lease_s, tasks: [...]}`` reserves slots for tasks.
``POST start`` ``{term, lease_s, task_ids}`` starts reserved tasks.
``POST stop`` ``{term, task_ids, checkpoint, grace_s}`` stops tasks.
``POST sync`` ``{term, lease_s, renew, forget, seen, wait_s}`` renews the
leases of the attempts in ``renew`` and drops the ended tasks in ``forget``.
It answers with the tasks changed since revision ``seen``, as soon as there is
a change or after ``wait_s``.

The worker stops a task whose lease has expired. The payload of a task is JSON
with ``run_s``, ``answer`` and ``fail``. ``GET /history`` returns the events
of all tasks. ``POST /NAME/faults`` sets fields of `WorkerFaults`.
"""

from __future__ import annotations

import argparse
import asyncio
import contextlib
import dataclasses
import itertools
import json
import time
from collections.abc import AsyncIterator
from dataclasses import dataclass, field
from typing import Any

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.server import run_server

_TICK_INTERVAL_S = 0.02
FINAL_STATES = {"completed", "failed", "stopped", "checkpointed", "lapsed"}


@dataclass
class WorkerFaults:
    """Faults that are injected at present.

    ``down_s`` crashes the worker: its tasks are lost and it does not answer
    for that time. ``pause_s`` freezes it with its tasks for that time.
    """

    fail_all: bool = False
    silent: bool = False
    late_s: float = 0.0
    leaving: bool = False
    down_s: float = 0.0
    pause_s: float = 0.0
    lose_answers: bool = False


@dataclass
class Task:
    """One member of a gang on this worker."""

    task_id: str
    job_id: str
    attempt: str
    member: int
    members: int
    first_slot: int
    slots: int
    payload: str
    annotation: str = ""
    resume_s: float = 0.0
    state: str = "reserved"
    result: str = ""
    ran_s: float = 0.0
    lease_expires_at_s: float = 0.0
    stop_at_s: float = 0.0
    state_after_stop: str = ""
    started: bool = False
    revision: int = 0

    def make_report(self) -> dict[str, Any]:
        """Returns the fields that the answer to a sync contains."""
        field_names = (
            "task_id job_id attempt member members first_slot slots state"
            " result ran_s annotation started"
        )
        return {
            field_name: getattr(self, field_name)
            for field_name in field_names.split()
        }


@dataclass
class Worker:
    """A worker with its tasks, newest term and injected faults."""

    name: str
    slots: int
    history: list[dict[str, Any]]
    incarnation: int = 1
    term: tuple[int, str] = (0, "")
    revision: int = 0
    tasks: dict[str, Task] = field(default_factory=dict)
    faults: WorkerFaults = field(default_factory=WorkerFaults)
    unresponsive_until_s: float = 0.0
    change_event: asyncio.Event = field(default_factory=asyncio.Event)
    last_advance_at_s: float = field(default_factory=time.monotonic)

    def mark_changed(self, *tasks: Task) -> None:
        """Marks the worker and the given tasks as changed; wakes all syncs."""
        self.revision += 1
        for task in tasks:
            task.revision = self.revision
        self.change_event.set()
        self.change_event = asyncio.Event()

    def record_event(self, task: Task, event: str) -> None:
        """Appends an event of a task to the history."""
        self.history.append(
            {
                "worker": self.name,
                "event": event,
                "at_s": time.time(),
                "task_id": task.task_id,
                "job_id": task.job_id,
                "attempt": task.attempt,
                "member": task.member,
                "members": task.members,
                "annotation": task.annotation if event == "started" else "",
            }
        )

    def end_task(self, task: Task, state: str) -> None:
        """Sets a final state; records it if the task was running."""
        if task.state == "running":
            self.record_event(task, state)
        task.state = state
        self.mark_changed(task)

    def advance(self) -> None:
        """Advances the tasks to the current time and ends those due."""
        now_s = time.monotonic()
        elapsed_s, self.last_advance_at_s = (
            now_s - self.last_advance_at_s,
            now_s,
        )
        if now_s < self.unresponsive_until_s:
            return
        for task in self.tasks.values():
            if task.state in FINAL_STATES:
                continue
            if task.state == "running":
                self._advance_task(task, min(elapsed_s, 1.0))
            if (
                task.state not in FINAL_STATES
                and now_s > task.lease_expires_at_s
            ):
                self.end_task(task, "lapsed")
            elif task.state not in FINAL_STATES and 0 < task.stop_at_s <= now_s:
                self.end_task(task, task.state_after_stop)

    def _advance_task(self, task: Task, elapsed_s: float) -> None:
        task.ran_s += elapsed_s
        task_spec = json.loads(task.payload or "{}")
        if self.faults.fail_all or task_spec.get("fail"):
            task.result = "failed as ordered"
            self.end_task(task, "failed")
        elif task.ran_s >= task_spec.get("run_s", 0.1):
            task.result = f"{task_spec.get('answer', '')}/{task.member}"
            self.end_task(task, "completed")

    def crash(self, down_s: float) -> None:
        """Drops all tasks and stays unresponsive for ``down_s``."""
        for task in self.tasks.values():
            if task.state == "running":
                self.record_event(task, "crashed")
        self.tasks.clear()
        self.incarnation += 1
        self.term = (0, "")
        self.unresponsive_until_s = time.monotonic() + down_s
        self.mark_changed()


class WorkerService:
    """All workers of the process and their HTTP handlers."""

    def __init__(self, names: list[str], slots: int):
        self.history: list[dict[str, Any]] = []
        self.workers = {
            name: Worker(name, slots, self.history) for name in names
        }

    async def advance_workers(self) -> None:
        """Advances all workers until cancelled."""
        while True:
            for worker in self.workers.values():
                worker.advance()
            await asyncio.sleep(_TICK_INTERVAL_S)

    async def handle_command(self, request: Request) -> Response:
        """Carries out one command, subject to the injected faults."""
        worker = self.workers[request.path_params["name"]]
        body = await request.json()
        while (
            worker.faults.silent
            or time.monotonic() < worker.unresponsive_until_s
        ):
            await asyncio.sleep(_TICK_INTERVAL_S)
        term = (body["term"]["number"], body["term"]["instance"])
        if term < worker.term:
            return self._refuse(worker, "stale_term")
        if term > worker.term:
            worker.term = term
            worker.mark_changed()
        handler = getattr(self, f"_{request.path_params['command']}")
        response: Response = await handler(worker, body)
        if worker.faults.lose_answers:
            await asyncio.sleep(3600)
        return response

    def _refuse(self, worker: Worker, code: str) -> Response:
        number, instance = worker.term
        term = {"number": number, "instance": instance}
        return JSONResponse({"code": code, "term": term}, 409)

    async def _reserve(self, worker: Worker, body: dict[str, Any]) -> Response:
        if worker.faults.leaving:
            return self._refuse(worker, "leaving")
        new_tasks = [
            Task(**task_fields)
            for task_fields in body["tasks"]
            if task_fields["task_id"] not in worker.tasks
        ]
        occupied_slots = {
            slot
            for task in worker.tasks.values()
            if task.state not in FINAL_STATES
            for slot in range(task.first_slot, task.first_slot + task.slots)
        }
        slots = set(
            itertools.chain.from_iterable(
                range(task.first_slot, task.first_slot + task.slots)
                for task in new_tasks
            )
        )
        if occupied_slots & slots or any(
            slot >= worker.slots for slot in slots
        ):
            return self._refuse(worker, "no_room")
        for task in new_tasks:
            task.lease_expires_at_s = time.monotonic() + body["lease_s"]
            worker.tasks[task.task_id] = task
        worker.mark_changed(*new_tasks)
        return JSONResponse({"incarnation": str(worker.incarnation)})

    async def _start(self, worker: Worker, body: dict[str, Any]) -> Response:
        tasks = [worker.tasks.get(task_id) for task_id in body["task_ids"]]
        if any(task is None or task.state in FINAL_STATES for task in tasks):
            known_tasks = [task for task in tasks if task is not None]
            if len(known_tasks) < len(tasks) or any(
                task.state in ("lapsed", "stopped") for task in known_tasks
            ):
                return self._refuse(worker, "unknown_task")
        started_tasks = [
            reserved_task
            for reserved_task in tasks
            if reserved_task is not None and reserved_task.state == "reserved"
        ]
        for task in started_tasks:
            if task.state == "reserved":
                task.state = "running"
                task.started = True
                task.ran_s = task.resume_s
                task.lease_expires_at_s = time.monotonic() + body["lease_s"]
                self.workers[worker.name].record_event(task, "started")
        worker.mark_changed(*started_tasks)
        return JSONResponse({})

    async def _stop(self, worker: Worker, body: dict[str, Any]) -> Response:
        for task_id in body["task_ids"]:
            task = worker.tasks.get(task_id)
            if task is None or task.state in FINAL_STATES:
                continue
            if task.state == "reserved" or not body["checkpoint"]:
                worker.end_task(task, "stopped")
            elif not task.stop_at_s:
                grace_s = min(0.2, body["grace_s"])
                task.stop_at_s = time.monotonic() + grace_s
                task.state_after_stop = "checkpointed"
        return JSONResponse({})

    async def _sync(self, worker: Worker, body: dict[str, Any]) -> Response:
        term, incarnation = worker.term, worker.incarnation
        lease_expires_at_s = time.monotonic() + body["lease_s"]
        renewed_attempts = set(body["renew"])
        for task in worker.tasks.values():
            if (
                task.attempt in renewed_attempts
                and task.state not in FINAL_STATES
            ):
                task.lease_expires_at_s = lease_expires_at_s
        for task_id in body["forget"]:
            task = worker.tasks.get(task_id)
            if task is not None and task.state in FINAL_STATES:
                del worker.tasks[task_id]
        deadline_s = time.monotonic() + body["wait_s"]
        while worker.revision == body["seen"] and worker.term == term:
            remaining_s = deadline_s - time.monotonic()
            if remaining_s <= 0:
                break
            try:
                await asyncio.wait_for(worker.change_event.wait(), remaining_s)
            except TimeoutError:
                break
        if worker.faults.late_s:
            await asyncio.sleep(worker.faults.late_s)
        if worker.term > term:
            return self._refuse(worker, "stale_term")
        if worker.incarnation != incarnation:
            return JSONResponse({"code": "crashed"}, 503)
        return JSONResponse(
            {
                "incarnation": str(worker.incarnation),
                "revision": worker.revision,
                "leaving": worker.faults.leaving,
                "tasks": [
                    task.make_report()
                    for task in worker.tasks.values()
                    if task.revision > body["seen"]
                ],
            }
        )

    async def set_faults(self, request: Request) -> Response:
        """Sets the given faults of a worker and returns all of them."""
        worker = self.workers[request.path_params["name"]]
        changes = await request.json()
        worker.faults = dataclasses.replace(worker.faults, **changes)
        if changes.get("down_s"):
            worker.crash(changes["down_s"])
        if changes.get("pause_s"):
            worker.unresponsive_until_s = time.monotonic() + changes["pause_s"]
        worker.mark_changed()
        return JSONResponse(dataclasses.asdict(worker.faults))

    async def get_history(self, request: Request) -> Response:
        """Returns the events of all tasks of all workers."""
        return JSONResponse(self.history)


def main() -> None:
    """Starts the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--names", required=True, help="comma-separated")
    parser.add_argument("--slots", type=int, default=8)
    arguments = parser.parse_args()
    service = WorkerService(arguments.names.split(","), arguments.slots)

    @contextlib.asynccontextmanager
    async def lifespan(_: Starlette) -> AsyncIterator[None]:
        advance_loop = asyncio.create_task(service.advance_workers())
        yield
        advance_loop.cancel()

    application = Starlette(
        routes=[
            Route("/history", service.get_history),
            Route("/{name}/faults", service.set_faults, methods=["POST"]),
            Route(
                "/{name}/{command}", service.handle_command, methods=["POST"]
            ),
        ],
        lifespan=lifespan,
    )
    run_server(application, arguments.port)


if __name__ == "__main__":
    main()
