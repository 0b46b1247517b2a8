"""Stand-in for the machine service of the users' platform.

Serves the machines that host the workers of `standins.platform_worker`, in
the same process and by the platform's protocol: ``machines``,
``machine-move`` and ``machine-upkeep``. Machine ``m-w0`` hosts worker ``w0``.
Upkeep orders are not checked against the waves that operators request in the
store: any wave number is accepted. ``GET /standin/duties`` returns the
accepted orders with the instance that sent each.
"""

from __future__ import annotations

import time
from dataclasses import dataclass
from typing import TYPE_CHECKING, Any

from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

if TYPE_CHECKING:
    from standins.platform_worker import WorkerService
    from standins.platform_worker_model import Worker

SPARE_POOL = "spare"
UPKEEP_DURATION_S = 1.0
MOVE_DURATION_S = 0.5
PAGE_SIZE = 2


@dataclass
class SimulatedMachine:
    """A machine, its worker and what it accepted last.

    Attributes:
        worker: Worker that the machine hosts.
        pool: Pool that the machine belongs to.
        fencing_token: Highest fencing token accepted so far.
        state: ``up``, ``moving`` or ``upkeep``.
        downtime_ends_at_s: When a move or an upkeep ends; 0 if there is none.
        last_serviced_wave: Number of the last upkeep wave accepted.
    """

    worker: Worker
    pool: str
    fencing_token: int = 0
    state: str = "up"
    downtime_ends_at_s: float = 0.0
    last_serviced_wave: int = 0

    @property
    def machine_id(self) -> str:
        """Identifier in the machine list and in orders."""
        return f"m-{self.worker.name}"

    def advance(self) -> None:
        """Ends a move or an upkeep whose duration has passed."""
        if self.downtime_ends_at_s and time.time() >= self.downtime_ends_at_s:
            self.downtime_ends_at_s, self.state = 0.0, "up"
            if self.pool != SPARE_POOL:
                self.worker.power_on()

    def make_list_entry(self) -> dict[str, Any]:
        """Returns the machine's entry in the machine list."""
        has_running_worker = self.state == "up" and self.pool != SPARE_POOL
        return {
            "machine_id": self.machine_id,
            "pool": self.pool,
            "state": self.state,
            "zone": "z1",
            "labels": ["a", self.worker.rack],
            "capacity": self.worker.capacity,
            "id": self.worker.name if has_running_worker else None,
        }


class MachineInventory:
    """All machines and their HTTP routes.

    Args:
        worker_service: Workers that the machines host.
        pool: Initial pool of the machines that are not spare.
        spare_count: Number of machines, the last ones, that start in the
            spare pool with their workers off.
    """

    def __init__(
        self, worker_service: WorkerService, pool: str, spare_count: int
    ):
        self.accepted_orders: list[dict[str, Any]] = []
        workers = list(worker_service.workers.values())
        first_spare_index = len(workers) - spare_count
        self.machines = {}
        for index, worker in enumerate(workers):
            is_spare = index >= first_spare_index
            machine = SimulatedMachine(worker, SPARE_POOL if is_spare else pool)
            self.machines[machine.machine_id] = machine
            if is_spare:
                worker.power_off()

    def advance(self) -> None:
        """Ends the moves and upkeeps whose duration has passed."""
        for machine in self.machines.values():
            machine.advance()

    async def list_machines(self, request: Request) -> Response:
        """Returns one page of the machine list and the token of the next."""
        start_index = int(request.query_params.get("page_token", "0"))
        machines = list(self.machines.values())
        end_index = start_index + PAGE_SIZE
        return JSONResponse(
            {
                "machines": [
                    machine.make_list_entry()
                    for machine in machines[start_index:end_index]
                ],
                "next_token": str(end_index)
                if end_index < len(machines)
                else None,
            }
        )

    async def move_machine(self, request: Request) -> Response:
        """Moves a machine to another pool; its worker is off meanwhile."""
        body = await request.json()
        machine, refusal = self._check_order(request, body)
        if machine is None:
            return refusal
        if machine.pool != body["pool"]:
            if machine.state != "up":
                return JSONResponse({"reason": "busy"}, 409)
            machine.pool = body["pool"]
            self._begin_downtime(machine, "moving", MOVE_DURATION_S)
        return JSONResponse({})

    async def start_upkeep(self, request: Request) -> Response:
        """Takes a machine down for upkeep, once for each wave."""
        body = await request.json()
        machine, refusal = self._check_order(request, body)
        if machine is None:
            return refusal
        if machine.last_serviced_wave != body["wave"]:
            if machine.state != "up":
                return JSONResponse({"reason": "busy"}, 409)
            machine.last_serviced_wave = body["wave"]
            self._begin_downtime(machine, "upkeep", UPKEEP_DURATION_S)
        return JSONResponse({})

    async def get_accepted_orders(self, request: Request) -> Response:
        """Returns the accepted orders with their senders."""
        return JSONResponse(self.accepted_orders)

    def routes(self) -> list[Route]:
        """Returns the HTTP routes."""
        return [
            Route("/lagoonbeam/machines", self.list_machines),
            Route(
                "/lagoonbeam/machine-move", self.move_machine, methods=["POST"]
            ),
            Route(
                "/lagoonbeam/machine-upkeep",
                self.start_upkeep,
                methods=["POST"],
            ),
            Route("/standin/duties", self.get_accepted_orders),
        ]

    def _check_order(
        self, request: Request, body: dict[str, Any]
    ) -> tuple[SimulatedMachine | None, Response]:
        machine = self.machines.get(body["machine_id"])
        if machine is None:
            return None, Response(status_code=400)
        fencing_token = int(request.headers["x-lagoonbeam-fencing-token"])
        if fencing_token < machine.fencing_token:
            return None, JSONResponse({"reason": "fence"}, 409)
        machine.fencing_token = fencing_token
        self.accepted_orders.append(
            {
                "at_s": time.time(),
                "target": request.url.path,
                "holder": request.headers["x-lagoonbeam-duty-holder"],
                "token": fencing_token,
                "runs": len(machine.worker.runs),
                "down": sum(
                    other.state == "upkeep" for other in self.machines.values()
                ),
                **body,
            }
        )
        return machine, Response()

    def _begin_downtime(
        self, machine: SimulatedMachine, state: str, duration_s: float
    ) -> None:
        machine.state, machine.downtime_ends_at_s = (
            state,
            time.time() + duration_s,
        )
        machine.worker.power_off()
