"""Stand-in for the store of the users' platform.

Implements partition 0 of any topic by the platform's protocol:
``log-append`` with ``at``, ``producer``, ``epoch`` and ``seq``; ``log-read``
with waiting; ``log-newest`` of keyed topics. ``POST /standin/put?topic&key``
writes keys for operators and workers, also in the topics that ``log-append``
refuses. ``POST /standin/faults`` sets fields of `StoreFaults`.
"""

from __future__ import annotations

import argparse
import asyncio
import base64
import collections
import contextlib
import dataclasses
import random
import struct
from dataclasses import dataclass, field

from starlette.applications import Starlette
from starlette.requests import Request
from starlette.responses import JSONResponse, Response
from starlette.routing import Route

from standins.server import run_server

_RECORD_LENGTH = struct.Struct(">I")
_READ_HEADER = struct.Struct(">QQ")
_READ_ONLY_TOPICS = ("keyed.op", "keyed.servers")
_MAX_CACHED_ANSWERS = 5


@dataclass
class StoreFaults:
    """Faults that are injected at present.

    Attributes:
        status: HTTP status with which all calls are refused; 0 for none.
        silent: Leaves calls unanswered until it is reset.
        delay_s: Delay before each answer.
        lose_answers: Fraction of appends that are stored but not answered.
        late_appends: Fraction of appends that are executed 1 s to 4 s later
            and not answered.
        keep_records: Records kept per topic; older ones are dropped.
    """

    status: int = 0
    silent: bool = False
    delay_s: float = 0.0
    lose_answers: float = 0.0
    late_appends: float = 0.0
    keep_records: int = 1_000_000


@dataclass
class ProducerState:
    """Idempotence and fencing state of one producer.

    Attributes:
        epoch: Highest epoch seen; appends of a lower one are fenced.
        seq: Sequence number of the last append.
        answers_by_seq: Answers to the last appends, for repeated requests.
    """

    epoch: int = -1
    seq: int = -1
    answers_by_seq: collections.OrderedDict[int, dict[str, int]] = field(
        default_factory=collections.OrderedDict
    )


@dataclass
class Topic:
    """Retained records of a topic's only partition."""

    first_offset: int = 0
    records: list[bytes] = field(default_factory=list)
    newest_records: dict[str, tuple[int, bytes]] = field(default_factory=dict)
    producers: dict[str, ProducerState] = field(
        default_factory=lambda: collections.defaultdict(ProducerState)
    )
    record_appended: asyncio.Event = field(default_factory=asyncio.Event)

    @property
    def end(self) -> int:
        """Offset of the next record to be appended."""
        return self.first_offset + len(self.records)

    def append_record(
        self, record: bytes, *, is_keyed: bool, max_records: int
    ) -> None:
        """Appends a record and drops the oldest beyond ``max_records``.

        A keyed record starts with the length of its key in one byte. An empty
        value removes the key.
        """
        if is_keyed:
            end = 1 + record[0]
            key, value = record[1:end].decode(), record[end:]
            if value:
                self.newest_records[key] = (self.end, value)
            else:
                self.newest_records.pop(key, None)
        self.records.append(record)
        excess_count = len(self.records) - max_records
        if excess_count > 0:
            del self.records[:excess_count]
            self.first_offset += excess_count

    def notify_readers(self) -> None:
        """Wakes the readers that wait for records."""
        self.record_appended.set()
        self.record_appended = asyncio.Event()


class StoreService:
    """Keeps the topics in memory and serves them over HTTP."""

    def __init__(self, seed: int):
        self.faults = StoreFaults()
        self.counters: collections.Counter[str] = collections.Counter()
        self._random = random.Random(seed)
        self._topics: dict[str, Topic] = collections.defaultdict(Topic)

    async def _apply_faults(self) -> Response | None:
        while self.faults.silent:
            await asyncio.sleep(0.05)
        if self.faults.delay_s:
            await asyncio.sleep(self.faults.delay_s)
        if self.faults.status:
            return Response(status_code=self.faults.status)
        return None

    async def append(self, request: Request) -> Response:
        """Appends the length-prefixed records of the request body."""
        body = await request.body()
        self.counters["append"] += 1
        if (error_response := await self._apply_faults()) is not None:
            return error_response
        is_late = self._random.random() < self.faults.late_appends
        if is_late:
            await asyncio.sleep(self._random.uniform(1.0, 4.0))
        query = request.query_params
        name = query["topic"]
        if name in _READ_ONLY_TOPICS:
            return Response(status_code=403)
        topic = self._topics[name]
        producer = None
        if "producer" in query:
            producer = topic.producers[query["producer"]]
            early_response = self._check_producer(producer, query)
            if early_response is not None:
                return early_response
        if "at" in query and int(query["at"]) != topic.end:
            return JSONResponse({"end_offset": topic.end}, 412)
        offset = topic.end
        position = 0
        while position < len(body):
            (length,) = _RECORD_LENGTH.unpack_from(body, position)
            position += _RECORD_LENGTH.size
            topic.append_record(
                body[position : position + length],
                is_keyed=name.startswith("keyed."),
                max_records=self.faults.keep_records,
            )
            position += length
        answer = {"offset": offset, "end_offset": topic.end}
        if producer is not None:
            producer.epoch = int(query["epoch"])
            producer.seq = int(query["seq"])
            producer.answers_by_seq[producer.seq] = answer
            while len(producer.answers_by_seq) > _MAX_CACHED_ANSWERS:
                producer.answers_by_seq.popitem(last=False)
        topic.notify_readers()
        if is_late or self._random.random() < self.faults.lose_answers:
            await asyncio.sleep(3600)
        return JSONResponse(answer)

    def _check_producer(  # type: ignore[no-untyped-def]
        self, producer: ProducerState, query
    ) -> Response | None:
        epoch, seq = int(query["epoch"]), int(query["seq"])
        if epoch < producer.epoch:
            return JSONResponse({"reason": "fenced"}, 409)
        if epoch > producer.epoch:
            producer.answers_by_seq.clear()
            return None
        if seq in producer.answers_by_seq:
            return JSONResponse(producer.answers_by_seq[seq])
        if seq != producer.seq + 1:
            return JSONResponse({"reason": "seq", "seq": producer.seq + 1}, 409)
        return None

    async def read(self, request: Request) -> Response:
        """Returns records from an offset; waits ``wait_ms`` for the first."""
        self.counters["read"] += 1
        if (error_response := await self._apply_faults()) is not None:
            return error_response
        query = request.query_params
        topic = self._topics[query["topic"]]
        first_offset = int(query["from"])
        wait_s = int(query.get("wait_ms", "0")) / 1000
        if first_offset >= topic.end and wait_s:
            with contextlib.suppress(TimeoutError):
                await asyncio.wait_for(topic.record_appended.wait(), wait_s)
            if (error_response := await self._apply_faults()) is not None:
                return error_response
        if first_offset < topic.first_offset:
            return JSONResponse({"first_offset": topic.first_offset}, 410)
        records = topic.records[first_offset - topic.first_offset :]
        body = _READ_HEADER.pack(topic.end, topic.first_offset) + b"".join(
            _RECORD_LENGTH.pack(len(record)) + record for record in records
        )
        return Response(body, media_type="application/octet-stream")

    async def newest_records(self, request: Request) -> Response:
        """Returns the newest record of each key."""
        self.counters["newest"] += 1
        if (error_response := await self._apply_faults()) is not None:
            return error_response
        topic = self._topics[request.query_params["topic"]]
        items = [
            {
                "key": key,
                "value": base64.b64encode(value).decode(),
                "offset": offset,
            }
            for key, (offset, value) in sorted(topic.newest_records.items())
        ]
        return JSONResponse(
            {"items": items, "has_more": False, "end_offset": topic.end}
        )

    async def put_key(self, request: Request) -> Response:
        """Writes the value of a key; an empty body removes the key."""
        query = request.query_params
        key = query["key"].encode()
        topic = self._topics[query["topic"]]
        topic.append_record(
            bytes([len(key)]) + key + await request.body(),
            is_keyed=True,
            max_records=self.faults.keep_records,
        )
        topic.notify_readers()
        return JSONResponse({"end_offset": topic.end})

    async def set_faults(self, request: Request) -> Response:
        """Sets the given faults and returns all of them."""
        self.faults = dataclasses.replace(self.faults, **await request.json())
        return JSONResponse(dataclasses.asdict(self.faults))

    async def get_counters(self, request: Request) -> Response:
        """Returns the number of calls by kind."""
        return JSONResponse(dict(self.counters))


def main() -> None:
    """Starts the server."""
    parser = argparse.ArgumentParser(description=__doc__)
    parser.add_argument("--port", type=int, required=True)
    parser.add_argument("--seed", type=int, default=0)
    arguments = parser.parse_args()
    service = StoreService(arguments.seed)
    routes = [
        Route("/lagoonbeam/log-append", service.append, methods=["POST"]),
        Route("/lagoonbeam/log-read", service.read),
        Route("/lagoonbeam/log-newest", service.newest_records),
        Route("/standin/put", service.put_key, methods=["POST"]),
        Route("/standin/faults", service.set_faults, methods=["POST"]),
        Route("/standin/counters", service.get_counters),
    ]
    run_server(Starlette(routes=routes), arguments.port)


if __name__ == "__main__":
    main()
