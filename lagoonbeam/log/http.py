"""Adapter for a log service over HTTP and JSON."""

from __future__ import annotations

import httpx
import msgspec

from lagoonbeam.core.httpx_client import create_httpx_client
from lagoonbeam.core.messages import LogEntry
from lagoonbeam.errors import LogTruncatedError, LogUnavailableError
from lagoonbeam.log.base import LOGS, LogPage, LogStore
from lagoonbeam.types import Offset

_TIMEOUT_S = 1.0
"""Deadline of one request, beside the wait it asks for."""


class _Entry(msgspec.Struct):
    offset: int
    data: str


class _Page(msgspec.Struct):
    entries: list[_Entry]
    oldest_offset: int
    next_offset: int


class _Appended(msgspec.Struct):
    offset: int


class _Truncated(msgspec.Struct):
    oldest_offset: int


@LOGS.register("http")
class HttpLogStore(LogStore):
    """Reads by long polling."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = create_httpx_client(
            self.settings.url, timeout_s=_TIMEOUT_S
        )
        base = self.settings.url.rstrip("/")
        self._url = f"{base}/streams/{self.settings.stream}/entries"

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def append(self, data: bytes) -> Offset:
        """Appends one entry by a POST."""
        try:
            response = await self._client.post(
                self._url, content=msgspec.json.encode({"data": data.decode()})
            )
            response.raise_for_status()
            return msgspec.json.decode(response.content, type=_Appended).offset
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise LogUnavailableError(f"append: {error!r}") from error

    async def read(
        self, first: Offset, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Reads entries by a GET."""
        parameters = {"from": first, "limit": limit, "wait_s": wait_s}
        try:
            response = await self._client.get(
                self._url, params=parameters, timeout=_TIMEOUT_S + wait_s
            )
            if response.status_code == httpx.codes.GONE:
                oldest = msgspec.json.decode(response.content, type=_Truncated)
                raise LogTruncatedError(
                    f"got offset {first}, expected at least"
                    f" {oldest.oldest_offset}",
                    oldest_offset=oldest.oldest_offset,
                )
            response.raise_for_status()
            page = msgspec.json.decode(response.content, type=_Page)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise LogUnavailableError(f"read: {error!r}") from error
        entries = [LogEntry(e.offset, e.data.encode()) for e in page.entries]
        return LogPage(entries, page.oldest_offset, page.next_offset)
