"""Faults of workers and their entries, with real processes."""

from __future__ import annotations

import time
from collections.abc import Iterator
from typing import Any

import pytest

from harness.site import Site, SiteConfig, make_step
from harness.site_judge import find_repeated_runs
from tests.test_site_end_to_end import wait_until

WORKERS = range(4)
ADDRESS_REUSE_S = 2.1


@pytest.fixture(scope="module")
def site(tmp_path_factory: pytest.TempPathFactory) -> Iterator[Site]:
    config = SiteConfig(
        instance_count=2, uses_worker_links=True, heartbeat_s=1.5
    )
    with Site(config, tmp_path_factory.mktemp("site")) as started_site:
        yield started_site


def list_events(site: Site, path: str) -> list[dict[str, Any]]:
    job_id = path.rsplit("/", 1)[1]
    return [
        event
        for event in site.read_worker_history()
        if event["task"].startswith(job_id)
    ]


def test_late_entry_with_reused_address_starts_no_task_twice(
    site: Site,
) -> None:
    for number in WORKERS:
        site.control_worker(number, "off")
    time.sleep(ADDRESS_REUSE_S)
    for number, link in zip(WORKERS, [1, 0, 3, 2], strict=True):
        site.control_worker(number, "on", link=link)
    path = site.submit_job([make_step(4)], spec={"run_s": 3.0})
    wait_until(lambda: len(list_events(site, path)) == 4)
    for _ in range(10):
        for number in WORKERS:
            site.control_worker(number, "replay")
        time.sleep(0.1)
    assert site.wait_for_state(path) == "completed"
    assert not list(find_repeated_runs(list_events(site, path)))
