"""Which guaranteed cells are in use, and whether the rest still fit.

A guaranteed cell is *bound* to a physical cell of the same size from the
moment its organisation uses any part of it until it uses none. Cells that are
not bound need no place of their own: it is enough that all of them could be
packed at once into slots that nobody has claimed. Because a bound cell is
claimed whole, no order of later releases can break that.

The idea of binding virtual to physical buddy cells is that of HiveD
(OSDI 2020).
"""

from __future__ import annotations

import collections
from collections.abc import Iterable, Mapping
from dataclasses import dataclass, field
from itertools import chain

from lagoonbeam.core.cells import (
    LEVELS,
    Cell,
    CellSpace,
    get_level,
    pack_counts,
)
from lagoonbeam.errors import GuaranteeViolatedError
from lagoonbeam.types import OrganisationName


@dataclass
class BoundCell:
    """A guaranteed cell in use.

    Attributes:
        organisation: Whose guarantee it is.
        cell: The physical cell.
        room: Slots of it that the organisation's own work leaves free.
        surplus: Whether the rules no longer promise it; it is given up when
            its last work ends.
    """

    organisation: OrganisationName
    cell: Cell
    room: CellSpace = field(default_factory=CellSpace)
    surplus: bool = False

    def __post_init__(self) -> None:
        self.room.release(self.cell)

    @property
    def is_idle(self) -> bool:
        """Whether the organisation uses no part of it."""
        return self.room.free_slots == self.cell.slots


class GuaranteeBook:
    """Keeps claims on the slots of one pool.

    A claim is a bound cell, or a cell with work that can be neither stopped
    nor repeated and runs outside its organisation's guarantee.
    """

    def __init__(self) -> None:
        self.unclaimed = CellSpace()
        self._promised: dict[OrganisationName, list[int]] = {}
        self._unbound: dict[OrganisationName, list[int]] = {}
        self._needed = [0] * LEVELS
        self._bound: dict[OrganisationName, dict[Cell, BoundCell]] = (
            collections.defaultdict(dict)
        )
        self._claims: set[Cell] = set()
        self.shortfall_slots = 0

    def set_promises(
        self, promised: Mapping[OrganisationName, list[int]]
    ) -> None:
        """Replaces all guarantees.

        Args:
            promised: For each organisation its cells of each level.
        """
        self._promised = {
            name: list(counts) for name, counts in promised.items()
        }
        for name in [*self._bound, *self._promised]:
            self._rebalance(name)
        self._unbound = {
            name: counts
            for name, counts in self._unbound.items()
            if name in self._promised
        }
        self._recount()

    def has_promise(self, organisation: OrganisationName) -> bool:
        """Returns whether the organisation has any guarantee here."""
        return any(self._promised.get(organisation, ()))

    def list_bound(self, organisation: OrganisationName) -> list[BoundCell]:
        """Returns the organisation's cells in use that it keeps."""
        cells = self._bound.get(organisation, {}).values()
        return [bound for bound in cells if not bound.surplus]

    def list_claimed(self, organisation: OrganisationName) -> list[Cell]:
        """Returns all cells bound by an organisation, kept or not."""
        return list(self._bound.get(organisation, {}))

    def list_unbound(self, organisation: OrganisationName) -> list[int]:
        """Returns the organisation's unused cells of each level."""
        return self._unbound.get(organisation, [0] * LEVELS)

    def is_bound(self, organisation: OrganisationName, cell: Cell) -> bool:
        """Returns whether the organisation uses a part of this cell."""
        return cell in self._bound.get(organisation, {})

    def get_bound(
        self, organisation: OrganisationName, cell: Cell
    ) -> BoundCell:
        """Returns the organisation's bound cell at this place."""
        return self._bound[organisation][cell]

    def bind(self, organisation: OrganisationName, cell: Cell) -> BoundCell:
        """Binds an unused guaranteed cell to an unclaimed physical one.

        Raises:
            GuaranteeViolatedError: If other guarantees would not fit any
                more; nothing is changed then.
        """
        self._claim(cell, organisation)
        bound = BoundCell(organisation, cell)
        self._bound[organisation][cell] = bound
        return bound

    def unbind(self, bound: BoundCell) -> None:
        """Gives up an idle cell; the organisation can bind another."""
        del self._bound[bound.organisation][bound.cell]
        self.unclaimed.release(bound.cell)
        self._rebalance(bound.organisation)
        self._recount()

    def claim(self, cell: Cell) -> None:
        """Claims a cell that nobody is guaranteed.

        Raises:
            GuaranteeViolatedError: If the guarantees need it; nothing is
                changed then.
        """
        self._claim(cell, None)
        self._claims.add(cell)

    def claim_occupied(self, cell: Cell) -> None:
        """Claims a cell whose work cannot be stopped, needed or not.

        What the guarantees miss then is part of the shortfall.
        """
        self.unclaimed.take(cell)
        self._claims.add(cell)
        self._recount()

    def release(self, cell: Cell) -> None:
        """Gives up what `claim` took."""
        self._claims.remove(cell)
        self.unclaimed.release(cell)
        self._recount()

    def is_claimed(self, slot: int) -> bool:
        """Returns whether a claim covers a slot."""
        bound = (cell for cells in self._bound.values() for cell in cells)
        return any(slot in cell.range for cell in chain(self._claims, bound))

    def add_slots(self, slots: Iterable[int]) -> None:
        """Adds slots of a worker that joined or recovered."""
        self.unclaimed.release_all(Cell(slot, 1) for slot in slots)
        self._recount()

    def remove_slots(self, slots: Iterable[int]) -> None:
        """Removes unclaimed slots of a worker that failed or is leaving."""
        self.unclaimed.take_all(Cell(slot, 1) for slot in slots)
        self._recount()

    def check(self) -> None:
        """Checks that all unused guaranteed cells fit together.

        Raises:
            GuaranteeViolatedError: If they fit worse than the known
                shortfall.
        """
        missing = pack_counts(self.unclaimed.counts, self._needed)
        if missing > self.shortfall_slots:
            raise GuaranteeViolatedError(
                f"{missing} guaranteed slots do not fit, expected at most"
                f" {self.shortfall_slots}"
            )

    def _claim(self, cell: Cell, organisation: OrganisationName | None) -> None:
        level = get_level(cell.slots)
        unbound = self._unbound[organisation] if organisation else None
        if unbound is not None and not unbound[level]:
            raise GuaranteeViolatedError(
                f"{organisation!r} has no unused cell of {cell.slots} slots"
            )
        self.unclaimed.take(cell)
        if unbound is not None:
            unbound[level] -= 1
            self._needed[level] -= 1
        try:
            self.check()
        except GuaranteeViolatedError:
            self.unclaimed.release(cell)
            if unbound is not None:
                unbound[level] += 1
                self._needed[level] += 1
            raise

    def _rebalance(self, organisation: OrganisationName) -> None:
        """Decides which bound cells the promise still covers."""
        unbound = list(self._promised.get(organisation, [0] * LEVELS))
        for bound in self._bound.get(organisation, {}).values():
            level = get_level(bound.cell.slots)
            bound.surplus = not unbound[level]
            if not bound.surplus:
                unbound[level] -= 1
        self._unbound[organisation] = unbound

    def _recount(self) -> None:
        self._needed = [
            sum(counts) for counts in zip(*self._unbound.values(), strict=True)
        ] or [0] * LEVELS
        self.shortfall_slots = pack_counts(self.unclaimed.counts, self._needed)
