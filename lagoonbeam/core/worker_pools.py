"""The two worker pools of a zone: with and without accelerators."""

from __future__ import annotations

from collections.abc import Iterator

from lagoonbeam.core.jobs import Job
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.types import WorkerName


class WorkerPools:
    """Both worker pools of one zone.

    Attributes:
        accelerated: The pool of workers with accelerators.
        cpu_only: The pool of workers without.
    """

    def __init__(self) -> None:
        self.accelerated = WorkerPool(accelerated=True)
        self.cpu_only = WorkerPool(accelerated=False)

    def __iter__(self) -> Iterator[WorkerPool]:
        return iter((self.accelerated, self.cpu_only))

    @property
    def free_slots(self) -> int:
        """Free slots of both pools, without reserved ones."""
        return sum(pool.free.free_slots for pool in self)

    @property
    def total_slots(self) -> int:
        """Slots of all added workers, whatever their health."""
        return sum(pool.total_slots for pool in self)

    @property
    def shortfall_slots(self) -> int:
        """Guaranteed slots for which healthy workers lack the capacity."""
        return sum(pool.guarantee_tracker.shortfall_slots for pool in self)

    def get(self, *, accelerated: bool) -> WorkerPool:
        """Returns the pool with or without accelerators."""
        return self.accelerated if accelerated else self.cpu_only

    def find_pool(self, worker: WorkerName) -> WorkerPool | None:
        """Returns the pool of a worker, or None if the worker is unknown."""
        return next((pool for pool in self if worker in pool.workers), None)

    def list_eligible_pools(self, job: Job) -> list[WorkerPool]:
        """Returns the pools that a job may use, in order of preference.

        A job without accelerators prefers slots that have none.
        """
        if job.shape.accelerators or not self.cpu_only.total_slots:
            return [self.accelerated]
        return [self.cpu_only, self.accelerated]

    def check_reclaimable(self) -> None:
        """Checks that all guarantees can be reclaimed.

        Raises:
            GuaranteeViolatedError: If they cannot.
        """
        for pool in self:
            pool.guarantee_tracker.check_reclaimable()
