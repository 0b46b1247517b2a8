"""Checks whether a declared fleet has the capacity for all guarantees."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonbeam.core.cells import (
    LEVEL_COUNT,
    RACK_SPAN_SLOTS,
    WORKER_SPAN_SLOTS,
    BuddyFreeList,
    Cell,
    count_unpacked_slots,
    get_cell_level,
)
from lagoonbeam.errors import GuaranteeInfeasibleError
from lagoonbeam.types import OrganisationName, ZoneName

if TYPE_CHECKING:
    from lagoonbeam.core.rules import RulesDocument


def count_guaranteed_cells(
    document: RulesDocument, zone: ZoneName
) -> dict[OrganisationName, list[int]]:
    """Counts each organisation's guaranteed cells of each level in a zone.

    Organisations without a guarantee in the zone are omitted.
    """
    counts_by_organisation: dict[OrganisationName, list[int]] = defaultdict(
        lambda: [0] * LEVEL_COUNT
    )
    for organisation in document.organisations:
        for guarantee in organisation.guarantees:
            if guarantee.availability_zone == zone:
                level = get_cell_level(guarantee.slots)
                counts_by_organisation[organisation.name][level] += (
                    guarantee.count
                )
    return dict(counts_by_organisation)


def count_required_cells(document: RulesDocument, zone: ZoneName) -> list[int]:
    """Counts the guaranteed cells of each level of all organisations."""
    counts_by_organisation = count_guaranteed_cells(document, zone).values()
    return [
        sum(level_counts[level] for level_counts in counts_by_organisation)
        for level in range(LEVEL_COUNT)
    ]


def count_declared_blocks(document: RulesDocument) -> dict[ZoneName, list[int]]:
    """Counts the blocks of each level in each declared zone, when idle."""
    free_lists: dict[ZoneName, BuddyFreeList] = defaultdict(BuddyFreeList)
    racks: dict[ZoneName, int] = defaultdict(int)
    for declaration in document.fleet:
        zone = declaration.availability_zone
        for _ in range(declaration.racks):
            rack_start = racks[zone] * RACK_SPAN_SLOTS
            racks[zone] += 1
            for worker in range(declaration.workers):
                for slot in range(declaration.slots):
                    start = rack_start + worker * WORKER_SPAN_SLOTS + slot
                    free_lists[zone].release(Cell(start, 1))
    return {
        zone: free_list.level_counts for zone, free_list in free_lists.items()
    }


def check_guarantees(document: RulesDocument) -> None:
    """Checks that the declared fleet has the capacity for all guarantees.

    A document that declares no fleet is not checked.

    Args:
        document: The rules.

    Raises:
        GuaranteeInfeasibleError: If a guarantee does not fit; the message
            names its organisation, cell size and zone.
    """
    if not document.fleet:
        return
    declared_blocks = count_declared_blocks(document)
    required_cells: dict[ZoneName, list[int]] = defaultdict(
        lambda: [0] * LEVEL_COUNT
    )
    for organisation in document.organisations:
        for guarantee in organisation.guarantees:
            zone = guarantee.availability_zone
            if guarantee.slots > RACK_SPAN_SLOTS or zone not in declared_blocks:
                raise GuaranteeInfeasibleError(
                    f"organisation {organisation.name!r}: cell of"
                    f" {guarantee.slots} slots in zone {zone!r}: expected at"
                    f" most {RACK_SPAN_SLOTS} slots in one of"
                    f" {sorted(declared_blocks)}"
                )
            required_cells[zone][get_cell_level(guarantee.slots)] += (
                guarantee.count
            )
            missing_slots = count_unpacked_slots(
                declared_blocks[zone], required_cells[zone]
            )
            if missing_slots:
                raise GuaranteeInfeasibleError(
                    f"organisation {organisation.name!r}: {guarantee.count}"
                    f" cells of {guarantee.slots} slots do not fit in zone"
                    f" {zone!r}: {missing_slots} slots are missing"
                )
