"""Snapshots in the store while its answers are lost or late."""

from __future__ import annotations

import pytest

from lagoonbeam.errors import (
    LagoonbeamError,
    MalformedDataError,
    OffsetConflictError,
    ResponseLostError,
)
from lagoonbeam.site.platform_interface import Snapshot
from tests.adapters.keyed_store import KeyedStore

MANIFEST_KEY = "head"
PART_BYTES = 200_000
pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


def make_snapshot(offset: int, parts: int = 2) -> Snapshot:
    return Snapshot(offset, bytes([offset]) * PART_BYTES * parts)


def is_manifest(records: list[tuple[str, bytes]]) -> bool:
    return records[0][0] == MANIFEST_KEY


async def lose_save(store: KeyedStore, offset: int, *, manifest: bool) -> None:
    """Saves a snapshot of which one append is executed late."""
    store.is_lost = lambda records: is_manifest(records) == manifest
    with pytest.raises(ResponseLostError):
        await store.journal.save_snapshot(make_snapshot(offset))
    store.is_lost = lambda records: False


async def test_late_manifest_does_not_name_deleted_parts() -> None:
    """No instance could load a state any more, and all jobs were lost."""
    store = KeyedStore()
    await lose_save(store, 1, manifest=True)
    await store.journal.save_snapshot(make_snapshot(2))
    assert store.execute_late() == [412]
    assert await store.journal.load_snapshot() == make_snapshot(2)


async def test_late_manifest_takes_effect_while_its_parts_are_stored() -> None:
    store = KeyedStore()
    await lose_save(store, 1, manifest=True)
    assert store.execute_late() == [200]
    assert await store.journal.load_snapshot() == make_snapshot(1)


async def test_save_repeated_after_a_lost_answer_deletes_all_older_parts() -> (
    None
):
    """The parts of saves without an answer must not pile up."""
    store = KeyedStore()
    for offset in range(1, 5):
        await lose_save(store, offset, manifest=offset % 2 == 0)
        store.execute_late()
    await store.journal.save_snapshot(make_snapshot(5))
    assert len(store.values) == 3
    assert await store.journal.load_snapshot() == make_snapshot(5)


@pytest.mark.parametrize("step", range(1, 4))
async def test_two_saves_at_once_leave_one_complete_snapshot(step: int) -> None:
    """One deleted the parts of the other, whose manifest came last."""
    store = KeyedStore()
    await store.journal.save_snapshot(make_snapshot(1))

    async def save_other() -> None:
        await store.make_journal().save_snapshot(make_snapshot(3))

    def begin_other() -> None:
        if len(store.calls) == 3 + step - 1:
            store.before_append = lambda: None
            coroutine = save_other()
            with pytest.raises(StopIteration):
                coroutine.send(None)

    store.before_append = begin_other
    with pytest.raises(OffsetConflictError):
        await store.journal.save_snapshot(make_snapshot(2))
    assert await store.journal.load_snapshot() == make_snapshot(3)


async def test_older_snapshot_does_not_replace_a_newer_one() -> None:
    """An instance that was frozen saved what it knew before."""
    store = KeyedStore()
    await store.journal.save_snapshot(make_snapshot(9))
    with pytest.raises(OffsetConflictError):
        await store.make_journal().save_snapshot(make_snapshot(8))
    assert await store.journal.load_snapshot() == make_snapshot(9)


async def test_snapshot_without_all_its_parts_is_not_loaded() -> None:
    store = KeyedStore()
    await store.journal.save_snapshot(make_snapshot(1))
    del store.values[next(key for key in store.values if key.endswith("/1"))]
    with pytest.raises(MalformedDataError, match="1 of 2 parts"):
        await store.journal.load_snapshot()


async def test_snapshot_with_an_unreadable_manifest_is_replaced() -> None:
    store = KeyedStore()
    store.values[MANIFEST_KEY] = b"{"
    with pytest.raises(LagoonbeamError):
        await store.journal.load_snapshot()
    await store.journal.save_snapshot(make_snapshot(1))
    assert await store.journal.load_snapshot() == make_snapshot(1)


async def test_next_save_does_not_read_the_last_snapshot_back() -> None:
    """A megabyte was read over a slow link before each save."""
    store = KeyedStore()
    await store.journal.save_snapshot(make_snapshot(1))
    reads = store.read_count
    await store.journal.save_snapshot(make_snapshot(2))
    assert store.read_count == reads
    assert await store.journal.load_snapshot() == make_snapshot(2)
    assert len(store.values) == 3


async def test_save_succeeds_after_another_instance_has_saved() -> None:
    """What was known of the topic is out of date."""
    store = KeyedStore()
    await store.journal.save_snapshot(make_snapshot(1))
    await store.make_journal().save_snapshot(make_snapshot(2))
    with pytest.raises(OffsetConflictError):
        await store.journal.save_snapshot(make_snapshot(3))
    await store.journal.save_snapshot(make_snapshot(3))
    assert await store.journal.load_snapshot() == make_snapshot(3)
    assert len(store.values) == 3
