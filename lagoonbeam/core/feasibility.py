"""Whether a declared fleet can hold a set of guarantees together."""

from __future__ import annotations

from collections import defaultdict
from typing import TYPE_CHECKING

from lagoonbeam.core.cells import (
    LEVELS,
    RACK_SPAN,
    WORKER_SPAN,
    Cell,
    CellSpace,
    get_level,
    pack_counts,
)
from lagoonbeam.errors import GuaranteeInfeasibleError
from lagoonbeam.types import OrganisationName, ZoneName

if TYPE_CHECKING:
    from lagoonbeam.core.rules import RulesDocument


def count_promised(
    document: RulesDocument, zone: ZoneName
) -> dict[OrganisationName, list[int]]:
    """Returns each organisation's guaranteed cells of each level in a zone.

    Organisations that are guaranteed nothing there are left out.
    """
    promised: dict[OrganisationName, list[int]] = defaultdict(
        lambda: [0] * LEVELS
    )
    for organisation in document.organisations:
        for guarantee in organisation.guarantees:
            if guarantee.availability_zone == zone:
                level = get_level(guarantee.slots)
                promised[organisation.name][level] += guarantee.count
    return dict(promised)


def count_needed(document: RulesDocument, zone: ZoneName) -> list[int]:
    """Returns how many guaranteed cells of each level a zone must hold."""
    promised = count_promised(document, zone).values()
    return [
        sum(counts[level] for counts in promised) for level in range(LEVELS)
    ]


def count_declared(document: RulesDocument) -> dict[ZoneName, list[int]]:
    """Returns the blocks of each level that each declared zone offers."""
    spaces: dict[ZoneName, CellSpace] = defaultdict(CellSpace)
    racks: dict[ZoneName, int] = defaultdict(int)
    for declaration in document.fleet:
        zone = declaration.availability_zone
        for _ in range(declaration.racks):
            base = racks[zone] * RACK_SPAN
            racks[zone] += 1
            for worker in range(declaration.workers):
                for slot in range(declaration.slots):
                    start = base + worker * WORKER_SPAN + slot
                    spaces[zone].release(Cell(start, 1))
    return {zone: space.counts for zone, space in spaces.items()}


def check_guarantees(document: RulesDocument) -> None:
    """Checks that the declared fleet holds all guarantees at once.

    A document that declares no fleet is not checked.

    Args:
        document: The rules.

    Raises:
        GuaranteeInfeasibleError: Names the organisation, shape and zone that
            does not fit.
    """
    if not document.fleet:
        return
    declared = count_declared(document)
    needed: dict[ZoneName, list[int]] = defaultdict(lambda: [0] * LEVELS)
    for organisation in document.organisations:
        for guarantee in organisation.guarantees:
            zone = guarantee.availability_zone
            if guarantee.slots > RACK_SPAN or zone not in declared:
                raise GuaranteeInfeasibleError(
                    f"organisation {organisation.name!r}: cell of"
                    f" {guarantee.slots} slots in zone {zone!r}: expected at"
                    f" most {RACK_SPAN} slots in one of {sorted(declared)}"
                )
            needed[zone][get_level(guarantee.slots)] += guarantee.count
            missing = pack_counts(declared[zone], needed[zone])
            if missing:
                raise GuaranteeInfeasibleError(
                    f"organisation {organisation.name!r}: {guarantee.count}"
                    f" cells of {guarantee.slots} slots do not fit in zone"
                    f" {zone!r}: {missing} slots are missing"
                )
