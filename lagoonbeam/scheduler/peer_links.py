"""Links to the other schedulers: heartbeats, notices, relayed log entries."""

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
from lagoonbeam.scheduler.log_client import LogClient
from lagoonbeam.types import InstanceName, ZoneName

SILENCE_TIMEOUT_HEARTBEATS = 3.0
"""Number of heartbeat intervals without a heartbeat after which a peer counts
as silent."""
MAX_RELAY_ENTRIES = 1_000
"""Number of recent log entries kept for peers that cannot reach the log."""
RELAYED_BYTES = 1 << 20
"""Data of the log entries that are relayed in one message, or a little more."""
FETCH_STATE_TIMEOUT_S = 10.0
"""Timeout of fetching a peer's state."""


@dataclass(frozen=True)
class PeerAddress:
    """Network address of another scheduler.

    Attributes:
        instance: Its name.
        availability_zone: Its zone.
        host: IP address.
        port: TCP port.
    """

    instance: InstanceName
    availability_zone: ZoneName
    host: str
    port: int


@dataclass
class ReceivedHeartbeat:
    """The latest heartbeat of a peer.

    Attributes:
        heartbeat: The heartbeat.
        received_s: Monotonic time at which it was received.
    """

    heartbeat: Heartbeat
    received_s: float


class PeerLinks:
    """Maintains a link to every other scheduler.

    Log entries are relayed to peers that cannot reach the log.

    Args:
        instance: Name of this instance.
        log_client: The log client.
        events: Event log.
        handler: Handles calls that peers make over these links.
        make_heartbeat: Returns this instance's heartbeat.
        heartbeat_s: Interval between heartbeats.

    Attributes:
        received_heartbeats: Latest heartbeat of each peer.
    """

    def __init__(
        self,
        *,
        instance: InstanceName,
        log_client: LogClient,
        events: EventLog,
        handler: Handler,
        make_heartbeat: Callable[[], Heartbeat],
        heartbeat_s: float,
    ):
        self.received_heartbeats: dict[InstanceName, ReceivedHeartbeat] = {}
        self._instance = instance
        self._log_client = log_client
        self._events = events
        self._handler = handler
        self._make_heartbeat = make_heartbeat
        self._heartbeat_s = heartbeat_s
        self._addresses: dict[InstanceName, PeerAddress] = {}
        self._links: dict[InstanceName, Link] = {}
        self._cancel_scopes: dict[InstanceName, anyio.CancelScope] = {}
        self._recent_entries: collections.deque[LogEntry] = collections.deque(
            maxlen=MAX_RELAY_ENTRIES
        )
        self._lagging_since_s = 0.0
        self._tasks: anyio.abc.TaskGroup | None = None
        log_client.set_entry_listener(self._recent_entries.append)

    @property
    def silence_timeout_s(self) -> float:
        """Time without a heartbeat after which a peer counts as silent."""
        return SILENCE_TIMEOUT_HEARTBEATS * self._heartbeat_s

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Sets the task group in which links are run."""
        self._tasks = tasks

    async def close(self) -> None:
        """Closes all links."""
        for scope in self._cancel_scopes.values():
            scope.cancel()

    def set_addresses(self, addresses: Iterable[PeerAddress]) -> None:
        """Adds peers and updates addresses; other peers are kept."""
        for address in addresses:
            name = address.instance
            if name == self._instance or self._addresses.get(name) == address:
                continue
            self._addresses[name] = address
            if name in self._cancel_scopes:
                self._cancel_scopes.pop(name).cancel()
            scope = anyio.CancelScope()
            self._cancel_scopes[name] = scope
            assert self._tasks is not None
            self._tasks.start_soon(self._maintain_link, address, scope)

    def remove_silent_peers(self, instances: Iterable[InstanceName]) -> None:
        """Removes those of the given peers that are silent."""
        for name in list(instances):
            if (
                name in self._cancel_scopes
                and self.get_live_heartbeat(name) is None
            ):
                self._cancel_scopes.pop(name).cancel()
                self._addresses.pop(name, None)
                self.received_heartbeats.pop(name, None)

    @property
    def instance_names(self) -> list[InstanceName]:
        """Instance names of all known peers."""
        return list(self._addresses)

    def record_heartbeat(self, heartbeat: Heartbeat) -> None:
        """Stores a peer's heartbeat."""
        if heartbeat.instance != self._instance:
            now_s = time.monotonic()
            self.received_heartbeats[heartbeat.instance] = ReceivedHeartbeat(
                heartbeat, now_s
            )

    def get_live_heartbeat(self, instance: InstanceName) -> Heartbeat | None:
        """Returns a peer's latest heartbeat, or None if the peer is silent."""
        received = self.received_heartbeats.get(instance)
        if (
            received is None
            or time.monotonic() - received.received_s > self.silence_timeout_s
        ):
            return None
        return received.heartbeat

    def iterate_live_heartbeats(self) -> Iterator[Heartbeat]:
        """Yields the latest heartbeats of all peers that are not silent."""
        heartbeats = (
            self.get_live_heartbeat(name)
            for name in list(self.received_heartbeats)
        )
        return (heartbeat for heartbeat in heartbeats if heartbeat is not None)

    def find_active_scheduler(self, zone: ZoneName) -> Heartbeat | None:
        """Returns the heartbeat of a zone's active scheduler, if it is live.

        Of several that claim to be active, the one with the newest term.
        """
        active = [
            heartbeat
            for heartbeat in self.iterate_live_heartbeats()
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
        """Calls a peer; closes the link on a timeout.

        Raises:
            LinkError: If there is no link or no reply.
            LagoonbeamError: The error with which the peer refused.
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
        """Sends a notice to every connected peer without waiting for it."""
        assert self._tasks is not None
        for link in self._links.values():
            if not link.closed:
                self._tasks.start_soon(_send_notice, link, message)

    def count_link_bytes(self) -> int:
        """Returns the total bytes sent and received on the current links."""
        links = self._links.values()
        return sum(
            chain.from_iterable(
                (link.sent_bytes, link.received_bytes) for link in links
            )
        )

    async def _maintain_link(
        self, address: PeerAddress, scope: anyio.CancelScope
    ) -> None:
        with scope:
            while True:
                try:
                    await self._run_link(address)
                except LinkError:
                    self._links.pop(address.instance, None)
                await anyio.sleep(self._heartbeat_s)

    async def _run_link(self, address: PeerAddress) -> None:
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
                    await self._exchange_heartbeats(link)
                    await anyio.sleep(self._heartbeat_s)
            except LinkError as error:
                self._events.emit(
                    "peer.lost", cause=f"{address.instance}: {error.code}"
                )
            finally:
                self._links.pop(address.instance, None)
                await link.close()
                tasks.cancel_scope.cancel()

    async def _exchange_heartbeats(self, link: Link) -> None:
        """Exchanges heartbeats and brings the side that lags up to date."""
        reply = await link.call(
            self._make_heartbeat(), timeout_s=self.silence_timeout_s
        )
        if not isinstance(reply, Heartbeat):
            raise LinkClosedError(
                f"expected Heartbeat, got {type(reply).__name__}"
            )
        self.record_heartbeat(reply)
        if not reply.log_up:
            await self._relay_entries(link, reply.next_offset)
        if not self._log_client.log_up or not self._log_client.caught_up:
            await self._fetch_state_if_lagging(link, reply)

    async def _relay_entries(self, link: Link, next_offset: int) -> None:
        if (
            not self._recent_entries
            or self._recent_entries[0].offset > next_offset
        ):
            return
        entries = [e for e in self._recent_entries if e.offset >= next_offset]
        for part in _split_entries(entries):
            await link.notify(RelayEntries(part))

    async def _fetch_state_if_lagging(
        self, link: Link, reply: Heartbeat
    ) -> None:
        """Fetches a peer's state if relayed entries did not close the gap.

        The state is fetched only after a lag of `silence_timeout_s`, as relayed
        entries usually arrive before.
        """
        if not reply.ready:
            return
        is_lagging = reply.next_offset > self._log_client.state.next_offset
        if self._log_client.caught_up and not is_lagging:
            self._lagging_since_s = 0.0
            return
        now_s = time.monotonic()
        self._lagging_since_s = self._lagging_since_s or now_s
        if now_s - self._lagging_since_s < self.silence_timeout_s:
            return
        self._lagging_since_s = 0.0
        try:
            state_image = await link.call(
                FetchState(), timeout_s=FETCH_STATE_TIMEOUT_S
            )
        except LagoonbeamError:
            return
        if isinstance(state_image, StateImage):
            self._log_client.load(state_image.data)
            self._log_client.caught_up = True
            self._log_client.notify_waiters()


def _split_entries(entries: Iterable[LogEntry]) -> Iterator[list[LogEntry]]:
    """Splits log entries into parts of about `RELAYED_BYTES`."""
    part: list[LogEntry] = []
    size_bytes = 0
    for entry in entries:
        part.append(entry)
        size_bytes += len(entry.data)
        if size_bytes >= RELAYED_BYTES:
            yield part
            part, size_bytes = [], 0
    if part:
        yield part


async def _send_notice(link: Link, message: Message) -> None:
    try:
        await link.notify(message)
    except LinkError:
        return
