"""Which jobs a caller may reach."""

from __future__ import annotations

import msgspec

from lagoonbeam.errors import UnavailableError
from lagoonbeam.site.model import JobRequest


class JobIdInUseError(UnavailableError):
    """A job was refused since another one has its identifier."""


class JobScope(msgspec.Struct, frozen=True, array_like=True):
    """The jobs that a call reaches: those of a queue and an organisation.

    Attributes:
        queue: Name of the queue; empty for all.
        organisation: The organisation; None for all. Jobs that were submitted
            without an API key belong to none, and are within each.
    """

    queue: str = ""
    organisation: str | None = None

    def covers(self, request: JobRequest) -> bool:
        """Whether a job is one of them."""
        return self.queue in ("", request.queue.name) and (
            self.organisation is None
            or request.organisation in ("", self.organisation)
        )
