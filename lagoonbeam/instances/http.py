"""Adapter for an instance list over HTTP and JSON."""

from __future__ import annotations

import httpx
import msgspec

from lagoonbeam.core.httpx_client import create_httpx_client
from lagoonbeam.errors import UnavailableError
from lagoonbeam.instances.base import (
    DIRECTORIES,
    InstanceDirectory,
    InstanceEntry,
)

_TIMEOUT_S = 2.0
"""Deadline of one request."""


class _Listing(msgspec.Struct):
    instances: list[InstanceEntry]


@DIRECTORIES.register("http")
class HttpInstanceDirectory(InstanceDirectory):
    """Reads the list by a GET."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = create_httpx_client(
            self.settings.url, timeout_s=_TIMEOUT_S
        )

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def list_instances(self) -> list[InstanceEntry]:
        """Returns the list as the platform has it."""
        try:
            response = await self._client.get(self.settings.url)
            response.raise_for_status()
            listing = msgspec.json.decode(response.content, type=_Listing)
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise UnavailableError(f"instance list: {error!r}") from error
        return listing.instances
