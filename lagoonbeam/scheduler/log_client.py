"""The log client: batched appends, tailing, snapshots and start-up.

One task appends to the log and one task tails it. Waiting records are batched
into one log entry. A failed append is retried with the same sequence number
until the log confirms it, so that readers can discard duplicates.
"""

from __future__ import annotations

import itertools
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

LONG_POLL_WAIT_S = 2.0
"""Maximum duration of one long poll of the log; a connection that has gone
silent is noticed after it, and records must take effect within 5 s."""
MAX_RECORDS_PER_ENTRY = 500
"""Maximum number of records in one log entry."""
INITIAL_RETRY_DELAY_S = 0.25
"""Delay before the first retry; doubled for each further one, up to
`MAX_RETRY_DELAY_S`, with jitter."""
MAX_RETRY_DELAY_S = 2.0

_LOGGER = logging.getLogger(__name__)

RecordListener = Callable[[AnyRecord], None]


@dataclass
class _PendingRecord:
    """A record that is queued or in flight.

    Attributes:
        record: The record.
        folded: Set when the record is applied to the state.
        is_sent: Whether an append that holds the record was attempted.
    """

    record: AnyRecord
    folded: anyio.Event = field(default_factory=anyio.Event)
    is_sent: bool = False


class LogClient:
    """Appends to the log and maintains the state that results from its entries.

    Args:
        store: Adapter for the log.
        writer: Name of this instance.
        linger_s: Time to collect records for one append.
        events: Event log.

    Attributes:
        state: State resulting from all entries applied so far.
        log_up: Whether the latest request to the log succeeded.
        caught_up: Whether the state has reached the end of the log since the
            start, or was loaded from a peer.
        records_since_snapshot: Records applied since the last snapshot.
    """

    def __init__(
        self, store: LogStore, *, writer: str, linger_s: float, events: EventLog
    ):
        self.state = ClusterState()
        self.log_up = False
        self.caught_up = False
        self.records_since_snapshot = 0
        self._store = store
        self._writer = f"{writer}.{uuid.uuid4().hex[:8]}"
        self._linger_s = linger_s
        self._events = events
        self._sequence = 0
        self._queue: list[_PendingRecord] = []
        self._in_flight_by_sequence: dict[int, list[_PendingRecord]] = {}
        self._append_requested = anyio.Event()
        self._state_changed = anyio.Event()
        self._record_listeners: list[RecordListener] = []
        self._entry_listener: Callable[[LogEntry], None] | None = None

    def add_record_listener(self, listener: RecordListener) -> None:
        """Adds a callback for every record that is applied to the state."""
        self._record_listeners.append(listener)

    def set_entry_listener(self, listener: Callable[[LogEntry], None]) -> None:
        """Sets the callback for every new entry that is read from the log."""
        self._entry_listener = listener

    async def start(self, tasks: anyio.abc.TaskGroup) -> None:
        """Starts the append task and the tail task."""
        await self._store.start()
        tasks.start_soon(self._run_appends)
        tasks.start_soon(self._run_tail)

    async def close(self) -> None:
        """Closes the connections to the log."""
        await self._store.close()

    async def append(self, *records: AnyRecord, timeout_s: float) -> None:
        """Appends records and waits until they are applied to the state.

        Args:
            records: The records, in the order in which they are appended.
            timeout_s: Maximum time to wait.

        Raises:
            LogUnavailableError: If no record was sent; none will be.
            LogAppendUnconfirmedError: If the records may be in the log, or
                may still be appended.
        """
        pending_records = [_PendingRecord(record) for record in records]
        self._enqueue(pending_records)
        with anyio.move_on_after(timeout_s):
            await pending_records[-1].folded.wait()
            return
        unsent = [
            pending_record
            for pending_record in pending_records
            if not pending_record.is_sent
        ]
        if len(unsent) == len(pending_records):
            self._queue = [
                queued_record
                for queued_record in self._queue
                if queued_record not in unsent
            ]
            raise LogUnavailableError(
                f"append not started within {timeout_s} s; nothing was written",
                retry_after_s=2.0,
            )
        raise LogAppendUnconfirmedError(
            f"append not confirmed within {timeout_s} s; the records may be in"
            " the log",
            retry_after_s=2.0,
        )

    def append_in_background(self, *records: AnyRecord) -> None:
        """Queues records for appending without waiting for the result."""
        self._enqueue([_PendingRecord(record) for record in records])

    def _enqueue(self, pending_records: list[_PendingRecord]) -> None:
        """Queues records for the append task."""
        self._queue += pending_records
        self._append_requested.set()

    async def flush(self) -> None:
        """Waits until all queued records are in the log."""
        while self._queue or self._in_flight_by_sequence:
            await self.wait_for_change()

    async def catch_up(self) -> None:
        """Applies all entries that the log holds now.

        Returns early, without an error, if the log cannot be read.
        """
        try:
            while True:
                page = await self._store.read(self.state.next_offset)
                for entry in page.entries:
                    self.fold(entry)
                if self.state.next_offset >= page.next_offset:
                    return
        except (LogUnavailableError, LogTruncatedError) as error:
            _LOGGER.info("could not catch up with the log: %s", error)

    def fold(self, entry: LogEntry) -> None:
        """Applies an entry; ignored unless it is at the next offset."""
        if entry.offset != self.state.next_offset:
            return
        try:
            batch = decode_batch(entry.data)
        except msgspec.MsgspecError as error:
            _LOGGER.error(
                "skipped log entry %d: not a valid batch: %s",
                entry.offset,
                error,
            )
            self.state.next_offset = entry.offset + 1
            return
        is_new = self.state.fold(entry.offset, batch)
        if batch.writer == self._writer:
            for pending_record in self._in_flight_by_sequence.pop(
                batch.sequence, []
            ):
                pending_record.folded.set()
        if is_new:
            for record in batch.records:
                self._dispatch_record(record, entry.offset)
        self._wake_waiters()

    def load(self, data: bytes | str) -> None:
        """Loads an encoded state of a peer or a snapshot.

        Listeners get records with the effect of the skipped entries, which
        are not read any more.
        """
        previous_offset = self.state.next_offset
        changes = self.state.load(data)
        if self.state.next_offset > previous_offset:
            self._events.emit("state.loaded", offset=self.state.next_offset)
        self._confirm_appends(self.state.get_writer_sequence(self._writer))
        for record, listener in itertools.product(
            changes, self._record_listeners
        ):
            listener(record)
        self._wake_waiters()

    def _confirm_appends(self, last_sequence: int) -> None:
        """Confirms the own appends that the state contains."""
        contained = [
            sequence
            for sequence in self._in_flight_by_sequence
            if sequence <= last_sequence
        ]
        for sequence in contained:
            for pending_record in self._in_flight_by_sequence.pop(sequence):
                pending_record.folded.set()

    async def wait_for_change(self) -> None:
        """Waits for the next state change or call of `notify_waiters`."""
        await self._state_changed.wait()

    def notify_waiters(self) -> None:
        """Wakes all callers of `wait_for_change`."""
        self._wake_waiters()

    async def take_snapshot(self, *, timeout_s: float) -> None:
        """Appends a snapshot, so that older entries can be dropped."""
        self.records_since_snapshot = 0
        encoded_state = self.state.encode().decode()
        record = SnapshotTaken(
            up_to=self.state.next_offset, state=encoded_state
        )
        await self.append(record, timeout_s=timeout_s)
        self._events.emit("snapshot.taken", offset=record.up_to)

    def _dispatch_record(self, record: AnyRecord, offset: int) -> None:
        self.records_since_snapshot += 1
        if isinstance(record, SnapshotTaken):
            self.records_since_snapshot = 0
        for listener in self._record_listeners:
            listener(record)

    def _wake_waiters(self) -> None:
        self._state_changed.set()
        self._state_changed = anyio.Event()

    async def _run_appends(self) -> None:
        while True:
            await self._append_requested.wait()
            await anyio.sleep(self._linger_s)
            self._append_requested = anyio.Event()
            while self._queue:
                await self._append_batch()

    async def _append_batch(self) -> None:
        """Appends the oldest queued records; retries until they are confirmed.

        They are also confirmed if the tail task reads their entry.
        """
        while not self.log_up:
            await anyio.sleep(self._linger_s)
        pending_records = self._queue[:MAX_RECORDS_PER_ENTRY]
        if not pending_records:
            return
        del self._queue[: len(pending_records)]
        sequence, self._sequence = self._sequence, self._sequence + 1
        records = tuple(
            pending_record.record for pending_record in pending_records
        )
        batch = RecordBatch(self._writer, sequence, records)
        data = encode_batch(batch)
        self._in_flight_by_sequence[sequence] = pending_records
        for pending_record in pending_records:
            pending_record.is_sent = True
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                offset = await self._store.append(data)
            except LogUnavailableError as error:
                self._set_log_up(False, str(error))
                await anyio.sleep(retry_delay_s * random.uniform(0.5, 1.0))
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)
                if sequence not in self._in_flight_by_sequence:
                    return
                continue
            self.fold(LogEntry(offset, data))
            self._set_log_up(True, "")
            return

    async def _run_tail(self) -> None:
        retry_delay_s = INITIAL_RETRY_DELAY_S
        while True:
            try:
                await self._read_tail()
                retry_delay_s = INITIAL_RETRY_DELAY_S
            except LogTruncatedError as error:
                self._events.emit("log.truncated", cause=str(error))
                await self._reload_from_snapshot(error)
            except LogUnavailableError as error:
                self._set_log_up(False, str(error))
                await anyio.sleep(retry_delay_s * random.uniform(0.5, 1.0))
                retry_delay_s = min(2 * retry_delay_s, MAX_RETRY_DELAY_S)

    async def _read_tail(self) -> None:
        use_long_poll = self.log_up and self.caught_up
        page = await self._store.read(
            self.state.next_offset,
            wait_s=LONG_POLL_WAIT_S if use_long_poll else 0.0,
        )
        for entry in page.entries:
            if entry.offset == self.state.next_offset and self._entry_listener:
                self._entry_listener(entry)
            self.fold(entry)
        if self.state.next_offset >= page.next_offset:
            if not self.caught_up:
                self._events.emit("log.caught_up", offset=page.next_offset)
            self.caught_up = True
            self._set_log_up(True, "")
            self._wake_waiters()

    async def _reload_from_snapshot(self, error: LogTruncatedError) -> None:
        """Loads a snapshot from which the retained entries continue."""
        try:
            next_offset = error.oldest_offset
            while True:
                page = await self._store.read(next_offset)
                for entry in page.entries:
                    if self._load_snapshot_entry(entry, page.oldest_offset):
                        return
                if not page.entries:
                    break
                next_offset = page.entries[-1].offset + 1
        except (LogUnavailableError, LogTruncatedError):
            pass
        self._set_log_up(False, "no snapshot")
        await anyio.sleep(INITIAL_RETRY_DELAY_S)

    def _load_snapshot_entry(self, entry: LogEntry, oldest_offset: int) -> bool:
        try:
            batch = decode_batch(entry.data)
        except msgspec.MsgspecError:
            return False
        for record in batch.records:
            if (
                isinstance(record, SnapshotTaken)
                and record.up_to >= oldest_offset
            ):
                self.load(record.state)
                return self.state.next_offset >= oldest_offset
        return False

    def _set_log_up(self, is_up: bool, cause: str) -> None:
        if is_up != self.log_up:
            self.log_up = is_up
            self._events.emit("log.up" if is_up else "log.down", cause=cause)
            self._wake_waiters()


async def wait_until(
    log_client: LogClient, condition: Callable[[], bool], *, timeout_s: float
) -> bool:
    """Waits until a condition holds; checks it after each state change.

    Returns:
        Whether the condition holds.
    """
    with anyio.move_on_after(timeout_s):
        while not condition():
            await log_client.wait_for_change()
    return condition()
