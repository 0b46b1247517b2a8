"""Comparison of two rules documents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from lagoonbeam.core.rules import RulesDocument


@dataclass(frozen=True)
class RuleChange:
    """A value that differs between two rules documents.

    Attributes:
        path: Place in the document, for example ``armor.weight``.
        before: The old value, or None if there was none.
        after: The new value, or None if there is none.
    """

    path: str
    before: Any
    after: Any


def compare_rules(
    before: RulesDocument | None, after: RulesDocument
) -> list[RuleChange]:
    """Returns the differences between two documents, sorted by path.

    Args:
        before: The old document; None if there is none.
        after: The new document.
    """
    old = _flatten_rules(before) if before else {}
    new = _flatten_rules(after)
    return [
        RuleChange(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flatten_rules(document: RulesDocument) -> dict[str, Any]:
    values_by_path: dict[str, Any] = {
        f"policies.{name}": value
        for name, value in msgspec.structs.asdict(document.policies).items()
    }
    values_by_path["urgent_lent_fraction"] = document.urgent_lent_fraction
    for racks in document.fleet:
        fleet_path = f"fleet.{racks.availability_zone}"
        values_by_path[fleet_path] = (
            values_by_path.get(fleet_path, 0) + racks.racks * racks.workers
        )
    for organisation in document.organisations:
        values_by_path[f"{organisation.name}.weight"] = organisation.weight
        values_by_path[f"{organisation.name}.max_queued"] = (
            organisation.max_queued
        )
        values_by_path[f"{organisation.name}.max_queued_per_caller"] = (
            organisation.max_queued_per_caller
        )
        for kind in organisation.kinds:
            values_by_path[f"{organisation.name}.kinds.{kind.name}"] = (
                kind.max_queued
            )
        for guarantee in organisation.guarantees:
            path = (
                f"{organisation.name}.{guarantee.availability_zone}"
                f".{guarantee.slots}_slots"
            )
            values_by_path[path] = values_by_path.get(path, 0) + guarantee.count
    return values_by_path
