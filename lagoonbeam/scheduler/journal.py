"""The log client: group commit, tailing, snapshots and start-up.

One task appends, one task tails. Records that wait are gathered into one
entry, and a failed append is sent again with the same sequence number until
the log confirms it, so that readers can drop the repeats.
"""

from __future__ import annotations

import logging
import random
import uuid
from collections.abc import Callable
from dataclasses import dataclass, field

import anyio
import anyio.abc
import msgspec

from lagoonbeam.core.cluster_state import ClusterState
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.messages import LogEntry
from lagoonbeam.core.records import (
    AnyRecord,
    RecordBatch,
    SnapshotTaken,
    decode_batch,
    encode_batch,
)
from lagoonbeam.errors import (
    LogAppendUnconfirmedError,
    LogTruncatedError,
    LogUnavailableError,
)
from lagoonbeam.log.base import LogStore

TAIL_WAIT_S = 5.0
"""Longest wait of one long poll."""
MAX_BATCH_RECORDS = 500
"""Records in one entry."""
RETRY_S = 0.25
"""First pause after a failure; doubles up to `MAX_RETRY_S`, with jitter."""
MAX_RETRY_S = 2.0

_LOGGER = logging.getLogger(__name__)

Applied = Callable[[AnyRecord], None]


@dataclass
class _Pending:
    """A record on its way to the log."""

    record: AnyRecord
    folded: anyio.Event = field(default_factory=anyio.Event)
    sent: bool = False


class Journal:
    """Keeps the folded state in step with the log.

    Args:
        store: Adapter for the log.
        writer: Name of this instance.
        linger_s: Time to gather records for one append.
        events: Where events go.

    Attributes:
        state: What the log adds up to.
        log_up: Whether the log answered last.
        caught_up: Whether the state was level with the log once, or came
            from a peer.
    """

    def __init__(
        self, store: LogStore, *, writer: str, linger_s: float, events: EventLog
    ):
        self.state = ClusterState()
        self.log_up = False
        self.caught_up = False
        self.entries_since_snapshot = 0
        self._store = store
        self._writer = f"{writer}.{uuid.uuid4().hex[:8]}"
        self._linger_s = linger_s
        self._events = events
        self._sequence = 0
        self._pending: list[_Pending] = []
        self._in_flight: dict[int, list[_Pending]] = {}
        self._work = anyio.Event()
        self._changed = anyio.Event()
        self._listeners: list[Applied] = []
        self._on_folded: Callable[[LogEntry], None] | None = None

    def listen(self, listener: Applied) -> None:
        """Calls `listener` with every record right after it is folded."""
        self._listeners.append(listener)

    def relay_to(self, relay: Callable[[LogEntry], None]) -> None:
        """Calls `relay` with every entry that was read from the log."""
        self._on_folded = relay

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the two tasks."""
        await self._store.start()
        tasks.start_soon(self._append_forever)
        tasks.start_soon(self._tail_forever)

    async def close(self) -> None:
        """Ends the log's connections."""
        await self._store.close()

    async def append(self, *records: AnyRecord, timeout_s: float) -> None:
        """Appends records and waits until this instance has folded them.

        Args:
            records: What to append, in this order.
            timeout_s: Longest wait.

        Raises:
            LogUnavailableError: If they did not and will not get there.
            LogAppendUnconfirmedError: If they may have got there or still will.
        """
        items = [_Pending(record) for record in records]
        self.submit(items)
        with anyio.move_on_after(timeout_s):
            await items[-1].folded.wait()
            return
        unsent = [item for item in items if not item.sent]
        if len(unsent) == len(items):
            self._pending = [p for p in self._pending if p not in unsent]
            raise LogUnavailableError(
                f"the log took nothing in {timeout_s} s", retry_after_s=2.0
            )
        raise LogAppendUnconfirmedError(
            f"the log confirmed nothing in {timeout_s} s", retry_after_s=2.0
        )

    def append_later(self, *records: AnyRecord) -> None:
        """Appends records whenever the log takes them."""
        self.submit([_Pending(record) for record in records])

    def submit(self, items: list[_Pending]) -> None:
        """Hands records to the appending task."""
        self._pending += items
        self._work.set()

    async def flush(self) -> None:
        """Waits until the log has taken everything that was handed over."""
        while self._pending or self._in_flight:
            await self.wait_changed()

    async def catch_up(self) -> None:
        """Folds what the log holds now; nothing if the log is down."""
        try:
            while True:
                page = await self._store.read(self.state.next_offset)
                for entry in page.entries:
                    self.fold(entry)
                if self.state.next_offset >= page.next_offset:
                    return
        except (LogUnavailableError, LogTruncatedError) as error:
            _LOGGER.info("not level with the log: %s", error)

    def fold(self, entry: LogEntry) -> None:
        """Folds one entry; entries that are not next are ignored."""
        if entry.offset != self.state.next_offset:
            return
        try:
            batch = decode_batch(entry.data)
        except msgspec.MsgspecError as error:
            _LOGGER.error("entry %d is no batch: %s", entry.offset, error)
            self.state.next_offset = entry.offset + 1
            return
        is_new = self.state.fold(entry.offset, batch)
        if batch.writer == self._writer:
            for item in self._in_flight.pop(batch.sequence, []):
                item.folded.set()
        if is_new:
            for record in batch.records:
                self._note(record, entry.offset)
        self._notify()

    def load(self, data: bytes | str) -> None:
        """Takes an encoded state from a peer or a snapshot."""
        before = self.state.next_offset
        self.state.load(data)
        if self.state.next_offset > before:
            self._events.emit("state.loaded", offset=self.state.next_offset)
        self._notify()

    async def wait_changed(self) -> None:
        """Waits until something has been folded."""
        await self._changed.wait()

    def poke(self) -> None:
        """Wakes those who wait for a change."""
        self._notify()

    async def take_snapshot(self, *, timeout_s: float) -> None:
        """Appends the current state, so that older entries may go."""
        self.entries_since_snapshot = 0
        image = self.state.encode().decode()
        record = SnapshotTaken(up_to=self.state.next_offset, state=image)
        await self.append(record, timeout_s=timeout_s)
        self._events.emit("snapshot.taken", offset=record.up_to)

    def _note(self, record: AnyRecord, offset: int) -> None:
        self.entries_since_snapshot += 1
        if isinstance(record, SnapshotTaken):
            self.entries_since_snapshot = 0
        for listener in self._listeners:
            listener(record)

    def _notify(self) -> None:
        self._changed.set()
        self._changed = anyio.Event()

    async def _append_forever(self) -> None:
        while True:
            await self._work.wait()
            await anyio.sleep(self._linger_s)
            self._work = anyio.Event()
            while self._pending:
                await self._append_batch()

    async def _append_batch(self) -> None:
        """Appends the oldest records; tries until the log confirms."""
        while not self.log_up:
            await anyio.sleep(self._linger_s)
        items = self._pending[:MAX_BATCH_RECORDS]
        if not items:
            return
        del self._pending[: len(items)]
        sequence, self._sequence = self._sequence, self._sequence + 1
        records = tuple(item.record for item in items)
        batch = RecordBatch(self._writer, sequence, records)
        data = encode_batch(batch)
        self._in_flight[sequence] = items
        for item in items:
            item.sent = True
        pause_s = RETRY_S
        while True:
            try:
                offset = await self._store.append(data)
            except LogUnavailableError as error:
                self._set_log_up(False, str(error))
                await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(2 * pause_s, MAX_RETRY_S)
                if sequence not in self._in_flight:
                    return
                continue
            self.fold(LogEntry(offset, data))
            self._set_log_up(True, "")
            return

    async def _tail_forever(self) -> None:
        pause_s = RETRY_S
        while True:
            try:
                await self._tail_once()
                pause_s = RETRY_S
            except LogTruncatedError as error:
                self._events.emit("log.truncated", cause=str(error))
                await self._restart_from_snapshot(error)
            except LogUnavailableError as error:
                self._set_log_up(False, str(error))
                await anyio.sleep(pause_s * random.uniform(0.5, 1.0))
                pause_s = min(2 * pause_s, MAX_RETRY_S)

    async def _tail_once(self) -> None:
        level = self.log_up and self.caught_up
        page = await self._store.read(
            self.state.next_offset, wait_s=TAIL_WAIT_S if level else 0.0
        )
        for entry in page.entries:
            if entry.offset == self.state.next_offset and self._on_folded:
                self._on_folded(entry)
            self.fold(entry)
        if self.state.next_offset >= page.next_offset:
            if not self.caught_up:
                self._events.emit("log.caught_up", offset=page.next_offset)
            self.caught_up = True
            self._set_log_up(True, "")
            self._notify()

    async def _restart_from_snapshot(self, error: LogTruncatedError) -> None:
        """Loads the newest state that the kept entries can be folded on."""
        try:
            first = error.oldest_offset
            while True:
                page = await self._store.read(first)
                for entry in page.entries:
                    if self._load_snapshot(entry, page.oldest_offset):
                        return
                if not page.entries:
                    break
                first = page.entries[-1].offset + 1
        except (LogUnavailableError, LogTruncatedError):
            pass
        self._set_log_up(False, "no snapshot")
        await anyio.sleep(RETRY_S)

    def _load_snapshot(self, entry: LogEntry, oldest: int) -> bool:
        try:
            batch = decode_batch(entry.data)
        except msgspec.MsgspecError:
            return False
        for record in batch.records:
            if isinstance(record, SnapshotTaken) and record.up_to >= oldest:
                self.load(record.state)
                return self.state.next_offset >= oldest
        return False

    def _set_log_up(self, up: bool, cause: str) -> None:
        if up != self.log_up:
            self.log_up = up
            self._events.emit("log.up" if up else "log.down", cause=cause)
            self._notify()


async def wait_until(
    journal: Journal, condition: Callable[[], bool], *, timeout_s: float
) -> bool:
    """Waits until a condition holds, checking after each change.

    Returns:
        Whether it holds.
    """
    with anyio.move_on_after(timeout_s):
        while not condition():
            await journal.wait_changed()
    return condition()
