"""The policies of a site scheduler, by name."""

from __future__ import annotations

from dataclasses import dataclass, fields

from lagoonbeam.errors import SettingsError
from lagoonbeam.site.eviction import EVICTIONS, EvictionPolicy
from lagoonbeam.site.ordering import ORDERINGS, OrderingPolicy
from lagoonbeam.site.packing import PACKINGS, PackingPolicy
from lagoonbeam.site.reserve import RESERVES, ReservePolicy


@dataclass(frozen=True, slots=True)
class PolicyNames:
    """Names of the policies in force, one of each family.

    Attributes:
        ordering: Which ready unit is placed first.
        packing: Which workers it fills first.
        reserve: How many workers less urgent work leaves free.
        eviction: What is stopped so that an urgent unit fits.
    """

    ordering: str = "earning"
    packing: str = "compact"
    reserve: str = "share"
    eviction: str = "least_lost"


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies in force; see `PolicyNames`."""

    ordering: OrderingPolicy
    packing: PackingPolicy
    reserve: ReservePolicy
    eviction: EvictionPolicy


def make_policies(names: PolicyNames | None = None) -> Policies:
    """Returns the policies of some names.

    Raises:
        PluginError: If there is none of a name.
    """
    names = names or PolicyNames()
    return Policies(
        ORDERINGS.get(names.ordering)(),
        PACKINGS.get(names.packing)(),
        RESERVES.get(names.reserve)(),
        EVICTIONS.get(names.eviction)(),
    )


def parse_names(text: str) -> PolicyNames:
    """Returns the names in a text like ``ordering=first_come,reserve=none``.

    Raises:
        SettingsError: If a family is not known.
    """
    items = [item for item in text.split(",") if item]
    families = [each.name for each in fields(PolicyNames)]
    pairs = dict(item.partition("=")[::2] for item in items)
    if not set(pairs) <= set(families):
        raise SettingsError(
            f"got policies {text!r}, expected FAMILY=NAME,... with the"
            f" families {families}"
        )
    return PolicyNames(**pairs)
