"""What a check of a configuration finds."""

from __future__ import annotations

import enum
from dataclasses import dataclass


class Severity(enum.StrEnum):
    """How grave a finding is.

    ``ERROR``: some requests or jobs would certainly be served wrongly or not
    at all.
    ``WARNING``: an entry has no effect, or is probably a mistake.
    """

    ERROR = "error"
    WARNING = "warning"


@dataclass(frozen=True, slots=True)
class Finding:
    """A fault of a configuration.

    Attributes:
        severity: How grave it is.
        subject: The entry concerned, such as ``queue renders``.
        message: What is wrong with it, with the value that was got.
    """

    severity: Severity
    subject: str
    message: str
