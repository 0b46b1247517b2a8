"""Which scheduler of a zone is active.

This is a matter of speed, never of safety: the workers obey the newest term,
so two schedulers that both believe to be active get refusals.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.records import Term, TermStarted
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.scheduler.peers import Peers
from lagoonbeam.types import InstanceName, ZoneName

CHECK_S = 0.1
"""Time between two looks at the peers."""


class Leadership:
    """Decides when this instance takes over its zone and when it gives up.

    Args:
        instance: Name of this instance.
        zone: Its zone.
        journal: The log client.
        peers: The other schedulers.
        events: Where events go.
        takeover_s: Silence of the active scheduler after which the first
            live scheduler of the zone takes over.
    """

    def __init__(
        self,
        *,
        instance: InstanceName,
        zone: ZoneName,
        journal: Journal,
        peers: Peers,
        events: EventLog,
        takeover_s: float,
    ):
        self.term = Term()
        self.active = False
        self.draining = False
        self._instance = instance
        self._zone = zone
        self._journal = journal
        self._peers = peers
        self._events = events
        self._takeover_s = takeover_s
        self.newest = Term()
        self._heard_s = time.monotonic()
        self._changed: Callable[[], None] = lambda: None

    def on_change(self, changed: Callable[[], None]) -> None:
        """Calls `changed` when this instance becomes active or stops."""
        self._changed = changed

    def observe(self, term: Term) -> None:
        """Takes note of a term of this zone; a newer one ends one's own."""
        if term > self.newest:
            self.newest = term
        if self.active and self.newest > self.term:
            self.step_down(f"term {self.newest.number} is newer")

    def step_down(self, cause: str) -> None:
        """Stops being active."""
        if self.active:
            self.active = False
            self._events.emit(
                "scheduler.stepped_down", term=self.term.number, cause=cause
            )
            self._changed()

    async def run(self) -> None:
        """Watches the peers until cancelled."""
        self._heard_s = time.monotonic()
        while True:
            await anyio.sleep(CHECK_S)
            self._look()

    def _look(self) -> None:
        self.observe(self._journal.state.get_term(self._zone))
        mates = [
            heartbeat
            for heartbeat in self._peers.iterate_fresh()
            if heartbeat.availability_zone == self._zone
        ]
        for heartbeat in mates:
            self.observe(Term(heartbeat.term_number, heartbeat.term_instance))
        if self.active:
            return
        now_s = time.monotonic()
        if any(heartbeat.active for heartbeat in mates):
            self._heard_s = now_s
            return
        if self.draining or not self._journal.caught_up:
            return
        handed_over = any(
            heartbeat.draining and heartbeat.instance == self.newest.instance
            for heartbeat in mates
        )
        if not handed_over and now_s - self._heard_s < self._takeover_s:
            return
        rivals = [
            heartbeat.instance
            for heartbeat in mates
            if heartbeat.ready and not heartbeat.draining
        ]
        if all(self._instance < rival for rival in rivals):
            self._take_over("handed over" if handed_over else "silence")

    def _take_over(self, cause: str) -> None:
        self.term = Term(self.newest.number + 1, self._instance)
        self.newest = self.term
        self.active = True
        self._journal.append_later(
            TermStarted(availability_zone=self._zone, term=self.term)
        )
        self._events.emit(
            "scheduler.activated", term=self.term.number, cause=cause
        )
        self._changed()
