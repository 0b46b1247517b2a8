"""Checks of a configuration that need no other version to compare with."""

from __future__ import annotations

import itertools
from collections import Counter, defaultdict
from collections.abc import Iterable, Iterator

from lagoonbeam.site.configuration_check.findings import Finding, Severity
from lagoonbeam.site.model import Configuration, Organisation, QueueRoute


def check_configuration(
    configuration: Configuration, *, pool_accelerators: int | None = None
) -> list[Finding]:
    """Returns the faults of a configuration, errors first.

    Args:
        configuration: The configuration.
        pool_accelerators: Accelerators of all workers; None if not known.
    """
    findings = itertools.chain(
        _check_version(configuration),
        *(map(_check_route, configuration.routes)),
        _check_shadowed_routes(configuration.routes),
        _check_queue_names(configuration.routes),
        _check_services(configuration),
        _check_keys(configuration.organisations.values()),
        _check_guarantees(configuration, pool_accelerators),
        _check_limits(configuration),
    )
    return sorted(findings, key=lambda each: each.severity.value)


def _error(subject: str, message: str) -> Finding:
    return Finding(Severity.ERROR, subject, message)


def _warning(subject: str, message: str) -> Finding:
    return Finding(Severity.WARNING, subject, message)


def _check_version(configuration: Configuration) -> Iterator[Finding]:
    if configuration.version < 1:
        yield _error(
            "version", f"got {configuration.version}, expected 1 or more"
        )
    if not configuration.routes:
        yield _warning("routes", "there are none, so that no job is accepted")


def _check_route(route: QueueRoute) -> Iterator[Finding]:
    policy = route.policy
    subject = f"queue {policy.name}"
    if not route.host:
        yield _error(subject, "its host is empty, so that no request matches")
    if not route.path_prefix.startswith("/"):
        yield _error(
            subject,
            f"got path prefix {route.path_prefix!r}, expected one that begins"
            " with '/'; no request matches it",
        )
    elif not route.path_prefix.endswith("/"):
        yield _warning(
            subject,
            f"path prefix {route.path_prefix!r} does not end with '/', so that"
            " it also matches longer names",
        )
    if policy.priority < 0:
        yield _error(
            subject, f"got priority {policy.priority}, expected 0 or more"
        )
    if policy.max_attempts < 1:
        yield _error(
            subject,
            f"got {policy.max_attempts} attempts, expected 1 or more; each job"
            " would fail without a run",
        )
    if route.timeout_s <= 0:
        yield _error(
            subject,
            f"got a timeout of {route.timeout_s:g} s, expected more than 0 s",
        )
    if policy.stretch <= 0 or policy.target_s < 0:
        yield _error(
            subject,
            f"got stretch {policy.stretch:g} and {policy.target_s:g} s, from"
            " which no objective follows",
        )
    elif policy.stretch < 1:
        yield _warning(
            subject,
            f"stretch {policy.stretch:g} is below 1: a worker of the usual"
            f" speed meets the objective only if a job's work takes less than"
            f" {policy.target_s / (1 - policy.stretch):.3g} s",
        )


def _check_shadowed_routes(routes: Iterable[QueueRoute]) -> Iterator[Finding]:
    first_queues: dict[tuple[str, str], str] = {}
    for route in routes:
        address = (route.host, route.path_prefix)
        first = first_queues.setdefault(address, route.policy.name)
        if first != route.policy.name:
            yield _error(
                f"queue {route.policy.name}",
                f"can never match: queue {first} has the same host and path"
                f" prefix, {route.host}{route.path_prefix}",
            )


def _check_queue_names(routes: Iterable[QueueRoute]) -> Iterator[Finding]:
    policies = defaultdict(set)
    for route in routes:
        policies[route.policy.name].add(route.policy)
    for name, variants in policies.items():
        if len(variants) > 1:
            yield _error(
                f"queue {name}",
                f"its {len(variants)} routes give it different policies; only"
                " the first one is used",
            )


def _check_services(configuration: Configuration) -> Iterator[Finding]:
    used = {route.policy.service for route in configuration.routes}
    if configuration.services:
        for route in configuration.routes:
            if route.policy.service not in configuration.services:
                yield _error(
                    f"queue {route.policy.name}",
                    f"its service {route.policy.service!r} is not declared;"
                    " its jobs would wait for ever",
                )
    for service in sorted(used & configuration.spare_services):
        yield _warning(
            f"service {service}",
            "queues use it although its machines are spare, so that their"
            " jobs wait until machines are moved to it",
        )
    for service in sorted(
        configuration.services - used - configuration.spare_services
    ):
        yield _warning(f"service {service}", "no queue uses it")


def _check_keys(organisations: Iterable[Organisation]) -> Iterator[Finding]:
    organisations = list(organisations)
    owners = Counter(key for each in organisations for key in each.keys)
    for organisation in organisations:
        subject = f"organisation {organisation.name}"
        shared = sum(owners[key] > 1 for key in organisation.keys)
        if shared:
            yield _error(
                subject,
                f"{shared} of its keys belong to another organisation too, and"
                " calls count for only one of them",
            )
        if "" in organisation.keys:
            yield _error(
                subject,
                "one of its keys is empty, so that calls without a key are its",
            )
        if not organisation.keys:
            yield _warning(subject, "it has no key, so that it cannot call")


def _check_guarantees(
    configuration: Configuration, pool_accelerators: int | None
) -> Iterator[Finding]:
    guaranteed = configuration.count_guaranteed_accelerators()
    for organisation in configuration.organisations.values():
        if organisation.guaranteed_accelerators < 0:
            yield _error(
                f"organisation {organisation.name}",
                f"got {organisation.guaranteed_accelerators} guaranteed"
                " accelerators, expected 0 or more",
            )
    if pool_accelerators is not None and guaranteed > pool_accelerators:
        yield _error(
            "guarantees",
            f"organisations are guaranteed {guaranteed} accelerators, but the"
            f" workers have {pool_accelerators}",
        )
    if guaranteed and not any(
        route.policy.priority == 0 for route in configuration.routes
    ):
        yield _warning(
            "guarantees",
            f"{guaranteed} accelerators are guaranteed, but no queue has"
            " priority 0, which alone uses them",
        )


def _check_limits(configuration: Configuration) -> Iterator[Finding]:
    limits = configuration.limits
    values = {
        "largest head": limits.header_bytes,
        "largest body": limits.body_bytes,
        "header timeout": limits.header_timeout_s,
        "idle timeout": limits.idle_timeout_s,
    }
    for name, value in values.items():
        if value <= 0:
            yield _error(
                "limits",
                f"{name}: got {value:g}, expected more than 0; every request"
                " would be refused",
            )
    if 0 < limits.idle_timeout_s < limits.header_timeout_s:
        yield _warning(
            "limits",
            f"the idle timeout of {limits.idle_timeout_s:g} s is shorter than"
            f" the header timeout of {limits.header_timeout_s:g} s",
        )
