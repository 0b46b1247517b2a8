"""The stand-in for the network between instances and workers."""

from __future__ import annotations

import asyncio
from collections.abc import AsyncIterator
from contextlib import asynccontextmanager

import pytest

from harness.ports import reserve_free_ports
from standins.worker_link import LinkFaults, WorkerLink

REQUEST = b'{"fencing_token":7}'
ANSWER_TIMEOUT_S = 0.3


class RecordingWorker:
    """Echoes requests and records them."""

    def __init__(self) -> None:
        self.requests: list[bytes] = []

    async def serve(
        self, reader: asyncio.StreamReader, writer: asyncio.StreamWriter
    ) -> None:
        try:
            while request := await reader.read(100):
                self.requests.append(request)
                writer.write(request)
        finally:
            writer.transport.abort()


@asynccontextmanager
async def open_link() -> AsyncIterator[tuple[WorkerLink, RecordingWorker]]:
    (port,) = reserve_free_ports(1)
    worker = RecordingWorker()
    server = await asyncio.start_server(worker.serve, "127.0.3.200", port)
    link = WorkerLink("127.0.5.200", port, "127.0.3.200")
    await link.start()
    try:
        yield link, worker
    finally:
        await link.set_faults(LinkFaults("refuse"))
        server.close()


async def call(link: WorkerLink) -> str:
    """Returns how a call through a link ends."""
    try:
        reader, writer = await asyncio.open_connection(link.host, link.port)
    except ConnectionRefusedError:
        return "refused"
    try:
        writer.write(REQUEST)
        answer = await asyncio.wait_for(reader.read(100), ANSWER_TIMEOUT_S)
    except TimeoutError:
        return "silent"
    except ConnectionError:
        return "reset"
    finally:
        writer.transport.abort()
    return "answered" if answer == REQUEST else "reset"


@pytest.mark.parametrize(
    ("mode", "end", "executed"),
    [
        ("", "answered", True),
        ("slow", "answered", True),
        ("lose_answers", "silent", True),
        ("drop", "silent", False),
        ("hold", "silent", False),
        ("reset", "reset", False),
        ("refuse", "refused", False),
    ],
)
def test_link_harms_calls(mode: str, end: str, executed: bool) -> None:
    async def play() -> None:
        async with open_link() as (link, worker):
            await link.set_faults(LinkFaults(mode))
            assert await call(link) == end
            assert worker.requests == [REQUEST] * executed
            await link.set_faults(LinkFaults())
            assert await call(link) == "answered"

    asyncio.run(play())


@pytest.mark.parametrize("bounds", [{"max_token": 6}, {"min_token": 8}])
def test_link_spares_calls_of_other_terms(bounds: dict[str, int]) -> None:
    async def play() -> None:
        async with open_link() as (link, _):
            await link.set_faults(LinkFaults("drop", **bounds))
            assert await call(link) == "answered"

    asyncio.run(play())


def test_link_without_worker_resets_connections() -> None:
    async def play() -> None:
        async with open_link() as (link, _):
            link.target_host = None
            assert await call(link) == "reset"

    asyncio.run(play())
