"""Events of a site: one kind of log line for each kind of decision.

The decision log writes them, the metrics count them, and ``lagoonbeam explain``
reads them; ``docs/OPERATIONS.md`` describes each. A test checks that each is
emitted at exactly one place.
"""

from __future__ import annotations

import enum


class Event(enum.StrEnum):
    """Kinds of events; values have the form ``noun.verb``."""

    JOB_ACCEPTED = "job.accepted"
    """A submission was stored."""
    JOB_REPEATED = "job.repeated"
    """A submission that is stored already was received again."""
    JOB_CANCELLED = "job.cancelled"
    """A cancellation was stored."""
    JOB_ENDED = "job.ended"
    """A job reached its final state; state and reason."""
    REQUEST_REFUSED = "request.refused"
    """A request was refused; status and cause."""
    REQUEST_BROKEN = "request.broken"
    """A request failed because of a fault in the program."""
    REQUEST_LIMIT = "request.limit"
    """Clients reached or left a limit on requests or connections; how often
    it was met."""
    UNIT_WAITS = "unit.waits"
    """A unit could not be placed; logged once for each start."""
    UNIT_EVICTS = "unit.evicts"
    """Running units are stopped to make room for another one."""
    UNIT_PLACED_SLOWLY = "unit.placed_slowly"
    """No workers fast enough for a unit were free; its job may be late."""
    UNIT_EVICTION_HELD = "unit.eviction_held"
    """No running units are stopped for an urgent one, as it would cost callers
    more than it keeps; cause."""
    RUN_START = "run.start"
    """The start of a run was ordered; outcome."""
    RUN_STOP = "run.stop"
    """The stop of a run was ordered; cause."""
    RUN_STOP_FAILED = "run.stop_failed"
    """A stop order was not answered and will be repeated."""
    RUN_ENDED = "run.ended"
    """A worker reported the end of a run."""
    RUN_PRESUMED_ENDED = "run.presumed_ended"
    """A run was taken as ended that its worker has not listed; evidence."""
    RUN_PACE = "run.pace"
    """The work rate of a filler run was changed; outcome."""
    WORKER_QUARANTINED = "worker.quarantined"
    """A worker was quarantined: jobs that do well elsewhere failed on it."""
    WORKER_LAPSED = "worker.lapsed"
    """The leases of an unreachable worker expired."""
    WORKER_RESTARTED = "worker.restarted"
    """A worker restarted under a new incarnation."""
    WORKER_ENTRY_CHANGED = "worker.entry_changed"
    """The worker directory shows another incarnation of a worker; outcome."""
    WORKER_GONE = "worker.gone"
    """Workers with runs are no longer in the worker directory."""
    WORKER_MALFORMED = "worker.malformed"
    """A worker's directory entry could not be decoded."""
    WORKER_SESSION_FAILED = "worker.session_failed"
    """The session with a worker failed because of a fault in the program; a
    new one is opened."""
    WORKER_SPEED_CHANGED = "worker.speed_changed"
    """The estimated speeds of workers changed; the new ones of the first."""
    PROGRESS_IGNORED = "run.progress_ignored"
    """A worker reported progress of a run that cannot be right; logged once
    for each worker."""
    LEASES_SHORTENED = "leases.shortened"
    """A term grants leases shorter than the longest; their durations."""
    ZONE_SILENT = "zone.silent"
    """Many workers of one zone stopped answering; its workers get no new runs
    until each has answered again."""
    ZONE_ANSWERS = "zone.answers"
    """Most workers of a silent zone answer again."""
    ZONES_EVACUATED = "zones.evacuated"
    """The zones that operators evacuate changed; their workers get no runs."""
    ADVICE_GIVEN = "advice.given"
    """The advice service answered a request for a step's tickets."""
    ADVICE_FAILED = "advice.failed"
    """A request for tickets failed."""
    WAVE_BEGUN = "wave.begun"
    """A wave of upkeep began."""
    WAVE_COMPLETED = "wave.completed"
    """All machines of a wave have begun their upkeep."""
    WAVE_MALFORMED = "wave.malformed"
    """An operator's wave could not be decoded."""
    MACHINE_UPKEEP = "machine.upkeep"
    """The upkeep of a machine was ordered; outcome."""
    MACHINE_MOVE = "machine.move"
    """The move of a machine to another pool was ordered; outcome."""
    TERM_CLAIMED = "term.claimed"
    """This instance became the active scheduler."""
    TERM_NOT_CLAIMED = "term.not_claimed"
    """Another instance claimed the term first."""
    TERM_LOST = "term.lost"
    """This instance is no longer the active scheduler; cause."""
    TERM_RESIGN_FAILED = "term.resign_failed"
    """The record of a resigned term could not be stored."""
    DEPENDENCY = "dependency"
    """A dependency became unavailable or is back."""
    STORE_ROUTE = "store.route"
    """The route of store calls changed (direct or by a peer)."""
    STORE_ATTEMPT_FAILED = "store.attempt_failed"
    """A store call had no usable answer on one route; cause, time taken."""
    CONFIGURATION_IN_FORCE = "configuration.in_force"
    """A newer version of the configuration is in force; time since the last
    complete read before."""
    CONFIGURATION_MALFORMED = "configuration.malformed"
    """A version of the configuration could not be decoded."""
    RECORD_MALFORMED = "record.malformed"
    """A record of a keyed topic could not be decoded; topic, cause."""
    JOURNAL_REFUSED = "journal.refused"
    """Records were not stored in the journal."""
    JOURNAL_TRUNCATED = "journal.truncated"
    """The store dropped records that had not been read."""
    JOURNAL_MALFORMED = "journal.malformed"
    """A record of the journal could not be decoded."""
    SNAPSHOT_LOADED = "snapshot.loaded"
    """The state was loaded from a snapshot."""
    SNAPSHOT_FAILED = "snapshot.failed"
    """A snapshot could not be stored."""
    SNAPSHOT_MALFORMED = "snapshot.malformed"
    """A snapshot could not be decoded."""
    INSTANCE_START = "instance.start"
    """The process started."""
    INSTANCE_JOIN_FAILED = "instance.join_failed"
    """The record of the instance's start was not stored; it is retried."""
    INSTANCE_DRAIN = "instance.drain"
    """The instance takes no new callers."""
    INSTANCE_STOP = "instance.stop"
    """The process ends."""
    INSTANCE_FAILED = "instance.failed"
    """The process ends because of an error, for example in its settings;
    ``platform/start.py`` writes it, as imports may have failed."""
    SETTINGS_RELOAD = "settings.reload"
    """The settings were reloaded; outcome."""
    LOG_LEFT_OUT = "log.left_out"
    """Number of lines left out because of the limit for a second."""


RATE_LIMIT_EXEMPT_EVENTS = frozenset(
    {
        Event.DEPENDENCY,
        Event.INSTANCE_DRAIN,
        Event.INSTANCE_START,
        Event.INSTANCE_STOP,
        Event.JOB_ACCEPTED,
        Event.JOB_CANCELLED,
        Event.JOB_ENDED,
        Event.RUN_PRESUMED_ENDED,
        Event.SETTINGS_RELOAD,
        Event.TERM_CLAIMED,
        Event.TERM_LOST,
    }
)
"""Events that are logged even beyond the limit of lines in a second."""
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
        Event.ZONES_EVACUATED,
    }
)
"""Events that are tied to no job; ``lagoonbeam explain`` shows those that fall
into the time of the job in question."""
