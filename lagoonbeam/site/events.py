"""The events of a site: one kind of line for each kind of decision.

The decision log writes them, the metrics count them, and ``lagoonbeam
explain`` reads them; ``docs/OPERATIONS.md`` says what each tells. A test holds
that each is written at one place.
"""

from __future__ import annotations

import enum


class Event(enum.StrEnum):
    """Kinds of lines, as ``noun.verb``."""

    JOB_ACCEPTED = "job.accepted"
    """A submission is stored."""
    JOB_REPEATED = "job.repeated"
    """A submission that is stored already came again."""
    JOB_CANCELLED = "job.cancelled"
    """A cancellation is stored."""
    JOB_ENDED = "job.ended"
    """A job has its final state, and why."""
    REQUEST_REFUSED = "request.refused"
    """A call was not served; status and cause."""
    REQUEST_BROKEN = "request.broken"
    """A call met a fault of the program."""
    UNIT_WAITS = "unit.waits"
    """A unit found no room; once for each start."""
    UNIT_EVICTS = "unit.evicts"
    """Units are stopped so that another one fits."""
    RUN_START = "run.start"
    """A start was ordered; its outcome."""
    RUN_STOP = "run.stop"
    """A stop is ordered; why."""
    RUN_STOP_FAILED = "run.stop_failed"
    """A stop had no answer and is repeated."""
    RUN_ENDED = "run.ended"
    """A worker lists an end."""
    RUN_PACE = "run.pace"
    """A filling run got another share."""
    WORKER_QUARANTINED = "worker.quarantined"
    """A worker failed jobs that do well elsewhere."""
    WORKER_LAPSED = "worker.lapsed"
    """A silent worker's leases are over."""
    WORKER_RESTARTED = "worker.restarted"
    """A worker began a new life."""
    WORKER_GONE = "worker.gone"
    """A worker left the list with runs."""
    WORKER_MALFORMED = "worker.malformed"
    """A worker's entry cannot be read."""
    ADVICE_GIVEN = "advice.given"
    """Tickets for a step came."""
    ADVICE_FAILED = "advice.failed"
    """A question for tickets failed."""
    WAVE_BEGUN = "wave.begun"
    """A wave of upkeep began."""
    WAVE_COMPLETED = "wave.completed"
    """All machines of a wave have begun theirs."""
    WAVE_MALFORMED = "wave.malformed"
    """An operator's wave cannot be read."""
    MACHINE_UPKEEP = "machine.upkeep"
    """A machine was ordered down; its outcome."""
    MACHINE_MOVE = "machine.move"
    """A machine was ordered elsewhere; its outcome."""
    TERM_CLAIMED = "term.claimed"
    """This instance schedules."""
    TERM_NOT_CLAIMED = "term.not_claimed"
    """Another instance was faster."""
    TERM_LOST = "term.lost"
    """This instance schedules no more; why."""
    TERM_RESIGN_FAILED = "term.resign_failed"
    """The term ends without a record."""
    DEPENDENCY = "dependency"
    """Something needed was lost or is back."""
    STORE_ROUTE = "store.route"
    """Store calls go another way."""
    CONFIGURATION_IN_FORCE = "configuration.in_force"
    """A newer version counts."""
    CONFIGURATION_MALFORMED = "configuration.malformed"
    """A version cannot be read."""
    JOURNAL_REFUSED = "journal.refused"
    """Records were not stored."""
    JOURNAL_TRUNCATED = "journal.truncated"
    """Records are gone that were not read."""
    JOURNAL_MALFORMED = "journal.malformed"
    """A record cannot be read."""
    SNAPSHOT_LOADED = "snapshot.loaded"
    """The state comes from a snapshot."""
    SNAPSHOT_FAILED = "snapshot.failed"
    """A snapshot was not stored."""
    SNAPSHOT_MALFORMED = "snapshot.malformed"
    """A snapshot cannot be read."""
    INSTANCE_START = "instance.start"
    """The process begins."""
    INSTANCE_JOIN_FAILED = "instance.join_failed"
    """Its start is not recorded yet."""
    INSTANCE_DRAIN = "instance.drain"
    """It takes no new callers."""
    INSTANCE_STOP = "instance.stop"
    """It ends."""
    SETTINGS_RELOAD = "settings.reload"
    """The settings were read anew; the outcome."""
    LOG_LEFT_OUT = "log.left_out"
    """Lines beyond the budget of a second."""


RATE_LIMIT_EXEMPT_EVENTS = frozenset(
    {
        Event.DEPENDENCY,
        Event.INSTANCE_DRAIN,
        Event.INSTANCE_START,
        Event.INSTANCE_STOP,
        Event.JOB_ACCEPTED,
        Event.JOB_CANCELLED,
        Event.JOB_ENDED,
        Event.SETTINGS_RELOAD,
        Event.TERM_CLAIMED,
        Event.TERM_LOST,
    }
)
"""Events that no budget leaves out."""
SYSTEM_EVENTS = frozenset(
    {
        Event.CONFIGURATION_IN_FORCE,
        Event.DEPENDENCY,
        Event.INSTANCE_DRAIN,
        Event.INSTANCE_START,
        Event.INSTANCE_STOP,
        Event.STORE_ROUTE,
        Event.TERM_CLAIMED,
        Event.TERM_LOST,
        Event.WORKER_LAPSED,
        Event.WORKER_RESTARTED,
    }
)
"""Events that belong to the story of every job."""
