"""The decision log: one structured line for each decision.

Lines go to standard output without ever blocking: what a full pipe does not
take is dropped and counted.
"""

from __future__ import annotations

import logging
import os
import time
from typing import Any

from pythonjsonlogger.json import JsonFormatter

LINES_PER_S = 200
"""Lines of one process a second before like lines are left out."""

_ALWAYS = frozenset(
    {"job.accepted", "job.ended", "term.claimed", "term.lost", "dependency"}
)


class NonBlockingHandler(logging.Handler):
    """Writes lines to a file descriptor and drops what it cannot take.

    Args:
        descriptor: The file descriptor; it is set to non-blocking.
    """

    def __init__(self, descriptor: int = 1):
        super().__init__()
        self._descriptor = descriptor
        os.set_blocking(descriptor, False)
        self.dropped = 0
        self._rest = b""

    def emit(self, record: logging.LogRecord) -> None:
        """Writes one line."""
        line = self._rest + self.format(record).encode() + b"\n"
        try:
            written = os.write(self._descriptor, line)
        except BlockingIOError:
            self.dropped += 1
            return
        except OSError:
            self.dropped += 1
            return
        self._rest = line[written:]


class Decisions:
    """Writes decisions of one process.

    Args:
        instance: Name of the instance, on each line.
        availability_zone: Its zone, on each line.
    """

    def __init__(self, instance: str, availability_zone: str):
        handler = NonBlockingHandler()
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
        self._second = 0
        self._lines = 0
        self.left_out = 0

    def emit(self, event: str, **fields: Any) -> None:
        """Writes one line.

        Args:
            event: What was decided, as ``noun.verb``.
            fields: Inputs that decided it, their age, and the outcome.
        """
        now_s = time.monotonic()
        if int(now_s) != self._second:
            self._second, self._lines = int(now_s), 0
            if self.left_out:
                self._logger.info(
                    {"event": "log.left_out", "lines": self.left_out}
                )
                self.left_out = 0
        self._lines += 1
        if self._lines > LINES_PER_S and event not in _ALWAYS:
            self.left_out += 1
            return
        self._logger.info({"event": event, "at_s": round(now_s, 3), **fields})
