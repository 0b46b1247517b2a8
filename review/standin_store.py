"""Stand-in for the platform's store: a log with expiring records.

Implements partition 0 of any topic by the platform's protocol: conditional
and idempotent appends, reads that wait, the newest record of each key.
"""

from __future__ import annotations

import asyncio
import base64
import contextlib
import struct
import time
from collections import OrderedDict, defaultdict
from dataclasses import dataclass, field
from typing import Any

from standin_http import Reply, Request

ANSWER_S = 0.004
"""Time of an answer, as the deployments state it."""


@dataclass
class Producer:
    """Fencing and deduplication state of one producer of a partition."""

    epoch: int = -1
    seq: int = -1
    answers: OrderedDict[int, dict[str, int]] = field(
        default_factory=OrderedDict
    )


@dataclass
class Topic:
    """Retained records with their times, and the newest of each key."""

    first: int = 0
    records: list[tuple[float, bytes]] = field(default_factory=list)
    newest: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, Producer] = field(
        default_factory=lambda: defaultdict(Producer)
    )
    appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record."""
        return self.first + len(self.records)


class Store:
    """The store.

    Args:
        keep_s: Seconds after which records expire.

    Attributes:
        silent: Leaves all calls of instances unanswered and undone.
    """

    def __init__(self, keep_s: float):
        self._keep_s = keep_s
        self._topics: dict[str, Topic] = defaultdict(Topic)
        self.silent = False

    def put(self, topic_name: str, key: str, value: bytes) -> None:
        """Writes a key on behalf of an operator or a worker."""
        self.put_bytes(topic_name, key.encode(), value)

    def put_bytes(self, topic_name: str, key: bytes, value: bytes) -> None:
        """Writes a key of any bytes, as another writer may do."""
        record = bytes([len(key)]) + key + value
        self._add(self._topics[topic_name], topic_name, [record])

    def get(self, topic_name: str, key: str) -> bytes | None:
        """Returns the newest value of a key."""
        item = self._topics[topic_name].newest.get(key)
        return item[1] if item else None

    async def handle(self, request: Request) -> Reply | None:
        """Answers one call of an instance."""
        await asyncio.sleep(ANSWER_S)
        if self.silent:
            while self.silent:
                await asyncio.sleep(0.05)
            return None  # a channel on which an answer is lost ends
        name = request.query.get("topic", "")
        topic = self._topics[name]
        self._expire(topic)
        call = (request.method, request.path)
        if call == ("POST", "/lagoonbeam/log-append"):
            return self._append(name, topic, request)
        if call == ("GET", "/lagoonbeam/log-read"):
            return await self._read(topic, request)
        if call == ("GET", "/lagoonbeam/log-newest"):
            items = [
                {
                    "key": key,
                    "value": base64.b64encode(value).decode(),
                    "offset": offset,
                }
                for key, (offset, value) in sorted(topic.newest.items())
            ]
            return Reply(
                200,
                {"items": items, "has_more": False, "end_offset": topic.end},
            )
        return Reply(404)

    def _expire(self, topic: Topic) -> None:
        limit_s = time.monotonic() - self._keep_s
        expired = 0
        for written_s, _ in topic.records:
            if written_s >= limit_s:
                break
            expired += 1
        del topic.records[:expired]
        topic.first += expired

    def _add(self, topic: Topic, name: str, records: list[bytes]) -> None:
        for record in records:
            if name.startswith("keyed."):
                end = 1 + record[0]
                key, value = (
                    record[1:end].decode(errors="replace"),
                    record[end:],
                )
                if value:
                    topic.newest[key] = (topic.end, value)
                else:
                    topic.newest.pop(key, None)
            topic.records.append((time.monotonic(), record))
        topic.appended.set()
        topic.appended = asyncio.Event()

    def _append(self, name: str, topic: Topic, request: Request) -> Reply:
        if name in ("keyed.op", "keyed.servers"):
            return Reply(403)
        query, body = request.query, request.body
        producer = None
        if "producer" in query:
            producer = topic.producers[query["producer"]]
            epoch, seq = int(query["epoch"]), int(query["seq"])
            if epoch < producer.epoch:
                return Reply(409, {"reason": "fenced"})
            if epoch == producer.epoch:
                if seq in producer.answers:
                    return Reply(200, producer.answers[seq])
                if seq != producer.seq + 1:
                    return Reply(409, {"reason": "seq", "seq": producer.seq})
        if "at" in query and int(query["at"]) != topic.end:
            return Reply(412, {"end_offset": topic.end})
        records, position = [], 0
        while position < len(body):
            (length,) = struct.unpack_from(">I", body, position)
            records.append(body[position + 4 : position + 4 + length])
            position += 4 + length
        offset = topic.end
        self._add(topic, name, records)
        answer = {"offset": offset, "end_offset": topic.end}
        if producer is not None:
            if epoch > producer.epoch:
                producer.answers.clear()
            producer.epoch, producer.seq = epoch, seq
            producer.answers[seq] = answer
            while len(producer.answers) > 5:
                producer.answers.popitem(last=False)
        return Reply(200, answer)

    async def _read(self, topic: Topic, request: Request) -> Reply | None:
        first = int(request.query["from"])
        wait_s = int(request.query.get("wait_ms", "0")) / 1000
        if first >= topic.end and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            if self.silent:
                return None
        self._expire(topic)
        if first < topic.first:
            return Reply(410, {"first_offset": topic.first})
        limit = int(request.query.get("max_kb", "1024")) * 1024
        parts: list[Any] = [struct.pack(">QQ", topic.end, topic.first)]
        size = 0
        for _, record in topic.records[first - topic.first :]:
            size += 4 + len(record)
            if size > limit and len(parts) > 1:
                break
            parts.append(struct.pack(">I", len(record)) + record)
        return Reply(200, b"".join(parts))
