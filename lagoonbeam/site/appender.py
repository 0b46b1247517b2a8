"""Appending to the journal, and claiming a term in it."""

from __future__ import annotations

import secrets
from collections.abc import Sequence
from dataclasses import dataclass, field, replace
from itertools import chain, repeat

import anyio

from lagoonbeam.core.clock import read_clock_s
from lagoonbeam.errors import (
    AnswerLostError,
    FencedError,
    LagoonbeamError,
    LogUnavailableError,
    LogUncertainError,
    OffsetConflictError,
    SequenceError,
    UnavailableError,
)
from lagoonbeam.site.journal import (
    READ_WAIT_S,
    RETRY_S,
    JournalFollower,
    jitter,
)
from lagoonbeam.site.ports import JournalStore, Writer
from lagoonbeam.site.records import Record, TermClaimed, encode_record
from lagoonbeam.types import Offset

LINGER_S = 0.002
"""Seconds to gather records for one append; half a store call."""
BATCH_RECORDS = 200
"""Most records of one append."""
APPEND_TIMEOUTS_S = (0.3, 0.6, 1.2)
"""Seconds for the first attempts at an append, and for all later ones. The
store answers in 5 ms, in 0.5 s when it is a hundred times as slow; a repeat
on a new connection is answered like the first attempt."""
FIRST_SEQUENCES = 2**30
"""Numbers that the first append of a term is drawn from."""
APPEND_GIVE_UP_S = 12.0
"""Seconds an append of unknown fate is repeated; with the same number it
has its effect once however often it arrives."""


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
        self._first_name = writer.name
        self._sequence = sequence
        self._batch = _Batch()
        self._wake = anyio.Event()
        self.confirmed_s = read_clock_s()
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
        stuck_s = read_clock_s() - self._sending_since_s
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
                self._sending_since_s = read_clock_s()
                await self._append_batch(batch)
                self._sending_since_s = None
                batch.done.set()
        self._batch.error = self.error
        self._batch.done.set()

    async def _append_batch(self, batch: _Batch) -> None:
        records = batch.records
        data = [encode_record(record) for record in records]
        started_s = read_clock_s()
        may_exist = False
        timeouts_s = chain(APPEND_TIMEOUTS_S, repeat(APPEND_TIMEOUTS_S[-1]))
        for timeout_s in timeouts_s:
            sent_s = read_clock_s()
            try:
                first = await self._store.append(
                    data,
                    writer=self._writer,
                    sequence=self._sequence,
                    timeout_s=timeout_s,
                )
            except (FencedError, SequenceError) as error:
                self._give_up(batch, error)
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
            if read_clock_s() - started_s > APPEND_GIVE_UP_S:
                silence = LogUncertainError("an append had no answer")
                self._give_up(batch, silence)
                return
            await anyio.sleep(jitter(RETRY_S))

    def _give_up(self, batch: _Batch, error: LagoonbeamError) -> None:
        """Ends a term's writer; an instance goes on under another name.

        A writer's next batch cannot follow one whose fate is open.
        """
        batch.error = error
        if self._writer.epoch:
            self.error = error
            return
        if not isinstance(error, LogUncertainError):
            batch.error = LogUncertainError(error.detail)
        name = f"{self._first_name}/{secrets.token_hex(4)}"
        self._writer = replace(self._writer, name=name)
        self._sequence = 0


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
