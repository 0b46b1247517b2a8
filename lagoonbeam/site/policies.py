"""Selection of a site scheduler's policies by name."""

from __future__ import annotations

from dataclasses import dataclass, fields

from lagoonbeam.errors import SettingsError
from lagoonbeam.site.eviction import EVICTION_POLICIES, EvictionPolicy
from lagoonbeam.site.ordering import ORDERING_POLICIES, OrderingPolicy
from lagoonbeam.site.packing import PACKING_POLICIES, PackingPolicy
from lagoonbeam.site.reserve import RESERVE_POLICIES, ReservePolicy


@dataclass(frozen=True, slots=True)
class PolicyNames:
    """Names of the policies in use, one of each family.

    Attributes:
        ordering: Order in which ready units are placed.
        packing: Order in which tasks fill workers.
        reserve: How many workers low-priority work leaves free.
        eviction: Order in which units are evicted for urgent ones.
    """

    ordering: str = "earning"
    packing: str = "compact"
    reserve: str = "share_without_holds"
    eviction: str = "least_lost"


@dataclass(frozen=True, slots=True)
class Policies:
    """The policies in use; see `PolicyNames`."""

    ordering: OrderingPolicy
    packing: PackingPolicy
    reserve: ReservePolicy
    eviction: EvictionPolicy


def make_policies(names: PolicyNames | None = None) -> Policies:
    """Creates policies from their names; the defaults if None.

    Raises:
        UnknownPluginError: If no policy has one of the names.
    """
    names = names or PolicyNames()
    return Policies(
        ORDERING_POLICIES.get(names.ordering)(),
        PACKING_POLICIES.get(names.packing)(),
        RESERVE_POLICIES.get(names.reserve)(),
        EVICTION_POLICIES.get(names.eviction)(),
    )


def parse_policy_names(text: str) -> PolicyNames:
    """Parses a list like ``ordering=first_come,reserve=none``.

    Raises:
        SettingsError: If a family is unknown.
    """
    items = [item for item in text.split(",") if item]
    families = [each.name for each in fields(PolicyNames)]
    names_by_family = dict(item.partition("=")[::2] for item in items)
    if not set(names_by_family) <= set(families):
        raise SettingsError(
            f"unknown policy family in {text!r}: expected FAMILY=NAME,..."
            f" with the families {families}"
        )
    return PolicyNames(**names_by_family)
