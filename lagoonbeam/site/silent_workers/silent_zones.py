"""Which availability zones have gone silent, before their polls time out.

When a zone goes dark, the polls of its workers fall due within a second and
time out after two. Until then, starts would be sent to the workers that have
not been due, and their tasks held back until the leases expire.
"""

from __future__ import annotations

import time
from collections import Counter
from collections.abc import Iterable, Mapping
from typing import Protocol

from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event
from lagoonbeam.site.model import WorkerReport
from lagoonbeam.site.silent_workers.poll_watch import PollWatch
from lagoonbeam.types import ZoneName

UPDATE_INTERVAL_S = 0.1
"""Shortest interval between two looks at all workers."""
MIN_SILENT_WORKERS = 3
"""Silent workers from which on a zone may count as silent."""
MIN_SILENT_SHARE = 0.25
"""Silent share of a zone's workers from which on it counts as silent."""
MAX_ANSWERING_SHARE = 0.1
"""Silent share below which a zone no longer counts as silent."""
MIN_RATIO_ELSEWHERE = 3.0
"""Silent share of a zone as a multiple of that of the others; a scheduler that
is itself late hears from none of them."""


class WatchedWorker(Protocol):
    """The part of a worker's session that shows whether it answers."""

    report: WorkerReport
    is_listed: bool
    has_been_polled: bool
    polls: PollWatch


class SilentZones:
    """Closes the workers of a silent zone until each answers again.

    Args:
        decisions: The decision log.
    """

    def __init__(self, decisions: DecisionLog):
        self._decisions = decisions
        self._silent_zones: set[ZoneName] = set()
        self._updated_at_s = float("-inf")

    def update(self, workers: Iterable[WatchedWorker]) -> None:
        """Looks at all workers, unless that was done just before."""
        now_s = time.monotonic()
        if now_s - self._updated_at_s < UPDATE_INTERVAL_S:
            return
        self._updated_at_s = now_s
        watched = [
            worker
            for worker in workers
            if worker.is_listed and worker.has_been_polled
        ]
        counts = Counter(worker.report.availability_zone for worker in watched)
        silent_counts = Counter(
            worker.report.availability_zone
            for worker in watched
            if worker.polls.is_silent
        )
        for zone in counts:
            silent_share = silent_counts[zone] / counts[zone]
            if zone in self._silent_zones:
                if silent_share < MAX_ANSWERING_SHARE:
                    self._silent_zones.discard(zone)
                    self._decisions.emit(Event.ZONE_ANSWERS, zone=zone)
            elif _is_silent(zone, counts, silent_counts):
                self._silent_zones.add(zone)
                self._decisions.emit(
                    Event.ZONE_SILENT,
                    zone=zone,
                    silent=silent_counts[zone],
                    workers=counts[zone],
                )
                for worker in watched:
                    if worker.report.availability_zone == zone:
                        worker.polls.require_answer()


def _is_silent(
    zone: ZoneName,
    counts: Mapping[ZoneName, int],
    silent_counts: Mapping[ZoneName, int],
) -> bool:
    """Whether a zone has far more silent workers than the others together."""
    others = sum(counts.values()) - counts[zone]
    if silent_counts[zone] < MIN_SILENT_WORKERS or not others:
        return False
    silent_others = sum(silent_counts.values()) - silent_counts[zone]
    return silent_counts[zone] / counts[zone] >= max(
        MIN_SILENT_SHARE, MIN_RATIO_ELSEWHERE * silent_others / others
    )
