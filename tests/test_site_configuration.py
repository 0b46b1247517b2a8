"""How soon a configuration is in force on a site of real processes."""

from __future__ import annotations

import secrets
import time
from collections.abc import Iterator
from pathlib import Path

import pytest

from harness.site import Site, SiteConfig, make_configuration, make_step

CONFIGURATION_APPLY_S = 2.0
"""Time within which a configuration must be in force on all instances."""


@pytest.fixture
def site(tmp_path: Path) -> Iterator[Site]:
    with Site(SiteConfig(uses_relays=True), tmp_path) as started_site:
        yield started_site


def publish_added_queue(site: Site, version: int, path_prefix: str) -> None:
    routes = make_configuration(version)["routes"]
    added_route = {**routes[0], "name": "new", "path_prefix": path_prefix}
    site.publish_configuration(
        make_configuration(version, routes=[*routes, added_route])
    )


def wait_until_served_by_all(site: Site, path: str) -> None:
    deadline_s = time.monotonic() + CONFIGURATION_APPLY_S
    while not is_served_by_all(site, path):
        assert time.monotonic() < deadline_s, f"{path} is not served in time"
        time.sleep(0.05)


def is_served_by_all(site: Site, path: str) -> bool:
    return all(
        site.call_front("GET", path, instance=name).status_code == 200
        for name in site.instance_names
    )


def test_configuration_takes_effect_on_all_instances(site: Site) -> None:
    publish_added_queue(site, 2, "/added/")
    wait_until_served_by_all(site, "/added/")
    assert site.call_front("GET", "/added/").json() == {"pending": 0}


def test_limits_on_requests_take_effect_on_all_instances(site: Site) -> None:
    body = {"spec": 100 * "x", "steps": [make_step()]}

    def is_refused(instance: str) -> bool:
        path = f"/checks/{secrets.token_hex(8)}"
        response = site.call_front("POST", path, instance=instance, body=body)
        return response.status_code == 413

    assert not any(map(is_refused, site.instance_names))
    site.publish_configuration(
        make_configuration(2, limits={"max_body_bytes": 50})
    )
    deadline_s = time.monotonic() + CONFIGURATION_APPLY_S
    while not all(map(is_refused, site.instance_names)):
        assert time.monotonic() < deadline_s, "the limit is not in force"
        time.sleep(0.05)


def test_shorter_timeout_of_a_route_bounds_the_wait_for_the_store(
    site: Site,
) -> None:
    routes = [
        {**route, "timeout_ms": 500, "path_prefix": f"/short{number}/"}
        for number, route in enumerate(make_configuration(2)["routes"])
    ]
    site.publish_configuration(make_configuration(2, routes=routes))
    wait_until_served_by_all(site, "/short0/")
    site.set_store_faults(silent=True)
    started_s = time.monotonic()
    response = site.call_front(
        "POST",
        f"/short0/{secrets.token_hex(8)}",
        body={"spec": "x", "steps": [make_step()]},
    )
    assert response.status_code in {503, 504}
    assert time.monotonic() - started_s <= 0.5


def test_withdrawn_key_is_refused_by_a_restarted_instance(site: Site) -> None:
    tenant = {**make_configuration(2)["tenants"][0], "api_keys": ["other"]}
    site.publish_configuration(make_configuration(2, tenants=[tenant]))
    site.kill_process("n0")
    site.start_instance("n0")
    site.wait_until_ready("n0")
    assert site.call_front("GET", "/checks/").status_code == 401
    assert site.call_front("GET", "/checks/", api_key="other").is_success


def test_configuration_takes_effect_though_open_connections_are_silent(
    site: Site,
) -> None:
    """All instances have just begun to wait for the next configuration."""
    publish_added_queue(site, 3, "/third/")
    wait_until_served_by_all(site, "/third/")
    site.cut_off_from_store(site.instance_names, freeze=True)
    publish_added_queue(site, 4, "/later/")
    wait_until_served_by_all(site, "/later/")
