from __future__ import annotations

import pytest

from lagoonbeam.core.settings import InstancesSettings
from lagoonbeam.instances.base import InstanceDirectory, InstanceEntry
from lagoonbeam.scheduler import instance_catalog
from lagoonbeam.scheduler.instance_catalog import InstanceCatalog
from tests.fakes import ZONE

pytestmark = pytest.mark.anyio
LIVE = InstanceEntry("w0", "worker", ZONE)
LEAVING = InstanceEntry("w0", "worker", ZONE, state="leaving")


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeDirectory(InstanceDirectory):
    """A directory that shows one entry."""

    def __init__(self) -> None:
        super().__init__(InstancesSettings(url="memory"))
        self.entry = LIVE

    async def list_instances(self) -> list[InstanceEntry]:
        return [self.entry]


async def read_states(*listed: InstanceEntry) -> list[str]:
    """Returns the state in the catalog after each read of the list."""
    directory = FakeDirectory()
    catalog = InstanceCatalog(directory, lambda: None)
    states = []
    for entry in listed:
        directory.entry = entry
        await catalog.refresh()
        states.append(catalog.list_workers(ZONE)[0].state)
    return states


async def test_list_that_falls_behind_brings_no_leaving_worker_back() -> None:
    states = await read_states(LIVE, LEAVING, LIVE, LEAVING)
    assert states == ["live", "leaving", "leaving", "leaving"]


async def test_worker_that_stays_is_used_again_after_a_while(
    monkeypatch: pytest.MonkeyPatch,
) -> None:
    monkeypatch.setattr(instance_catalog, "LEAVING_HOLD_S", 0.0)
    assert await read_states(LEAVING, LIVE) == ["leaving", "live"]
