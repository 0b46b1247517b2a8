from __future__ import annotations

import anyio
import msgspec
import pytest

from harness.ports import reserve_free_ports
from lagoonbeam.core.events import EventLog
from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.core.records import JobAccepted, RecordBatch, encode_batch
from lagoonbeam.core.settings import LogSettings
from lagoonbeam.log.http import HttpLogStore
from lagoonbeam.scheduler.log_client import LogClient
from tests.fakes import make_job

pytestmark = pytest.mark.anyio

RULES_IN_FORCE_S = 5.0
"""Time within which records have to take effect on every instance."""
HOST = "127.0.8.1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class SilencedLog:
    """A log whose answer to the first long poll never arrives.

    Attributes:
        polled: Set by the first long poll; one entry is appended then.
    """

    def __init__(self) -> None:
        self.polled = anyio.Event()

    async def answer(self, request: Request) -> Response:
        is_long_poll = "wait_s=0.0" not in request.target
        if is_long_poll and not self.polled.is_set():
            self.polled.set()
            await anyio.sleep_forever()
        data = encode_batch(RecordBatch("w", 0, [JobAccepted(make_job("j1"))]))
        entries = [{"offset": 0, "data": data.decode()}]
        page = {
            "entries": entries if self.polled.is_set() else [],
            "oldest_offset": 0,
            "next_offset": int(self.polled.is_set()),
        }
        return Response(200, msgspec.json.encode(page))


async def test_silent_connection_to_the_log_does_not_delay_records() -> None:
    (port,) = reserve_free_ports(1)
    log = SilencedLog()
    store = HttpLogStore(LogSettings(url=f"http://{HOST}:{port}"))
    events = EventLog(program="scheduler", instance="i", availability_zone="z1")
    log_client = LogClient(store, writer="i", linger_s=0.005, events=events)
    async with anyio.create_task_group() as tasks:
        await tasks.start(HttpServer(log.answer).serve, HOST, port)
        await store.start()
        await log_client.start(tasks)
        await log.polled.wait()
        with anyio.fail_after(RULES_IN_FORCE_S):
            while "j1" not in log_client.state.jobs:
                await anyio.sleep(0.05)
        tasks.cancel_scope.cancel()
    await store.close()
