"""Remote procedure calls with timeouts between processes, over TCP.

A frame is preceded by its length in four bytes. One task reads a connection;
each call waits for its own reply until its timeout.
"""

from __future__ import annotations

import struct
from collections.abc import Awaitable, Callable
from types import TracebackType

import anyio
import anyio.abc
import capnp
import msgspec

from lagoonbeam.core.clock import HybridClock
from lagoonbeam.core.messages import (
    MAX_FRAME_BYTES,
    Frame,
    Message,
    Refusal,
    decode_frame,
    encode_frame,
)
from lagoonbeam.errors import (
    LagoonbeamError,
    LinkClosedError,
    LinkTimeoutError,
    make_error,
)

CONNECT_TIMEOUT_S = 1.0
"""Connect timeout."""
CALL_TIMEOUT_S = 2.0
"""Default time to wait for a reply."""
SEND_TIMEOUT_S = 2.0
"""Time that a write may block before the link is closed."""

Handler = Callable[[Message], Awaitable[Message]]

_FRAME_LENGTH = struct.Struct("<I")


class Link:
    """A connection over which both sides make calls and send notices.

    Args:
        stream: The connected stream.
        clock: The process's clock; frames carry its timestamps.
        handler: Handles the other side's messages and returns the replies.
    """

    def __init__(
        self,
        stream: anyio.abc.ByteStream,
        *,
        clock: HybridClock,
        handler: Handler,
    ):
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

        Returns after the handlers of messages already received have ended.
        """
        async with anyio.create_task_group() as tasks:
            try:
                while True:
                    frame = await self._receive()
                    self._clock.observe(frame.stamp)
                    if frame.is_reply:
                        self._complete_call(frame)
                    else:
                        tasks.start_soon(self._handle_call, frame)
            except (
                anyio.EndOfStream,
                anyio.BrokenResourceError,
                anyio.ClosedResourceError,
                capnp.KjException,
                msgspec.ValidationError,
            ):
                pass
            finally:
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

    async def _handle_call(self, frame: Frame) -> None:
        try:
            reply = await self._handler(frame.message)
        except LagoonbeamError as error:
            reply = Refusal(error.code, error.detail, error.retry_after_s)
        if frame.call_id and not self.closed:
            try:
                await self._send(frame.call_id, reply, is_reply=True)
            except LinkClosedError:
                return

    async def _send(
        self, call_id: int, message: Message, *, is_reply: bool = False
    ) -> None:
        if self.closed:
            raise LinkClosedError("the connection is closed")
        stamp = self._clock.tick()
        data = encode_frame(Frame(call_id, is_reply, stamp, message))
        with anyio.move_on_after(SEND_TIMEOUT_S) as scope:
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

    async def _receive(self) -> Frame:
        (length,) = _FRAME_LENGTH.unpack(
            await self._read_exactly(_FRAME_LENGTH.size)
        )
        if length > MAX_FRAME_BYTES:
            raise anyio.EndOfStream
        return decode_frame(await self._read_exactly(length))

    async def _read_exactly(self, byte_count: int) -> bytes:
        while len(self._buffer) < byte_count:
            chunk = await self._stream.receive(65_536)
            self.received_bytes += len(chunk)
            self._buffer += chunk
        data = bytes(self._buffer[:byte_count])
        del self._buffer[:byte_count]
        return data


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
        LinkClosedError: If no connection is made within `CONNECT_TIMEOUT_S`.
    """
    try:
        with anyio.fail_after(CONNECT_TIMEOUT_S):
            stream = await anyio.connect_tcp(host, port)
    except (OSError, TimeoutError) as error:
        raise LinkClosedError(f"cannot connect to {host}:{port}") from error
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
