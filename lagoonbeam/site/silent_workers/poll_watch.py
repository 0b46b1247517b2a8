"""Whether one worker answers its polls in time."""

from __future__ import annotations

import time

POLL_OVERDUE_S = 0.3
"""Time by which the answer to a poll is late that counts as silence."""


class PollWatch:
    """Tracks the polls of one worker, and starts that it left unanswered."""

    def __init__(self) -> None:
        self._created_at_s = time.monotonic()
        self._answered_poll_sent_at_s = float("-inf")
        self._unanswered_start_at_s = float("-inf")
        self._answer_required_at_s = float("-inf")
        self._due_at_s = float("inf")
        self._has_failed = False

    @property
    def awaits_answer(self) -> bool:
        """Whether the worker has yet to answer a poll before it gets new runs.

        Only a poll counts that was sent after the answer was required.
        """
        return self._answered_poll_sent_at_s < max(
            self._answer_required_at_s, self._unanswered_start_at_s
        )

    @property
    def is_silent(self) -> bool:
        """Whether an answer of the worker is missing or late."""
        return (
            self._has_failed
            or self._answered_poll_sent_at_s < self._unanswered_start_at_s
            or time.monotonic() > self._due_at_s + POLL_OVERDUE_S
        )

    @property
    def silence_s(self) -> float:
        """Time since the newest answered poll was sent.

        Before the first, this is the time since this object was created.
        """
        return time.monotonic() - max(
            self._answered_poll_sent_at_s, self._created_at_s
        )

    def record_sent(self, wait_s: float) -> None:
        """Records that a poll is being sent.

        Args:
            wait_s: Time after which the worker answers at the latest.
        """
        self._due_at_s = time.monotonic() + wait_s

    def record_answer(self, sent_at_s: float) -> None:
        """Records the answer to the poll that was sent at a monotonic time."""
        self._answered_poll_sent_at_s = sent_at_s
        self._due_at_s = float("inf")
        self._has_failed = False

    def record_failure(self) -> None:
        """Records that the poll in progress failed."""
        self._due_at_s = float("inf")
        self._has_failed = True

    def record_unanswered_start(self) -> None:
        """Records that a start got no answer in time."""
        self._unanswered_start_at_s = time.monotonic()

    def require_answer(self) -> None:
        """Requires the answer to a poll that is sent from now on."""
        self._answer_required_at_s = time.monotonic()
