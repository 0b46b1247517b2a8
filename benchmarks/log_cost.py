"""``make log-cost``: processor time of decision events, logged or counted.

Events that are written to the log alternate with events that are only counted,
in one process, so that other load on the machine affects both alike. Prints
one JSON object.
"""

from __future__ import annotations

import json
import logging
import os
import statistics
import time

from lagoonbeam.site import decision_log as decision_log_module
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event

EVENTS_PER_ROUND = 5_000
ROUNDS = 9


def measure_event_cost_us(decisions: DecisionLog) -> float:
    """Returns the mean processor time of one emitted event."""
    started_s = time.process_time()
    for number in range(EVENTS_PER_ROUND):
        decisions.emit(
            Event.RUN_START,
            task=f"5c0e7a21d94b36f8.0.0.{number}",
            run=1,
            worker="i-7f3a91c2",
            term=7,
            outcome="started",
        )
    return 1e6 * (time.process_time() - started_s) / EVENTS_PER_ROUND


def main() -> None:
    """Measures both variants and prints their medians."""
    decision_log_module.MAX_LINES_PER_S = EVENTS_PER_ROUND * ROUNDS
    null_descriptor = os.open(os.devnull, os.O_WRONLY)
    decisions = DecisionLog("n0", "z1", descriptor=null_descriptor)
    logger = logging.getLogger("lagoonbeam.decisions")
    written_us, counted_only_us = [], []
    for _ in range(ROUNDS):
        logger.disabled = False
        written_us.append(measure_event_cost_us(decisions))
        logger.disabled = True
        counted_only_us.append(measure_event_cost_us(decisions))
    print(
        json.dumps(
            {
                "written_us": round(statistics.median(written_us), 1),
                "counted_only_us": round(statistics.median(counted_only_us), 1),
            }
        )
    )


if __name__ == "__main__":
    main()
