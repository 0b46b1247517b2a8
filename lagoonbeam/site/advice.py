"""Cache of the advice service's answers.

For queues with advice, the service says which workers a step may use, and gives
a ticket for each of them, which the start of a run has to carry.
"""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.jobs import PlacementUnit
from lagoonbeam.site.journal_follower import add_jitter
from lagoonbeam.site.platform_interface import AdviceService
from lagoonbeam.site.worker_capacity import (
    CapacityMap,
    get_step_id,
    has_required_label,
)

MAX_WORKERS_PER_REQUEST = 30
"""Workers named in one request; within the platform's service objectives."""
MIN_TICKET_VALIDITY_S = 0.5
"""Seconds of validity that a ticket must have left for use in a new start."""
RETRY_DELAY_S = 0.3
"""Mean seconds to wait after a failed request."""


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    incarnation: int
    expires_s: float


class AdviceCache:
    """Caches tickets and denials, and requests missing tickets.

    Which workers a step may use never changes, so denials are kept as long as
    the step; tickets expire.

    Args:
        service: The advice service; None where there is none.
        decisions: The decision log.
    """

    def __init__(self, service: AdviceService | None, decisions: DecisionLog):
        self._service = service
        self._decisions = decisions
        self._tickets: dict[str, dict[str, _Ticket]] = defaultdict(dict)
        self._denied_workers: dict[str, set[str]] = defaultdict(set)
        self._pending: dict[str, dict[str, int]] = {}
        self._requested = anyio.Event()
        self.changed = anyio.Event()

    def get_tickets(self, step: str) -> dict[str, str]:
        """Returns the tickets of a step that are still valid, by worker."""
        min_expiry_s = time.monotonic() + MIN_TICKET_VALIDITY_S
        return {
            worker: ticket.text
            for worker, ticket in self._tickets[step].items()
            if ticket.expires_s > min_expiry_s
        }

    def request_tickets(
        self, step: str, workers: Iterable[tuple[str, int]]
    ) -> None:
        """Queues a request for tickets that are missing.

        Args:
            step: Name of the step of an occurrence.
            workers: Names and incarnations, in order of preference.
        """
        valid_tickets = self.get_tickets(step)
        incarnations = {
            worker: incarnation
            for worker, incarnation in workers
            if worker not in valid_tickets
            and worker not in self._denied_workers[step]
        }
        if incarnations:
            self._pending[step] = incarnations
            self._requested.set()

    def drop_ticket(self, step: str, worker: str) -> None:
        """Removes a ticket that a worker refused."""
        self._tickets[step].pop(worker, None)

    def forget_step(self, step: str) -> None:
        """Removes all that is stored for a step that needs no more tickets."""
        self._tickets.pop(step, None)
        self._denied_workers.pop(step, None)
        self._pending.pop(step, None)

    async def run(self) -> None:
        """Sends the queued requests one after the other until cancelled."""
        while True:
            await self._requested.wait()
            self._requested = anyio.Event()
            while self._pending and self._service is not None:
                step = next(iter(self._pending))
                incarnations = self._pending.pop(step)
                await self._fetch_tickets(self._service, step, incarnations)

    async def _fetch_tickets(
        self, service: AdviceService, step: str, incarnations: dict[str, int]
    ) -> None:
        workers = list(incarnations)[:MAX_WORKERS_PER_REQUEST]
        try:
            advice = await service.request_advice(step, workers)
        except LagoonbeamError as error:
            self._decisions.emit(
                Event.ADVICE_FAILED, step=step, cause=str(error)
            )
            await anyio.sleep(add_jitter(RETRY_DELAY_S))
            return
        expires_s = time.monotonic() + advice.valid_s
        for worker in workers:
            ticket = advice.tickets.get(worker)
            if ticket is None:
                self._denied_workers[step].add(worker)
            else:
                self._tickets[step][worker] = _Ticket(
                    ticket, incarnations[worker], expires_s
                )
        self._decisions.emit(
            Event.ADVICE_GIVEN,
            step=step,
            asked=len(workers),
            allowed=len(advice.tickets),
            valid_s=advice.valid_s,
        )
        self.changed.set()
        self.changed = anyio.Event()

    def restrict_to_ticketed(
        self, unit: PlacementUnit, capacities: CapacityMap
    ) -> CapacityMap:
        """Returns workers with a ticket; requests tickets for others if few."""
        step_id = get_step_id(unit)
        tickets = self.get_tickets(step_id)
        ticketed = {
            name: free for name, free in capacities.items() if name in tickets
        }
        count = len(unit.tasks)
        if sum(c.count_fitting(unit, count) for c in ticketed.values()) < count:
            by_fit = sorted(
                (
                    c
                    for c in capacities.values()
                    if has_required_label(c.report, unit.spec)
                ),
                key=lambda free: -free.count_fitting(unit, count),
            )
            self.request_tickets(
                step_id,
                [(c.report.worker, c.report.incarnation) for c in by_fit],
            )
        return ticketed
