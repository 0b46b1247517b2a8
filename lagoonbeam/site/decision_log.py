"""The decision log: one structured line (JSON) for each decision.

Lines go to standard output without blocking the process: lines that a full pipe
does not take are dropped and counted.
"""

from __future__ import annotations

import logging
import os
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

from lagoonbeam.site.events import RATE_LIMIT_EXEMPT_EVENTS, Event
from lagoonbeam.site.metrics import Metrics

MAX_LINES_PER_S = 200
"""Lines that a process may write in a second; further ones are left out, except
for `RATE_LIMIT_EXEMPT_EVENTS`."""


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor; drops those that would block.

    Args:
        descriptor: The file descriptor; it is set to non-blocking.
        metrics: Counts the dropped lines.
    """

    def __init__(self, descriptor: int, metrics: Metrics):
        super().__init__()
        self._descriptor = descriptor
        self._metrics = metrics
        self._unwritten = b""
        os.set_blocking(descriptor, False)

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line, after the rest of a partly written one."""
        line = self._unwritten + self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, line)
        except OSError:
            self._metrics.lines_dropped.inc()
            return
        self._unwritten = line[written:]


class DecisionLog:
    """Logs and counts the decisions of one process.

    Args:
        instance: Name of the instance, on each line.
        availability_zone: Its zone, on each line.
        metrics: Counts each decision.
        descriptor: File descriptor for the lines; standard output by default.
    """

    def __init__(
        self,
        instance: str,
        availability_zone: str,
        *,
        metrics: Metrics | None = None,
        descriptor: int = 1,
    ):
        self.metrics = metrics or Metrics()
        handler = NonBlockingHandler(descriptor, self.metrics)
        handler.setFormatter(
            JsonFormatter(
                "%(levelname)s",
                static_fields={
                    "instance": instance,
                    "availability_zone": availability_zone,
                },
            )
        )
        root = logging.getLogger()
        root.handlers[:] = [handler]
        root.setLevel("INFO")
        self._logger = logging.getLogger("lagoonbeam.decisions")
        self._current_second = 0
        self._lines_this_second = 0
        self._lines_left_out = 0

    def emit(self, event: Event, **fields: Any) -> None:
        """Counts a decision and logs it, unless the line limit is reached.

        Args:
            event: Kind of the decision.
            fields: Inputs of the decision, their age, and its outcome.
        """
        self.metrics.decisions.labels(event.value).inc()
        now_s = time.monotonic()
        if int(now_s) != self._current_second:
            self._current_second, self._lines_this_second = int(now_s), 0
            if self._lines_left_out:
                self._logger.info(
                    {
                        "event": Event.LOG_LEFT_OUT.value,
                        "lines": self._lines_left_out,
                    }
                )
                self._lines_left_out = 0
        self._lines_this_second += 1
        if (
            self._lines_this_second > MAX_LINES_PER_S
            and event not in RATE_LIMIT_EXEMPT_EVENTS
        ):
            self._lines_left_out += 1
            self.metrics.lines_left_out.inc()
            return
        self._logger.info(
            {"event": event.value, "at_s": round(now_s, 3), **fields}
        )
