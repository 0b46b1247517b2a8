"""What an instance reads from the topic that operators write."""

from __future__ import annotations

import base64
from typing import Any

import pytest
from lagoonbeam_platform.store import PlatformOperatorChannel
from lagoonbeam_platform.store_client import KeyedItem, encode_keyed_record

from lagoonbeam.core.clock import read_boot_time_s
from lagoonbeam.errors import LogTruncatedError, ResponseLostError
from lagoonbeam.site.platform_interface import JournalPage

pytestmark = pytest.mark.anyio
CONFIGURATION = b'{"version": 1}'


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeStoreClient:
    """The operators' topic in memory."""

    def __init__(self) -> None:
        self.values = {"config": CONFIGURATION}
        self.records: list[bytes] = []
        self.is_truncated = False
        self.is_unreachable = False
        self.read_record_count = 0
        self.hides_records = False
        self.malformed_items: list[KeyedItem] = []
        self.page_as_of_s = float("-inf")

    def put(self, key: str, value: bytes) -> None:
        self.records.append(encode_keyed_record(key, value))
        self.values.pop(key, None)
        if value:
            self.values[key] = value

    async def read_newest(self, topic: str) -> tuple[list[KeyedItem], int]:
        items = [
            KeyedItem(key, base64.b64encode(value).decode())
            for key, value in self.values.items()
        ]
        return [*items, *self.malformed_items], len(self.records)

    async def read(
        self, topic: str, first_offset: int, wait_s: float
    ) -> JournalPage:
        if self.is_truncated:
            self.is_truncated = False
            raise LogTruncatedError("gone", oldest_offset=len(self.records))
        if self.is_unreachable:
            raise ResponseLostError("silent")
        self.page_as_of_s = read_boot_time_s()
        records = tuple(self.records[first_offset:])
        self.read_record_count += len(records)
        if self.hides_records:
            records = ()
        return JournalPage(
            first_offset, records, len(self.records), self.page_as_of_s
        )


def make_channel(client: FakeStoreClient) -> PlatformOperatorChannel:
    store_client: Any = client
    return PlatformOperatorChannel(store_client, lambda *_, **__: None)


async def test_zone_is_evacuated_until_the_request_is_removed() -> None:
    client = FakeStoreClient()
    channel = make_channel(client)
    await channel.wait_for_newer(0, wait_s=0.0)
    assert channel.list_evacuated_zones() == frozenset()
    client.put("evacuate/z1", b"{}")
    client.put("evacuate/z2", b"not json")
    await channel.wait_for_newer(0, wait_s=0.0)
    assert channel.list_evacuated_zones() == {"z1", "z2"}
    client.put("evacuate/z1", b"")
    await channel.wait_for_newer(0, wait_s=0.0)
    assert channel.list_evacuated_zones() == {"z2"}


async def test_new_instance_knows_an_evacuation_with_its_configuration() -> (
    None
):
    """An instance claims no term before it has a configuration."""
    client = FakeStoreClient()
    client.put("evacuate/z1", b"{}")
    channel = make_channel(client)
    assert await channel.wait_for_newer(0, wait_s=0.0) is not None
    assert channel.list_evacuated_zones() == {"z1"}


async def test_removal_in_a_truncated_part_of_the_topic_is_seen() -> None:
    client = FakeStoreClient()
    client.put("evacuate/z1", b"{}")
    channel = make_channel(client)
    await channel.wait_for_newer(0, wait_s=0.0)
    client.put("evacuate/z1", b"")
    client.is_truncated = True
    await channel.wait_for_newer(0, wait_s=0.0)
    assert channel.list_evacuated_zones() == frozenset()


async def test_complete_page_shows_what_was_published_before_it_was_read() -> (
    None
):
    client = FakeStoreClient()
    channel = make_channel(client)
    await channel.wait_for_newer(0, wait_s=0.0)
    await channel.wait_for_newer(1, wait_s=0.5)
    assert channel.synced_s == client.page_as_of_s
    client.put("config", b'{"version": 2}')
    await channel.wait_for_newer(1, wait_s=0.5)
    assert channel.synced_s == client.page_as_of_s


async def test_page_that_ends_before_the_topic_shows_nothing_newer() -> None:
    client = FakeStoreClient()
    channel = make_channel(client)
    await channel.wait_for_newer(0, wait_s=0.0)
    synced_s = channel.synced_s
    client.put("config", b'{"version": 2}')
    client.hides_records = True
    await channel.wait_for_newer(1, wait_s=0.5)
    assert channel.synced_s == synced_s


async def test_unreadable_value_of_a_key_does_not_hide_the_configuration() -> (
    None
):
    client = FakeStoreClient()
    client.malformed_items = [KeyedItem("wave/1", "a")]
    events: list[str] = []
    store_client: Any = client
    channel = PlatformOperatorChannel(
        store_client, lambda event, **_: events.append(event)
    )
    assert await channel.wait_for_newer(0, wait_s=0.0) is not None
    assert events == ["record.malformed"]


async def test_unreadable_record_is_logged_and_the_next_one_applied() -> None:
    client = FakeStoreClient()
    events: list[str] = []
    store_client: Any = client
    channel = PlatformOperatorChannel(
        store_client, lambda event, **_: events.append(event)
    )
    await channel.wait_for_newer(0, wait_s=0.0)
    client.records.append(b"")
    client.put("config", b'{"version": 2}')
    assert await channel.wait_for_newer(1, wait_s=0.0) is not None
    assert events == ["record.malformed"]


async def test_versions_missed_in_an_outage_are_not_read_one_by_one() -> None:
    client = FakeStoreClient()
    channel = make_channel(client)
    await channel.wait_for_newer(0, wait_s=0.0)
    client.is_unreachable = True
    with pytest.raises(ResponseLostError):
        await channel.wait_for_newer(1, wait_s=0.0)
    client.is_unreachable = False
    for version in range(2, 20):
        client.put("config", b'{"version": %d}' % version)
    configuration = await channel.wait_for_newer(1, wait_s=0.0)
    assert configuration is not None
    assert configuration.version == 19
    assert client.read_record_count == 0
