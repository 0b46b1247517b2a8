"""Remote procedure calls with timeouts between processes, over TCP.

A frame is preceded by its length in four bytes. One task reads a connection;
each call waits for its own reply until its timeout.
"""

from __future__ import annotations

import contextlib
import struct
from collections.abc import Awaitable, Callable
from types import TracebackType

import anyio
import anyio.abc
import capnp
import msgspec

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.http_client import READ_CHUNK_BYTES
from lagoonbeam.core.link_account import LinkAccount, get_call_bytes
from lagoonbeam.core.messages import (
    MAX_FRAME_BYTES,
    Frame,
    Message,
    Refusal,
    decode_frame,
    encode_frame,
    is_read_only,
)
from lagoonbeam.errors import (
    LagoonbeamError,
    LinkClosedError,
    LinkNotOpenedError,
    LinkTimeoutError,
    TooManyRequestsError,
    make_error,
)

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout."""
CALL_TIMEOUT_S = 2.0
"""Default time to wait for a reply."""
SEND_TIMEOUT_S = 2.0
"""Time that a write may block before the link is closed."""
FRAME_TIMEOUT_S = 10.0
"""Time in which a frame has to arrive once it has begun."""
MAX_ACCEPTED_FRAME_BYTES = 8 << 20
"""Longest frame on a link that the other side has opened; only replies with a
state are longer."""
REFUSED_CALL_RETRY_S = 1.0
"""When a call that found no room may be made again."""

Handler = Callable[[Message], Awaitable[Message]]

_FRAME_LENGTH = struct.Struct("<I")


class Link:
    """A connection over which both sides make calls and send notices.

    Args:
        stream: The connected stream.
        clock: The process's clock; frames carry its timestamps.
        handler: Handles the other side's messages and returns the replies.
        account: Bounds what the other side holds, if it has opened the link.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        *,
        clock: HybridClock,
        handler: Handler,
        account: LinkAccount | None = None,
    ):
        self._account = account
        self._stream = stream
        self._clock = clock
        self._handler = handler
        self._buffer = bytearray()
        self._send_lock = anyio.Lock()
        self._next_call_id = 1
        self._pending_calls: dict[int, tuple[anyio.Event, list[Message]]] = {}
        self.closed = False
        self.received_bytes = 0
        self.sent_bytes = 0

    async def run(self) -> None:
        """Reads frames until the connection ends.

        Returns after the handlers of messages already received have ended;
        those that only read are cancelled.
        """
        async with (
            anyio.create_task_group() as tasks,
            anyio.create_task_group() as reading_tasks,
        ):
            try:
                while True:
                    frame, size_bytes = await self._receive()
                    self._clock.observe(frame.stamp)
                    if frame.is_reply:
                        self._complete_call(frame)
                    elif not self._hold_call(get_call_bytes(size_bytes)):
                        await self._refuse_call(frame)
                    elif is_read_only(frame.message):
                        reading_tasks.start_soon(
                            self._handle_call, frame, size_bytes
                        )
                    else:
                        tasks.start_soon(self._handle_call, frame, size_bytes)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                capnp.KjException,
                msgspec.ValidationError,
                LinkClosedError,
                TimeoutError,
            ):
                pass
            finally:
                reading_tasks.cancel_scope.cancel()
                await self.close()

    async def call(
        self, message: Message, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Message:
        """Sends a message and waits for its reply.

        Args:
            message: The message.
            timeout_s: Time to wait for the reply.

        Raises:
            LinkTimeoutError: If no reply arrived in time. The call may have
                been executed.
            LinkClosedError: If the connection ended before the reply.
            LagoonbeamError: The error that the other side reported.
        """
        call_id = self._next_call_id
        self._next_call_id += 1
        reply_received, replies = anyio.Event(), []  # type: tuple[anyio.Event, list[Message]]
        self._pending_calls[call_id] = (reply_received, replies)
        try:
            with anyio.fail_after(timeout_s):
                await self._send(call_id, message)
                await reply_received.wait()
        except TimeoutError as error:
            raise LinkTimeoutError(
                f"no reply to {type(message).__name__} in {timeout_s} s"
            ) from error
        finally:
            self._pending_calls.pop(call_id, None)
        if not replies:
            raise LinkClosedError("the connection ended before the reply")
        reply = replies[0]
        if isinstance(reply, Refusal):
            raise make_error(
                code=reply.code,
                detail=reply.detail,
                retry_after_s=reply.retry_after_s,
            )
        return reply

    async def notify(self, message: Message) -> None:
        """Sends a message that expects no reply.

        Raises:
            LinkClosedError: If the connection has ended.
        """
        await self._send(0, message)

    async def close(self) -> None:
        """Closes the connection and fails every pending call."""
        if self.closed:
            return
        self.closed = True
        if self._account is not None:
            self._account.close()
        self._buffer.clear()
        for reply_received, _ in self._pending_calls.values():
            reply_received.set()
        with anyio.move_on_after(1, shield=True):
            await anyio.aclose_forcefully(self._stream)

    def _complete_call(self, frame: Frame) -> None:
        pending_call = self._pending_calls.get(frame.call_id)
        if pending_call is None:
            return
        reply_received, replies = pending_call
        replies.append(frame.message)
        reply_received.set()

    async def _handle_call(self, frame: Frame, size_bytes: int) -> None:
        held_bytes = get_call_bytes(size_bytes)
        try:
            try:
                reply = await self._handler(frame.message)
            except LagoonbeamError as error:
                reply = _make_refusal(error)
            if not frame.call_id or self.closed:
                return
            data = self._encode(frame.call_id, reply, is_reply=True)
            if self._hold_call(len(data)):
                held_bytes += len(data)
            elif is_read_only(frame.message):
                reply = _make_refusal(_make_overload_error())
                data = self._encode(frame.call_id, reply, is_reply=True)
            with contextlib.suppress(LinkClosedError):
                await self._send_data(data)
        finally:
            if self._account is not None:
                self._account.release_call(held_bytes)

    async def _refuse_call(self, frame: Frame) -> None:
        """Refuses a call for want of room; reading goes on once it is sent.

        A notice is dropped: relayed log entries are sent again after the next
        heartbeat, and outcomes are in the log.
        """
        if frame.call_id:
            refusal = _make_refusal(_make_overload_error())
            await self._send(frame.call_id, refusal, is_reply=True)

    def _hold_call(self, size_bytes: int) -> bool:
        return self._account is None or self._account.hold_call(size_bytes)

    async def _send(
        self, call_id: int, message: Message, *, is_reply: bool = False
    ) -> None:
        await self._send_data(self._encode(call_id, message, is_reply=is_reply))

    def _encode(
        self, call_id: int, message: Message, *, is_reply: bool
    ) -> bytes:
        stamp = self._clock.tick()
        return encode_frame(Frame(call_id, is_reply, stamp, message))

    async def _send_data(self, data: bytes) -> None:
        if self.closed:
            raise LinkClosedError("the connection is closed")
        # A frame that is sent in part would leave the link unusable.
        with anyio.move_on_after(SEND_TIMEOUT_S, shield=True) as scope:
            try:
                async with self._send_lock:
                    await self._stream.send(
                        _FRAME_LENGTH.pack(len(data)) + data
                    )
            except (anyio.BrokenResourceError, anyio.ClosedResourceError) as e:
                await self.close()
                raise LinkClosedError(
                    "the connection failed while sending"
                ) from e
        if scope.cancelled_caught:
            await self.close()
            raise LinkClosedError(
                "the other side did not read the message in time"
            )
        self.sent_bytes += len(data) + _FRAME_LENGTH.size

    async def _receive(self) -> tuple[Frame, int]:
        """Returns the next frame and its size in bytes."""
        await self._fill_buffer(1)
        with anyio.fail_after(FRAME_TIMEOUT_S):
            (size_bytes,) = _FRAME_LENGTH.unpack(
                await self._read_exactly(_FRAME_LENGTH.size)
            )
            is_accepted = self._account is not None
            if size_bytes > (
                MAX_ACCEPTED_FRAME_BYTES if is_accepted else MAX_FRAME_BYTES
            ):
                raise anyio.EndOfStream
            data = await self._read_exactly(size_bytes)
        if self._account is not None:
            self._account.hold_received(len(self._buffer))
            self._account.mark_frame()
        return decode_frame(data), size_bytes

    async def _read_exactly(self, byte_count: int) -> bytes:
        await self._fill_buffer(byte_count)
        data = bytes(self._buffer[:byte_count])
        del self._buffer[:byte_count]
        return data

    async def _fill_buffer(self, byte_count: int) -> None:
        """Receives until the buffer has a number of bytes."""
        while len(self._buffer) < byte_count:
            chunk = await self._stream.receive(READ_CHUNK_BYTES)
            self.received_bytes += len(chunk)
            self._buffer += chunk
            if self._account is not None and not self._account.hold_received(
                len(self._buffer)
            ):
                raise anyio.EndOfStream


def _make_overload_error() -> TooManyRequestsError:
    return TooManyRequestsError(
        "there is no room for the call", retry_after_s=REFUSED_CALL_RETRY_S
    )


def _make_refusal(error: LagoonbeamError) -> Refusal:
    return Refusal(error.code, error.detail, error.retry_after_s)


async def connect_link(
    host: str, port: int, *, clock: HybridClock, handler: Handler
) -> Link:
    """Connects to another process.

    Args:
        host: IP address.
        port: TCP port.
        clock: The process's clock.
        handler: Handles the other side's messages and returns the replies.

    Returns:
        The link; the caller must start its `run`.

    Raises:
        LinkNotOpenedError: If there is no connection within
            `CONNECT_TIMEOUT_S`.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise LinkNotOpenedError(f"cannot connect to {host}:{port}") from error
    return Link(stream, clock=clock, handler=handler)


async def refuse_calls(message: Message) -> Message:
    """Refuses every message; the handler of links that only make calls."""
    return Refusal("invalid_request", f"unexpected {type(message).__name__}")


class LinkClient:
    """Makes calls to one process over a link that it keeps open.

    After a timeout or a closed connection the next call opens a new link.

    Args:
        host: IP address.
        port: TCP port.
        clock: The process's clock.
        tasks: Task group that runs the links' reading tasks.
    """

    def __init__(
        self,
        host: str,
        port: int,
        *,
        clock: HybridClock,
        tasks: anyio.abc.TaskGroup,
    ):
        self._address = (host, port)
        self._clock = clock
        self._tasks = tasks
        self._link: Link | None = None
        self._connect_lock = anyio.Lock()

    async def __aenter__(self) -> LinkClient:
        return self

    async def __aexit__(
        self,
        error_type: type[BaseException] | None,
        error: BaseException | None,
        traceback: TracebackType | None,
    ) -> None:
        await self.close()

    async def call(
        self, message: Message, *, timeout_s: float = CALL_TIMEOUT_S
    ) -> Message:
        """Makes a call over the open or a new link; see `Link.call`."""
        link = await self._get_link()
        try:
            return await link.call(message, timeout_s=timeout_s)
        except LinkTimeoutError:
            await link.close()
            raise

    async def close(self) -> None:
        """Closes the link."""
        if self._link is not None:
            await self._link.close()

    async def _get_link(self) -> Link:
        async with self._connect_lock:
            if self._link is None or self._link.closed:
                self._link = await connect_link(
                    *self._address, clock=self._clock, handler=refuse_calls
                )
                self._tasks.start_soon(self._link.run)
            return self._link
