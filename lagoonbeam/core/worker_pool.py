"""The slots of one pool of workers: free, occupied, reserved or claimed."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from lagoonbeam.core.cells import (
    RACK_SPAN_SLOTS,
    WORKER_SPAN_SLOTS,
    BuddyFreeList,
    Cell,
)
from lagoonbeam.core.guarantees import GuaranteeTracker
from lagoonbeam.core.jobs import GangShape
from lagoonbeam.errors import CellAllocationError
from lagoonbeam.types import JobId, WorkerName


class WorkerHealth(enum.StrEnum):
    """Health of a worker; only a healthy one gets new work."""

    HEALTHY = "healthy"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class WorkerShape:
    """The resources and the location of a worker.

    Attributes:
        worker: Its name.
        rack: Name of its rack.
        slots: Maximum number of concurrent tasks, at most `WORKER_SPAN_SLOTS`.
        accelerators: Number of accelerators; each belongs to one slot.
        cores: Processor cores, shared equally by the slots.
        memory_bytes: Memory, shared equally by the slots.
        position: Its position in the rack; -1 for the first free one.
    """

    worker: WorkerName
    rack: str
    slots: int = 8
    accelerators: int = 8
    cores: float = 128.0
    memory_bytes: int = 512 << 30
    position: int = -1


@dataclass
class PooledWorker:
    """A worker of a pool and the numbers of its slots.

    Attributes:
        shape: Its resources and location.
        index: Its index; its slots start at ``index * WORKER_SPAN_SLOTS``.
        health: Its health.
        usable: Number of its slots that the pool can use now.
    """

    shape: WorkerShape
    index: int
    health: WorkerHealth = WorkerHealth.HEALTHY
    usable: int = 0

    @property
    def first_slot(self) -> int:
        """Number of the worker's first slot."""
        return self.index * WORKER_SPAN_SLOTS


class WorkerPool:
    """The slots of all workers of a zone with, or without, accelerators.

    Attributes:
        accelerated: Whether each slot has an accelerator.
        free: Free slots outside the reservation.
        reserved: Free slots of the reservation.
        guarantee_tracker: Claims of guarantees and of other work on the slots.
        occupants: The job that occupies each occupied slot.
        next_occupants: The job that gets a slot once its occupant has left.
        workers: The workers by name.
        cores_per_slot: Smallest number of cores per slot of any worker.
        memory_bytes_per_slot: Smallest memory per slot of any worker.
        rack_indices: Index of each rack.
        total_slots: Slots of all workers, whatever their health.

    Args:
        accelerated: Whether each slot has an accelerator.
    """

    def __init__(self, *, accelerated: bool):
        self.accelerated = accelerated
        self.free = BuddyFreeList()
        self.reserved = BuddyFreeList()
        self.guarantee_tracker = GuaranteeTracker()
        self.occupants: dict[int, JobId] = {}
        self.next_occupants: dict[int, JobId] = {}
        self.workers: dict[WorkerName, PooledWorker] = {}
        self.cores_per_slot = 0.0
        self.memory_bytes_per_slot = 0
        self.rack_indices: dict[str, int] = {}
        self.total_slots = 0
        self._workers_by_index: dict[int, PooledWorker] = {}
        self._reserved_slots: set[int] = set()
        self._unavailable_slots: set[int] = set()

    def add_worker(self, shape: WorkerShape) -> PooledWorker:
        """Adds a worker that is healthy and runs nothing."""
        rack = self.rack_indices.setdefault(shape.rack, len(self.rack_indices))
        index = self._choose_worker_index(rack, shape)
        pooled_worker = PooledWorker(shape, index)
        self.workers[shape.worker] = pooled_worker
        self._workers_by_index[pooled_worker.index] = pooled_worker
        slots = self._count_usable_slots(shape)
        self.total_slots += slots
        cores = shape.cores / max(1, slots)
        memory_bytes = shape.memory_bytes // max(1, slots)
        is_first_worker = not self.cores_per_slot
        self.cores_per_slot = (
            cores if is_first_worker else min(self.cores_per_slot, cores)
        )
        self.memory_bytes_per_slot = (
            memory_bytes
            if is_first_worker
            else min(self.memory_bytes_per_slot, memory_bytes)
        )
        pooled_worker.health = WorkerHealth.UNREACHABLE
        self._unavailable_slots.update(self._get_slot_numbers(pooled_worker))
        self.set_health(shape.worker, WorkerHealth.HEALTHY)
        return pooled_worker

    def set_health(self, worker: WorkerName, health: WorkerHealth) -> None:
        """Sets the health of a worker; only a healthy one gets new work.

        Occupied or claimed slots of an unhealthy worker are withdrawn when
        they become free.
        """
        pooled_worker = self.workers[worker]
        was_healthy = pooled_worker.health is WorkerHealth.HEALTHY
        pooled_worker.health = health
        is_healthy = health is WorkerHealth.HEALTHY
        if was_healthy == is_healthy:
            return
        for slot in self._get_slot_numbers(pooled_worker):
            if is_healthy:
                self._make_slot_available(slot)
            else:
                self._make_slot_unavailable(slot)

    def get_worker(self, cell: Cell) -> PooledWorker:
        """Returns the first worker that a cell covers."""
        return self._workers_by_index[cell.worker_index]

    def list_workers(self, cell: Cell) -> list[PooledWorker]:
        """Returns all workers that a cell covers."""
        last_index = (cell.start + cell.slots - 1) // WORKER_SPAN_SLOTS
        return [
            self._workers_by_index[index]
            for index in range(cell.worker_index, last_index + 1)
            if index in self._workers_by_index
        ]

    def count_member_slots(self, shape: GangShape) -> int:
        """Returns the slots that one member needs, before rounding up."""
        core_slots = -(-shape.cores // max(self.cores_per_slot, 1e-9))
        memory_slots = -(
            -shape.memory_bytes // max(self.memory_bytes_per_slot, 1)
        )
        return max(1, shape.accelerators, int(core_slots), int(memory_slots))

    def occupy(self, cell: Cell, job_id: JobId) -> None:
        """Marks a cell as occupied by a job.

        Raises:
            CellAllocationError: If part of the cell is not free.
        """
        free_list = (
            self.reserved if cell.start in self._reserved_slots else self.free
        )
        free_list.allocate(cell)
        for slot in cell.range:
            self.occupants[slot] = job_id

    def assign(self, cell: Cell, job_id: JobId) -> set[JobId]:
        """Assigns a cell to a job, which occupies the free slots at once.

        Args:
            cell: The cell; no other job may be waiting for it.
            job_id: The job.

        Returns:
            The jobs that occupy the other slots and have to leave first.
        """
        current_occupants: set[JobId] = set()
        for slot in cell.range:
            occupant = self.occupants.get(slot)
            if occupant is None:
                self.occupy(Cell(slot, 1), job_id)
            else:
                self.next_occupants[slot] = job_id
                current_occupants.add(occupant)
        return current_occupants

    def occupy_vacated(self, cell: Cell, job_id: JobId) -> None:
        """Occupies the slots assigned to a job that others have left."""
        for slot in cell.range:
            if (
                self.next_occupants.get(slot) == job_id
                and slot not in self.occupants
            ):
                del self.next_occupants[slot]
                self.occupy(Cell(slot, 1), job_id)

    def unassign(self, cell: Cell, job_id: JobId) -> None:
        """Reverts `assign`, for the occupied and for the pending slots."""
        for slot in cell.range:
            if self.next_occupants.get(slot) == job_id:
                del self.next_occupants[slot]
            elif self.occupants.get(slot) == job_id:
                self.vacate(Cell(slot, 1), job_id)

    def list_next_occupants(self, cell: Cell) -> set[JobId]:
        """Returns the jobs that are waiting for part of a cell."""
        return {
            self.next_occupants[slot]
            for slot in cell.range
            if slot in self.next_occupants
        }

    def vacate(self, cell: Cell, job_id: JobId) -> None:
        """Frees a cell that a job occupies.

        Raises:
            CellAllocationError: If the job does not occupy all of the cell.
        """
        for slot in cell.range:
            if self.occupants.get(slot) != job_id:
                raise CellAllocationError(
                    f"slot {slot} is not occupied by {job_id}"
                )
            del self.occupants[slot]
            if slot in self._unavailable_slots:
                continue
            free_list = (
                self.reserved if slot in self._reserved_slots else self.free
            )
            free_list.release(Cell(slot, 1))

    def list_occupants(self, cell: Cell) -> set[JobId]:
        """Returns the jobs that occupy part of a cell."""
        return {
            self.occupants[slot]
            for slot in cell.range
            if slot in self.occupants
        }

    def reserve(self, cells: list[Cell]) -> None:
        """Reserves cells, whether they are free or still occupied."""
        for slot in (slot for cell in cells for slot in cell.range):
            self._reserved_slots.add(slot)
            if (
                slot not in self.occupants
                and slot not in self._unavailable_slots
            ):
                self.free.allocate(Cell(slot, 1))
                self.reserved.release(Cell(slot, 1))

    def unreserve(self) -> None:
        """Cancels the reservation."""
        for slot in self._reserved_slots:
            if (
                slot not in self.occupants
                and slot not in self._unavailable_slots
            ):
                self.reserved.allocate(Cell(slot, 1))
                self.free.release(Cell(slot, 1))
        self._reserved_slots.clear()

    def has_unhealthy_worker(self, cell: Cell) -> bool:
        """Returns whether any worker of the cell is unhealthy."""
        return any(
            pooled_worker.health is not WorkerHealth.HEALTHY
            for pooled_worker in self.list_workers(cell)
        )

    def is_schedulable(self, cell: Cell) -> bool:
        """Returns whether the cell lies within a healthy worker."""
        pooled_worker = self._workers_by_index.get(cell.worker_index)
        if (
            pooled_worker is None
            or pooled_worker.health is not WorkerHealth.HEALTHY
        ):
            return False
        return (
            cell.start + cell.slots
            <= self._get_slot_numbers(pooled_worker).stop
        )

    def remove_unavailable_slots(self, cell: Cell) -> None:
        """Removes slots of unhealthy workers after a claim was released."""
        unavailable = [
            slot for slot in cell.range if slot in self._unavailable_slots
        ]
        self.guarantee_tracker.remove_slots(unavailable)

    def _choose_worker_index(self, rack: int, shape: WorkerShape) -> int:
        """Returns the index for the position in its rack, or for a free one."""
        workers_per_rack = RACK_SPAN_SLOTS // WORKER_SPAN_SLOTS
        first_index = rack * workers_per_rack
        preferred_positions = (
            [shape.position] if 0 <= shape.position < workers_per_rack else []
        )
        for position in [*preferred_positions, *range(workers_per_rack)]:
            if first_index + position not in self._workers_by_index:
                return first_index + position
        raise CellAllocationError(
            f"rack {shape.rack!r} has {workers_per_rack} workers already"
        )

    def _count_usable_slots(self, shape: WorkerShape) -> int:
        if self.accelerated:
            return min(shape.accelerators, shape.slots, WORKER_SPAN_SLOTS)
        return min(shape.slots, WORKER_SPAN_SLOTS)

    def _get_slot_numbers(self, pooled_worker: PooledWorker) -> range:
        first = pooled_worker.first_slot
        return range(
            first,
            first + self._count_usable_slots(pooled_worker.shape),
        )

    def _make_slot_available(self, slot: int) -> None:
        self._unavailable_slots.discard(slot)
        if slot not in self.occupants:
            free_list = (
                self.reserved if slot in self._reserved_slots else self.free
            )
            free_list.release(Cell(slot, 1))
        if not self._is_slot_claimed(slot):
            self.guarantee_tracker.add_slots([slot])

    def _make_slot_unavailable(self, slot: int) -> None:
        self._unavailable_slots.add(slot)
        if slot not in self.occupants:
            free_list = (
                self.reserved if slot in self._reserved_slots else self.free
            )
            free_list.allocate(Cell(slot, 1))
        if self.guarantee_tracker.unclaimed.is_free(Cell(slot, 1)):
            self.guarantee_tracker.remove_slots([slot])

    def _is_slot_claimed(self, slot: int) -> bool:
        return self.guarantee_tracker.is_slot_claimed(slot)
