"""``make log-cost``: what a line of the decision log costs, beside none.

Both ways run in one process, in turns, so that only their ratio counts on a
busy machine. Prints one JSON object.
"""

from __future__ import annotations

import json
import logging
import os
import statistics
import time

from lagoonbeam.site import decision_log as decisions_module
from lagoonbeam.site.decision_log import DecisionLog
from lagoonbeam.site.events import Event

LINES = 5_000
TURNS = 9


def emit_lines(decisions: DecisionLog) -> float:
    """Returns the microseconds of processor time that a decision costs."""
    began_s = time.process_time()
    for number in range(LINES):
        decisions.emit(
            Event.RUN_START,
            task=f"5c0e7a21d94b36f8.0.0.{number}",
            run=1,
            worker="i-7f3a91c2",
            term=7,
            outcome="started",
        )
    return 1e6 * (time.process_time() - began_s) / LINES


def main() -> None:
    """Measures and prints."""
    decisions_module.MAX_LINES_PER_S = LINES * TURNS
    nowhere = os.open(os.devnull, os.O_WRONLY)
    decisions = DecisionLog("n0", "z1", descriptor=nowhere)
    logger = logging.getLogger("lagoonbeam.decisions")
    written, silent = [], []
    for _ in range(TURNS):
        logger.disabled = False
        written.append(emit_lines(decisions))
        logger.disabled = True
        silent.append(emit_lines(decisions))
    print(
        json.dumps(
            {
                "written_us": round(statistics.median(written), 1),
                "counted_only_us": round(statistics.median(silent), 1),
            }
        )
    )


if __name__ == "__main__":
    main()
