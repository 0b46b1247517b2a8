"""Calls of an entry whose links are closed by a scheduler without room."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import anyio
import pytest

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.messages import (
    Acknowledgement,
    CancelJob,
    GetRules,
    Message,
)
from lagoonbeam.entry.scheduler_client import SchedulerClient
from lagoonbeam.errors import (
    LagoonbeamError,
    LinkClosedError,
    LinkNotOpenedError,
    LinkTimeoutError,
    QueueFullError,
)

REPLY = Acknowledgement()


class ScriptedLink:
    """Answers each call by the next of its results."""

    def __init__(self, results: Sequence[Message | LagoonbeamError]):
        self.results = list(results)

    async def call(self, message: Message, *, timeout_s: float) -> Message:
        result = self.results.pop(0)
        if isinstance(result, LagoonbeamError):
            raise result
        return result


def call(
    message: Message, *results: Sequence[Message | LagoonbeamError]
) -> Message:
    """Calls schedulers whose links give these results."""
    client: Any = SchedulerClient((), HybridClock())
    client._link_clients = [ScriptedLink(each) for each in results]

    async def run() -> Message:
        reply: Message = await client.call(message, timeout_s=1.0)
        assert not any(link.results for link in client._link_clients)
        return reply

    return anyio.run(run)


def test_call_is_repeated_when_its_link_was_closed() -> None:
    assert call(CancelJob("j"), [LinkClosedError(), REPLY]) == REPLY


def test_call_goes_to_the_next_scheduler_when_none_listens() -> None:
    dead = [LinkNotOpenedError()]
    assert call(CancelJob("j"), dead, [REPLY]) == REPLY
    with pytest.raises(QueueFullError):
        call(CancelJob("j"), dead, [QueueFullError()])


@pytest.mark.parametrize("lost", [LinkClosedError(), LinkTimeoutError()])
def test_refusal_after_a_lost_call_does_not_say_that_it_did_not_run(
    lost: LagoonbeamError,
) -> None:
    repeated = [lost] if isinstance(lost, LinkTimeoutError) else [lost, lost]
    with pytest.raises(type(lost)):
        call(CancelJob("j"), repeated, [QueueFullError()])


def test_refusal_of_a_call_that_only_reads_is_reported() -> None:
    lost = LinkClosedError()
    with pytest.raises(QueueFullError):
        call(GetRules(), [lost, lost], [QueueFullError()])
