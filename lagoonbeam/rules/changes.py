"""What differs between two rules documents."""

from __future__ import annotations

from dataclasses import dataclass
from typing import Any

import msgspec

from lagoonbeam.core.rules import RulesDocument


@dataclass(frozen=True)
class Change:
    """One difference.

    Attributes:
        path: Where, for example ``armor.weight``.
        before: The old value, or None if there was none.
        after: The new value, or None if there is none.
    """

    path: str
    before: Any
    after: Any


def compare_rules(
    before: RulesDocument | None, after: RulesDocument
) -> list[Change]:
    """Returns the differences, by path.

    Args:
        before: The old rules; None for none.
        after: The new rules.
    """
    old = _flatten(before) if before else {}
    new = _flatten(after)
    return [
        Change(path, old.get(path), new.get(path))
        for path in sorted(old.keys() | new.keys())
        if old.get(path) != new.get(path)
    ]


def _flatten(document: RulesDocument) -> dict[str, Any]:
    flat: dict[str, Any] = {
        f"policies.{name}": value
        for name, value in msgspec.structs.asdict(document.policies).items()
    }
    flat["urgent_lent_fraction"] = document.urgent_lent_fraction
    for racks in document.fleet:
        key = f"fleet.{racks.availability_zone}"
        flat[key] = flat.get(key, 0) + racks.racks * racks.workers
    for each in document.organisations:
        flat[f"{each.name}.weight"] = each.weight
        flat[f"{each.name}.max_queued"] = each.max_queued
        flat[f"{each.name}.max_queued_per_caller"] = each.max_queued_per_caller
        for kind in each.kinds:
            flat[f"{each.name}.kinds.{kind.name}"] = kind.max_queued
        for cell in each.guarantees:
            path = f"{each.name}.{cell.availability_zone}.{cell.slots}_slots"
            flat[path] = flat.get(path, 0) + cell.count
    return flat
