"""Answers of the platform that cannot be decoded: a typed error, no crash."""

from __future__ import annotations

from typing import Any

import anyio
import pytest
from lagoonbeam_platform.machines import PlatformMachineService
from lagoonbeam_platform.store import PlatformJournalStore

from lagoonbeam.core.http_client import Response
from lagoonbeam.core.http_server import HttpServer, Request
from lagoonbeam.errors import ResponseLostError
from lagoonbeam.site.machines import TermHolder
from lagoonbeam.site.platform_interface import JournalWriter

pytestmark = pytest.mark.anyio
HOST = "127.0.0.1"


@pytest.fixture
def anyio_backend() -> str:
    return "asyncio"


class FakeStoreClient:
    """A store whose answers to appends are no JSON."""

    def __init__(self, status: int):
        self._status = status

    async def call(self, *args: object, **options: object) -> Response:
        return Response(self._status, b"<html>")


@pytest.mark.parametrize("status", [200, 409])
async def test_append_with_malformed_answer_is_not_called_refused(
    status: int,
) -> None:
    client: Any = FakeStoreClient(status)
    with pytest.raises(ResponseLostError):
        await PlatformJournalStore(client).append(
            [b"r"], writer=JournalWriter("w"), sequence=0, timeout_s=1.0
        )


async def test_malformed_refusal_of_a_machine_order_raises_typed_error() -> (
    None
):
    async def refuse(request: Request) -> Response:
        return Response(409, b"<html>")

    async with anyio.create_task_group() as tasks:
        port = await tasks.start(HttpServer(refuse).serve, HOST, 0)
        service = PlatformMachineService(HOST, port)
        with pytest.raises(ResponseLostError):
            await service.begin_upkeep("m1", 1, TermHolder("n0", 1))
        tasks.cancel_scope.cancel()
