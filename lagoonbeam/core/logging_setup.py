"""Set-up of logging as JSON lines on standard error."""

from __future__ import annotations

import logging

from pythonjsonlogger.json import JsonFormatter


def configure_logging(
    *, level: str, program: str, instance: str, availability_zone: str
) -> None:
    """Sends all logs of the process to standard error as JSON.

    Args:
        level: Least severe level that is logged.
        program: Name of the program, added to each line.
        instance: Name of the instance, added to each line.
        availability_zone: Zone of the instance, added to each line.
    """
    formatter = JsonFormatter(
        "%(asctime)s %(levelname)s %(name)s %(message)s",
        static_fields={
            "program": program,
            "instance": instance,
            "availability_zone": availability_zone,
        },
    )
    handler = logging.StreamHandler()
    handler.setFormatter(formatter)
    root = logging.getLogger()
    root.handlers[:] = [handler]
    root.setLevel(level)
    logging.getLogger("httpx").setLevel(logging.WARNING)
    logging.getLogger("httpcore").setLevel(logging.WARNING)
