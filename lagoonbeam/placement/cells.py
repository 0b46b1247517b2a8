"""Best fit in buddy cells, gangs in as few racks as possible."""

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
    PLACEMENTS,
    PlacementPolicy,
    Reach,
    exclude_workers,
)
from lagoonbeam.preemption.base import PreemptionPolicy

_CANDIDATES = 32
"""Cells that are compared before one is bound."""


def split_cell(cell: Cell, slots: int, count: int) -> list[Cell]:
    """Returns the first `count` parts of `slots` slots of a cell."""
    return [Cell(cell.start + slots * part, slots) for part in range(count)]


def find_gang(
    pool: WorkerPool, space: BuddyFreeList, planned: PlannedJob, slots: int
) -> list[Cell] | None:
    """Finds free cells for all members of a gang.

    Args:
        pool: Where to look.
        space: The free slots that it may use.
        planned: The job.
        slots: Size of each member's cell.

    Returns:
        A cell for each member, or None.
    """
    shape = planned.job.shape
    excluded = planned.excluded_workers
    if shape.adjacency == "worker" and shape.members > 1:
        whole = round_up_to_power_of_two(slots * shape.members)
        fits = exclude_workers(
            pool, space.iterate_fitting_cells(whole), excluded
        )
        cell = next(iter(fits), None) if whole <= WORKER_SPAN_SLOTS else None
        return split_cell(cell, slots, shape.members) if cell else None
    if shape.members == 1:
        fits = exclude_workers(
            pool, space.iterate_fitting_cells(slots), excluded
        )
        cell = next(iter(fits), None)
        return [cell] if cell else None
    return find_cells(pool, space, planned, slots, shape.members)


def find_cells(
    pool: WorkerPool,
    space: BuddyFreeList,
    planned: PlannedJob,
    slots: int,
    members: int,
    rack: int | None = None,
) -> list[Cell] | None:
    """Finds cells in one rack if possible, else in as few as possible.

    Args:
        pool: Where to look.
        space: The free slots that it may use.
        planned: The job.
        slots: Size of each cell.
        members: How many.
        rack: The rack that all must be in, if there is one.

    Returns:
        The cells, or None if there are too few.
    """
    if rack is not None:
        cells = _take_from_rack(pool, space, rack, planned, slots)
        return cells[:members] if len(cells) >= members else None
    by_room = sorted(
        (space.count_free_in_rack(rack), rack)
        for rack in pool.rack_indices.values()
    )
    for room, rack in by_room:
        if room < members * slots:
            continue
        cells = _take_from_rack(pool, space, rack, planned, slots)
        if len(cells) >= members:
            return cells[:members]
    if planned.job.shape.adjacency == "rack":
        return None
    found: list[Cell] = []
    for _, rack in reversed(by_room):
        found += _take_from_rack(pool, space, rack, planned, slots)
        if len(found) >= members:
            return found[:members]
    return None


def _take_from_rack(
    pool: WorkerPool,
    space: BuddyFreeList,
    rack: int,
    planned: PlannedJob,
    slots: int,
) -> list[Cell]:
    """Returns a rack's cells, fullest workers first."""
    cells = exclude_workers(
        pool,
        space.iterate_free_cells_in_rack(rack, slots),
        planned.excluded_workers,
    )
    return sorted(
        cells, key=lambda cell: space.count_free_on_worker(cell.worker_index)
    )


@PLACEMENTS.register("cells")
class CellPlacement(PlacementPolicy):
    """Uses the smallest cell that is large enough."""

    def place_guaranteed(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        *,
        reach: Reach,
    ) -> Placement | None:
        """Uses cells in use first, then binds unused ones.

        A gang that needs more than the guarantee and no adjacency takes the
        rest from free slots.
        """
        shape = planned.job.shape
        slots = round_up_to_power_of_two(pool.count_member_slots(shape))
        if slots > WORKER_SPAN_SLOTS:
            return None
        if shape.adjacency == "worker" and shape.members > 1:
            return self._place_in_one(pool, planned, slots, preemption, reach)
        chooser = _GuaranteeChooser(pool, planned, preemption, reach)
        if shape.adjacency == "none" or shape.members == 1:
            chosen = chooser.choose(slots, shape.members, None)
            return self._complete(pool, planned, slots, chosen)
        for rack in pool.rack_indices.values():
            chosen = chooser.choose(slots, shape.members, rack)
            placement = self._complete(pool, planned, slots, chosen, rack)
            if placement is not None:
                return placement
        return None

    def _complete(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        slots: int,
        chosen: list[tuple[Cell, Cell]],
        rack: int | None = None,
    ) -> Placement | None:
        """Adds free cells for the members that the guarantee cannot hold."""
        missing = planned.job.shape.members - len(chosen)
        if not chosen:
            return None
        cells = [cell for cell, _ in chosen]
        bound: list[Cell | None] = [owner for _, owner in chosen]
        standing = Standing.GUARANTEED
        if missing:
            stoppable = planned.job.stoppable
            standing = Standing.LENT if stoppable else Standing.EXCLUSIVE
            space = _exclude(pool, [*cells, *(o for _, o in chosen)])
            if not stoppable:
                space = _intersect(pool.guarantee_tracker, space)
            rest = find_cells(pool, space, planned, slots, missing, rack)
            if rest is None:
                return None
            cells += rest
            bound += [None] * missing
        return Placement(pool.accelerated, tuple(cells), standing, tuple(bound))

    def place_free(
        self, pool: WorkerPool, planned: PlannedJob, space: BuddyFreeList
    ) -> Placement | None:
        """Uses free cells; work that cannot be stopped also claims them."""
        slots = round_up_to_power_of_two(
            pool.count_member_slots(planned.job.shape)
        )
        if slots > WORKER_SPAN_SLOTS:
            return None
        if planned.job.stoppable:
            cells = find_gang(pool, space, planned, slots)
            standing = Standing.LENT
        else:
            space = _intersect(pool.guarantee_tracker, space)
            cells = find_gang(pool, space, planned, slots)
            standing = Standing.EXCLUSIVE
        if cells is None:
            return None
        return Placement(pool.accelerated, tuple(cells), standing)

    def _place_in_one(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        slots: int,
        preemption: PreemptionPolicy,
        reach: Reach,
    ) -> Placement | None:
        members = planned.job.shape.members
        whole = round_up_to_power_of_two(slots * members)
        if whole > WORKER_SPAN_SLOTS:
            return None
        chooser = _GuaranteeChooser(pool, planned, preemption, reach)
        chosen = chooser.choose(whole, 1, None)
        if not chosen:
            return None
        ((cell, bound),) = chosen
        return Placement(
            pool.accelerated,
            tuple(split_cell(cell, slots, members)),
            Standing.GUARANTEED,
            (bound,) * members,
        )


def _exclude(pool: WorkerPool, cells: list[Cell]) -> BuddyFreeList:
    """Returns the free slots that lie in none of the cells."""
    excluded = {slot for cell in cells for slot in cell.range}
    rest = BuddyFreeList()
    for block in pool.free.iterate_blocks():
        if excluded.isdisjoint(block.range):
            rest.release(block)
        else:
            rest.release_all(
                Cell(slot, 1) for slot in block.range if slot not in excluded
            )
    return rest


def _intersect(book: GuaranteeTracker, space: BuddyFreeList) -> BuddyFreeList:
    """Returns the slots that are both free and unclaimed."""
    both = BuddyFreeList()
    for block in space.iterate_blocks():
        if book.unclaimed.is_free(block):
            both.release(block)
        else:
            both.release_all(
                Cell(slot, 1)
                for slot in block.range
                if book.unclaimed.is_free(Cell(slot, 1))
            )
    return both


class _GuaranteeChooser:
    """Chooses cells inside an organisation's guarantee, binding nothing."""

    def __init__(
        self,
        pool: WorkerPool,
        planned: PlannedJob,
        preemption: PreemptionPolicy,
        reach: Reach,
    ):
        self._reach = reach
        self._pool = pool
        self._planned = planned
        self._preemption = preemption

    def choose(
        self, slots: int, members: int, rack: int | None
    ) -> list[tuple[Cell, Cell]]:
        """Returns cells for up to a gang's members, and who holds each."""
        chosen = list(islice(self._iterate_bound(slots, rack), members))
        if len(chosen) < members and self._reach is not Reach.BOUND:
            chosen += islice(
                self._iterate_unbound(slots, rack), members - len(chosen)
            )
        return chosen

    def _is_usable(self, cell: Cell, rack: int | None) -> bool:
        excluded = self._planned.excluded_workers
        return (
            rack in (None, cell.rack_index)
            and not self._pool.has_unhealthy_worker(cell)
            and (self._reach is Reach.ANY or self._pool.free.is_free(cell))
            and self._pool.get_worker(cell).shape.worker not in excluded
        )

    def _iterate_bound(
        self, slots: int, rack: int | None
    ) -> Iterator[tuple[Cell, Cell]]:
        bounds = self._pool.guarantee_tracker.list_retained_bound_cells(
            self._planned.job.organisation
        )
        for bound in sorted(bounds, key=lambda each: each.free.free_slots):
            for block in list(bound.free.iterate_blocks()):
                for start in range(0, block.slots - slots + 1, slots):
                    cell = Cell(block.start + start, slots)
                    if self._is_usable(cell, rack):
                        yield cell, bound.cell

    def _iterate_unbound(
        self, slots: int, rack: int | None
    ) -> Iterator[tuple[Cell, Cell]]:
        counts = self._pool.guarantee_tracker.get_unbound_counts(
            self._planned.job.organisation
        )
        taken = BuddyFreeList()
        for level in range(get_cell_level(slots), len(counts)):
            for _ in range(counts[level]):
                cell = self._choose_unclaimed(1 << level, rack, taken)
                if cell is None:
                    break
                taken.release(cell)
                for part in split_cell(cell, slots, cell.slots // slots):
                    if self._is_usable(part, rack):
                        yield part, cell

    def _choose_unclaimed(
        self, slots: int, rack: int | None, taken: BuddyFreeList
    ) -> Cell | None:
        """Returns the unclaimed cell whose occupants lose the least."""
        candidates = (
            part
            for block in self._pool.guarantee_tracker.unclaimed.iterate_blocks()
            if block.slots >= slots and rack in (None, block.rack_index)
            for part in split_cell(block, slots, block.slots // slots)
            if not taken.is_free(part) and self._is_usable(part, rack)
        )
        return min(
            islice(candidates, _CANDIDATES),
            key=lambda cell: self._preemption.weigh(
                self._pool.list_occupants(cell)
            ),
            default=None,
        )
