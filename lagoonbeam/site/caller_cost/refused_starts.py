"""Backs off from workers that refuse the starts of a unit."""

from __future__ import annotations

from dataclasses import dataclass

INITIAL_BACKOFF_S = 0.1
"""Time after a first refusal in which a unit is not sent to the worker."""
MAX_BACKOFF_S = 1.6
"""Longest time between two starts of a unit on a worker that refuses them."""
FORGET_AFTER_S = 10.0
"""Time after a refusal after which the next one counts as the first."""


@dataclass(slots=True)
class _Backoff:
    """Refusals of a unit by a worker, in monotonic time."""

    backoff_s: float
    refused_at_s: float


class RefusedStarts:
    """Doubles the time between a unit's starts on a worker that refuses them.

    Other workers may start the unit at once, and the worker may start others.
    """

    def __init__(self) -> None:
        self._backoffs: dict[str, dict[str, _Backoff]] = {}

    def record(self, unit_key: str, worker: str, now_s: float) -> None:
        """Records that a worker refused to start a unit."""
        backoffs = self._backoffs.setdefault(unit_key, {})
        known = backoffs.get(worker)
        if known is None or now_s - known.refused_at_s > FORGET_AFTER_S:
            backoffs[worker] = _Backoff(INITIAL_BACKOFF_S, now_s)
        elif now_s - known.refused_at_s >= known.backoff_s:
            backoff_s = min(MAX_BACKOFF_S, 2.0 * known.backoff_s)
            backoffs[worker] = _Backoff(backoff_s, now_s)

    def list_held_off(self, unit_key: str, now_s: float) -> frozenset[str]:
        """Returns the workers that a unit is not to be sent to yet."""
        return frozenset(
            worker
            for worker, backoff in self._backoffs.get(unit_key, {}).items()
            if now_s - backoff.refused_at_s < backoff.backoff_s
        )

    def drop_stale(self, now_s: float) -> None:
        """Drops what no longer matters."""
        self._backoffs = {
            key: current
            for key, backoffs in self._backoffs.items()
            if (
                current := {
                    worker: backoff
                    for worker, backoff in backoffs.items()
                    if now_s - backoff.refused_at_s <= FORGET_AFTER_S
                }
            )
        }
