"""Builder of rules documents."""

from __future__ import annotations

from dataclasses import dataclass, field

import msgspec

from lagoonbeam.core.rules import (
    Guarantee,
    JobKind,
    Organisation,
    PolicyNames,
    RackDeclaration,
    RulesDocument,
    check_rules,
    encode_rules,
)
from lagoonbeam.errors import RulesInvalidError, UnknownOrganisationError
from lagoonbeam.types import OrganisationName, Urgency, ZoneName


@dataclass
class _OrganisationDraft:
    """An organisation of a document that is not built yet."""

    name: OrganisationName
    weight: float
    max_queued: int
    max_queued_per_caller: int
    kinds: dict[str, JobKind] = field(default_factory=dict)
    guarantees: list[Guarantee] = field(default_factory=list)


class RulesBuilder:
    """Builds a rules document that an operator then publishes.

    Args:
        based_on: Version in force that the document replaces.
    """

    def __init__(self, *, based_on: int):
        self._based_on = based_on
        self._drafts: dict[OrganisationName, _OrganisationDraft] = {}
        self._racks: list[RackDeclaration] = []
        self._policies = PolicyNames()
        self._urgent_lent_fraction = 0.1

    @classmethod
    def revise(cls, document: RulesDocument, *, based_on: int) -> RulesBuilder:
        """Returns a builder that starts from the rules in force.

        Args:
            document: The rules in force.
            based_on: Their version.
        """
        builder = cls(based_on=based_on)
        builder._racks = list(document.fleet)
        builder._policies = document.policies
        builder._urgent_lent_fraction = document.urgent_lent_fraction
        for organisation in document.organisations:
            builder.add_organisation(
                organisation.name,
                weight=organisation.weight,
                max_queued=organisation.max_queued,
                max_queued_per_caller=organisation.max_queued_per_caller,
            )
            draft = builder._drafts[organisation.name]
            draft.kinds = {kind.name: kind for kind in organisation.kinds}
            draft.guarantees = list(organisation.guarantees)
        return builder

    def declare_racks(
        self, zone: ZoneName, *, racks: int, workers: int, slots: int = 8
    ) -> None:
        """Declares equal racks of an availability zone.

        `build` checks that the declared racks can hold all guarantees.
        """
        self._racks.append(
            RackDeclaration(
                availability_zone=zone,
                racks=racks,
                workers=workers,
                slots=slots,
            )
        )

    def add_organisation(
        self,
        name: OrganisationName,
        *,
        weight: float = 1.0,
        max_queued: int = 20_000,
        max_queued_per_caller: int = 10_000,
    ) -> None:
        """Adds an organisation without kinds of work or guarantees.

        Raises:
            RulesInvalidError: If the organisation was added before.
        """
        if name in self._drafts:
            raise RulesInvalidError(f"organisation {name!r} was added before")
        self._drafts[name] = _OrganisationDraft(
            name, weight, max_queued, max_queued_per_caller
        )

    def remove_organisation(self, name: OrganisationName) -> None:
        """Removes an organisation with its kinds of work and guarantees."""
        self._get_draft(name)
        del self._drafts[name]

    def set_weight(self, name: OrganisationName, weight: float) -> None:
        """Sets an organisation's relative share of the lent cells."""
        self._get_draft(name).weight = weight

    def allow_kind(
        self,
        organisation: OrganisationName,
        name: str,
        *,
        max_queued: int = 10_000,
        default_urgency: Urgency = "normal",
    ) -> None:
        """Allows an organisation to submit a kind of work."""
        self._get_draft(organisation).kinds[name] = JobKind(
            name=name, max_queued=max_queued, default_urgency=default_urgency
        )

    def guarantee(
        self,
        organisation: OrganisationName,
        zone: ZoneName,
        *,
        slots: int,
        count: int = 1,
    ) -> None:
        """Guarantees cells to an organisation.

        Replaces its guarantee for the same availability zone and cell size; a
        count of 0 removes it.
        """
        draft = self._get_draft(organisation)
        draft.guarantees = [
            existing
            for existing in draft.guarantees
            if (existing.availability_zone, existing.slots) != (zone, slots)
        ]
        if count:
            draft.guarantees.append(
                Guarantee(availability_zone=zone, slots=slots, count=count)
            )

    def choose_policies(
        self,
        *,
        ordering: str = "fair_share",
        placement: str = "cells",
        preemption: str = "fewest_losses",
        admission: str = "bounded",
        urgent_lent_fraction: float = 0.1,
    ) -> None:
        """Chooses the policies in force; see `PolicyNames`."""
        self._policies = PolicyNames(ordering, placement, preemption, admission)
        self._urgent_lent_fraction = urgent_lent_fraction

    def build(self) -> RulesDocument:
        """Validates and returns the document.

        Raises:
            RulesInvalidError: If a value is out of range.
            GuaranteeInfeasibleError: If the declared fleet cannot hold all
                guarantees together.
        """
        unvalidated = RulesDocument(
            based_on=self._based_on,
            organisations=tuple(map(_make_organisation, self._drafts.values())),
            fleet=tuple(self._racks),
            policies=self._policies,
            urgent_lent_fraction=self._urgent_lent_fraction,
        )
        try:
            document = msgspec.convert(
                msgspec.to_builtins(unvalidated), RulesDocument
            )
        except msgspec.ValidationError as error:
            raise RulesInvalidError(str(error)) from error
        check_rules(document)
        return document

    def print(self) -> None:
        """Prints the document as JSON, in the form that is published."""
        text = msgspec.json.format(encode_rules(self.build()), indent=2)
        print(text.decode())

    def _get_draft(self, name: OrganisationName) -> _OrganisationDraft:
        if name not in self._drafts:
            raise UnknownOrganisationError(
                f"got organisation {name!r}, expected one of"
                f" {sorted(self._drafts)}"
            )
        return self._drafts[name]


def _make_organisation(draft: _OrganisationDraft) -> Organisation:
    return Organisation(
        name=draft.name,
        weight=draft.weight,
        guarantees=tuple(draft.guarantees),
        kinds=tuple(draft.kinds.values()),
        max_queued=draft.max_queued,
        max_queued_per_caller=draft.max_queued_per_caller,
    )
