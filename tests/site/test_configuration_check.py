from __future__ import annotations

from dataclasses import replace

import msgspec
import pytest

from lagoonbeam.core.http_server import ServerLimits
from lagoonbeam.site.configuration_check.checks import check_configuration
from lagoonbeam.site.configuration_check.differences import (
    check_succession,
    list_differences,
)
from lagoonbeam.site.configuration_check.findings import Finding, Severity
from lagoonbeam.site.model import Configuration, Organisation, QueueRoute
from tests.site.builders import make_configuration


def change_route(
    configuration: Configuration, **policy: object
) -> Configuration:
    first, *others = configuration.routes
    changed = replace(
        first, policy=msgspec.structs.replace(first.policy, **policy)
    )
    return replace(configuration, routes=(changed, *others))


def add_organisation(configuration: Configuration, *keys: str) -> Configuration:
    added = Organisation("beam", frozenset(keys))
    return replace(
        configuration,
        organisations={**configuration.organisations, "beam": added},
    )


def add_route(configuration: Configuration, **fields: object) -> Configuration:
    first = configuration.routes[0]
    policy = msgspec.structs.replace(first.policy, name="q9")
    added: QueueRoute = replace(first, **{"policy": policy, **fields})
    return replace(configuration, routes=(*configuration.routes, added))


def list_subjects(findings: list[Finding], severity: Severity) -> list[str]:
    return [each.subject for each in findings if each.severity is severity]


def test_sound_configuration_has_no_findings() -> None:
    assert check_configuration(make_configuration()) == []


@pytest.mark.parametrize(
    ("configuration", "subject"),
    [
        (replace(make_configuration(), version=0), "version"),
        (add_route(make_configuration()), "queue q9"),
        (add_route(make_configuration(), path_prefix="q9/"), "queue q9"),
        (
            add_route(make_configuration(), path_prefix="/z/", host=""),
            "queue q9",
        ),
        (change_route(make_configuration(), max_attempts=0), "queue q0"),
        (change_route(make_configuration(), priority=-1), "queue q0"),
        (change_route(make_configuration(), stretch=0.0), "queue q0"),
        (
            replace(make_configuration(), services=frozenset({"other"})),
            "queue q0",
        ),
        (add_organisation(make_configuration(), "key"), "organisation beam"),
        (add_organisation(make_configuration(), ""), "organisation beam"),
        (
            replace(make_configuration(), limits=ServerLimits(body_bytes=0)),
            "limits",
        ),
    ],
    ids=[
        "no version",
        "same host and path prefix",
        "relative path prefix",
        "no host",
        "no attempts",
        "negative priority",
        "no objective",
        "undeclared service",
        "key of two organisations",
        "empty key",
        "no body allowed",
    ],
)
def test_contradiction_is_an_error(
    configuration: Configuration, subject: str
) -> None:
    findings = check_configuration(configuration)
    assert subject in list_subjects(findings, Severity.ERROR)


@pytest.mark.parametrize(
    ("configuration", "subject"),
    [
        (Configuration(1), "routes"),
        (add_organisation(make_configuration()), "organisation beam"),
        (change_route(make_configuration(), stretch=0.5), "queue q0"),
        (change_route(make_configuration(), priority=1), "guarantees"),
        (
            replace(
                make_configuration(), services=frozenset({"compute", "idle"})
            ),
            "service idle",
        ),
        (
            replace(
                make_configuration(), spare_services=frozenset({"compute"})
            ),
            "service compute",
        ),
        (
            replace(
                make_configuration(),
                limits=ServerLimits(header_timeout_s=5.0, idle_timeout_s=2.0),
            ),
            "limits",
        ),
    ],
    ids=[
        "no routes",
        "organisation without keys",
        "stretch below 1",
        "guarantees without an urgent queue",
        "unused service",
        "queue on spare machines",
        "idle timeout below header timeout",
    ],
)
def test_entry_without_effect_is_a_warning(
    configuration: Configuration, subject: str
) -> None:
    findings = check_configuration(configuration)
    assert list_subjects(findings, Severity.ERROR) == []
    assert subject in list_subjects(findings, Severity.WARNING)


@pytest.mark.parametrize(("accelerators", "errors"), [(15, 1), (16, 0)])
def test_guarantees_fit_into_the_pool(accelerators: int, errors: int) -> None:
    findings = check_configuration(
        make_configuration(guaranteed=16), pool_accelerators=accelerators
    )
    assert len(findings) == errors


def test_version_in_force_is_not_replaced_by_an_older_one() -> None:
    in_force = replace(make_configuration(), version=7)
    assert check_succession(replace(in_force, version=7), in_force)
    assert not check_succession(replace(in_force, version=8), in_force)


def test_differences_name_each_change_and_no_key() -> None:
    in_force = make_configuration(guaranteed=16)
    changed = change_route(make_configuration(guaranteed=8), stretch=1.5)
    changed = add_organisation(changed, "secret")
    changed = replace(changed, routes=changed.routes[:2])
    differences = list_differences(changed, in_force)
    assert differences == [
        "queue q0 at jobs.example/q0/: stretch 3.0 -> 1.5",
        "queue q2 at jobs.example/q2/: removed",
        "organisation armor: guaranteed_accelerators 16 -> 8",
        "organisation beam: added",
        "organisation beam: 1 keys added, 0 keys removed",
    ]
