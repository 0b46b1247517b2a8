"""Buddy cells: aligned power-of-two runs of slots.

A zone's slots form one line of numbers. Each rack starts at a multiple of
`RACK_SPAN`, each worker at a multiple of `WORKER_SPAN`, so that an aligned
run of at most `WORKER_SPAN` slots never crosses a worker, and a larger one
is a group of adjacent workers of one rack.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lagoonbeam.errors import CellAllocationError

WORKER_SPAN = 8
"""Slots of the line that each worker covers."""
RACK_SPAN = 128
"""Slots of the line that each rack covers."""
LEVELS = RACK_SPAN.bit_length()
"""Cell sizes are 1, 2, 4, ... `RACK_SPAN` slots."""


@dataclass(frozen=True, order=True)
class Cell:
    """An aligned run of slots.

    Attributes:
        start: First slot.
        slots: Length, a power of two.
    """

    start: int
    slots: int

    @property
    def range(self) -> range:
        """The slots of the cell."""
        return range(self.start, self.start + self.slots)

    @property
    def worker_index(self) -> int:
        """Index of the (first) worker that holds the cell."""
        return self.start // WORKER_SPAN

    @property
    def rack_index(self) -> int:
        """Index of the rack that holds the cell."""
        return self.start // RACK_SPAN


def get_level(slots: int) -> int:
    """Returns the exponent of a power of two."""
    return slots.bit_length() - 1


def round_up(slots: int) -> int:
    """Returns the smallest power of two that is not less than `slots`."""
    return 1 << max(0, slots - 1).bit_length()


def pack_counts(available: list[int], needed: list[int]) -> int:
    """Packs cells into blocks, the largest first.

    Sizes divide each other, so this greedy order is optimal.

    Args:
        available: Number of maximal free blocks of each level.
        needed: Number of cells wanted of each level.

    Returns:
        Slots that could not be packed; 0 if all fit.
    """
    carried = 0
    missing = 0
    for level in range(LEVELS - 1, -1, -1):
        room = available[level] + carried
        short = max(0, needed[level] - room)
        missing += short << level
        carried = 2 * max(0, room - needed[level])
    return missing


class CellSpace:
    """Keeps which slots are free, as maximal aligned blocks.

    Every operation costs at most one step per level.

    Example:
        >>> space = CellSpace()
        >>> space.release(Cell(0, 8))
        >>> space.find(2)
        Cell(start=0, slots=2)
        >>> space.take(Cell(0, 2))
        >>> space.counts[:4]
        [0, 1, 1, 0]
    """

    def __init__(self) -> None:
        self._blocks: list[dict[int, None]] = [{} for _ in range(LEVELS)]
        self._by_rack: dict[int, dict[int, int]] = defaultdict(dict)
        self._free_by_worker: dict[int, int] = {}
        self._free_by_rack: dict[int, int] = {}
        self.free_slots = 0

    @property
    def counts(self) -> list[int]:
        """Number of maximal free blocks of each level."""
        return [len(blocks) for blocks in self._blocks]

    @property
    def largest(self) -> int:
        """Slots of the largest free block; 0 if nothing is free."""
        return next(
            (
                1 << level
                for level in range(LEVELS - 1, -1, -1)
                if self._blocks[level]
            ),
            0,
        )

    def count_free(self, worker_index: int) -> int:
        """Returns the free slots of a worker."""
        return self._free_by_worker.get(worker_index, 0)

    def count_free_in_rack(self, rack_index: int) -> int:
        """Returns the free slots of a rack."""
        return self._free_by_rack.get(rack_index, 0)

    def count_fitting(self, slots: int) -> int:
        """Returns how many cells of that size fit at the same time."""
        level = get_level(slots)
        return sum(
            len(blocks) << (index - level)
            for index, blocks in enumerate(self._blocks)
            if index >= level
        )

    def find(self, slots: int) -> Cell | None:
        """Returns the best-fitting free cell of that size, or None.

        The cell comes from the smallest block that is large enough, and
        among those from the one freed last.
        """
        for level in range(get_level(slots), LEVELS):
            if self._blocks[level]:
                return Cell(next(reversed(self._blocks[level])), slots)
        return None

    def iterate_fits(self, slots: int) -> Iterator[Cell]:
        """Yields a candidate cell of each worker that has room.

        Candidates come from the smallest blocks first.
        """
        step = max(slots, WORKER_SPAN)
        for level in range(get_level(slots), LEVELS):
            for start in reversed(self._blocks[level]):
                end = start + (1 << level)
                yield from (
                    Cell(first, slots) for first in range(start, end, step)
                )

    def iterate_blocks(self) -> Iterator[Cell]:
        """Yields all maximal free blocks, smallest first."""
        for level, blocks in enumerate(self._blocks):
            for start in blocks:
                yield Cell(start, 1 << level)

    def iterate_rack(self, rack_index: int, slots: int) -> Iterator[Cell]:
        """Yields the free cells of one size in a rack, in order."""
        level = get_level(slots)
        for start, size in sorted(self._by_rack[rack_index].items()):
            if size >= level:
                end = start + (1 << size)
                yield from (
                    Cell(first, slots) for first in range(start, end, slots)
                )

    def find_block(self, cell: Cell) -> Cell | None:
        """Returns the maximal free block that contains a cell, or None."""
        for level in range(get_level(cell.slots), LEVELS):
            start = cell.start >> level << level
            if start in self._blocks[level]:
                return Cell(start, 1 << level)
        return None

    def is_free(self, cell: Cell) -> bool:
        """Returns whether all slots of a cell are free."""
        return self.find_block(cell) is not None

    def take(self, cell: Cell) -> None:
        """Takes a free cell.

        Raises:
            CellAllocationError: If it is not wholly free.
        """
        block = self.find_block(cell)
        if block is None:
            raise CellAllocationError(f"{cell} is not free")
        level = get_level(block.slots)
        self._remove(level, block.start)
        start = block.start
        while level > get_level(cell.slots):
            level -= 1
            half = start + (1 << level)
            if cell.start >= half:
                self._add(level, start)
                start = half
            else:
                self._add(level, half)
        self._count(cell, -1)

    def release(self, cell: Cell) -> None:
        """Returns a taken cell and merges it with its free buddies.

        Raises:
            CellAllocationError: If a slot of it is free already.
        """
        if self.find_block(cell) is not None:
            raise CellAllocationError(f"{cell} is free already")
        level, start = get_level(cell.slots), cell.start
        while (
            level < LEVELS - 1 and start ^ (1 << level) in self._blocks[level]
        ):
            self._remove(level, start ^ (1 << level))
            start &= ~(1 << level)
            level += 1
        self._add(level, start)
        self._count(cell, 1)

    def take_all(self, cells: Iterable[Cell]) -> None:
        """Takes several cells; see `take`."""
        for cell in cells:
            self.take(cell)

    def release_all(self, cells: Iterable[Cell]) -> None:
        """Releases several cells; see `release`."""
        for cell in cells:
            self.release(cell)

    def _add(self, level: int, start: int) -> None:
        self._blocks[level][start] = None
        self._by_rack[start // RACK_SPAN][start] = level

    def _remove(self, level: int, start: int) -> None:
        del self._blocks[level][start]
        del self._by_rack[start // RACK_SPAN][start]

    def _count(self, cell: Cell, sign: int) -> None:
        self.free_slots += sign * cell.slots
        rack = cell.rack_index
        self._free_by_rack[rack] = (
            self._free_by_rack.get(rack, 0) + sign * cell.slots
        )
        width = min(cell.slots, WORKER_SPAN)
        for start in range(cell.start, cell.start + cell.slots, width):
            worker = start // WORKER_SPAN
            self._free_by_worker[worker] = (
                self._free_by_worker.get(worker, 0) + sign * width
            )
