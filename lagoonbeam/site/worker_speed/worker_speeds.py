"""Estimated speeds of workers."""

from __future__ import annotations

from lagoonbeam.types import WorkerName

USUAL_SPEED = 1.0
"""Speed of a worker of which nothing else is known."""


class WorkerSpeeds:
    """Speeds of workers, relative to the usual worker.

    A run that takes 3 s at a speed of 1 takes 6 s at a speed of 0.5.
    """

    @property
    def is_uneven(self) -> bool:
        """Whether any worker is known not to run at the usual speed."""
        return False

    def get_speed(self, worker: WorkerName) -> float:
        """Returns a worker's speed; the usual one unless known to differ.

        Speeds are rounded to a few levels, so that workers that differ by
        less than what is known of them have the same speed.
        """
        del worker
        return USUAL_SPEED
