"""Claims on the slots of a pool, and whether all guarantees still fit.

A guaranteed cell is *bound* to a physical cell of the same size while its
organisation uses any part of it. Unbound cells have no fixed location: it
suffices that all of them could be packed into unclaimed slots at once. Since
a bound cell is claimed as a whole, this holds for any order of later releases.

The idea of binding virtual to physical buddy cells is that of HiveD
(OSDI 2020).
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from lagoonbeam.core.cells import (
    LEVEL_COUNT,
    BuddyFreeList,
    Cell,
    count_unpacked_slots,
    get_cell_level,
)
from lagoonbeam.errors import GuaranteeViolatedError
from lagoonbeam.types import OrganisationName


@dataclass
class BoundCell:
    """A guaranteed cell that is in use.

    Attributes:
        organisation: The organisation that has the guarantee.
        cell: The physical cell.
        free: Slots of the cell that the organisation does not use.
        is_surplus: Whether the rules no longer guarantee the cell; it is
            unbound when its last job ends.
    """

    organisation: OrganisationName
    cell: Cell
    free: BuddyFreeList = field(default_factory=BuddyFreeList)
    is_surplus: bool = False

    def __post_init__(self) -> None:
        self.free.release(self.cell)

    @property
    def is_idle(self) -> bool:
        """Whether the organisation uses no part of the cell."""
        return self.free.free_slots == self.cell.slots


class GuaranteeTracker:
    """Tracks the claims on the slots of one pool.

    A claim is a bound cell, or a cell of a job that can be neither stopped nor
    repeated and runs outside its organisation's guarantee.

    Attributes:
        unclaimed: Slots of healthy workers without a claim, free or occupied.
        shortfall_slots: Guaranteed slots that do not fit because of lost
            workers, changed rules or claims of adopted jobs.
    """

    def __init__(self) -> None:
        self.unclaimed = BuddyFreeList()
        self._guaranteed_counts: dict[OrganisationName, list[int]] = {}
        self._unbound_counts: dict[OrganisationName, list[int]] = {}
        self._required_counts = [0] * LEVEL_COUNT
        self._bound_cells: dict[OrganisationName, dict[Cell, BoundCell]] = (
            collections.defaultdict(dict)
        )
        self._claimed_cells: set[Cell] = set()
        self.shortfall_slots = 0

    def set_guarantees(
        self, guaranteed_counts: Mapping[OrganisationName, list[int]]
    ) -> None:
        """Replaces all guarantees.

        Args:
            guaranteed_counts: For each organisation, the number of its cells
                of each level.
        """
        self._guaranteed_counts = {
            name: list(counts) for name, counts in guaranteed_counts.items()
        }
        for name in [*self._bound_cells, *self._guaranteed_counts]:
            self._recompute_unbound(name)
        self._unbound_counts = {
            name: counts
            for name, counts in self._unbound_counts.items()
            if name in self._guaranteed_counts
        }
        self._recompute_shortfall()

    def has_guarantee(self, organisation: OrganisationName) -> bool:
        """Returns whether the organisation has a guarantee in this pool."""
        return any(self._guaranteed_counts.get(organisation, ()))

    def list_retained_bound_cells(
        self, organisation: OrganisationName
    ) -> list[BoundCell]:
        """Returns the bound cells that the rules still guarantee."""
        cells = self._bound_cells.get(organisation, {}).values()
        return [bound_cell for bound_cell in cells if not bound_cell.is_surplus]

    def list_all_bound_cells(
        self, organisation: OrganisationName
    ) -> list[Cell]:
        """Returns all bound cells of an organisation, even surplus ones."""
        return list(self._bound_cells.get(organisation, {}))

    def get_unbound_counts(self, organisation: OrganisationName) -> list[int]:
        """Returns the number of unbound cells of each level."""
        return self._unbound_counts.get(organisation, [0] * LEVEL_COUNT)

    def is_bound(self, organisation: OrganisationName, cell: Cell) -> bool:
        """Returns whether a cell is bound for the organisation."""
        return cell in self._bound_cells.get(organisation, {})

    def get_bound_cell(
        self, organisation: OrganisationName, cell: Cell
    ) -> BoundCell:
        """Returns the bound cell of the organisation on a physical cell."""
        return self._bound_cells[organisation][cell]

    def bind(self, organisation: OrganisationName, cell: Cell) -> BoundCell:
        """Binds a guaranteed cell to an unclaimed physical cell.

        Raises:
            GuaranteeViolatedError: If the organisation has no unbound cell of
                this size or other guarantees would no longer fit; nothing is
                changed then.
        """
        self._claim_cell(cell, organisation)
        bound_cell = BoundCell(organisation, cell)
        self._bound_cells[organisation][cell] = bound_cell
        return bound_cell

    def unbind(self, bound_cell: BoundCell) -> None:
        """Unbinds an idle cell, so that the organisation can bind another."""
        del self._bound_cells[bound_cell.organisation][bound_cell.cell]
        self.unclaimed.release(bound_cell.cell)
        self._recompute_unbound(bound_cell.organisation)
        self._recompute_shortfall()

    def claim(self, cell: Cell) -> None:
        """Claims a cell outside all guarantees.

        Raises:
            GuaranteeViolatedError: If the guarantees would no longer fit;
                nothing is changed then.
        """
        self._claim_cell(cell, None)
        self._claimed_cells.add(cell)

    def claim_unconditionally(self, cell: Cell) -> None:
        """Claims a cell even if the guarantees would no longer fit.

        This is for running work that cannot be stopped. The guaranteed slots
        that no longer fit are added to the shortfall.
        """
        self.unclaimed.allocate(cell)
        self._claimed_cells.add(cell)
        self._recompute_shortfall()

    def release(self, cell: Cell) -> None:
        """Releases a cell claimed by `claim` or `claim_unconditionally`."""
        self._claimed_cells.remove(cell)
        self.unclaimed.release(cell)
        self._recompute_shortfall()

    def is_slot_claimed(self, slot: int) -> bool:
        """Returns whether a slot is part of a claim."""
        bound_cells = (
            cell for cells in self._bound_cells.values() for cell in cells
        )
        return any(
            slot in cell.range
            for cell in chain(self._claimed_cells, bound_cells)
        )

    def add_slots(self, slots: Iterable[int]) -> None:
        """Adds the slots of a worker that joined or recovered."""
        self.unclaimed.release_all(Cell(slot, 1) for slot in slots)
        self._recompute_shortfall()

    def remove_slots(self, slots: Iterable[int]) -> None:
        """Removes unclaimed slots of a worker that is no longer healthy."""
        self.unclaimed.allocate_all(Cell(slot, 1) for slot in slots)
        self._recompute_shortfall()

    def check_reclaimable(self) -> None:
        """Checks that all unbound guaranteed cells fit in unclaimed slots.

        Raises:
            GuaranteeViolatedError: If more slots are missing than the known
                shortfall.
        """
        missing_slots = count_unpacked_slots(
            self.unclaimed.level_counts, self._required_counts
        )
        if missing_slots > self.shortfall_slots:
            raise GuaranteeViolatedError(
                f"{missing_slots} guaranteed slots do not fit, expected at most"
                f" {self.shortfall_slots}"
            )

    def _claim_cell(
        self, cell: Cell, organisation: OrganisationName | None
    ) -> None:
        level = get_cell_level(cell.slots)
        unbound_counts = (
            self._unbound_counts[organisation] if organisation else None
        )
        if unbound_counts is not None and not unbound_counts[level]:
            raise GuaranteeViolatedError(
                f"{organisation!r} has no unused cell of {cell.slots} slots"
            )
        self.unclaimed.allocate(cell)
        if unbound_counts is not None:
            unbound_counts[level] -= 1
            self._required_counts[level] -= 1
        try:
            self.check_reclaimable()
        except GuaranteeViolatedError:
            self.unclaimed.release(cell)
            if unbound_counts is not None:
                unbound_counts[level] += 1
                self._required_counts[level] += 1
            raise

    def _recompute_unbound(self, organisation: OrganisationName) -> None:
        """Recomputes which cells are surplus and how many are unbound."""
        unbound_counts = list(
            self._guaranteed_counts.get(organisation, [0] * LEVEL_COUNT)
        )
        for bound_cell in self._bound_cells.get(organisation, {}).values():
            level = get_cell_level(bound_cell.cell.slots)
            bound_cell.is_surplus = not unbound_counts[level]
            if not bound_cell.is_surplus:
                unbound_counts[level] -= 1
        self._unbound_counts[organisation] = unbound_counts

    def _recompute_shortfall(self) -> None:
        self._required_counts = [
            sum(level_counts)
            for level_counts in zip(*self._unbound_counts.values(), strict=True)
        ] or [0] * LEVEL_COUNT
        self.shortfall_slots = count_unpacked_slots(
            self.unclaimed.level_counts, self._required_counts
        )
