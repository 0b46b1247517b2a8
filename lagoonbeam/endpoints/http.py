"""Adapter for workers that are commanded by JSON over HTTP."""

from __future__ import annotations

from collections.abc import Sequence
from typing import Any

import httpx
import msgspec

from lagoonbeam.core.httpx_client import create_httpx_client
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.core.records import Term
from lagoonbeam.endpoints.base import (
    ENDPOINT_DRIVERS,
    EndpointDriver,
    SyncReply,
    SyncRequest,
    TaskOrder,
)
from lagoonbeam.errors import (
    MalformedDataError,
    StaleTermError,
    WorkerRefusedError,
    WorkerUnreachableError,
)
from lagoonbeam.types import TaskId


class _ReservationReply(msgspec.Struct):
    incarnation: str


class _RefusalReply(msgspec.Struct):
    code: str
    term: Term = Term()


@ENDPOINT_DRIVERS.register("http")
class HttpEndpointDriver(EndpointDriver):
    """Sends each command as a POST request."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = create_httpx_client(
            self.url, timeout_s=self.settings.command_timeout_s
        )

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def sync(self, request: SyncRequest) -> SyncReply:
        """Renews leases and returns the worker's state."""
        content = await self._post("sync", request, wait_s=request.wait_s)
        return self._decode(content, SyncReply)

    async def reserve(
        self, term: Term, tasks: Sequence[TaskOrder], *, lease_s: float
    ) -> str:
        """Reserves slots for tasks; returns the worker's incarnation."""
        body = {"term": term, "tasks": tasks, "lease_s": lease_s}
        content = await self._post("reserve", body)
        return self._decode(content, _ReservationReply).incarnation

    async def run(
        self, term: Term, task_ids: Sequence[TaskId], *, lease_s: float
    ) -> None:
        """Starts reserved tasks."""
        body = {"term": term, "task_ids": task_ids, "lease_s": lease_s}
        await self._post("start", body)

    async def stop(
        self, term: Term, task_ids: Sequence[TaskId], *, checkpoint: bool
    ) -> None:
        """Releases reserved tasks and stops running ones."""
        body = {
            "term": term,
            "task_ids": task_ids,
            "checkpoint": checkpoint,
            "grace_s": self.settings.stop_grace_s,
        }
        await self._post("stop", body)

    async def _post(
        self, command: str, body: Any, wait_s: float = 0.0
    ) -> bytes:
        timeout_s = self.settings.command_timeout_s + wait_s
        if self._client.is_closed:
            raise WorkerUnreachableError(
                f"{command}: the HTTP client is closed"
            )
        try:
            response = await self._client.post(
                f"{self.url}/{command}",
                content=msgspec.json.encode(body),
                timeout=timeout_s,
            )
        except httpx.HTTPError as error:
            raise WorkerUnreachableError(
                f"{command}: request failed: {error!r}"
            ) from error
        if response.status_code == httpx.codes.CONFLICT:
            refusal = self._decode(response.content, _RefusalReply)
            if refusal.code == "stale_term":
                raise StaleTermError(
                    f"the worker has seen a newer term: {refusal.term}",
                    number=refusal.term.number,
                    instance=refusal.term.instance,
                )
            raise WorkerRefusedError(refusal.code)
        if response.is_error:
            raise WorkerUnreachableError(
                f"{command}: got HTTP status {response.status_code},"
                " expected 200"
            )
        return response.content

    def _decode(self, content: bytes, reply_type: Any) -> Any:
        try:
            return decode_json(content, reply_type)
        except MalformedDataError as error:
            raise WorkerUnreachableError(f"malformed reply: {error}") from error
