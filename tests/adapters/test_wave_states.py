"""States of waves in the store while its answers are late."""

from __future__ import annotations

import pytest

from lagoonbeam.errors import OffsetConflictError, ResponseLostError
from lagoonbeam.site.machines import UpkeepWaveState
from tests.adapters.keyed_store import KeyedStore

pytestmark = pytest.mark.anyio


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


async def test_late_state_of_a_wave_does_not_replace_a_newer_one() -> None:
    """Operators saw a wave that had ended as running, for good."""
    store = KeyedStore()
    store.is_lost = lambda records: True
    with pytest.raises(ResponseLostError):
        await store.operator_channel.set_state(1, UpkeepWaveState.RUNNING)
    store.is_lost = lambda records: False
    await store.operator_channel.set_state(1, UpkeepWaveState.RUNNING)
    await store.operator_channel.set_state(1, UpkeepWaveState.COMPLETED)
    store.execute_late()
    assert store.values == {"wave/1": b'{"state":"completed"}'}


async def test_completed_wave_is_not_reported_as_running_again() -> None:
    """An earlier scheduler that was frozen had not seen the end."""
    store = KeyedStore()
    await store.operator_channel.set_state(1, UpkeepWaveState.COMPLETED)
    await store.operator_channel.set_state(1, UpkeepWaveState.RUNNING)
    assert store.values == {"wave/1": b'{"state":"completed"}'}


async def test_state_of_a_wave_written_meanwhile_is_not_overwritten() -> None:
    store = KeyedStore()

    def write_other() -> None:
        store.end += 1
        store.values["wave/1"] = b'{"state":"completed"}'

    store.before_append = write_other
    with pytest.raises(OffsetConflictError):
        await store.operator_channel.set_state(1, UpkeepWaveState.RUNNING)
    assert store.values == {"wave/1": b'{"state":"completed"}'}
