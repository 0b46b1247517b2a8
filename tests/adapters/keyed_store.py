"""A store with keyed topics in memory, which can execute appends late."""

from __future__ import annotations

import base64
import json
from collections.abc import Callable
from typing import Any
from urllib.parse import parse_qs, urlsplit

from lagoonbeam_platform.store import (
    PlatformJournalStore,
    PlatformOperatorChannel,
)
from lagoonbeam_platform.store_client import (
    StoreClient,
    decode_journal_page,
    decode_keyed_record,
)

from lagoonbeam.core.http_client import Response
from lagoonbeam.errors import ResponseLostError
from lagoonbeam.site.store_transport import StoreRead, StoreReadResult


class KeyedStore:
    """Answers appends and reads of the newest records, as the store does.

    Attributes:
        is_lost: Called with the records of each append; whether it gets no
            answer and is executed by `execute_late`.
        before_append: Called before each append.
        calls: Targets of the appends.
        read_count: Number of reads.
        journal: Stores snapshots here.
        operator_channel: Stores states of waves here.
    """

    def __init__(self) -> None:
        self.values: dict[str, bytes] = {}
        self.end = 0
        self.read_count = 0
        self.calls: list[str] = []
        self.is_lost: Callable[[list[tuple[str, bytes]]], bool] = (
            lambda records: False
        )
        self.before_append: Callable[[], None] = lambda: None
        self._late_calls: list[tuple[str, bytes]] = []
        transport: Any = self
        client = StoreClient(transport)
        self._client = client
        self.journal = self.make_journal()
        self.operator_channel = PlatformOperatorChannel(
            client, lambda *args, **fields: None
        )

    async def call(
        self, method: str, target: str, *, body: bytes, timeout_s: float
    ) -> Response:
        """Executes an append, or loses it."""
        self.before_append()
        self.calls.append(target)
        if self.is_lost(_decode_records(body)):
            self._late_calls.append((target, body))
            raise ResponseLostError(f"{target}: no answer")
        return self._append(target, body)

    async def read(self, read: StoreRead) -> StoreReadResult:
        """Returns the newest record of each key."""
        self.read_count += 1
        items = [
            {"key": key, "value": base64.b64encode(value).decode()}
            for key, value in sorted(self.values.items())
        ]
        page = {"items": items, "has_more": False, "end_offset": self.end}
        body = json.dumps(page).encode()
        return StoreReadResult(Response(200, body), 0.0, 0.0)

    def make_journal(self) -> PlatformJournalStore:
        """Returns the access of another instance."""
        return PlatformJournalStore(self._client)

    def execute_late(self) -> list[int]:
        """Executes the lost appends; returns the status of each."""
        late_calls, self._late_calls = self._late_calls, []
        return [self._append(*call).status for call in late_calls]

    def _append(self, target: str, body: bytes) -> Response:
        query = parse_qs(urlsplit(target).query)
        offset = self.end
        if "at" in query and int(query["at"][0]) != offset:
            return Response(412, b"{}")
        for key, value in _decode_records(body):
            self.end += 1
            if value:
                self.values[key] = value
            else:
                self.values.pop(key, None)
        answer = {"offset": offset, "end_offset": self.end}
        return Response(200, json.dumps(answer).encode())


def _decode_records(body: bytes) -> list[tuple[str, bytes]]:
    page = decode_journal_page(0, bytes(16) + body)
    return [decode_keyed_record(record) for record in page.records]
