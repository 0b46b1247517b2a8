"""HTTP client of the command line for an entry."""

from __future__ import annotations

from typing import Any

import httpx
import msgspec
import typer

from lagoonbeam.commands.program_lifecycle import EXIT_FAILED, EXIT_UNREACHABLE
from lagoonbeam.core.events import Event

REQUEST_TIMEOUT_S = 10.0
"""Time-out of a request, in addition to the wait that it asks for."""


class EntryClient:
    """Sends requests to one entry with one token.

    Args:
        url: Base URL of the entry.
        token: Secret of the caller's or operator's token.
    """

    def __init__(self, url: str, token: str):
        self._client = httpx.Client(
            base_url=url,
            headers={"authorization": f"Bearer {token}"},
            timeout=REQUEST_TIMEOUT_S,
            trust_env=False,
        )

    def call_or_exit(
        self, method: str, path: str, *, wait_s: float = 0.0, **options: Any
    ) -> Any:
        """Sends a request and returns the decoded JSON of its response.

        Args:
            method: HTTP method.
            path: Path and query.
            wait_s: Wait that the request asks for, added to the time-out.
            **options: Further arguments of `httpx.Client.request`.

        Raises:
            typer.Exit: If the entry cannot be reached or returns an error;
                the failure is printed first.
        """
        try:
            response = self._client.request(
                method, path, timeout=REQUEST_TIMEOUT_S + wait_s, **options
            )
        except httpx.HTTPError as error:
            typer.echo(f"{self._client.base_url}: {error}", err=True)
            raise typer.Exit(EXIT_UNREACHABLE) from error
        if response.is_error:
            typer.echo(_describe_problem(response), err=True)
            raise typer.Exit(EXIT_FAILED)
        return response.json()

    def fetch_events(
        self, entry_sequence: int, scheduler_sequence: int
    ) -> list[Event]:
        """Returns new events of the entry and its scheduler.

        Args:
            entry_sequence: Largest sequence number read from the entry.
            scheduler_sequence: Largest sequence number read from its
                scheduler.

        Raises:
            httpx.HTTPError: If the request fails or returns an error.
            msgspec.MsgspecError: If the response cannot be decoded.
        """
        response = self._client.get(
            "/v1/events",
            params={
                "after": entry_sequence,
                "scheduler_after": scheduler_sequence,
            },
        )
        response.raise_for_status()
        return msgspec.json.decode(response.content, type=list[Event])


def _describe_problem(response: httpx.Response) -> str:
    try:
        problem = response.json()
        return f"{problem['code']}: {problem['detail']}"
    except (ValueError, KeyError):
        return f"got status {response.status_code}: {response.text[:200]}"
