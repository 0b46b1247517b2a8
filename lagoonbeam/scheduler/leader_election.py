"""Election of the active scheduler of a zone.

The election affects availability, not safety: workers refuse commands of any
term but the newest, so two schedulers that both consider themselves active do
no harm.
"""

from __future__ import annotations

import time
from collections.abc import Callable

import anyio

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.records import Term, TermStarted
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.scheduler.peer_links import PeerLinks
from lagoonbeam.types import InstanceName, ZoneName

PEER_CHECK_INTERVAL_S = 0.1
"""Interval at which the peers' heartbeats are checked."""


class LeaderElection:
    """Decides when this instance takes over its zone and when it steps down.

    Args:
        instance: Name of this instance.
        zone: Zone of this instance.
        log_client: The log client.
        peers: Links to the other schedulers.
        events: Event log.
        takeover_s: Time without an active scheduler after which the zone's
            live scheduler with the lowest name takes over.

    Attributes:
        term: Latest term of this instance.
        active: Whether this instance is the zone's active scheduler.
        draining: Whether this instance must not take over any more.
        newest_term: Newest known term of the zone.
    """

    def __init__(
        self,
        *,
        instance: InstanceName,
        zone: ZoneName,
        log_client: LogClient,
        peers: PeerLinks,
        events: EventLog,
        takeover_s: float,
    ):
        self.term = Term()
        self.active = False
        self.draining = False
        self._instance = instance
        self._zone = zone
        self._log_client = log_client
        self._peers = peers
        self._events = events
        self._takeover_s = takeover_s
        self.newest_term = Term()
        self._active_heard_s = time.monotonic()
        self._change_listener: Callable[[], None] = lambda: None

    def set_change_listener(self, listener: Callable[[], None]) -> None:
        """Sets the callback for becoming active and for stepping down."""
        self._change_listener = listener

    def observe_term(self, term: Term) -> None:
        """Records a term of this zone; steps down if it is newer."""
        if term > self.newest_term:
            self.newest_term = term
        if self.active and self.newest_term > self.term:
            self.step_down(f"term {self.newest_term.number} is newer")

    def step_down(self, cause: str) -> None:
        """Ends this instance's active role, if it has it."""
        if self.active:
            self.active = False
            self._events.emit(
                "scheduler.stepped_down", term=self.term.number, cause=cause
            )
            self._change_listener()

    async def run(self) -> None:
        """Checks the peers periodically until cancelled."""
        self._active_heard_s = time.monotonic()
        while True:
            await anyio.sleep(PEER_CHECK_INTERVAL_S)
            self._check_peers()

    def _check_peers(self) -> None:
        self.observe_term(self._log_client.state.get_term(self._zone))
        zone_heartbeats = [
            heartbeat
            for heartbeat in self._peers.iterate_live_heartbeats()
            if heartbeat.availability_zone == self._zone
        ]
        for heartbeat in zone_heartbeats:
            self.observe_term(
                Term(heartbeat.term_number, heartbeat.term_instance)
            )
        if self.active:
            return
        now_s = time.monotonic()
        if any(heartbeat.active for heartbeat in zone_heartbeats):
            self._active_heard_s = now_s
            return
        if self.draining or not self._log_client.caught_up:
            return
        handed_over = any(
            heartbeat.draining
            and heartbeat.instance == self.newest_term.instance
            for heartbeat in zone_heartbeats
        )
        if not handed_over and now_s - self._active_heard_s < self._takeover_s:
            return
        other_candidates = [
            heartbeat.instance
            for heartbeat in zone_heartbeats
            if heartbeat.ready and not heartbeat.draining
        ]
        if all(self._instance < candidate for candidate in other_candidates):
            self._take_over("handed over" if handed_over else "silence")

    def _take_over(self, cause: str) -> None:
        self.term = Term(self.newest_term.number + 1, self._instance)
        self.newest_term = self.term
        self.active = True
        self._log_client.append_in_background(
            TermStarted(availability_zone=self._zone, term=self.term)
        )
        self._events.emit(
            "scheduler.activated", term=self.term.number, cause=cause
        )
        self._change_listener()
