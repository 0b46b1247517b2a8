"""How long a worker may wait before it answers a poll."""

from __future__ import annotations

POLL_WAIT_S = 1.0
"""Long-poll time-out; a fraction of the shortest lease."""
PACING_WAIT_S = 0.4
"""Long-poll time-out while filler tasks run beside serving tasks."""
UNCONFIRMED_WAIT_S = 0.1
"""Long-poll time-out while a start or stop is unconfirmed, or a start of a run
that has ended may arrive: a restart must be noticed soon."""


def choose_poll_wait_s(*, awaits_confirmation: bool, is_pacing: bool) -> float:
    """Returns the time-out of the next long poll.

    Args:
        awaits_confirmation: Whether an order, or what a start that got no
            answer has done, is unconfirmed.
        is_pacing: Whether filler tasks run beside serving tasks.
    """
    if awaits_confirmation:
        return UNCONFIRMED_WAIT_S
    return PACING_WAIT_S if is_pacing else POLL_WAIT_S
