"""The policies of a site scheduler, by name."""

from __future__ import annotations

from dataclasses import dataclass, fields

from lagoonbeam.errors import SettingsError
from lagoonbeam.site.eviction import EVICTION_POLICIES, EvictionPolicy
from lagoonbeam.site.ordering import ORDERING_POLICIES, OrderingPolicy
from lagoonbeam.site.packing import PACKING_POLICIES, PackingPolicy
from lagoonbeam.site.reserve import RESERVE_POLICIES, ReservePolicy


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
        ORDERING_POLICIES.get(names.ordering)(),
        PACKING_POLICIES.get(names.packing)(),
        RESERVE_POLICIES.get(names.reserve)(),
        EVICTION_POLICIES.get(names.eviction)(),
    )


def parse_policy_names(text: str) -> PolicyNames:
    """Returns the names in a text like ``ordering=first_come,reserve=none``.

    Raises:
        SettingsError: If a family is not known.
    """
    items = [item for item in text.split(",") if item]
    families = [each.name for each in fields(PolicyNames)]
    names_by_family = dict(item.partition("=")[::2] for item in items)
    if not set(names_by_family) <= set(families):
        raise SettingsError(
            f"got policies {text!r}, expected FAMILY=NAME,... with the"
            f" families {families}"
        )
    return PolicyNames(**names_by_family)
