"""Reads the HTTP/1.1 requests of one connection within the limits."""

from __future__ import annotations

import math
import time
from collections import deque
from collections.abc import Callable
from contextlib import AbstractContextManager
from dataclasses import dataclass, field
from typing import Any

import anyio
import httptools

from lagoonbeam.core.http_client import READ_CHUNK_BYTES, Response
from lagoonbeam.core.request_budget import ConnectionAccount, MessageMeter
from lagoonbeam.core.request_budget.settings import RequestLimitSettings
from lagoonbeam.core.tcp_connection import TcpConnection

PARSE_BYTES = 2_048
"""Data parsed at a time; bounds the requests that it may contain."""
CONTINUE = b"HTTP/1.1 100 Continue\r\n\r\n"
"""Asks a client that waits before its body to send it."""
REFUSED_BODY_TIMEOUT_S = 0.5
"""Longest wait for the body of a request that is refused by its head."""


@dataclass(slots=True)
class Request:
    """A received request.

    Attributes:
        method: HTTP method.
        target: Path and query string as sent.
        headers: Header fields by lower-case name.
        body: Its body.
        received_at_s: Monotonic time at which its first byte was parsed.
        refusal: The response if it is refused by its head; its body is dropped.
        is_complete: Whether its body has arrived; otherwise no further request
            can be read.
        account: What its connection holds of the server, if it has one.
    """

    method: str = ""
    target: str = ""
    headers: dict[str, str] = field(default_factory=dict)
    body: bytes = b""
    received_at_s: float = 0.0
    refusal: Response | None = None
    is_complete: bool = False
    account: ConnectionAccount | None = None

    def move_on_after(
        self, delay_s: float
    ) -> AbstractContextManager[anyio.CancelScope]:
        """Bounds a wait of the request's handler; see `anyio.move_on_after`.

        The wait ends early if other clients need the connection.

        Args:
            delay_s: Longest wait.
        """
        if self.account is None:
            return anyio.move_on_after(delay_s)
        return self.account.move_on_after(delay_s)


HeadChecker = Callable[[Request], Response | None]


@dataclass(frozen=True, slots=True)
class ServerLimits:
    """Limits on requests.

    Attributes:
        header_bytes: Largest total size of the target and header fields.
        body_bytes: Largest body.
        header_timeout_s: Longest wait for more data of an incomplete request.
        idle_timeout_s: Longest wait for the next request of a connection.
        answers_silence: Whether an incomplete request is answered with 408
            after `header_timeout_s`; otherwise its connection is closed.
    """

    header_bytes: int = 16_384
    body_bytes: int = 262_144
    header_timeout_s: float = 3.0
    idle_timeout_s: float = 15.0
    answers_silence: bool = False


class RequestReader:
    """Parses the requests of one connection.

    Args:
        connection: The connection.
        account: What the connection holds of the process.
        limits: Limits on requests.
        settings: Slowest rate of a request.
        check_head: Returns the response to a request that is refused before
            its body arrives, or None.

    Attributes:
        error_status: HTTP status of the limit that the client has exceeded, or
            0; no further request can be read then.
    """

    def __init__(
        self,
        connection: TcpConnection,
        account: ConnectionAccount,
        limits: ServerLimits,
        settings: RequestLimitSettings,
        check_head: HeadChecker | None = None,
    ):
        self._check_head = check_head
        self._connection = connection
        self._account = account
        self._limits = limits
        self._settings = settings
        self._parser: Any = httptools.HttpRequestParser(self)
        self._request = Request()
        self._body = bytearray()
        self._meter = MessageMeter()
        self._chunk = b""
        self._parsed_bytes = 0
        self._parsed_requests: deque[tuple[Request, MessageMeter]] = deque()
        self._served_bytes = 0
        self._waiting_since_s = 0.0
        self._refusal_deadline_s = math.inf
        self._receive_scope = anyio.CancelScope()
        self._is_reading = False
        self.error_status = 0

    @property
    def is_receiving(self) -> bool:
        """Whether a part of a request has been received."""
        return self._is_reading and self._meter.has_begun

    @property
    def has_unparsed_data(self) -> bool:
        """Whether data of a further request has been received."""
        return bool(self._chunk)

    def set_limits(self, limits: ServerLimits) -> None:
        """Changes the limits, also of the request that is being received."""
        self._limits = limits
        self._receive_scope.deadline = self._get_deadline_s()

    def on_message_begin(self) -> None:
        """Called by the parser, as are the methods below."""
        self._request = Request(received_at_s=time.monotonic())
        self._body = bytearray()
        self._meter.begun_at_s = anyio.current_time()

    def on_url(self, url: bytes) -> None:
        """Takes a part of the target."""
        self._request.target += url.decode("latin-1")
        self._meter.header_bytes += len(url)

    def on_header(self, name: bytes, value: bytes) -> None:
        """Takes a header field or a trailer."""
        self._meter.header_bytes += len(name) + len(value)
        self._meter.header_fields += 1
        key = name.decode("latin-1").lower()
        self._request.headers[key] = value.decode("latin-1")

    def on_headers_complete(self) -> None:
        """Refuses a body that is announced as too large."""
        self._meter.is_head_complete = True
        request = self._request
        request.method = self._parser.get_method().decode("ascii")
        announced_bytes = int(request.headers.get("content-length", 0))
        if announced_bytes > self._limits.body_bytes:
            self.error_status = 413
        elif self._check_head is not None and _has_body(request):
            request.refusal = self._check_head(request)
        if self.error_status or self._parser.should_upgrade():
            return
        if request.refusal is not None:
            self._refusal_deadline_s = (
                anyio.current_time() + REFUSED_BODY_TIMEOUT_S
            )
        elif request.headers.get("expect", "").lower() == "100-continue":
            self._connection.send_now(CONTINUE)

    def on_body(self, data: bytes) -> None:
        """Takes a part of the body."""
        if self._request.refusal is None:
            self._body += data
        self._meter.body_bytes += len(data)

    def on_message_complete(self) -> None:
        """Takes the end of a request, or of a head with an offer."""
        self._request.body = bytes(self._body)
        self._request.is_complete = True
        self._refusal_deadline_s = math.inf
        self._body = bytearray()
        meter, self._meter = self._meter, MessageMeter()
        self._check_limits(meter)
        if self._parser.should_upgrade():
            return
        self._parsed_requests.append((self._request, meter))

    async def read(self) -> Request | None:
        """Returns the next request, or None after a timeout or the end.

        If a limit was exceeded, `error_status` is set and the returned
        request must be ignored.
        """
        self._is_reading = True
        request = await self._read()
        self._is_reading = False
        return request

    async def _read(self) -> Request | None:
        self._served_bytes = 0
        self._waiting_since_s = anyio.current_time()
        while True:
            self._parse()
            if self.error_status:
                return Request()
            if self._parsed_requests:
                request, meter = self._parsed_requests.popleft()
                self._served_bytes = meter.handled_bytes
                if not self._hold():
                    self.error_status = 503
                return request
            if anyio.current_time() >= self._refusal_deadline_s:
                return self._request
            if not await self._receive():
                return None

    def hold_response(self, size_bytes: int) -> None:
        """Accounts for a response, in place of its request."""
        self._served_bytes = size_bytes
        self._hold()

    def close(self) -> None:
        """Drops what has been received and not been handed over.

        No further request can be read.
        """
        self._chunk = b""
        self._body = bytearray()
        self._request = Request()
        self._parsed_requests.clear()
        # The parser refers to this reader.
        self._parser = None

    async def _receive(self) -> bool:
        """Receives more data; returns whether there is any."""
        with anyio.CancelScope(deadline=self._get_deadline_s()) as scope:
            self._receive_scope = scope
            self._chunk = await self._connection.receive(READ_CHUNK_BYTES)
            self._parsed_bytes = 0
        if scope.cancelled_caught:
            if math.isfinite(self._refusal_deadline_s):
                self._refusal_deadline_s = anyio.current_time()
                return True
            if anyio.current_time() >= self._get_last_deadline_s() or (
                self._meter.has_begun and self._limits.answers_silence
            ):
                self.error_status = 408
                return True
            return False
        return bool(self._chunk)

    def _parse(self) -> None:
        """Parses received data up to the end of a request."""
        if self._account.is_closed:
            self.error_status = 503
        while (
            self._chunk and not self._parsed_requests and not self.error_status
        ):
            end = self._parsed_bytes + PARSE_BYTES
            piece = self._chunk[self._parsed_bytes : end]
            self._parsed_bytes = end
            if 2 * end >= len(self._chunk):
                self._chunk = self._chunk[end:]
                self._parsed_bytes = 0
            meter, is_body = self._meter, self._meter.is_head_complete
            self._feed(piece)
            meter.count_raw_bytes(len(piece), is_body=is_body)
            self._check_limits(meter)
            if not self._hold():
                self.error_status = self.error_status or 503
        if self._meter.has_begun:
            self._waiting_since_s = anyio.current_time()
            self._account.mark_progress()

    def _feed(self, piece: bytes) -> None:
        """Feeds the parser; offers of another protocol are ignored."""
        try:
            self._parser.feed_data(piece)
        except httptools.HttpParserUpgrade as upgrade:
            (parsed_bytes,) = upgrade.args
            head = self._encode_head_without_offer()
            self._parser = httptools.HttpRequestParser(self)
            unparsed = self._chunk[self._parsed_bytes :]
            self._chunk = head + piece[parsed_bytes:] + unparsed
            self._parsed_bytes = 0

    def _check_limits(self, meter: MessageMeter) -> None:
        self.error_status = self.error_status or meter.find_exceeded_limit(
            self._limits.header_bytes, self._limits.body_bytes
        )

    def _hold(self) -> bool:
        """Accounts for what is held; returns whether there is room."""
        return self._account.hold(
            len(self._chunk)
            - self._parsed_bytes
            + self._meter.held_bytes
            + self._served_bytes
            + sum(meter.held_bytes for _, meter in self._parsed_requests)
        )

    def _encode_head_without_offer(self) -> bytes:
        """Returns the head of the current request without its `Upgrade`.

        The parser takes a request with an offer as complete before its body.
        """
        request = self._request
        if request.method == "CONNECT":
            self.error_status = 405
        is_last = "close" in request.headers.pop("connection", "").lower()
        request.headers.pop("upgrade", None)
        if is_last:
            request.headers["connection"] = "close"
        fields = [f"{name}: {value}" for name, value in request.headers.items()]
        start_line = f"{request.method} {request.target} HTTP/1.1"
        return "\r\n".join([start_line, *fields, "", ""]).encode("latin-1")

    def _get_deadline_s(self) -> float:
        if not self._meter.has_begun:
            return self._waiting_since_s + self._limits.idle_timeout_s
        return min(
            self._waiting_since_s + self._limits.header_timeout_s,
            self._get_last_deadline_s(),
            self._refusal_deadline_s,
        )

    def _get_last_deadline_s(self) -> float:
        return self._meter.get_deadline_s(
            self._settings.request_grace_s, self._settings.min_rate_bytes_per_s
        )


def _has_body(request: Request) -> bool:
    """Returns whether a body follows the head of a request."""
    announced_bytes = request.headers.get("content-length", "0").strip()
    return announced_bytes != "0" or "transfer-encoding" in request.headers
