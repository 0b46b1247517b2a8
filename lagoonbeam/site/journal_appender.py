"""Appends records to the journal in batches and claims terms in it."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from itertools import chain, repeat

import anyio

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import (
    FencedError,
    LagoonbeamError,
    LogAppendUnconfirmedError,
    LogUnavailableError,
    OffsetConflictError,
    ProducerSequenceError,
    ResponseLostError,
    UnavailableError,
)
from lagoonbeam.site.journal_follower import (
    READ_WAIT_S,
    RETRY_DELAY_S,
    JournalFollower,
    add_jitter,
)
from lagoonbeam.site.platform_interface import JournalStore, JournalWriter
from lagoonbeam.site.records import Record, TermClaimed, encode_record
from lagoonbeam.site.unconfirmed_orders import get_next_term
from lagoonbeam.types import Offset

BATCH_LINGER_S = 0.002
"""Seconds to collect records for one append; half the latency of an append."""
MAX_BATCH_RECORDS = 200
"""Maximum number of records in one append."""
APPEND_TIMEOUTS_S = (0.3, 0.6, 1.2)
"""Timeouts of successive attempts at an append, in seconds; the last one also
applies to all further attempts. The store normally answers in 5 ms and, when
slowed down a hundredfold, in 0.5 s. A retry on a new connection gets the same
answer as the first attempt."""
FIRST_SEQUENCE_RANGE = 2**30
"""Upper bound of the random sequence number of a term's first append."""
APPEND_RETRY_LIMIT_S = 12.0
"""Seconds for which an append with an unknown outcome is retried. Retries have
the same sequence number, so the store applies them at most once."""


@dataclass(slots=True)
class _AppendBatch:
    """Records that are appended together.

    Attributes:
        requests: The records of each call of `JournalAppender.append`.
        completed: Set when the outcome is known.
        end_offset: Offset following the last record; -1 until confirmed.
        error: Why the records were not confirmed.
    """

    requests: list[Sequence[Record]] = field(default_factory=list)
    completed: anyio.Event = field(default_factory=anyio.Event)
    end_offset: Offset = -1
    error: LagoonbeamError | None = None

    @property
    def records(self) -> list[Record]:
        return list(chain.from_iterable(self.requests))

    def remove(self, request: Sequence[Record]) -> None:
        self.requests = [r for r in self.requests if r is not request]


class JournalAppender:
    """Appends the records of one writer in batches, one batch at a time.

    Args:
        store: Store of the journal.
        writer: Author of the appends.
        follower: Applies appended records without reading them back if no
            other writer's records precede them.
        sequence: Sequence number of the first append.

    Attributes:
        last_confirmed_append_s: Time after which the last confirmed append was
            stored. A repeat may be answered though a newer epoch was claimed.
        error: Why the appender stopped; None while it runs.
    """

    def __init__(
        self,
        store: JournalStore,
        writer: JournalWriter,
        follower: JournalFollower,
        *,
        sequence: int = 0,
    ):
        self._store = store
        self._follower = follower
        self._writer = writer
        self._base_writer_name = writer.name
        self._sequence = sequence
        self._batch = _AppendBatch()
        self._append_requested = anyio.Event()
        self.last_confirmed_append_s = read_boot_time_s()
        self._append_started_s: float | None = None
        self.error: LagoonbeamError | None = None

    async def append(
        self, records: Sequence[Record], *, timeout_s: float
    ) -> Offset:
        """Appends records atomically.

        Returns:
            Offset following the last record.

        Raises:
            FencedError: If a writer with a higher epoch has taken over;
                nothing was written.
            LogUnavailableError: If nothing was written or will be.
            LogAppendUnconfirmedError: If the records may have been or may
                still be written.
        """
        if self.error is not None:
            raise self.error
        batch = self._batch
        if sum(map(len, batch.requests)) + len(records) > MAX_BATCH_RECORDS:
            raise LogUnavailableError(
                "too many records are waiting to be appended"
            )
        batch.requests.append(records)
        self._append_requested.set()
        with anyio.move_on_after(timeout_s):
            await batch.completed.wait()
        if batch.error is not None:
            raise batch.error
        if batch.end_offset < 0:
            if batch is self._batch:
                batch.remove(records)
                raise LogUnavailableError("the store did not answer in time")
            raise LogAppendUnconfirmedError(
                "the store did not confirm the append in time"
            )
        return batch.end_offset

    def raise_if_stalled(self, max_stall_s: float) -> None:
        """Checks that no append has been outstanding for too long.

        Raises:
            LogUnavailableError: If one has been for more than `max_stall_s`.
        """
        if self._append_started_s is None:
            return
        stalled_s = read_boot_time_s() - self._append_started_s
        if stalled_s > max_stall_s:
            raise LogUnavailableError(
                f"the store has not answered for {stalled_s:.1f} s",
                retry_after_s=max_stall_s,
            )

    async def run(self) -> None:
        """Appends requested records until cancelled, fenced or failed."""
        while self.error is None:
            await self._append_requested.wait()
            await anyio.sleep(BATCH_LINGER_S)
            self._append_requested = anyio.Event()
            batch, self._batch = self._batch, _AppendBatch()
            if batch.requests:
                self._append_started_s = read_boot_time_s()
                await self._append_batch(batch)
                self._append_started_s = None
                batch.completed.set()
        self._batch.error = self.error
        self._batch.completed.set()

    async def _append_batch(self, batch: _AppendBatch) -> None:
        records = batch.records
        data = [encode_record(record) for record in records]
        started_s = read_boot_time_s()
        stored_after_s = float("inf")
        timeouts_s = chain(APPEND_TIMEOUTS_S, repeat(APPEND_TIMEOUTS_S[-1]))
        for timeout_s in timeouts_s:
            sent_s = read_boot_time_s()
            try:
                first_offset = await self._store.append(
                    data,
                    writer=self._writer,
                    sequence=self._sequence,
                    timeout_s=timeout_s,
                )
            except (FencedError, ProducerSequenceError) as error:
                self._abandon_writer(batch, error)
                return
            except UnavailableError as error:
                if isinstance(error, ResponseLostError):
                    stored_after_s = min(sent_s, stored_after_s)
                elif stored_after_s == float("inf") and not self._writer.epoch:
                    batch.error = LogUnavailableError(error.detail)
                    return
            else:
                self._sequence += 1
                self.last_confirmed_append_s = min(sent_s, stored_after_s)
                batch.end_offset = first_offset + len(records)
                self._follower.apply_appended(first_offset, records)
                return
            if read_boot_time_s() - started_s > APPEND_RETRY_LIMIT_S:
                timeout_error = LogAppendUnconfirmedError(
                    "the store did not answer any attempt at the append"
                )
                self._abandon_writer(batch, timeout_error)
                return
            await anyio.sleep(add_jitter(RETRY_DELAY_S))

    def _abandon_writer(
        self, batch: _AppendBatch, error: LagoonbeamError
    ) -> None:
        """Fails a batch and retires the writer that could not append it.

        No batch can follow one with an unknown outcome, because its sequence
        number may or may not have been used. A term's writer (epoch above 0)
        stops for good; an instance's writer continues under a new name.
        """
        batch.error = error
        if self._writer.epoch:
            self.error = error
            return
        if not isinstance(error, LogAppendUnconfirmedError):
            batch.error = LogAppendUnconfirmedError(error.detail)
        name = f"{self._base_writer_name}/{secrets.token_hex(4)}"
        self._writer = replace(self._writer, name=name)
        self._sequence = 0


async def claim_term(
    store: JournalStore,
    follower: JournalFollower,
    *,
    writer_name: str,
    instance: str,
    incarnation: str,
) -> tuple[JournalWriter, int] | None:
    """Tries to claim the next term and become the active scheduler.

    The claim is conditional on the journal ending where the follower's replica
    ends, so the new scheduler has seen all records of its predecessors.

    The store treats an append with a known writer, epoch and sequence number
    as a retry. The first sequence number is random, so that simultaneous
    claims of the same term are not mistaken for retries of each other.

    Returns:
        The writer of the term and the sequence number of its next append, or
        None if another instance claimed the term or the store failed.
    """
    term = get_next_term(follower.state.term.number)
    writer = JournalWriter(writer_name, term)
    record = TermClaimed(term, instance, incarnation)
    sequence = secrets.randbelow(FIRST_SEQUENCE_RANGE)
    try:
        first_offset = await store.append(
            [encode_record(record)],
            writer=writer,
            sequence=sequence,
            timeout_s=APPEND_TIMEOUTS_S[-1],
            expected_offset=follower.offset,
        )
    except (FencedError, OffsetConflictError, ProducerSequenceError):
        return None
    except UnavailableError:
        return None
    follower.apply_appended(first_offset, [record])
    await follower.wait_for_offset(first_offset + 1, READ_WAIT_S)
    return writer, sequence + 1
