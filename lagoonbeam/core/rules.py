"""The rules: the operators' configuration of organisations and their shares.

The models validate documents as they are decoded; `check_rules` finds the
errors that a schema cannot express.
"""

from __future__ import annotations

from typing import Annotated

import msgspec

from lagoonbeam.core.guarantee_feasibility import check_guarantees
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.errors import MalformedDataError, RulesInvalidError
from lagoonbeam.types import OrganisationName, Urgency, ZoneName

Name = Annotated[str, msgspec.Meta(min_length=1, max_length=64)]
PositiveInt = Annotated[int, msgspec.Meta(ge=1)]
PositiveFloat = Annotated[float, msgspec.Meta(gt=0)]
Fraction = Annotated[float, msgspec.Meta(ge=0, le=1)]


class Guarantee(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A number of equal cells guaranteed in one availability zone.

    Attributes:
        availability_zone: Zone of the cells.
        slots: Slots of each cell, a power of two; 8 is an entire worker.
        count: Number of such cells.
    """

    availability_zone: Name
    slots: PositiveInt
    count: PositiveInt = 1


class JobKind(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """A kind of work that an organisation may submit.

    Attributes:
        name: Its name.
        max_queued: Limit on its queued jobs.
        default_urgency: Urgency of requests that specify none.
    """

    name: Name
    max_queued: PositiveInt = 10_000
    default_urgency: Urgency = "normal"


class Organisation(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Shares, guarantees and limits of an organisation.

    Attributes:
        name: Its name.
        weight: Weight of its fair share of the lent cells.
        guarantees: Cells that it can reclaim at any time.
        kinds: Kinds of work that it may submit.
        max_queued: Limit on its queued jobs.
        max_queued_per_caller: Limit on the queued jobs of each caller.
    """

    name: Name
    weight: PositiveFloat = 1.0
    guarantees: tuple[Guarantee, ...] = ()
    kinds: tuple[JobKind, ...] = ()
    max_queued: PositiveInt = 20_000
    max_queued_per_caller: PositiveInt = 10_000


class RackDeclaration(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Equal racks of an availability zone, as the operators declare them.

    Attributes:
        availability_zone: Zone of the racks.
        racks: Number of racks.
        workers: Workers in each rack.
        slots: Slots of each worker.
    """

    availability_zone: Name
    racks: PositiveInt
    workers: PositiveInt
    slots: Annotated[int, msgspec.Meta(ge=1, le=8)] = 8


class PolicyNames(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """Names of the policies in force, one of each family.

    Attributes:
        ordering: Decides which organisation's job is tried next.
        placement: Decides which cells a gang gets.
        preemption: Selects the jobs on lent cells that are stopped.
        admission: Decides which jobs are refused on arrival.
    """

    ordering: str = "fair_share"
    placement: str = "cells"
    preemption: str = "fewest_losses"
    admission: str = "bounded"


class RulesDocument(msgspec.Struct, frozen=True, forbid_unknown_fields=True):
    """All rules; one document is in force at a time.

    Attributes:
        based_on: Version in force when it was written; 0 for the first.
        organisations: All organisations.
        fleet: Declared racks, against which the guarantees are checked.
        policies: Policies in force.
        urgent_lent_fraction: Largest fraction of a zone's slots that urgent
            jobs beyond guarantees may occupy at a time.
    """

    based_on: Annotated[int, msgspec.Meta(ge=0)]
    organisations: tuple[Organisation, ...]
    fleet: tuple[RackDeclaration, ...] = ()
    policies: PolicyNames = PolicyNames()
    urgent_lent_fraction: Fraction = 0.1

    def get_organisation(self, name: OrganisationName) -> Organisation | None:
        """Returns the organisation with a name, or None."""
        return next((o for o in self.organisations if o.name == name), None)


def decode_rules(data: bytes | str) -> RulesDocument:
    """Decodes and checks a rules document.

    Args:
        data: JSON text.

    Returns:
        The valid document.

    Raises:
        RulesInvalidError: If it is malformed or inconsistent.
    """
    try:
        document = decode_json(data, RulesDocument)
    except MalformedDataError as error:
        raise RulesInvalidError(str(error)) from error
    check_rules(document)
    return document


def encode_rules(document: RulesDocument) -> bytes:
    """Encodes a rules document as JSON text."""
    return msgspec.json.encode(document)


def check_rules(document: RulesDocument) -> None:
    """Checks names, cell sizes and that the fleet can hold all guarantees.

    Args:
        document: The document.

    Raises:
        RulesInvalidError: If names repeat or a cell size is no power of two.
        GuaranteeInfeasibleError: If the declared fleet cannot hold all
            guarantees together.
    """
    names = [organisation.name for organisation in document.organisations]
    duplicate_names = sorted({name for name in names if names.count(name) > 1})
    if duplicate_names:
        raise RulesInvalidError(
            f"duplicate organisation names: {duplicate_names}"
        )
    invalid_sizes = [
        f"{organisation.name}: {guarantee.slots} slots"
        for organisation in document.organisations
        for guarantee in organisation.guarantees
        if guarantee.slots & (guarantee.slots - 1)
    ]
    if invalid_sizes:
        raise RulesInvalidError(
            "cell sizes must be powers of two (1, 2, 4, 8, ...), got"
            f" {invalid_sizes}"
        )
    check_guarantees(document)


def list_zones(document: RulesDocument) -> list[ZoneName]:
    """Returns the declared availability zones, sorted."""
    return sorted({rack.availability_zone for rack in document.fleet})
