"""The other schedulers: one task for each, heartbeats, notices and relays."""

from __future__ import annotations

import collections
import time
from collections.abc import Callable, Iterable, Iterator
from dataclasses import dataclass
from itertools import chain

import anyio
import anyio.abc

from lagoonbeam.core.events import EventLog
from lagoonbeam.core.link import Handler, Link, connect_link
from lagoonbeam.core.messages import (
    FetchState,
    Heartbeat,
    LogEntry,
    Message,
    RelayEntries,
    StateImage,
)
from lagoonbeam.errors import (
    LagoonbeamError,
    LinkClosedError,
    LinkError,
    LinkTimeoutError,
)
from lagoonbeam.scheduler.journal import Journal
from lagoonbeam.types import InstanceName, ZoneName

SILENCE_HEARTBEATS = 3.0
"""Heartbeats without an answer after which a peer counts as silent."""
RELAY_ENTRIES = 1_000
"""Latest log entries kept for peers that cannot reach the log."""
FETCH_TIMEOUT_S = 10.0
"""Deadline of fetching a peer's state."""


@dataclass(frozen=True)
class PeerAddress:
    """Where another scheduler is.

    Attributes:
        instance: Its name.
        availability_zone: Its zone.
        host: IP number.
        port: TCP port.
    """

    instance: InstanceName
    availability_zone: ZoneName
    host: str
    port: int


@dataclass
class PeerView:
    """What is known of a peer.

    Attributes:
        heartbeat: Its latest heartbeat.
        heard_s: Monotonic time at which it came.
    """

    heartbeat: Heartbeat
    heard_s: float


class Peers:
    """Keeps a link to every other scheduler.

    Args:
        instance: Name of this instance.
        journal: The log client.
        events: Where events go.
        handler: Answers calls that peers make over these links.
        make_heartbeat: Returns this instance's heartbeat.
        heartbeat_s: Time between two heartbeats.
    """

    def __init__(
        self,
        *,
        instance: InstanceName,
        journal: Journal,
        events: EventLog,
        handler: Handler,
        make_heartbeat: Callable[[], Heartbeat],
        heartbeat_s: float,
    ):
        self.views: dict[InstanceName, PeerView] = {}
        self._instance = instance
        self._journal = journal
        self._events = events
        self._handler = handler
        self._make_heartbeat = make_heartbeat
        self._heartbeat_s = heartbeat_s
        self._addresses: dict[InstanceName, PeerAddress] = {}
        self._links: dict[InstanceName, Link] = {}
        self._scopes: dict[InstanceName, anyio.CancelScope] = {}
        self._recent: collections.deque[LogEntry] = collections.deque(
            maxlen=RELAY_ENTRIES
        )
        self._behind_since_s = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None
        journal.relay_to(self._recent.append)

    @property
    def silence_s(self) -> float:
        """Silence after which a peer is not counted on."""
        return SILENCE_HEARTBEATS * self._heartbeat_s

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Allows links to be dialled."""
        self._tasks = tasks

    async def close(self) -> None:
        """Ends all links."""
        for scope in self._scopes.values():
            scope.cancel()

    def set_addresses(self, addresses: Iterable[PeerAddress]) -> None:
        """Adds and moves peers; one that is not named is kept."""
        for address in addresses:
            name = address.instance
            if name == self._instance or self._addresses.get(name) == address:
                continue
            self._addresses[name] = address
            if name in self._scopes:
                self._scopes.pop(name).cancel()
            scope = anyio.CancelScope()
            self._scopes[name] = scope
            assert self._tasks is not None
            self._tasks.start_soon(self._run_peer, address, scope)

    def forget(self, instances: Iterable[InstanceName]) -> None:
        """Gives up peers that are silent and no longer listed."""
        for name in list(instances):
            if name in self._scopes and self.get_fresh(name) is None:
                self._scopes.pop(name).cancel()
                self._addresses.pop(name, None)
                self.views.pop(name, None)

    @property
    def names(self) -> list[InstanceName]:
        """Names of all known peers."""
        return list(self._addresses)

    def observe(self, heartbeat: Heartbeat) -> None:
        """Takes note of a peer's heartbeat."""
        if heartbeat.instance != self._instance:
            now_s = time.monotonic()
            self.views[heartbeat.instance] = PeerView(heartbeat, now_s)

    def get_fresh(self, instance: InstanceName) -> Heartbeat | None:
        """Returns a peer's heartbeat, or None if it is silent."""
        view = self.views.get(instance)
        if view is None or time.monotonic() - view.heard_s > self.silence_s:
            return None
        return view.heartbeat

    def iterate_fresh(self) -> Iterator[Heartbeat]:
        """Yields the heartbeats of all peers that are not silent."""
        found = (self.get_fresh(name) for name in list(self.views))
        return (heartbeat for heartbeat in found if heartbeat is not None)

    def find_active(self, zone: ZoneName) -> Heartbeat | None:
        """Returns the heartbeat of a zone's active scheduler, if heard."""
        active = [
            heartbeat
            for heartbeat in self.iterate_fresh()
            if heartbeat.active and heartbeat.availability_zone == zone
        ]
        return max(
            active,
            key=lambda each: (each.term_number, each.term_instance),
            default=None,
        )

    async def call(
        self, instance: InstanceName, message: Message, *, timeout_s: float
    ) -> Message:
        """Makes a call to a peer.

        Raises:
            LinkError: If there is no link or no answer.
            LagoonbeamError: What the peer refused with.
        """
        link = self._links.get(instance)
        if link is None or link.closed:
            raise LinkClosedError(f"no link to {instance!r}")
        try:
            return await link.call(message, timeout_s=timeout_s)
        except LinkTimeoutError:
            await link.close()
            raise

    def broadcast(self, message: Message) -> None:
        """Sends a notice to every peer that can be reached now."""
        assert self._tasks is not None
        for link in self._links.values():
            if not link.closed:
                self._tasks.start_soon(_notify, link, message)

    def count_bytes(self) -> int:
        """Returns the bytes sent and received on all present links."""
        links = self._links.values()
        return sum(
            chain.from_iterable(
                (link.sent_bytes, link.received_bytes) for link in links
            )
        )

    async def _run_peer(
        self, address: PeerAddress, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                try:
                    await self._keep_link(address)
                except LinkError:
                    self._links.pop(address.instance, None)
                await anyio.sleep(self._heartbeat_s)

    async def _keep_link(self, address: PeerAddress) -> None:
        link = await connect_link(
            address.host,
            address.port,
            clock=self._events.clock,
            handler=self._handler,
        )
        self._events.emit("peer.linked", cause=address.instance)
        async with anyio.create_task_group() as tasks:
            tasks.start_soon(link.run)
            self._links[address.instance] = link
            try:
                while not link.closed:
                    await self._exchange(link)
                    await anyio.sleep(self._heartbeat_s)
            except LinkError as error:
                self._events.emit(
                    "peer.lost", cause=f"{address.instance}: {error.code}"
                )
            finally:
                self._links.pop(address.instance, None)
                await link.close()
                tasks.cancel_scope.cancel()

    async def _exchange(self, link: Link) -> None:
        """Swaps heartbeats and helps the side that lags."""
        reply = await link.call(
            self._make_heartbeat(), timeout_s=self.silence_s
        )
        if not isinstance(reply, Heartbeat):
            raise LinkClosedError(f"got {type(reply).__name__}")
        self.observe(reply)
        if not reply.log_up:
            await self._relay(link, reply.next_offset)
        if not self._journal.log_up or not self._journal.caught_up:
            await self._catch_up(link, reply)

    async def _relay(self, link: Link, next_offset: int) -> None:
        if not self._recent or self._recent[0].offset > next_offset:
            return
        entries = [e for e in self._recent if e.offset >= next_offset]
        if entries:
            await link.notify(RelayEntries(entries))

    async def _catch_up(self, link: Link, reply: Heartbeat) -> None:
        """Fetches a peer's state when its relays do not reach back."""
        if not reply.ready:
            return
        behind = reply.next_offset > self._journal.state.next_offset
        if self._journal.caught_up and not behind:
            self._behind_since_s = 0.0
            return
        now_s = time.monotonic()
        self._behind_since_s = self._behind_since_s or now_s
        if now_s - self._behind_since_s < self.silence_s:
            return
        self._behind_since_s = 0.0
        try:
            image = await link.call(FetchState(), timeout_s=FETCH_TIMEOUT_S)
        except LagoonbeamError:
            return
        if isinstance(image, StateImage):
            self._journal.load(image.data)
            self._journal.caught_up = True
            self._journal.poke()


async def _notify(link: Link, message: Message) -> None:
    try:
        await link.notify(message)
    except LinkError:
        return
