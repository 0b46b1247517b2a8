"""Adapter for an instance list over HTTP and JSON."""

from __future__ import annotations

import httpx
import msgspec

from lagoonbeam.core.http import make_client
from lagoonbeam.errors import UnavailableError
from lagoonbeam.instances.base import (
    INSTANCE_DIRECTORIES,
    InstanceDirectory,
    InstanceEntry,
)

_REQUEST_TIMEOUT_S = 2.0
"""Deadline of one request."""


class _InstanceListReply(msgspec.Struct):
    instances: list[InstanceEntry]


@INSTANCE_DIRECTORIES.register("http")
class HttpInstanceDirectory(InstanceDirectory):
    """Reads the list by a GET."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = make_client(
            self.settings.url, timeout_s=_REQUEST_TIMEOUT_S
        )

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def list_instances(self) -> list[InstanceEntry]:
        """Returns the list as the platform has it."""
        try:
            response = await self._client.get(self.settings.url)
            response.raise_for_status()
            reply = msgspec.json.decode(
                response.content, type=_InstanceListReply
            )
        except (httpx.HTTPError, msgspec.MsgspecError) as error:
            raise UnavailableError(f"instance list: {error!r}") from error
        return reply.instances
