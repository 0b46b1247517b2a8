"""Raw size, cost and duration of one request that is being received.

A parser joins the pieces of a field before it hands the field over, so raw
bytes are counted rather than parsed fields.
"""

from __future__ import annotations

from dataclasses import dataclass

MAX_RAW_BYTES_PER_HEADER_BYTE = 4
"""Raw bytes for each counted byte of a head: a field of one byte and no value
takes four, with its separators."""
MAX_RAW_BYTES_PER_BODY_BYTE = 6
"""Raw bytes for each byte of a body: a chunk of one byte takes six."""
RAW_SLACK_BYTES = 4_096
"""Raw bytes beyond that: the start line and what is parsed at a time."""
HEADER_FIELD_BYTES = 256
"""Memory of a parsed header field beside its text."""
REQUEST_BYTES = 1_024
"""Memory of a parsed request beside its fields and body."""
HANDLING_COPIES = 2
"""Copies of a body that its handling takes: as decoded and as sent on."""


@dataclass(slots=True)
class MessageMeter:
    """Counts what one request has sent so far.

    Attributes:
        begun_at_s: When its first byte was parsed; infinity before.
        raw_head_bytes: Raw bytes of its head and of the lines before it.
        raw_body_bytes: Raw bytes of its body.
        header_bytes: Total size of its target and header fields.
        header_fields: Number of its header fields.
        body_bytes: Size of its body.
        is_head_complete: Whether its head has been parsed.
    """

    begun_at_s: float = float("inf")
    raw_head_bytes: int = 0
    raw_body_bytes: int = 0
    header_bytes: int = 0
    header_fields: int = 0
    body_bytes: int = 0
    is_head_complete: bool = False

    @property
    def has_begun(self) -> bool:
        """Whether anything but empty lines has arrived."""
        return self.begun_at_s < float("inf")

    @property
    def held_bytes(self) -> int:
        """Memory that the request takes."""
        return (
            REQUEST_BYTES
            + 2 * self.raw_head_bytes
            + HEADER_FIELD_BYTES * self.header_fields
            + self.body_bytes
        )

    @property
    def handled_bytes(self) -> int:
        """Memory that the request takes while it is handled."""
        return self.held_bytes + HANDLING_COPIES * self.body_bytes

    def count_raw_bytes(self, size_bytes: int, *, is_body: bool) -> None:
        """Counts bytes that were handed to the parser."""
        if is_body:
            self.raw_body_bytes += size_bytes
        else:
            self.raw_head_bytes += size_bytes

    def find_exceeded_limit(
        self, max_header_bytes: int, max_body_bytes: int
    ) -> int:
        """Returns the HTTP status of the limit that is exceeded, or 0."""
        max_raw_head_bytes = (
            MAX_RAW_BYTES_PER_HEADER_BYTE * max_header_bytes + RAW_SLACK_BYTES
        )
        if self.header_bytes > max_header_bytes:
            return 431
        if self.raw_head_bytes > max_raw_head_bytes:
            return 431 if self.has_begun else 400
        if self.body_bytes > max_body_bytes:
            return 413
        max_raw_body_bytes = (
            MAX_RAW_BYTES_PER_BODY_BYTE * self.body_bytes + max_raw_head_bytes
        )
        return 413 if self.raw_body_bytes > max_raw_body_bytes else 0

    def get_deadline_s(
        self, grace_s: float, min_rate_bytes_per_s: float
    ) -> float:
        """Returns by when more must have arrived at the slowest rate."""
        received_bytes = self.raw_head_bytes + self.body_bytes
        return self.begun_at_s + grace_s + received_bytes / min_rate_bytes_per_s
