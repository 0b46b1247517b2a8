"""Typed events: what a process did, for logs and the time line."""

from __future__ import annotations

import collections
import logging
from itertools import islice

import msgspec

from lagoonbeam.core.clock import HybridClock, HybridTimestamp
from lagoonbeam.types import InstanceName, ZoneName

MAX_BUFFERED_EVENTS = 4_000
"""Events that each process keeps for the time line."""

_LOGGER = logging.getLogger("lagoonbeam.events")


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened in one process.

    Attributes:
        name: What happened, as ``noun.verb``.
        wall_s: Wall part of its hybrid logical time.
        counter: Logical part of it.
        program: Program that emitted it.
        instance: Instance it runs on.
        availability_zone: Zone of that instance.
        sequence: Number in the process's ring.
        job: Job concerned.
        attempt: Launch of that job.
        organisation: Organisation concerned.
        term: Scheduler term number.
        offset: Offset in the log.
        worker: Worker concerned.
        cause: Why it happened.
    """

    name: str
    wall_s: float
    counter: int
    program: str
    instance: str
    availability_zone: str
    sequence: int
    job: str = ""
    attempt: str = ""
    organisation: str = ""
    term: int = 0
    offset: int = 0
    worker: str = ""
    cause: str = ""

    @property
    def sort_key(self) -> tuple[float, int, str, int]:
        """Sort key on the merged time line."""
        return (self.wall_s, self.counter, self.instance, self.sequence)


class EventLog:
    """Emits events to the process's log and keeps the latest in a ring.

    Args:
        program: Name of the program.
        instance: Its instance.
        availability_zone: The instance's zone.
    """

    def __init__(
        self,
        *,
        program: str,
        instance: InstanceName,
        availability_zone: ZoneName,
    ):
        self.clock = HybridClock()
        self._program = program
        self._instance = instance
        self._zone = availability_zone
        self._sequence = 0
        self._buffer: collections.deque[Event] = collections.deque(
            maxlen=MAX_BUFFERED_EVENTS
        )

    def emit(
        self,
        name: str,
        *,
        job: str = "",
        attempt: str = "",
        organisation: str = "",
        term: int = 0,
        offset: int = 0,
        worker: str = "",
        cause: str = "",
    ) -> Event:
        """Records that something happened; see `Event` for the fields."""
        stamp: HybridTimestamp = self.clock.tick()
        self._sequence += 1
        event = Event(
            name=name,
            wall_s=stamp.wall_s,
            counter=stamp.counter,
            program=self._program,
            instance=self._instance,
            availability_zone=self._zone,
            sequence=self._sequence,
            job=job,
            attempt=attempt,
            organisation=organisation,
            term=term,
            offset=offset,
            worker=worker,
            cause=cause,
        )
        self._buffer.append(event)
        _LOGGER.info(name, extra={"event": msgspec.structs.asdict(event)})
        return event

    def list_events_after(
        self, after: int = 0, limit: int = MAX_BUFFERED_EVENTS
    ) -> list[Event]:
        """Returns the kept events with a larger sequence number."""
        newer = (event for event in self._buffer if event.sequence > after)
        return list(islice(newer, limit))
