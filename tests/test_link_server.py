"""Links of other processes at the bounds, on loopback and in one process."""

from __future__ import annotations

from collections.abc import Awaitable, Callable

import anyio
import anyio.abc
import pytest

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.link import LinkClient
from lagoonbeam.core.link_account import (
    CALL_BYTES,
    LINK_CALL_BYTES,
    CallPool,
    LinkAccount,
)
from lagoonbeam.core.link_server import LinkServer
from lagoonbeam.core.messages import (
    Acknowledgement,
    CancelJob,
    Frame,
    GetRules,
    LogEntry,
    Message,
    RelayEntries,
    RulesStatus,
    WaitJob,
    decode_frame,
    encode_frame,
)
from lagoonbeam.core.request_budget import (
    LimitMonitor,
    RequestBudget,
    RequestLimitSettings,
    Share,
)
from lagoonbeam.core.tcp_connection import SocketBuffers
from lagoonbeam.errors import LinkClosedError, TooManyRequestsError
from lagoonbeam.scheduler.peer_links import RELAYED_BYTES, _split_entries

HOST = "127.0.0.1"
OWN_CALLS = LINK_CALL_BYTES // CALL_BYTES


class HeldHandler:
    """Holds the calls of waits and cancellations until it may answer."""

    def __init__(self) -> None:
        self.begun: list[Message] = []
        self.ended: list[Message] = []
        self.may_answer = anyio.Event()

    async def handle(self, message: Message) -> Message:
        if isinstance(message, GetRules):
            return RulesStatus(1, "")
        if message == CancelJob("unexpected"):
            raise RuntimeError("unexpected")
        self.begun.append(message)
        await self.may_answer.wait()
        self.ended.append(message)
        return Acknowledgement()


Scenario = Callable[
    [HeldHandler, Callable[[], LinkClient], anyio.abc.TaskGroup],
    Awaitable[None],
]


def run_with_server(scenario: Scenario, max_call_bytes: int = 1) -> None:
    """Runs a scenario with a way to open links, and its own tasks."""

    async def main() -> None:
        handler = HeldHandler()
        server = LinkServer(
            clock=HybridClock(),
            handler=handler.handle,
            budget=RequestBudget(shares={Share.CALLERS: 1.0}),
            max_call_bytes=max_call_bytes,
            buffers=SocketBuffers(),
        )
        async with anyio.create_task_group() as tasks:
            port: int = await tasks.start(server.serve, HOST, 0)

            def open_link() -> LinkClient:
                clock = HybridClock()
                return LinkClient(HOST, port, clock=clock, tasks=tasks)

            with anyio.fail_after(20):
                await scenario(handler, open_link, tasks)
            tasks.cancel_scope.cancel()

    anyio.run(main)


async def wait_until(condition: Callable[[], bool]) -> None:
    while not condition():
        await anyio.sleep(0.01)


async def call_until_closed(link: LinkClient, message: Message) -> None:
    with pytest.raises(LinkClosedError):
        await link.call(message, timeout_s=20)


def test_waits_of_one_link_leave_room_for_calls_of_another() -> None:
    """Load: clients that keep thousands of waiting calls."""

    async def scenario(
        handler: HeldHandler,
        open_link: Callable[[], LinkClient],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        crowd, ordinary = open_link(), open_link()
        refused: list[TooManyRequestsError] = []

        async def wait_for_job() -> None:
            try:
                await crowd.call(WaitJob("j", 1.0), timeout_s=20)
            except TooManyRequestsError as error:
                refused.append(error)

        for _ in range(3 * OWN_CALLS):
            tasks.start_soon(wait_for_job)
        await wait_until(lambda: len(handler.begun) + len(refused) == 24)
        assert 0 < len(handler.begun) <= OWN_CALLS
        assert all(error.retry_after_s > 0 for error in refused)
        reply = await ordinary.call(GetRules(), timeout_s=20)
        assert isinstance(reply, RulesStatus)

    run_with_server(scenario)


def test_waits_end_with_their_link_and_other_calls_do_not() -> None:
    async def scenario(
        handler: HeldHandler,
        open_link: Callable[[], LinkClient],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        link = open_link()
        tasks.start_soon(call_until_closed, link, WaitJob("j", 1.0))
        tasks.start_soon(call_until_closed, link, CancelJob("j"))
        await wait_until(lambda: len(handler.begun) == 2)
        await link.close()
        await anyio.sleep(0.1)
        handler.may_answer.set()
        await wait_until(lambda: bool(handler.ended))
        assert handler.ended == [CancelJob("j")]

    run_with_server(scenario, max_call_bytes=1 << 20)


def test_unexpected_error_of_a_call_ends_its_link_only() -> None:
    async def scenario(
        handler: HeldHandler,
        open_link: Callable[[], LinkClient],
        tasks: anyio.abc.TaskGroup,
    ) -> None:
        await call_until_closed(open_link(), CancelJob("unexpected"))
        reply = await open_link().call(GetRules(), timeout_s=20)
        assert isinstance(reply, RulesStatus)

    run_with_server(scenario)


def test_calls_of_a_closed_link_count_until_they_end() -> None:
    """Load: clients that reconnect while their calls are handled."""

    async def test() -> None:
        budget = RequestBudget(RequestLimitSettings())
        pool = CallPool(2 * CALL_BYTES, LimitMonitor())

        def open_account() -> LinkAccount:
            connection = budget.open_connection(Share.CALLERS)
            assert connection is not None
            return LinkAccount(connection, pool)

        closed = open_account()
        for _ in range(2):
            assert closed.hold_call(CALL_BYTES)
        assert pool.held_bytes == 0
        closed.close()
        assert pool.held_bytes == 2 * CALL_BYTES
        other = open_account()
        for _ in range(OWN_CALLS):
            assert other.hold_call(CALL_BYTES)
        assert not other.hold_call(CALL_BYTES)
        for _ in range(2):
            closed.release_call(CALL_BYTES)
        assert pool.held_bytes == 0
        assert other.hold_call(CALL_BYTES)

    anyio.run(test)


def test_relayed_entries_are_split_in_order() -> None:
    entries = [
        LogEntry(offset, b"x" * (RELAYED_BYTES // 2 + offset))
        for offset in range(5)
    ]
    parts = list(_split_entries(entries))
    assert [len(part) for part in parts] == [2, 2, 1]
    assert [entry for part in parts for entry in part] == entries
    assert list(_split_entries([])) == []


def test_frame_of_many_short_entries_is_decoded() -> None:
    message = RelayEntries([LogEntry(offset, b"") for offset in range(20_000)])
    frame = Frame(0, False, HybridClock().tick(), message)
    assert decode_frame(encode_frame(frame)) == frame
