"""The rules: the operators' configuration of organisations and shares.

These models validate documents at the border; `check_rules` finds the faults
that a schema cannot express.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from lagoonbeam.core.guarantee_feasibility import check_guarantees
from lagoonbeam.errors import RulesInvalidError
from lagoonbeam.types import OrganisationName, Urgency, ZoneName

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
Positive = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of equal cells promised in one availability zone.

    Attributes:
        availability_zone: Where the cells are.
        slots: Slots of each cell, a power of two; 8 is one whole worker.
        count: How many such cells.
    """

    availability_zone: Name
    slots: Positive
    count: Positive = 1


class Kind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of work that an organisation may submit.

    Attributes:
        name: Its name.
        max_queued: Bound on its queued jobs.
        default_urgency: Used when a request names none.
    """

    name: Name
    max_queued: Positive = 10_000
    default_urgency: Urgency = "normal"


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """One organisation's rights.

    Attributes:
        name: Its name.
        weight: Its share of the lent cells, relative to the others.
        guarantees: Cells it can always reclaim.
        kinds: Kinds of work it may submit.
        max_queued: Bound on its queued jobs.
        max_queued_per_caller: Bound on one caller's queued jobs.
    """

    name: Name
    weight: PositiveFloat = 1.0
    guarantees: tuple[Guarantee, ...] = ()
    kinds: tuple[Kind, ...] = ()
    max_queued: Positive = 20_000
    max_queued_per_caller: Positive = 10_000


class RackDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Equal racks of an availability zone, as the operators declare them.

    Attributes:
        availability_zone: Where the racks are.
        racks: Number of racks.
        workers: Workers in each rack.
        slots: Slots of each worker.
    """

    availability_zone: Name
    racks: Positive
    workers: Positive
    slots: Annotated[int, msgspec.Meta(ge=1, le=8)] = 8


class PolicyChoice(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the policies in force, one of each family.

    Attributes:
        ordering: Who goes next.
        placement: Where a gang goes.
        preemption: Which lent work makes room.
        admission: What is refused at the door.
    """

    ordering: str = "fair_share"
    placement: str = "cells"
    preemption: str = "fewest_losses"
    admission: str = "bounded"


class RulesDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules; one document is in force at a time.

    Attributes:
        based_on: Version its author saw; 0 for the first document.
        organisations: All organisations.
        fleet: The declared fleet, against which guarantees are checked.
        policies: Policies in force.
        urgent_lent_fraction: Share of a zone's slots that urgent work beyond
            guarantees may hold at a time.
    """

    based_on: Annotated[int, msgspec.Meta(ge=0)]
    organisations: tuple[Organisation, ...]
    fleet: tuple[RackDeclaration, ...] = ()
    policies: PolicyChoice = PolicyChoice()
    urgent_lent_fraction: Fraction = 0.1

    def get_organisation(self, name: OrganisationName) -> Organisation | None:
        """Returns the organisation of that name, or None."""
        return next((o for o in self.organisations if o.name == name), None)


def decode_rules(data: bytes | str) -> RulesDocument:
    """Reads and checks a document.

    Args:
        data: JSON text.

    Returns:
        The valid document.

    Raises:
        RulesInvalidError: If it is malformed or contradicts itself.
    """
    try:
        document = msgspec.json.decode(data, type=RulesDocument)
    except msgspec.MsgspecError as error:
        raise RulesInvalidError(str(error)) from error
    check_rules(document)
    return document


def encode_rules(document: RulesDocument) -> bytes:
    """Returns the document as JSON text."""
    return msgspec.json.encode(document)


def check_rules(document: RulesDocument) -> None:
    """Checks names, cell sizes and the guarantees against the fleet.

    Args:
        document: What to check.

    Raises:
        RulesInvalidError: If names repeat or a cell size is no power of two.
        GuaranteeInfeasibleError: If the declared fleet cannot hold all
            guarantees together.
    """
    names = [organisation.name for organisation in document.organisations]
    repeated = sorted({name for name in names if names.count(name) > 1})
    if repeated:
        raise RulesInvalidError(f"organisations named twice: {repeated}")
    odd = [
        f"{organisation.name}: {guarantee.slots} slots"
        for organisation in document.organisations
        for guarantee in organisation.guarantees
        if guarantee.slots & (guarantee.slots - 1)
    ]
    if odd:
        raise RulesInvalidError(
            f"cell sizes must be powers of two (1, 2, 4, 8, ...), got {odd}"
        )
    check_guarantees(document)


def list_zones(document: RulesDocument) -> list[ZoneName]:
    """Returns the declared availability zones, sorted."""
    return sorted({rack.availability_zone for rack in document.fleet})
