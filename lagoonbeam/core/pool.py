"""The workers of one zone that are alike, and who occupies their slots."""

from __future__ import annotations

import enum
from dataclasses import dataclass

from lagoonbeam.core.cells import RACK_SPAN, WORKER_SPAN, Cell, CellSpace
from lagoonbeam.core.guarantees import GuaranteeBook
from lagoonbeam.core.jobs import GangShape
from lagoonbeam.errors import CellAllocationError
from lagoonbeam.types import JobId, WorkerName


class WorkerHealth(enum.StrEnum):
    """Whether a worker may get new work."""

    HEALTHY = "healthy"
    LEAVING = "leaving"
    QUARANTINED = "quarantined"
    UNREACHABLE = "unreachable"


@dataclass(frozen=True)
class WorkerShape:
    """What a worker offers.

    Attributes:
        worker: Its name.
        rack: Its rack.
        slots: Tasks it runs at a time, at most `WORKER_SPAN`.
        accelerators: Its accelerators; each belongs to one slot.
        cores: Its processor cores, shared equally by the slots.
        memory_bytes: Its memory, shared equally by the slots.
        position: Its place in the rack; -1 for the next free one.
    """

    worker: WorkerName
    rack: str
    slots: int = 8
    accelerators: int = 8
    cores: float = 128.0
    memory_bytes: int = 512 << 30
    position: int = -1


@dataclass
class WorkerPlace:
    """A worker's place in its pool.

    Attributes:
        shape: What it offers.
        index: Its number; its slots start at ``index * WORKER_SPAN``.
        health: Whether it may get new work.
        usable: Slots that are in the pool's spaces now.
    """

    shape: WorkerShape
    index: int
    health: WorkerHealth = WorkerHealth.HEALTHY
    usable: int = 0

    @property
    def first_slot(self) -> int:
        """Number of its first slot."""
        return self.index * WORKER_SPAN


class Pool:
    """Slots of one zone: what is free, who occupies the rest, who claims it.

    Args:
        accelerated: Whether its slots carry an accelerator each.
    """

    def __init__(self, *, accelerated: bool):
        self.accelerated = accelerated
        self.free = CellSpace()
        self.held = CellSpace()
        self.book = GuaranteeBook()
        self.occupants: dict[int, JobId] = {}
        self.promises: dict[int, JobId] = {}
        self.workers: dict[WorkerName, WorkerPlace] = {}
        self.cores_per_slot = 0.0
        self.memory_bytes_per_slot = 0
        self.racks: dict[str, int] = {}
        self.total_slots = 0
        self._by_index: dict[int, WorkerPlace] = {}
        self._held_slots: set[int] = set()
        self._absent: set[int] = set()

    def add_worker(self, shape: WorkerShape) -> WorkerPlace:
        """Adds a worker to its rack, healthy and empty."""
        rack = self.racks.setdefault(shape.rack, len(self.racks))
        index = self._choose_index(rack, shape)
        place = WorkerPlace(shape, index)
        self.workers[shape.worker] = place
        self._by_index[place.index] = place
        slots = self._count_slots(shape)
        self.total_slots += slots
        cores = shape.cores / max(1, slots)
        memory_bytes = shape.memory_bytes // max(1, slots)
        first = not self.cores_per_slot
        self.cores_per_slot = (
            cores if first else min(self.cores_per_slot, cores)
        )
        self.memory_bytes_per_slot = (
            memory_bytes
            if first
            else min(self.memory_bytes_per_slot, memory_bytes)
        )
        place.health = WorkerHealth.UNREACHABLE
        self._absent.update(self._slots_of(place))
        self.set_health(shape.worker, WorkerHealth.HEALTHY)
        return place

    def set_health(self, worker: WorkerName, health: WorkerHealth) -> None:
        """Opens or closes a worker's slots to new work.

        Slots that are occupied or claimed leave the pool when they become
        free.
        """
        place = self.workers[worker]
        was_open = place.health is WorkerHealth.HEALTHY
        place.health = health
        is_open = health is WorkerHealth.HEALTHY
        if was_open == is_open:
            return
        for slot in self._slots_of(place):
            if is_open:
                self._open_slot(slot)
            else:
                self._close_slot(slot)

    def get_worker(self, cell: Cell) -> WorkerPlace:
        """Returns the worker that holds a cell."""
        return self._by_index[cell.worker_index]

    def list_workers(self, cell: Cell) -> list[WorkerPlace]:
        """Returns the workers that a cell covers."""
        last = (cell.start + cell.slots - 1) // WORKER_SPAN
        return [
            self._by_index[index]
            for index in range(cell.worker_index, last + 1)
            if index in self._by_index
        ]

    def count_member_slots(self, shape: GangShape) -> int:
        """Returns the slots that one member needs, not rounded."""
        by_cores = -(-shape.cores // max(self.cores_per_slot, 1e-9))
        by_memory = -(-shape.memory_bytes // max(self.memory_bytes_per_slot, 1))
        return max(1, shape.accelerators, int(by_cores), int(by_memory))

    def occupy(self, cell: Cell, job_id: JobId) -> None:
        """Gives a cell to a job.

        Raises:
            CellAllocationError: If part of it is occupied.
        """
        space = self.held if cell.start in self._held_slots else self.free
        space.take(cell)
        for slot in cell.range:
            self.occupants[slot] = job_id

    def promise(self, cell: Cell, job_id: JobId) -> set[JobId]:
        """Gives a cell to a job that waits for others to leave it.

        Args:
            cell: The cell; no other job waits for it.
            job_id: The job.

        Returns:
            The jobs that occupy part of it now.
        """
        leaving: set[JobId] = set()
        for slot in cell.range:
            occupant = self.occupants.get(slot)
            if occupant is None:
                self.occupy(Cell(slot, 1), job_id)
            else:
                self.promises[slot] = job_id
                leaving.add(occupant)
        return leaving

    def move_in(self, cell: Cell, job_id: JobId) -> None:
        """Gives a job the slots of its cell that others have left."""
        for slot in cell.range:
            if self.promises.get(slot) == job_id and slot not in self.occupants:
                del self.promises[slot]
                self.occupy(Cell(slot, 1), job_id)

    def withdraw(self, cell: Cell, job_id: JobId) -> None:
        """Takes back what was promised to a job and what it has of it."""
        for slot in cell.range:
            if self.promises.get(slot) == job_id:
                del self.promises[slot]
            elif self.occupants.get(slot) == job_id:
                self.vacate(Cell(slot, 1), job_id)

    def list_promised(self, cell: Cell) -> set[JobId]:
        """Returns the jobs that wait for part of a cell."""
        return {
            self.promises[slot] for slot in cell.range if slot in self.promises
        }

    def vacate(self, cell: Cell, job_id: JobId) -> None:
        """Takes a cell back from a job.

        Raises:
            CellAllocationError: If the job does not occupy all of it.
        """
        for slot in cell.range:
            if self.occupants.get(slot) != job_id:
                raise CellAllocationError(
                    f"slot {slot} is not occupied by {job_id}"
                )
            del self.occupants[slot]
            if slot in self._absent:
                continue
            space = self.held if slot in self._held_slots else self.free
            space.release(Cell(slot, 1))

    def list_occupants(self, cell: Cell) -> set[JobId]:
        """Returns the jobs that occupy part of a cell."""
        return {
            self.occupants[slot]
            for slot in cell.range
            if slot in self.occupants
        }

    def hold(self, cells: list[Cell]) -> None:
        """Sets cells aside for a reservation, free or not."""
        for slot in (slot for cell in cells for slot in cell.range):
            self._held_slots.add(slot)
            if slot not in self.occupants and slot not in self._absent:
                self.free.take(Cell(slot, 1))
                self.held.release(Cell(slot, 1))

    def unhold(self) -> None:
        """Ends the reservation."""
        for slot in self._held_slots:
            if slot not in self.occupants and slot not in self._absent:
                self.held.take(Cell(slot, 1))
                self.free.release(Cell(slot, 1))
        self._held_slots.clear()

    def is_closed(self, cell: Cell) -> bool:
        """Returns whether a worker of the cell gets no new work."""
        return any(
            place.health is not WorkerHealth.HEALTHY
            for place in self.list_workers(cell)
        )

    def is_open(self, cell: Cell) -> bool:
        """Returns whether the cell exists and its worker takes new work."""
        place = self._by_index.get(cell.worker_index)
        if place is None or place.health is not WorkerHealth.HEALTHY:
            return False
        return cell.start + cell.slots <= self._slots_of(place).stop

    def claim_released(self, cell: Cell) -> None:
        """Closes the slots of closed workers after a claim ended."""
        absent = [slot for slot in cell.range if slot in self._absent]
        self.book.remove_slots(absent)

    def _choose_index(self, rack: int, shape: WorkerShape) -> int:
        """Returns the worker's wanted place in its rack, or a free one."""
        per_rack = RACK_SPAN // WORKER_SPAN
        first = rack * per_rack
        wanted = [shape.position] if 0 <= shape.position < per_rack else []
        for position in [*wanted, *range(per_rack)]:
            if first + position not in self._by_index:
                return first + position
        raise CellAllocationError(
            f"rack {shape.rack!r} has {per_rack} workers already"
        )

    def _count_slots(self, shape: WorkerShape) -> int:
        if self.accelerated:
            return min(shape.accelerators, shape.slots, WORKER_SPAN)
        return min(shape.slots, WORKER_SPAN)

    def _slots_of(self, place: WorkerPlace) -> range:
        first = place.first_slot
        return range(first, first + self._count_slots(place.shape))

    def _open_slot(self, slot: int) -> None:
        self._absent.discard(slot)
        if slot not in self.occupants:
            space = self.held if slot in self._held_slots else self.free
            space.release(Cell(slot, 1))
        if not self._is_claimed(slot):
            self.book.add_slots([slot])

    def _close_slot(self, slot: int) -> None:
        self._absent.add(slot)
        if slot not in self.occupants:
            space = self.held if slot in self._held_slots else self.free
            space.take(Cell(slot, 1))
        if self.book.unclaimed.is_free(Cell(slot, 1)):
            self.book.remove_slots([slot])

    def _is_claimed(self, slot: int) -> bool:
        return self.book.is_claimed(slot)
