"""Stand-in for the platform's store, for the third review's cases.

Follows the platform's protocol for partition 0 of any topic: appends with
``at``, ``producer``, ``epoch`` and ``seq``, reads that wait, the newest record
of each key, and the expiry of records after ``--keep-s``. ``/standin/put``
writes what operators and workers write.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import contextlib
import struct
import time
from collections import defaultdict, deque
from dataclasses import dataclass, field
from typing import Any

from case_http import Answer, Call, answer_json, serve

RECORD_BYTES = 262_144
CALL_BYTES = 2_097_152
STORED_BYTES = 400_000_000
ANSWER_S = 0.004
PAGE_ITEMS, PAGE_BYTES = 500, 1_000_000
KEPT_APPENDS = 5


@dataclass
class Producer:
    """What the store knows of one producer."""

    epoch: int = -1
    seq: int = -1
    answers: dict[int, dict[str, int]] = field(default_factory=dict)


class Topic:
    """The records of a topic's only partition."""

    def __init__(self, name: str, keep_s: float):
        self.is_keyed = name.startswith("keyed.")
        self.keep_s = keep_s
        self.first_offset = 0
        self.records: deque[tuple[float, bytes]] = deque()
        self.newest: dict[str, tuple[int, bytes]] = {}
        self.producers: dict[str, Producer] = defaultdict(Producer)
        self.appended = asyncio.Event()

    @property
    def end_offset(self) -> int:
        """Offset of the next record."""
        return self.first_offset + len(self.records)

    @property
    def stored_bytes(self) -> int:
        """Bytes of all records that are kept."""
        newest = sum(len(value) for _, value in self.newest.values())
        return newest + sum(len(record) for _, record in self.records)

    def expire(self) -> None:
        """Drops the records that are older than the retention time."""
        oldest_s = time.monotonic() - self.keep_s
        while self.records and self.records[0][0] < oldest_s:
            self.records.popleft()
            self.first_offset += 1

    def append(self, record: bytes) -> None:
        """Appends one record."""
        if self.is_keyed:
            key_end = 1 + record[0]
            key, value = record[1:key_end].decode(), record[key_end:]
            if value:
                self.newest[key] = (self.end_offset, value)
            else:
                self.newest.pop(key, None)
        self.records.append((time.monotonic(), record))

    def wake(self) -> None:
        """Wakes the reads that wait."""
        self.appended.set()
        self.appended = asyncio.Event()


class Store:
    """All topics."""

    def __init__(self, keep_s: float):
        self._keep_s = keep_s
        self._topics: dict[str, Topic] = {}

    def _get_topic(self, name: str) -> Topic:
        if name not in self._topics:
            self._topics[name] = Topic(name, self._keep_s)
        topic = self._topics[name]
        topic.expire()
        return topic

    async def handle(self, call: Call) -> Answer:
        """Answers one call."""
        handlers = {
            "/lagoonbeam/log-append": self._append,
            "/lagoonbeam/log-read": self._read,
            "/lagoonbeam/log-newest": self._read_newest,
            "/standin/put": self._put,
        }
        handler = handlers.get(call.path)
        if handler is None:
            return 404, b""
        await asyncio.sleep(ANSWER_S)
        return await handler(call)

    async def _append(self, call: Call) -> Answer:
        name = call.query["topic"]
        if name in ("keyed.op", "keyed.servers"):
            return 403, b""
        records = _split(call.body)
        if len(call.body) > CALL_BYTES or any(
            len(record) > RECORD_BYTES for record in records
        ):
            return 400, b""
        stored = sum(topic.stored_bytes for topic in self._topics.values())
        if stored + len(call.body) > STORED_BYTES:
            return 507, b""
        topic = self._get_topic(name)
        producer = None
        if "producer" in call.query:
            producer = topic.producers[call.query["producer"]]
            refusal = _check_producer(producer, call.query)
            if refusal is not None:
                return refusal
        if "at" in call.query and int(call.query["at"]) != topic.end_offset:
            return answer_json({"end_offset": topic.end_offset}, 412)
        offset = topic.end_offset
        for record in records:
            topic.append(record)
        answer = {"offset": offset, "end_offset": topic.end_offset}
        if producer is not None:
            producer.epoch = int(call.query["epoch"])
            producer.seq = int(call.query["seq"])
            producer.answers[producer.seq] = answer
            while len(producer.answers) > KEPT_APPENDS:
                del producer.answers[next(iter(producer.answers))]
        topic.wake()
        return answer_json(answer)

    async def _read(self, call: Call) -> Answer:
        topic = self._get_topic(call.query["topic"])
        first = int(call.query["from"])
        wait_s = int(call.query.get("wait_ms", 0)) / 1000
        if first >= topic.end_offset and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.appended.wait(), wait_s)
            topic.expire()
        if first < topic.first_offset:
            return answer_json({"first_offset": topic.first_offset}, 410)
        body = bytearray(
            struct.pack(">QQ", topic.end_offset, topic.first_offset)
        )
        limit = int(call.query.get("max_kb", 1024)) * 1024
        for index in range(first - topic.first_offset, len(topic.records)):
            record = topic.records[index][1]
            if len(body) > 16 and len(body) + len(record) > limit:
                break
            body += struct.pack(">I", len(record)) + record
        return 200, bytes(body)

    async def _read_newest(self, call: Call) -> Answer:
        topic = self._get_topic(call.query["topic"])
        after = call.query.get("after")
        items: list[dict[str, Any]] = []
        size = 0
        keys = sorted(k for k in topic.newest if after is None or k > after)
        for key in keys:
            offset, value = topic.newest[key]
            size += len(value)
            if items and (len(items) == PAGE_ITEMS or size > PAGE_BYTES):
                break
            encoded = base64.b64encode(value).decode()
            items.append({"key": key, "value": encoded, "offset": offset})
        return answer_json(
            {
                "items": items,
                "has_more": len(items) < len(keys),
                "end_offset": topic.end_offset,
            }
        )

    async def _put(self, call: Call) -> Answer:
        topic = self._get_topic(call.query["topic"])
        key = call.query["key"].encode()
        topic.append(bytes([len(key)]) + key + call.body)
        topic.wake()
        return answer_json({"end_offset": topic.end_offset})


def _split(body: bytes) -> list[bytes]:
    records, position = [], 0
    while position < len(body):
        (length,) = struct.unpack_from(">I", body, position)
        records.append(body[position + 4 : position + 4 + length])
        position += 4 + length
    return records


def _check_producer(producer: Producer, query: dict[str, str]) -> Answer | None:
    epoch, seq = int(query["epoch"]), int(query["seq"])
    if epoch < producer.epoch:
        return answer_json({"reason": "fenced"}, 409)
    if epoch > producer.epoch:
        producer.answers.clear()
        return None
    if seq in producer.answers:
        return answer_json(producer.answers[seq])
    if seq != producer.seq + 1:
        return answer_json({"reason": "seq", "seq": producer.seq + 1}, 409)
    return None


def main() -> None:
    """Serves until the process is ended."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--keep-s", type=float, required=True)
    arguments = parser.parse_args()
    store = Store(arguments.keep_s)
    asyncio.run(serve(store.handle, ["127.0.0.1"], arguments.port))


if __name__ == "__main__":
    main()
