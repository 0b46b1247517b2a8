"""Differences between two versions of a configuration."""

from __future__ import annotations

from collections.abc import Iterator, Mapping
from dataclasses import fields
from itertools import chain

import msgspec

from lagoonbeam.site.configuration_check.findings import Finding, Severity
from lagoonbeam.site.model import Configuration, Organisation, QueueRoute


def check_succession(
    configuration: Configuration, in_force: Configuration
) -> list[Finding]:
    """Returns the faults that show beside the version in force."""
    if configuration.version > in_force.version:
        return []
    return [
        Finding(
            Severity.ERROR,
            "version",
            f"got {configuration.version}, expected more than"
            f" {in_force.version}, which is in force; it would take no effect",
        )
    ]


def list_differences(
    configuration: Configuration, in_force: Configuration
) -> list[str]:
    """Returns what a configuration changes, one line a change."""
    return list(
        chain(
            _compare_entries(
                "queue",
                _describe_routes(in_force),
                _describe_routes(configuration),
            ),
            _compare_entries(
                "organisation",
                _describe_organisations(in_force),
                _describe_organisations(configuration),
            ),
            _compare_keys(in_force, configuration),
            _compare_entries(
                "service",
                _describe_services(in_force),
                _describe_services(configuration),
            ),
            _compare_fields(
                "limits",
                _list_fields(in_force.limits),
                _list_fields(configuration.limits),
            ),
        )
    )


_Fields = dict[str, object]


def _describe_routes(configuration: Configuration) -> dict[str, _Fields]:
    return {
        f"{route.policy.name} at {route.host}{route.path_prefix}": (
            _describe_route(route)
        )
        for route in configuration.routes
    }


def _describe_route(route: QueueRoute) -> _Fields:
    policy = msgspec.structs.asdict(route.policy)
    del policy["name"]
    return {
        **policy,
        "is_public": route.is_public,
        "timeout_s": route.timeout_s,
    }


def _describe_organisations(configuration: Configuration) -> dict[str, _Fields]:
    return {
        each.name: {"guaranteed_accelerators": each.guaranteed_accelerators}
        for each in configuration.organisations.values()
    }


def _describe_services(configuration: Configuration) -> dict[str, _Fields]:
    return {
        name: {"is_spare": name in configuration.spare_services}
        for name in configuration.services | configuration.spare_services
    }


def _list_fields(limits: object) -> _Fields:
    return {
        each.name: getattr(limits, each.name)
        for each in fields(limits)  # type: ignore[arg-type]
    }


def _compare_entries(
    kind: str, before: Mapping[str, _Fields], after: Mapping[str, _Fields]
) -> Iterator[str]:
    for name in sorted(before.keys() | after.keys()):
        if name not in after:
            yield f"{kind} {name}: removed"
        elif name not in before:
            yield f"{kind} {name}: added"
        else:
            yield from _compare_fields(
                f"{kind} {name}", before[name], after[name]
            )


def _compare_fields(
    subject: str, before: _Fields, after: _Fields
) -> Iterator[str]:
    for name, value in after.items():
        if value != before[name]:
            yield f"{subject}: {name} {before[name]} -> {value}"


def _compare_keys(before: Configuration, after: Configuration) -> Iterator[str]:
    """Counts the changed keys, which are secret."""
    for name, organisation in sorted(after.organisations.items()):
        known = before.organisations.get(name, Organisation(name, frozenset()))
        added = len(organisation.keys - known.keys)
        removed = len(known.keys - organisation.keys)
        if added or removed:
            yield (
                f"organisation {name}: {added} keys added, {removed} keys"
                " removed"
            )
