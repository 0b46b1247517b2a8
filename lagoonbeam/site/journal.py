"""Following the journal and appending to it."""

from __future__ import annotations

import secrets
import time
from collections.abc import Sequence
from dataclasses import dataclass, field
from itertools import chain, repeat

import anyio

from lagoonbeam.errors import (
    AnswerLostError,
    FencedError,
    LagoonbeamError,
    LogTruncatedError,
    LogUnavailableError,
    LogUncertainError,
    MalformedAnswerError,
    OffsetConflictError,
    SequenceError,
    UnavailableError,
)
from lagoonbeam.site.decisions import Decisions
from lagoonbeam.site.ports import JournalStore, Snapshot, Writer
from lagoonbeam.site.records import (
    Record,
    TermClaimed,
    TermRenewed,
    decode_record,
    encode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from lagoonbeam.types import Offset

READ_WAIT_S = 0.5
"""Seconds one read waits for a record; bounds the age of what is known. The
active scheduler's renewals end most reads as early."""
ACTIVE_READ_WAIT_S = 0.25
"""Seconds that the active scheduler's reads wait; a store that forgets its
history wakes no waiting reader for a second, but answers new ones."""
FOLLOWER_PAUSE_S = 0.1
"""Seconds between two readings of a follower that brought records; bounds
its calls to the store, whatever the rate of records."""
RETRY_S = 0.1
"""Seconds between two attempts at the store, before jitter."""
LINGER_S = 0.002
"""Seconds to gather records for one append; half a store call."""
BATCH_RECORDS = 200
"""Most records of one append."""
FIRST_SEQUENCES = 2**30
"""Numbers that the first append of a term is drawn from."""
APPEND_TIMEOUTS_S = (0.3, 0.6, 1.2)
"""Seconds for the first attempts at an append, and for all later ones. The
store answers in 5 ms, in 0.5 s when it is a hundred times as slow; a repeat
on a new connection is answered like the first attempt."""
APPEND_GIVE_UP_S = 12.0
"""Seconds an append of unknown fate is repeated; with the same number it
has its effect once however often it arrives."""


def jitter(delay_s: float) -> float:
    """Returns a delay spread over half to one and a half times itself."""
    return delay_s * (0.5 + secrets.randbelow(1000) / 1000)


class JournalFollower:
    """Keeps a copy of the state up to date.

    Args:
        store: The journal.
        decisions: The decision log.
    """

    def __init__(self, store: JournalStore, decisions: Decisions):
        self._store = store
        self._decisions = decisions
        self._changed = anyio.Event()
        self._hurry = anyio.Event()
        self._read_s = float("-inf")
        self._reachable = True
        self.state = SiteState()
        self.offset: Offset = 0
        self.synced_s = float("-inf")
        self.failed_s = float("-inf")
        self.term_seen_s = float("-inf")
        self.first_synced_s = float("inf")
        self.snapshot_offset: Offset = 0
        self.is_active = False

    @property
    def age_s(self) -> float:
        """Seconds since the copy was known to be complete."""
        return time.monotonic() - self.synced_s

    async def run(self) -> None:
        """Follows the journal until cancelled."""
        await self._restore()
        while True:
            try:
                started_s = time.monotonic()
                page = await self._store.read(
                    self.offset, wait_s=self._get_wait_s()
                )
            except LogTruncatedError:
                self._decisions.emit("journal.truncated", offset=self.offset)
                await self._restore()
                continue
            except LagoonbeamError as error:
                self._lose(error)
                await anyio.sleep(jitter(RETRY_S))
                continue
            for data in page.records:
                self._apply(data)
            self.offset = page.first + len(page.records)
            if not self._reachable:
                self._reachable = True
                self._decisions.emit(
                    "dependency", name="store", state="regained"
                )
            if self.offset >= page.end:
                self.synced_s = time.monotonic()
                self.first_synced_s = min(self.first_synced_s, self.synced_s)
            self._read_s = started_s
            self._notify()
            if page.records and not self.is_active:
                with anyio.move_on_after(FOLLOWER_PAUSE_S):
                    await self._hurry.wait()

    async def wait_for(self, offset: Offset, timeout_s: float) -> bool:
        """Waits until all records before an offset are applied."""
        with anyio.move_on_after(timeout_s):
            while self.offset < offset:
                await self._changed.wait()
        return self.offset >= offset

    async def catch_up(self, timeout_s: float) -> None:
        """Waits until a reading that began after this call is applied."""
        called_s = time.monotonic()
        self._hurry.set()
        with anyio.move_on_after(timeout_s):
            while self._read_s < called_s:
                await self._changed.wait()

    async def wait_change(self) -> None:
        """Waits until something was read."""
        await self._changed.wait()

    def apply_own(self, first: Offset, records: Sequence[Record]) -> None:
        """Applies records just appended, if no other lies before them."""
        if first != self.offset:
            return
        for record in records:
            self._note_term(record)
            self.state.apply(record)
        self.offset += len(records)
        self._notify()

    async def save_snapshot(self) -> None:
        """Stores the copy as a snapshot."""
        offset = self.offset
        data = encode_state(self.state)
        await self._store.save_snapshot(Snapshot(offset, data))
        self.snapshot_offset = offset

    async def _restore(self) -> None:
        while True:
            try:
                snapshot = await self._store.load_snapshot()
            except MalformedAnswerError as error:
                self._decisions.emit("snapshot.malformed", cause=error.detail)
                return
            except LagoonbeamError as error:
                self._lose(error)
                await anyio.sleep(jitter(RETRY_S))
                continue
            if snapshot is not None and snapshot.offset > self.offset:
                self.state = decode_state(snapshot.data)
                self.offset = snapshot.offset
                self.snapshot_offset = snapshot.offset
                self._decisions.emit("snapshot.loaded", offset=self.offset)
            elif self.offset:
                await anyio.sleep(jitter(RETRY_S))
            return

    def _get_wait_s(self) -> float:
        if self._hurry.is_set():
            self._hurry = anyio.Event()
            return 0.0
        return ACTIVE_READ_WAIT_S if self.is_active else READ_WAIT_S

    def _apply(self, data: bytes) -> None:
        try:
            record = decode_record(data)
        except MalformedAnswerError as error:
            self._decisions.emit("journal.malformed", cause=error.detail)
            return
        self._note_term(record)
        self.state.apply(record)

    def _note_term(self, record: Record) -> None:
        if isinstance(record, (TermRenewed, TermClaimed)):
            self.term_seen_s = time.monotonic()

    def _lose(self, error: LagoonbeamError) -> None:
        self.failed_s = time.monotonic()
        if self._reachable:
            self._reachable = False
            self._decisions.emit(
                "dependency", name="store", state="lost", cause=str(error)
            )

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()


@dataclass(slots=True)
class _Batch:
    requests: list[Sequence[Record]] = field(default_factory=list)
    done: anyio.Event = field(default_factory=anyio.Event)
    end: Offset = -1
    error: LagoonbeamError | None = None

    @property
    def records(self) -> list[Record]:
        return list(chain.from_iterable(self.requests))

    def remove(self, request: Sequence[Record]) -> None:
        self.requests = [r for r in self.requests if r is not request]


class JournalAppender:
    """Appends records of one writer in batches, one batch at a time.

    Args:
        store: The journal.
        writer: Who appends.
        follower: Applies the records at once where it can.
        sequence: Number of the first batch.
    """

    def __init__(
        self,
        store: JournalStore,
        writer: Writer,
        follower: JournalFollower,
        *,
        sequence: int = 0,
    ):
        self._store = store
        self._follower = follower
        self._writer = writer
        self._sequence = sequence
        self._batch = _Batch()
        self._wake = anyio.Event()
        self.confirmed_s = time.monotonic()
        self._sending_since_s: float | None = None
        self.error: LagoonbeamError | None = None

    async def append(
        self, records: Sequence[Record], *, timeout_s: float
    ) -> Offset:
        """Appends records, all or none.

        Returns:
            Offset after the last of them.

        Raises:
            FencedError: If this writer was replaced; nothing was written.
            LogUnavailableError: If nothing was written nor will be.
            LogUncertainError: If they may have been or may yet be written.
        """
        if self.error is not None:
            raise self.error
        batch = self._batch
        if sum(map(len, batch.requests)) + len(records) > BATCH_RECORDS:
            raise LogUnavailableError("too many records wait to be appended")
        batch.requests.append(records)
        self._wake.set()
        with anyio.move_on_after(timeout_s):
            await batch.done.wait()
        if batch.error is not None:
            raise batch.error
        if batch.end < 0:
            if batch is self._batch:
                batch.remove(records)
                raise LogUnavailableError("the store did not answer in time")
            raise LogUncertainError("the store did not confirm in time")
        return batch.end

    def check(self, longest_s: float) -> None:
        """Refuses new work while an append has waited too long.

        Raises:
            LogUnavailableError: If the store has not answered for so long.
        """
        if self._sending_since_s is None:
            return
        stuck_s = time.monotonic() - self._sending_since_s
        if stuck_s > longest_s:
            raise LogUnavailableError(
                f"the store has not answered for {stuck_s:.1f} s",
                retry_after_s=longest_s,
            )

    async def run(self) -> None:
        """Appends what is asked for until cancelled or replaced."""
        while self.error is None:
            await self._wake.wait()
            await anyio.sleep(LINGER_S)
            self._wake = anyio.Event()
            batch, self._batch = self._batch, _Batch()
            if batch.requests:
                self._sending_since_s = time.monotonic()
                await self._append_batch(batch)
                self._sending_since_s = None
                batch.done.set()
        self._batch.error = self.error
        self._batch.done.set()

    async def _append_batch(self, batch: _Batch) -> None:
        records = batch.records
        data = [encode_record(record) for record in records]
        started_s = time.monotonic()
        may_exist = False
        timeouts_s = chain(APPEND_TIMEOUTS_S, repeat(APPEND_TIMEOUTS_S[-1]))
        for timeout_s in timeouts_s:
            sent_s = time.monotonic()
            try:
                first = await self._store.append(
                    data,
                    writer=self._writer,
                    sequence=self._sequence,
                    timeout_s=timeout_s,
                )
            except (FencedError, SequenceError) as error:
                self.error = batch.error = error
                return
            except UnavailableError as error:
                may_exist = may_exist or isinstance(error, AnswerLostError)
                if not may_exist and not self._writer.epoch:
                    batch.error = LogUnavailableError(error.detail)
                    return
            else:
                self._sequence += 1
                self.confirmed_s = sent_s
                batch.end = first + len(records)
                self._follower.apply_own(first, records)
                return
            if time.monotonic() - started_s > APPEND_GIVE_UP_S:
                self.error = batch.error = LogUncertainError(
                    "an append stayed without an answer"
                )
                return
            await anyio.sleep(jitter(RETRY_S))


async def claim_term(
    store: JournalStore,
    follower: JournalFollower,
    *,
    writer_name: str,
    instance: str,
    incarnation: str,
) -> tuple[Writer, int] | None:
    """Tries to become the active scheduler.

    The claim is appended only where the follower's copy ends, so the new
    scheduler knows every record of its predecessors.

    The store takes an append with a known writer, epoch and number for a
    repeat, so the first number is drawn: two claims never look alike.

    Returns:
        The writer and the number of its next append, or None if another
        was first or the store did not answer.
    """
    term = follower.state.term.number + 1
    writer = Writer(writer_name, term)
    record = TermClaimed(term, instance, incarnation)
    sequence = secrets.randbelow(FIRST_SEQUENCES)
    try:
        first = await store.append(
            [encode_record(record)],
            writer=writer,
            sequence=sequence,
            timeout_s=APPEND_TIMEOUTS_S[-1],
            at=follower.offset,
        )
    except (FencedError, OffsetConflictError, SequenceError):
        return None
    except UnavailableError:
        return None
    follower.apply_own(first, [record])
    await follower.wait_for(first + 1, READ_WAIT_S)
    return writer, sequence + 1
