"""Adapter for a log service with JSON over HTTP."""

from __future__ import annotations

import httpx
import msgspec

from lagoonbeam.core.httpx_client import create_httpx_client
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.core.messages import LogEntry
from lagoonbeam.errors import (
    LogTruncatedError,
    LogUnavailableError,
    MalformedDataError,
)
from lagoonbeam.log.base import LOG_STORES, LogPage, LogStore
from lagoonbeam.types import Offset

_REQUEST_TIMEOUT_S = 1.0
"""Timeout of a request, in addition to the wait that it asks for."""


class _EntryReply(msgspec.Struct):
    offset: int
    data: str


class _PageReply(msgspec.Struct):
    entries: list[_EntryReply]
    oldest_offset: int
    next_offset: int


class _AppendReply(msgspec.Struct):
    offset: int


class _TruncatedReply(msgspec.Struct):
    oldest_offset: int


@LOG_STORES.register("http")
class HttpLogStore(LogStore):
    """Appends by POST requests and reads by long polling."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = create_httpx_client(
            self.settings.url, timeout_s=_REQUEST_TIMEOUT_S
        )
        base_url = self.settings.url.rstrip("/")
        self._url = f"{base_url}/streams/{self.settings.stream}/entries"

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def append(self, data: bytes) -> Offset:
        """Appends one entry by a POST request."""
        try:
            response = await self._client.post(
                self._url, content=msgspec.json.encode({"data": data.decode()})
            )
            response.raise_for_status()
            return decode_json(response.content, _AppendReply).offset
        except (httpx.HTTPError, MalformedDataError) as error:
            raise LogUnavailableError(
                f"log append failed: {error!r}"
            ) from error

    async def read(
        self, first_offset: Offset, *, limit: int = 500, wait_s: float = 0.0
    ) -> LogPage:
        """Reads entries by a GET request."""
        parameters = {"from": first_offset, "limit": limit, "wait_s": wait_s}
        try:
            response = await self._client.get(
                self._url,
                params=parameters,
                timeout=_REQUEST_TIMEOUT_S + wait_s,
            )
            if response.status_code == httpx.codes.GONE:
                truncation = decode_json(response.content, _TruncatedReply)
                raise LogTruncatedError(
                    f"got offset {first_offset}, expected at least"
                    f" {truncation.oldest_offset}",
                    oldest_offset=truncation.oldest_offset,
                )
            response.raise_for_status()
            page = decode_json(response.content, _PageReply)
        except (httpx.HTTPError, MalformedDataError) as error:
            raise LogUnavailableError(f"log read failed: {error!r}") from error
        entries = [
            LogEntry(entry.offset, entry.data.encode())
            for entry in page.entries
        ]
        return LogPage(entries, page.oldest_offset, page.next_offset)
