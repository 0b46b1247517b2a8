"""Buddy allocation of slots in cells: aligned power-of-two ranges.

The slots of a zone are numbered consecutively. Each rack starts at a multiple
of `RACK_SPAN_SLOTS` and each worker at a multiple of `WORKER_SPAN_SLOTS`.
An aligned range of at most `WORKER_SPAN_SLOTS` slots therefore lies within one
worker, and a larger one covers adjacent workers of one rack.
"""

from __future__ import annotations

from collections import defaultdict
from collections.abc import Iterable, Iterator
from dataclasses import dataclass

from lagoonbeam.errors import CellAllocationError

WORKER_SPAN_SLOTS = 8
"""Slot numbers set aside for each worker."""
RACK_SPAN_SLOTS = 128
"""Slot numbers set aside for each rack."""
LEVEL_COUNT = RACK_SPAN_SLOTS.bit_length()
"""Number of cell sizes: 1, 2, 4, ... `RACK_SPAN_SLOTS` slots. A cell of level
n has 2**n slots."""


@dataclass(frozen=True, order=True)
class Cell:
    """An aligned range of slots.

    Attributes:
        start: Number of the first slot.
        slots: Number of slots, a power of two.
    """

    start: int
    slots: int

    @property
    def range(self) -> range:
        """Numbers of the cell's slots."""
        return range(self.start, self.start + self.slots)

    @property
    def worker_index(self) -> int:
        """Index of the first worker that the cell covers."""
        return self.start // WORKER_SPAN_SLOTS

    @property
    def rack_index(self) -> int:
        """Index of the rack that contains the cell."""
        return self.start // RACK_SPAN_SLOTS


def get_cell_level(slots: int) -> int:
    """Returns the level of a cell size, its base-2 logarithm."""
    return slots.bit_length() - 1


def round_up_to_power_of_two(slots: int) -> int:
    """Returns the smallest power of two that is not less than `slots`."""
    return 1 << max(0, slots - 1).bit_length()


def count_unpacked_slots(
    available_blocks: list[int], required_cells: list[int]
) -> int:
    """Packs cells into free blocks, the largest cells first.

    The greedy order is optimal because each size divides the next larger one.

    Args:
        available_blocks: Number of maximal free blocks of each level.
        required_cells: Number of required cells of each level.

    Returns:
        Total slots of the cells that do not fit; 0 if all fit.
    """
    split_blocks = 0
    unpacked_slots = 0
    for level in range(LEVEL_COUNT - 1, -1, -1):
        free_blocks = available_blocks[level] + split_blocks
        unpacked_cells = max(0, required_cells[level] - free_blocks)
        unpacked_slots += unpacked_cells << level
        split_blocks = 2 * max(0, free_blocks - required_cells[level])
    return unpacked_slots


class BuddyFreeList:
    """Free list of a buddy allocator: free slots as maximal aligned blocks.

    `find_best_fit`, `allocate` and `release` take at most one step per level.

    Example:
        >>> free_list = BuddyFreeList()
        >>> free_list.release(Cell(0, 8))
        >>> free_list.find_best_fit(2)
        Cell(start=0, slots=2)
        >>> free_list.allocate(Cell(0, 2))
        >>> free_list.level_counts[:4]
        [0, 1, 1, 0]
    """

    def __init__(self) -> None:
        self._blocks_by_level: list[dict[int, None]] = [
            {} for _ in range(LEVEL_COUNT)
        ]
        self._block_levels_by_rack: dict[int, dict[int, int]] = defaultdict(
            dict
        )
        self._free_by_worker: dict[int, int] = {}
        self._free_by_rack: dict[int, int] = {}
        self.free_slots = 0

    @property
    def level_counts(self) -> list[int]:
        """Number of maximal free blocks of each level."""
        return [len(blocks) for blocks in self._blocks_by_level]

    @property
    def largest_block_slots(self) -> int:
        """Slots of the largest free block; 0 if nothing is free."""
        return next(
            (
                1 << level
                for level in range(LEVEL_COUNT - 1, -1, -1)
                if self._blocks_by_level[level]
            ),
            0,
        )

    def count_free_on_worker(self, worker_index: int) -> int:
        """Returns the free slots of a worker."""
        return self._free_by_worker.get(worker_index, 0)

    def count_free_in_rack(self, rack_index: int) -> int:
        """Returns the free slots of a rack."""
        return self._free_by_rack.get(rack_index, 0)

    def count_fitting_cells(self, slots: int) -> int:
        """Returns how many cells of a size can be allocated at once."""
        level = get_cell_level(slots)
        return sum(
            len(blocks) << (block_level - level)
            for block_level, blocks in enumerate(self._blocks_by_level)
            if block_level >= level
        )

    def find_best_fit(self, slots: int) -> Cell | None:
        """Returns the best-fitting free cell of a size, or None.

        The cell is taken from the smallest sufficient block; of several such
        blocks, from the one that was added last.
        """
        for level in range(get_cell_level(slots), LEVEL_COUNT):
            if self._blocks_by_level[level]:
                return Cell(next(reversed(self._blocks_by_level[level])), slots)
        return None

    def iterate_fitting_cells(self, slots: int) -> Iterator[Cell]:
        """Yields at most one free cell of a size for each worker and block.

        Cells in smaller blocks come first.
        """
        step = max(slots, WORKER_SPAN_SLOTS)
        for level in range(get_cell_level(slots), LEVEL_COUNT):
            for start in reversed(self._blocks_by_level[level]):
                end = start + (1 << level)
                yield from (
                    Cell(first, slots) for first in range(start, end, step)
                )

    def iterate_blocks(self) -> Iterator[Cell]:
        """Yields all maximal free blocks, smallest first."""
        for level, blocks in enumerate(self._blocks_by_level):
            for start in blocks:
                yield Cell(start, 1 << level)

    def iterate_free_cells_in_rack(
        self, rack_index: int, slots: int
    ) -> Iterator[Cell]:
        """Yields the free cells of a size in a rack, by slot number."""
        level = get_cell_level(slots)
        for start, block_level in sorted(
            self._block_levels_by_rack[rack_index].items()
        ):
            if block_level >= level:
                end = start + (1 << block_level)
                yield from (
                    Cell(first, slots) for first in range(start, end, slots)
                )

    def find_free_block(self, cell: Cell) -> Cell | None:
        """Returns the maximal free block that contains a cell, or None."""
        for level in range(get_cell_level(cell.slots), LEVEL_COUNT):
            start = cell.start >> level << level
            if start in self._blocks_by_level[level]:
                return Cell(start, 1 << level)
        return None

    def is_free(self, cell: Cell) -> bool:
        """Returns whether all slots of a cell are free."""
        return self.find_free_block(cell) is not None

    def allocate(self, cell: Cell) -> None:
        """Allocates a free cell.

        Raises:
            CellAllocationError: If part of the cell is not free.
        """
        block = self.find_free_block(cell)
        if block is None:
            raise CellAllocationError(f"{cell} is not free")
        level = get_cell_level(block.slots)
        self._remove_block(level, block.start)
        start = block.start
        while level > get_cell_level(cell.slots):
            level -= 1
            half = start + (1 << level)
            if cell.start >= half:
                self._add_block(level, start)
                start = half
            else:
                self._add_block(level, half)
        self._update_free_counts(cell, -1)

    def release(self, cell: Cell) -> None:
        """Frees an allocated cell and merges it with its free buddies.

        Raises:
            CellAllocationError: If the whole cell is free already.
        """
        if self.find_free_block(cell) is not None:
            raise CellAllocationError(f"{cell} is free already")
        level, start = get_cell_level(cell.slots), cell.start
        while (
            level < LEVEL_COUNT - 1
            and start ^ (1 << level) in self._blocks_by_level[level]
        ):
            self._remove_block(level, start ^ (1 << level))
            start &= ~(1 << level)
            level += 1
        self._add_block(level, start)
        self._update_free_counts(cell, 1)

    def allocate_all(self, cells: Iterable[Cell]) -> None:
        """Allocates several cells; see `allocate`."""
        for cell in cells:
            self.allocate(cell)

    def release_all(self, cells: Iterable[Cell]) -> None:
        """Releases several cells; see `release`."""
        for cell in cells:
            self.release(cell)

    def _add_block(self, level: int, start: int) -> None:
        self._blocks_by_level[level][start] = None
        self._block_levels_by_rack[start // RACK_SPAN_SLOTS][start] = level

    def _remove_block(self, level: int, start: int) -> None:
        del self._blocks_by_level[level][start]
        del self._block_levels_by_rack[start // RACK_SPAN_SLOTS][start]

    def _update_free_counts(self, cell: Cell, sign: int) -> None:
        self.free_slots += sign * cell.slots
        rack = cell.rack_index
        self._free_by_rack[rack] = (
            self._free_by_rack.get(rack, 0) + sign * cell.slots
        )
        worker_slots = min(cell.slots, WORKER_SPAN_SLOTS)
        for start in range(cell.start, cell.start + cell.slots, worker_slots):
            worker_index = start // WORKER_SPAN_SLOTS
            self._free_by_worker[worker_index] = (
                self._free_by_worker.get(worker_index, 0) + sign * worker_slots
            )
