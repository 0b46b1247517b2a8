"""Typed events of a process, for its log and for the merged timeline."""

from __future__ import annotations

import collections
import logging
from itertools import islice

import msgspec

from lagoonbeam.core.clock import HybridClock, HybridTimestamp
from lagoonbeam.types import InstanceName, ZoneName

MAX_BUFFERED_EVENTS = 4_000
"""Events that each process keeps in memory for the timeline."""

_LOGGER = logging.getLogger("lagoonbeam.events")


class Event(msgspec.Struct, frozen=True, omit_defaults=True):
    """One thing that happened in one process.

    Attributes:
        name: What happened, as ``noun.verb``.
        wall_s: Wall clock part of its hybrid logical timestamp.
        counter: Counter part of its hybrid logical timestamp.
        program: Program that emitted the event.
        instance: Instance that the program runs on.
        availability_zone: Zone of that instance.
        sequence: Sequence number within the process.
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
        """Sort key on the merged timeline."""
        return (self.wall_s, self.counter, self.instance, self.sequence)


class EventLog:
    """Writes events to the process's log and buffers the latest ones.

    Args:
        program: Name of the program.
        instance: Instance that the program runs on.
        availability_zone: Zone of that instance.
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
        """Logs and buffers an event; see `Event` for the fields."""
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
        """Returns buffered events with a larger sequence number."""
        newer = (event for event in self._buffer if event.sequence > after)
        return list(islice(newer, limit))
