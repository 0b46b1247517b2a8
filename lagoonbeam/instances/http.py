"""Adapter for an instance directory with JSON over HTTP."""

from __future__ import annotations

import httpx
import msgspec

from lagoonbeam.core.httpx_client import create_httpx_client
from lagoonbeam.core.json_decoding import decode_json
from lagoonbeam.errors import MalformedDataError, UnavailableError
from lagoonbeam.instances.base import (
    INSTANCE_DIRECTORIES,
    InstanceDirectory,
    InstanceEntry,
)

_REQUEST_TIMEOUT_S = 2.0
"""Timeout of a request."""


class _InstanceListReply(msgspec.Struct):
    instances: list[InstanceEntry]


@INSTANCE_DIRECTORIES.register("http")
class HttpInstanceDirectory(InstanceDirectory):
    """Reads the directory by GET requests."""

    async def start(self) -> None:
        """Opens the HTTP client."""
        self._client = create_httpx_client(
            self.settings.url, timeout_s=_REQUEST_TIMEOUT_S
        )

    async def close(self) -> None:
        """Closes the HTTP client."""
        await self._client.aclose()

    async def list_instances(self) -> list[InstanceEntry]:
        """Returns all instances in the directory."""
        try:
            response = await self._client.get(self.settings.url)
            response.raise_for_status()
            reply = decode_json(response.content, _InstanceListReply)
        except (httpx.HTTPError, MalformedDataError) as error:
            raise UnavailableError(
                f"cannot read the instance directory: {error!r}"
            ) from error
        return reply.instances
