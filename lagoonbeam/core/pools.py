"""The two pools of a zone: workers with and without accelerators."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.pool import Pool
from lagoonbeam.types import WorkerName


class Pools:
    """Both pools of one zone.

    Attributes:
        accelerated: The pool of workers with accelerators.
        plain: The pool of workers without.
    """

    def __init__(self) -> None:
        self.accelerated = Pool(accelerated=True)
        self.plain = Pool(accelerated=False)

    def __iter__(self) -> Iterator[Pool]:
        return iter((self.accelerated, self.plain))

    @property
    def free_slots(self) -> int:
        """Free slots of both."""
        return sum(pool.free.free_slots for pool in self)

    @property
    def total_slots(self) -> int:
        """Slots of all known workers."""
        return sum(pool.total_slots for pool in self)

    @property
    def shortfall_slots(self) -> int:
        """Guaranteed slots that healthy workers cannot hold."""
        return sum(pool.book.shortfall_slots for pool in self)

    def get(self, *, accelerated: bool) -> Pool:
        """Returns the pool with or without accelerators."""
        return self.accelerated if accelerated else self.plain

    def find(self, worker: WorkerName) -> Pool | None:
        """Returns the pool of a worker, or None if it was not added."""
        return next((pool for pool in self if worker in pool.workers), None)

    def list_for(self, job: Job) -> list[Pool]:
        """Returns the pools to try; plain slots go before accelerators."""
        if job.shape.accelerators or not self.plain.total_slots:
            return [self.accelerated]
        return [self.plain, self.accelerated]

    def check(self) -> None:
        """Checks the guarantees.

        Raises:
            GuaranteeViolatedError: If they cannot be reclaimed.
        """
        for pool in self:
            pool.book.check()
