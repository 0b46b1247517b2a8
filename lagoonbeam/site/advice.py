"""Which workers a queue's policy allows for a step, and with what ticket."""

from __future__ import annotations

import time
from collections import defaultdict
from collections.abc import Iterable
from dataclasses import dataclass

import anyio

from lagoonbeam.errors import LagoonbeamError
from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.events import Event
from lagoonbeam.site.journal_follower import add_jitter
from lagoonbeam.site.platform_interface import AdviceService

ASKED_AT_ONCE = 30
"""Workers named in one question; the platform's objectives allow for that."""
LEAST_VALID_S = 0.5
"""Seconds for which a ticket must hold to be used in a new start."""
RETRY_S = 0.3
"""Seconds before a failed question is repeated."""


@dataclass(frozen=True, slots=True)
class _Ticket:
    text: str
    incarnation: int
    until_s: float


class AdviceBook:
    """What the advice service said, and what it is still to be asked.

    Which workers a step may use never changes; tickets expire.

    Args:
        service: The advice service; None where there is none.
        decisions: The decision log.
    """

    def __init__(self, service: AdviceService | None, decisions: Decisions):
        self._service = service
        self._decisions = decisions
        self._tickets: dict[str, dict[str, _Ticket]] = defaultdict(dict)
        self._denied: dict[str, set[str]] = defaultdict(set)
        self._wanted: dict[str, dict[str, int]] = {}
        self._wake = anyio.Event()
        self.changed = anyio.Event()

    def get_tickets(self, step: str) -> dict[str, str]:
        """Returns the usable tickets of a step by worker."""
        least_s = time.monotonic() + LEAST_VALID_S
        return {
            worker: ticket.text
            for worker, ticket in self._tickets[step].items()
            if ticket.until_s > least_s
        }

    def want(self, step: str, workers: Iterable[tuple[str, int]]) -> None:
        """Asks for tickets soon, where there are none.

        Args:
            step: Name of the step of an occurrence.
            workers: Names and incarnations, the most wanted first.
        """
        known = self.get_tickets(step)
        named = {
            worker: incarnation
            for worker, incarnation in workers
            if worker not in known and worker not in self._denied[step]
        }
        if named:
            self._wanted[step] = named
            self._wake.set()

    def drop(self, step: str, worker: str) -> None:
        """Forgets a ticket that a worker refused."""
        self._tickets[step].pop(worker, None)

    def forget(self, step: str) -> None:
        """Forgets a step that needs no more tickets."""
        self._tickets.pop(step, None)
        self._denied.pop(step, None)
        self._wanted.pop(step, None)

    async def run(self) -> None:
        """Asks one question after the other, until cancelled."""
        while True:
            await self._wake.wait()
            self._wake = anyio.Event()
            while self._wanted and self._service is not None:
                step = next(iter(self._wanted))
                named = self._wanted.pop(step)
                await self._ask(self._service, step, named)

    async def _ask(
        self, service: AdviceService, step: str, named: dict[str, int]
    ) -> None:
        workers = list(named)[:ASKED_AT_ONCE]
        try:
            advice = await service.request_advice(step, workers)
        except LagoonbeamError as error:
            self._decisions.emit(
                Event.ADVICE_FAILED, step=step, cause=str(error)
            )
            await anyio.sleep(add_jitter(RETRY_S))
            return
        until_s = time.monotonic() + advice.valid_s
        for worker in workers:
            ticket = advice.tickets.get(worker)
            if ticket is None:
                self._denied[step].add(worker)
            else:
                self._tickets[step][worker] = _Ticket(
                    ticket, named[worker], until_s
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
