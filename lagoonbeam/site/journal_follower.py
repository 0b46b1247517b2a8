"""Follows the journal to maintain a replica of the state."""

from __future__ import annotations

import secrets
from collections.abc import Awaitable, Callable, Sequence

import anyio

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import (
    LagoonbeamError,
    LogTruncatedError,
    MalformedDataError,
)
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.dependency import DependencyMonitor
from lagoonbeam.site.events import Event
from lagoonbeam.site.platform_interface import (
    JournalPage,
    JournalStore,
    Snapshot,
)
from lagoonbeam.site.prior_leases import TermClaimTimes
from lagoonbeam.site.records import (
    Record,
    SnapshotSaved,
    TermClaimed,
    TermRenewed,
    decode_record,
)
from lagoonbeam.site.snapshot import decode_state, encode_state
from lagoonbeam.site.state import SiteState
from lagoonbeam.types import Offset

SNAPSHOT_CHECK_INTERVAL_S = 1.0
"""Interval at which the age of the newest snapshot is checked; also the delay
before a failed one is repeated."""
READ_WAIT_S = 0.5
"""Seconds one read waits for a record; limits how stale the replica gets. The
active scheduler's term renewals end most reads earlier."""
ACTIVE_READ_WAIT_S = 0.25
"""Seconds for which the active scheduler's reads wait. A store that discards
its history answers new reads, but wakes no waiting one for a second."""
FOLLOWER_READ_INTERVAL_S = 0.5
"""Mean seconds a passive follower pauses after a read that returned records;
limits its request rate to the store independently of the rate of records. All
instances of a fleet pay this rate; a caller's question ends the pause."""
RETRY_DELAY_S = 0.1
"""Seconds between two attempts to reach the store, before jitter."""


def add_jitter(delay_s: float) -> float:
    """Returns the delay multiplied by a random factor between 0.5 and 1.5."""
    return delay_s * (0.5 + secrets.randbelow(1000) / 1000)


class JournalFollower:
    """Keeps a replica of the state up to date with the journal.

    Args:
        store: Store of the journal and its snapshots.
        decisions: The decision log.

    Attributes:
        state: The replica.
        offset: Offset of the next record to apply.
        last_synced_s: Time up to which the replica includes the entire
            journal.
        first_synced_s: When it first did.
        last_failure_s: When the store last failed a request.
        last_term_record_s: When a claim or renewal of a term was last applied.
        term_claims: When the claim of each term was read.
        snapshot_offset: Offset of the last snapshot loaded or saved.
        is_active_scheduler: Whether this instance is the active scheduler,
            whose reads are not paced.
    """

    def __init__(self, store: JournalStore, decisions: DecisionLog):
        self._store = store
        self._decisions = decisions
        self._changed = anyio.Event()
        self._read_requested = anyio.Event()
        self._is_pausing = False
        self._last_read_started_s = float("-inf")
        self._store_monitor = DependencyMonitor("store", decisions)
        self.state = SiteState()
        self.offset: Offset = 0
        self.last_synced_s = float("-inf")
        self.last_failure_s = float("-inf")
        self.last_term_record_s = float("-inf")
        self.first_synced_s = float("inf")
        self.term_claims = TermClaimTimes()
        self.snapshot_offset: Offset = 0
        self._last_snapshot_s = float("-inf")
        self.is_active_scheduler = False

    @property
    def age_s(self) -> float:
        """Seconds since the replica last included the entire journal."""
        return read_boot_time_s() - self.last_synced_s

    @property
    def _has_synced(self) -> bool:
        return self.first_synced_s < float("inf")

    async def run(self) -> None:
        """Follows the journal until cancelled."""
        await self._restore_snapshot()
        while True:
            try:
                read_started_s = read_boot_time_s()
                page = await self._store.read(
                    self.offset, wait_s=self._get_read_wait_s()
                )
            except LogTruncatedError:
                self._decisions.emit(
                    Event.JOURNAL_TRUNCATED, offset=self.offset
                )
                await self._restore_snapshot()
                continue
            except LagoonbeamError as error:
                self._handle_read_failure(error)
                await anyio.sleep(add_jitter(RETRY_DELAY_S))
                continue
            self._apply_page(page)
            self._store_monitor.report_success()
            if self.offset >= page.end_offset:
                self.last_synced_s = max(self.last_synced_s, page.as_of_s)
                self.first_synced_s = min(
                    self.first_synced_s, self.last_synced_s
                )
            self._last_read_started_s = read_started_s
            self._notify_waiters()
            if page.records and not self.is_active_scheduler:
                await self._pause()

    async def wait_for_offset(self, offset: Offset, timeout_s: float) -> bool:
        """Waits until all records before an offset are applied.

        Returns:
            Whether they were applied before the timeout.
        """
        with anyio.move_on_after(timeout_s):
            while self.offset < offset:
                await self._changed.wait()
        return self.offset >= offset

    async def catch_up(self, timeout_s: float) -> bool:
        """Waits until a read that started after this call is applied.

        Returns:
            Whether it was before the timeout.
        """
        called_s = read_boot_time_s()
        self._read_requested.set()
        with anyio.move_on_after(timeout_s):
            while self._last_read_started_s < called_s:
                await self._changed.wait()
        return self._last_read_started_s >= called_s

    async def refresh(self, timeout_s: float) -> None:
        """Ends a pause between two reads and waits for the next one.

        Outside of a pause, a read is waiting for the newest records already.
        """
        if self._is_pausing:
            await self.catch_up(timeout_s)

    async def wait_for_change(self) -> None:
        """Waits until the next read or append has been applied."""
        await self._changed.wait()

    def apply_appended(
        self, first_offset: Offset, records: Sequence[Record]
    ) -> None:
        """Applies records just appended, unless unread records precede them."""
        if first_offset != self.offset:
            return
        for record in records:
            self._note_record_time(record)
            self.state.apply(record)
        self.offset += len(records)
        self._notify_waiters()

    async def save_snapshots(
        self,
        interval_s: float,
        append_records: Callable[[Sequence[Record]], Awaitable[bool]],
    ) -> None:
        """Saves snapshots at an interval and journals them, until cancelled."""
        while True:
            if self.is_snapshot_due(interval_s):
                try:
                    offset = await self.save_snapshot()
                except LagoonbeamError as error:
                    self._decisions.emit(
                        Event.SNAPSHOT_FAILED, cause=str(error)
                    )
                else:
                    await append_records([SnapshotSaved(offset)])
            await anyio.sleep(SNAPSHOT_CHECK_INTERVAL_S)

    async def save_snapshot(self) -> Offset:
        """Stores a snapshot of the replica; returns its offset."""
        offset = self.offset
        data = encode_state(self.state)
        await self._store.save_snapshot(Snapshot(offset, data))
        self.snapshot_offset = offset
        self._last_snapshot_s = read_boot_time_s()
        return offset

    def is_snapshot_due(self, interval_s: float) -> bool:
        """Whether the newest snapshot, of any instance and term, is old.

        It is taken to be if it was saved before the first complete read.
        """
        return read_boot_time_s() - self._last_snapshot_s > interval_s

    async def _restore_snapshot(self) -> None:
        while True:
            try:
                snapshot = await self._store.load_snapshot()
                has_loaded = self._load_if_newer(snapshot)
            except MalformedDataError as error:
                self._decisions.emit(
                    Event.SNAPSHOT_MALFORMED, cause=error.detail
                )
                await anyio.sleep(add_jitter(RETRY_DELAY_S))
                return
            except LagoonbeamError as error:
                self._handle_read_failure(error)
                await anyio.sleep(add_jitter(RETRY_DELAY_S))
                continue
            if self.offset and not has_loaded:
                await anyio.sleep(add_jitter(RETRY_DELAY_S))
            return

    def _load_if_newer(self, snapshot: Snapshot | None) -> bool:
        """Loads a snapshot that is newer than the replica; returns whether."""
        if snapshot is None or snapshot.offset <= self.offset:
            return False
        self.state = decode_state(snapshot.data)
        self.term_claims.record_claim(self.state.term.number)
        self.offset = snapshot.offset
        self.snapshot_offset = snapshot.offset
        self._decisions.emit(Event.SNAPSHOT_LOADED, offset=self.offset)
        return True

    async def _pause(self) -> None:
        self._is_pausing = True
        with anyio.move_on_after(add_jitter(FOLLOWER_READ_INTERVAL_S)):
            await self._read_requested.wait()
        self._is_pausing = False

    def _get_read_wait_s(self) -> float:
        if self._read_requested.is_set():
            self._read_requested = anyio.Event()
            return 0.0
        return ACTIVE_READ_WAIT_S if self.is_active_scheduler else READ_WAIT_S

    def _apply_page(self, page: JournalPage) -> None:
        """Applies the records of a page that are not applied yet.

        Appends may have been applied since the page was read. A record that is
        applied again after later ones would undo them, or count twice.
        """
        applied_count = self.offset - page.first_offset
        for data in page.records[applied_count:]:
            self._apply_encoded(data)
            self.offset += 1

    def _apply_encoded(self, data: bytes) -> None:
        try:
            record = decode_record(data)
        except MalformedDataError as error:
            self._decisions.emit(Event.JOURNAL_MALFORMED, cause=error.detail)
            return
        self._note_record_time(record)
        self.state.apply(record)

    def _note_record_time(self, record: Record) -> None:
        if isinstance(record, (TermRenewed, TermClaimed)):
            self.last_term_record_s = read_boot_time_s()
        if isinstance(record, TermClaimed):
            self.term_claims.record_claim(record.term)
        if isinstance(record, SnapshotSaved) and self._has_synced:
            self._last_snapshot_s = read_boot_time_s()

    def _handle_read_failure(self, error: LagoonbeamError) -> None:
        self.last_failure_s = read_boot_time_s()
        self._store_monitor.report_failure(error)

    def _notify_waiters(self) -> None:
        changed, self._changed = self._changed, anyio.Event()
        changed.set()
