"""Following the journal: a copy of the state, and how old it is."""

from __future__ import annotations

import secrets
from collections.abc import Sequence

import anyio

from lagoonbeam.core.clock import read_clock_s
from lagoonbeam.errors import (
    LagoonbeamError,
    LogTruncatedError,
    MalformedAnswerError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.events import Event
from lagoonbeam.site.ports import JournalStore, Snapshot
from lagoonbeam.site.records import (
    Record,
    TermClaimed,
    TermRenewed,
    decode_record,
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


def jitter(delay_s: float) -> float:
    """Returns a delay spread over half to one and a half times itself."""
    return delay_s * (0.5 + secrets.randbelow(1000) / 1000)


class JournalFollower:
    """Keeps a copy of the state up to date.

    Args:
        store: The journal.
        decisions: The decision log.
    """

    def __init__(self, store: JournalStore, decisions: DecisionLog):
        self._store = store
        self._decisions = decisions
        self._changed = anyio.Event()
        self._hurry = anyio.Event()
        self._read_s = float("-inf")
        self._watch = DependencyMonitor("store", decisions)
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
        return read_clock_s() - self.synced_s

    async def run(self) -> None:
        """Follows the journal until cancelled."""
        await self._restore()
        while True:
            try:
                started_s = read_clock_s()
                page = await self._store.read(
                    self.offset, wait_s=self._get_wait_s()
                )
            except LogTruncatedError:
                self._decisions.emit(
                    Event.JOURNAL_TRUNCATED, offset=self.offset
                )
                await self._restore()
                continue
            except LagoonbeamError as error:
                self._lose(error)
                await anyio.sleep(jitter(RETRY_S))
                continue
            for data in page.records:
                self._apply(data)
            self.offset = page.first + len(page.records)
            self._watch.report_success()
            if self.offset >= page.end:
                self.synced_s = read_clock_s()
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
        called_s = read_clock_s()
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
                self._decisions.emit(
                    Event.SNAPSHOT_MALFORMED, cause=error.detail
                )
                return
            except LagoonbeamError as error:
                self._lose(error)
                await anyio.sleep(jitter(RETRY_S))
                continue
            if snapshot is not None and snapshot.offset > self.offset:
                self.state = decode_state(snapshot.data)
                self.offset = snapshot.offset
                self.snapshot_offset = snapshot.offset
                self._decisions.emit(Event.SNAPSHOT_LOADED, offset=self.offset)
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
            self._decisions.emit(Event.JOURNAL_MALFORMED, cause=error.detail)
            return
        self._note_term(record)
        self.state.apply(record)

    def _note_term(self, record: Record) -> None:
        if isinstance(record, (TermRenewed, TermClaimed)):
            self.term_seen_s = read_clock_s()

    def _lose(self, error: LagoonbeamError) -> None:
        self.failed_s = read_clock_s()
        self._watch.report_failure(error)

    def _notify(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
