"""Best fit in buddy cells; a gang is spread over as few racks as possible."""

from __future__ import annotations

from collections.abc import Iterator
from itertools import islice

from lagoonbeam.core.cells import (
    WORKER_SPAN_SLOTS,
    BuddyFreeList,
    Cell,
    get_cell_level,
    round_up_to_power_of_two,
)
from lagoonbeam.core.guarantees import GuaranteeTracker
from lagoonbeam.core.planned_job import Placement, PlannedJob, Standing
from lagoonbeam.core.worker_pool import WorkerPool
from lagoonbeam.placement.base import (
    PLACEMENT_POLICIES,
    GuaranteeReach,
    PlacementPolicy,
    exclude_workers,
)
from lagoonbeam.preemption.base import PreemptionPolicy

_MAX_BINDING_CANDIDATES = 32
"""Cells whose preemption costs are compared before one is bound."""


def split_cell(cell: Cell, slots: int, count: int) -> list[Cell]:
    """Splits a cell and returns its first `count` parts of `slots` slots."""
    return [Cell(cell.start + slots * part, slots) for part in range(count)]


def find_gang_cells(
    pool: WorkerPool, free_list: BuddyFreeList, planned: PlannedJob, slots: int
) -> list[Cell] | None:
    """Finds free cells for all members of a gang.

    Args:
        pool: Workers to place the gang on.
        free_list: Free slots that the gang may use.
        planned: The job.
        slots: Size of each member's cell.

    Returns:
        A cell for each member, or None.
    """
    shape = planned.job.shape
    excluded = planned.excluded_workers
    if shape.adjacency == "worker" and shape.members > 1:
        total_slots = round_up_to_power_of_two(slots * shape.members)
        candidates = exclude_workers(
            pool, free_list.iterate_fitting_cells(total_slots), excluded
        )
        cell = (
            next(iter(candidates), None)
            if total_slots <= WORKER_SPAN_SLOTS
            else None
        )
        return split_cell(cell, slots, shape.members) if cell else None
    if shape.members == 1:
        candidates = exclude_workers(
            pool, free_list.iterate_fitting_cells(slots), excluded
        )
        cell = next(iter(candidates), None)
        return [cell] if cell else None
    return find_cells_in_few_racks(
        pool, free_list, planned, slots, shape.members
    )


def find_cells_in_few_racks(
    pool: WorkerPool,
    free_list: BuddyFreeList,
    planned: PlannedJob,
    slots: int,
    members: int,
    rack: int | None = None,
) -> list[Cell] | None:
    """Finds cells in one rack if possible, else in few racks.

    The rack with the fewest free slots that holds all cells is used. If there
    is none, and the gang need not be in one rack, racks are filled in
    descending order of their free slots.

    Args:
        pool: Workers to place the gang on.
        free_list: Free slots that the gang may use.
        planned: The job.
        slots: Size of each cell.
        members: Number of cells.
        rack: Rack that all cells must be in; None for any.

    Returns:
        The cells, or None if there are too few.
    """
    if rack is not None:
        cells = _list_free_cells_in_rack(pool, free_list, rack, planned, slots)
        return cells[:members] if len(cells) >= members else None
    racks_by_free_slots = sorted(
        (free_list.count_free_in_rack(rack), rack)
        for rack in pool.rack_indices.values()
    )
    for free_slots, rack in racks_by_free_slots:
        if free_slots < members * slots:
            continue
        cells = _list_free_cells_in_rack(pool, free_list, rack, planned, slots)
        if len(cells) >= members:
            return cells[:members]
    if planned.job.shape.adjacency == "rack":
        return None
    found: list[Cell] = []
    for _, rack in reversed(racks_by_free_slots):
        found += _list_free_cells_in_rack(pool, free_list, rack, planned, slots)
        if len(found) >= members:
            return found[:members]
    return None


def _list_free_cells_in_rack(
    pool: WorkerPool,
    free_list: BuddyFreeList,
    rack: int,
    planned: PlannedJob,
    slots: int,
) -> list[Cell]:
    """Returns the free cells of a rack, those on the fullest workers first."""
    cells = exclude_workers(
        pool,
        free_list.iterate_free_cells_in_rack(rack, slots),
        planned.excluded_workers,
    )
    return sorted(
        cells,
        key=lambda cell: free_list.count_free_on_worker(cell.worker_index),
    )


@PLACEMENT_POLICIES.register("cells")
class CellPlacement(PlacementPolicy):
    """Places members on the smallest free cells that are large enough."""

    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: GuaranteeReach,
    ) -> Placement | None:
        """Uses cells that are bound already, then binds further ones.

        The members that the guarantee cannot hold are placed on free cells,
        unless all members must be on one worker.
        """
        shape = planned.job.shape
        slots = round_up_to_power_of_two(pool.count_member_slots(shape))
        if slots > WORKER_SPAN_SLOTS:
            return None
        if shape.adjacency == "worker" and shape.members > 1:
            return self._place_on_one_worker(
                pool, planned, slots, preemption, reach
            )
        selector = _GuaranteeCellSelector(pool, planned, preemption, reach)
        if shape.adjacency == "none" or shape.members == 1:
            selected = selector.select_cells(slots, shape.members, None)
            return self._add_free_cells(pool, planned, slots, selected)
        for rack in pool.rack_indices.values():
            selected = selector.select_cells(slots, shape.members, rack)
            placement = self._add_free_cells(
                pool, planned, slots, selected, rack
            )
            if placement is not None:
                return placement
        return None

    def _add_free_cells(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        slots: int,
        selected: list[tuple[Cell, Cell]],
        rack: int | None = None,
    ) -> Placement | None:
        """Completes a placement by free cells for the remaining members."""
        missing_members = planned.job.shape.members - len(selected)
        if not selected:
            return None
        cells = [cell for cell, _ in selected]
        bound_cells: list[Cell | None] = [
            bound_cell for _, bound_cell in selected
        ]
        standing = Standing.GUARANTEED
        if missing_members:
            stoppable = planned.job.stoppable
            standing = Standing.LENT if stoppable else Standing.EXCLUSIVE
            free_list = _exclude_cells(
                pool,
                [*cells, *(enclosing_cell for _, enclosing_cell in selected)],
            )
            if not stoppable:
                free_list = _intersect_with_unclaimed(
                    pool.guarantee_tracker, free_list
                )
            additional_cells = find_cells_in_few_racks(
                pool, free_list, planned, slots, missing_members, rack
            )
            if additional_cells is None:
                return None
            cells += additional_cells
            bound_cells += [None] * missing_members
        return Placement(
            pool.accelerated, tuple(cells), standing, tuple(bound_cells)
        )

    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, free_list: BuddyFreeList
    ) -> Placement | None:
        """Returns free cells, or None.

        Work that cannot be stopped gets unclaimed cells only, which it then
        claims, since no guarantee could reclaim them.
        """
        slots = round_up_to_power_of_two(
            pool.count_member_slots(planned.job.shape)
        )
        if slots > WORKER_SPAN_SLOTS:
            return None
        if planned.job.stoppable:
            cells = find_gang_cells(pool, free_list, planned, slots)
            standing = Standing.LENT
        else:
            free_list = _intersect_with_unclaimed(
                pool.guarantee_tracker, free_list
            )
            cells = find_gang_cells(pool, free_list, planned, slots)
            standing = Standing.EXCLUSIVE
        if cells is None:
            return None
        return Placement(pool.accelerated, tuple(cells), standing)

    def _place_on_one_worker(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        slots: int,
        preemption: PreemptionPolicy,
        reach: GuaranteeReach,
    ) -> Placement | None:
        members = planned.job.shape.members
        total_slots = round_up_to_power_of_two(slots * members)
        if total_slots > WORKER_SPAN_SLOTS:
            return None
        selector = _GuaranteeCellSelector(pool, planned, preemption, reach)
        selected = selector.select_cells(total_slots, 1, None)
        if not selected:
            return None
        ((cell, bound_cell),) = selected
        return Placement(
            pool.accelerated,
            tuple(split_cell(cell, slots, members)),
            Standing.GUARANTEED,
            (bound_cell,) * members,
        )


def _exclude_cells(pool: WorkerPool, cells: list[Cell]) -> BuddyFreeList:
    """Returns the free slots of a pool outside of the given cells."""
    excluded = {slot for cell in cells for slot in cell.range}
    remaining = BuddyFreeList()
    for block in pool.free.iterate_blocks():
        if excluded.isdisjoint(block.range):
            remaining.release(block)
        else:
            remaining.release_all(
                Cell(slot, 1) for slot in block.range if slot not in excluded
            )
    return remaining


def _intersect_with_unclaimed(
    guarantee_tracker: GuaranteeTracker, free_list: BuddyFreeList
) -> BuddyFreeList:
    """Returns the free slots that are not claimed for any guarantee."""
    intersection = BuddyFreeList()
    for block in free_list.iterate_blocks():
        if guarantee_tracker.unclaimed.is_free(block):
            intersection.release(block)
        else:
            intersection.release_all(
                Cell(slot, 1)
                for slot in block.range
                if guarantee_tracker.unclaimed.is_free(Cell(slot, 1))
            )
    return intersection


class _GuaranteeCellSelector:
    """Selects cells in an organisation's guarantee, without binding them."""

    def __init__(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        reach: GuaranteeReach,
    ):
        self._reach = reach
        self._pool = pool
        self._planned = planned
        self._preemption = preemption

    def select_cells(
        self, slots: int, members: int, rack: int | None
    ) -> list[tuple[Cell, Cell]]:
        """Returns up to `members` cells, each with the bound cell it is in."""
        selected = list(islice(self._iterate_bound_cells(slots, rack), members))
        if len(selected) < members and self._reach is not GuaranteeReach.BOUND:
            selected += islice(
                self._iterate_unbound_cells(slots, rack),
                members - len(selected),
            )
        return selected

    def _is_usable(self, cell: Cell, rack: int | None) -> bool:
        excluded = self._planned.excluded_workers
        return (
            rack in (None, cell.rack_index)
            and not self._pool.has_unhealthy_worker(cell)
            and (
                self._reach is GuaranteeReach.ANY
                or self._pool.free.is_free(cell)
            )
            and self._pool.get_worker(cell).shape.worker not in excluded
        )

    def _iterate_bound_cells(
        self, slots: int, rack: int | None
    ) -> Iterator[tuple[Cell, Cell]]:
        bound_cells = self._pool.guarantee_tracker.list_retained_bound_cells(
            self._planned.job.organisation
        )
        for bound_cell in sorted(
            bound_cells, key=lambda each: each.free.free_slots
        ):
            for block in list(bound_cell.free.iterate_blocks()):
                for start in range(0, block.slots - slots + 1, slots):
                    cell = Cell(block.start + start, slots)
                    if self._is_usable(cell, rack):
                        yield cell, bound_cell.cell

    def _iterate_unbound_cells(
        self, slots: int, rack: int | None
    ) -> Iterator[tuple[Cell, Cell]]:
        unbound_counts = self._pool.guarantee_tracker.get_unbound_counts(
            self._planned.job.organisation
        )
        selected_unclaimed = BuddyFreeList()
        for level in range(get_cell_level(slots), len(unbound_counts)):
            for _ in range(unbound_counts[level]):
                cell = self._select_unclaimed_cell(
                    1 << level, rack, selected_unclaimed
                )
                if cell is None:
                    break
                selected_unclaimed.release(cell)
                for part in split_cell(cell, slots, cell.slots // slots):
                    if self._is_usable(part, rack):
                        yield part, cell

    def _select_unclaimed_cell(
        self, slots: int, rack: int | None, selected_unclaimed: BuddyFreeList
    ) -> Cell | None:
        """Returns the unclaimed cell that costs the least to preempt."""
        candidates = (
            part
            for block in self._pool.guarantee_tracker.unclaimed.iterate_blocks()
            if block.slots >= slots and rack in (None, block.rack_index)
            for part in split_cell(block, slots, block.slots // slots)
            if not selected_unclaimed.is_free(part)
            and self._is_usable(part, rack)
        )
        return min(
            islice(candidates, _MAX_BINDING_CANDIDATES),
            key=lambda cell: self._preemption.compute_cost(
                self._pool.list_occupants(cell)
            ),
            default=None,
        )
