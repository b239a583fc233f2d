"""A connection: concurrent calls in both directions over one TCP stream."""

from __future__ import annotations

import contextlib
import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.transport import codec
from cactusstile.transport import exceptions
from cactusstile.transport import frame
from cactusstile.transport import incoming
from cactusstile.transport import messages
from cactusstile.transport import outbox
from cactusstile.transport import stream

if typing.TYPE_CHECKING:
    import collections.abc

logger = logging.getLogger(__name__)

HEARTBEAT_INTERVAL_S = 1.0
SILENCE_LIMIT_S = 3.0
IDLE_LIMIT_S = 60.0
ACCEPTED_PATIENCE = 1.5
_VERIFY_POLL_S = 0.05
_CREDIT_BYTES = 8


@attrs.frozen
class Timing:
    """Heartbeat of a connection, in seconds.

    Attributes:
      heartbeat_interval_s: Time without any frame after which a side pings,
        while calls are open or a notice was sent lately; what one side hears
        need not be asked for, and an idle connection costs nothing.
      silence_limit_s: Time without any frame after which the peer of a
        connection in use is lost.
      idle_limit_s: Time without use after which the dialling side closes
        the connection.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    silence_limit_s: float = SILENCE_LIMIT_S
    idle_limit_s: float = IDLE_LIMIT_S


class ClientStream:
    """Caller's side of one open call: iterate for items, then `result`."""

    def __init__(self, inbox: stream.Inbox) -> None:
        """Reads from `inbox`."""
        self.inbox = inbox

    def __aiter__(self) -> ClientStream:
        """Returns itself."""
        return self

    async def __anext__(self) -> object:
        """Returns the next item.

        Raises:
          TransportError: If the call failed.
        """
        item = await self.inbox.receive()
        if item is None:
            raise StopAsyncIteration
        return item

    def receive_ready(self) -> object | None:
        """Returns the next item if it has arrived already, else None."""
        return self.inbox.receive_ready()

    async def result(self) -> object:
        """Returns the final message, dropping items not yet read."""
        return await self.inbox.result()


class Connection:
    """One authenticated connection.

    Attributes:
      peer: Hello of the other side.
      closed: Set once the connection is unusable.
    """

    def __init__(
        self,
        byte_stream: anyio.abc.ByteStream,
        peer: messages.Hello,
        decoder: frame.Decoder,
        handlers: incoming.Handlers,
        timing: Timing | None = None,
        *,
        dialled: bool = False,
    ) -> None:
        """Takes over a stream after the handshake; see `run`.

        Args:
          byte_stream: The TCP stream.
          peer: Hello of the other side.
          decoder: Decoder that the handshake has used.
          handlers: Serve the peer's calls.
          timing: Heartbeat.
          dialled: Whether this side opened the connection.
        """
        self.peer = peer
        self.closed = anyio.Event()
        self.timing = timing or Timing()
        self._stream = byte_stream
        self._decoder = decoder
        self._outbox = outbox.Outbox()
        self._inboxes: dict[int, stream.Inbox] = {}
        self._incoming = incoming.IncomingCalls(peer, handlers, self._outbox)
        self._next_call_id = 1
        self._last_heard_s = anyio.current_time()
        self._last_notice_s = float("-inf")
        self._in_use = anyio.Event()
        self._dialled = dialled
        self._loss = "connection closed"

    async def run(self, early: collections.abc.Iterable[frame.Frame]) -> None:
        """Serves the connection until it fails or is closed.

        Args:
          early: Frames that arrived together with the handshake.
        """
        try:
            async with anyio.create_task_group() as group:
                self._incoming.group = group
                group.start_soon(self._write, group.cancel_scope)
                group.start_soon(self._heartbeat, group.cancel_scope)
                group.start_soon(self._wait_closed, group.cancel_scope)
                await self._read(early)
                group.cancel_scope.cancel()
        finally:
            self._fail_all()
            with anyio.CancelScope(shield=True, deadline=0):
                await self._stream.aclose()

    def close(self) -> None:
        """Closes the connection; open calls fail."""
        self.closed.set()

    async def verify(self, timeout_s: float) -> None:
        """Returns if the peer answers, or was heard within `timeout_s`.

        Raises:
          ConnectionLostError: If it does not; the connection is closed.
        """
        asked_s = anyio.current_time()
        if asked_s - self._last_heard_s < timeout_s:
            return
        self._put(frame.Kind.PING)
        while self._last_heard_s < asked_s:
            if anyio.current_time() - asked_s > timeout_s:
                self._lose("peer answers no ping")
            if self.closed.is_set():
                raise exceptions.ConnectionLostError(self._loss, sent=False)
            await anyio.sleep(_VERIFY_POLL_S)

    def notify(self, message: object, *, pings: bool = True) -> bool:
        """Sends a one-way message, unless too many bytes wait already.

        Args:
          message: The message.
          pings: Whether a silent peer is pinged for a while after it.

        Returns:
          Whether the message was queued.
        """
        too_full = self._outbox.pending_bytes >= outbox.MAX_PENDING_BYTES
        if self.closed.is_set() or too_full:
            return False
        number = codec.number_of(type(message))
        payload = codec.encode(message)
        if pings:
            self._last_notice_s = anyio.current_time()
            self._mark_used()
        self._outbox.put(frame.encode(frame.Kind.NOTICE, number, 0, payload))
        return True

    async def call(self, message: object, *, timeout_s: float) -> object:
        """Returns the final answer to `message`.

        Raises:
          CallTimeoutError: If no answer arrived within `timeout_s` seconds.
          ConnectionLostError: If the connection failed before the answer.
          RemoteError: If the peer answered with an error.
        """
        async with self.open_stream(message) as opened:
            with anyio.move_on_after(timeout_s):
                return await opened.result()
            sent = self._outbox.was_taken(opened.inbox.position)
            raise exceptions.CallTimeoutError(
                f"no answer from {self.peer.name} in {timeout_s:.3f} s",
                sent=sent,
            )

    @contextlib.asynccontextmanager
    async def open_stream(
        self, message: object, *, pings: bool = True
    ) -> collections.abc.AsyncIterator[ClientStream]:
        """Opens a call with many items; leaving the context cancels it.

        Args:
          message: The call.
          pings: Whether a silent peer is pinged while the call is open; a
            caller that notices silence by itself need not pay for it.

        Raises:
          ConnectionLostError: If the connection is closed already.
        """
        if self.closed.is_set():
            raise exceptions.ConnectionLostError(self._loss, sent=False)
        call_id = self._next_call_id
        self._next_call_id += 1
        inbox = stream.Inbox(lambda size: self._grant(call_id, size))
        inbox.pings = pings
        number = codec.number_of(type(message))
        data = frame.encode(
            frame.Kind.CALL, number, call_id, codec.encode(message)
        )
        inbox.position = self._outbox.put(data)
        self._mark_used()
        self._inboxes[call_id] = inbox
        try:
            yield ClientStream(inbox)
        finally:
            self._inboxes.pop(call_id, None)
            if not inbox.ended and not self.closed.is_set():
                self._put(frame.Kind.CANCEL, call_id)

    def sent_any_of(self, opened: ClientStream) -> bool:
        """Returns whether any byte of a call may have left this process."""
        return self._outbox.was_taken(opened.inbox.position)

    def _put(
        self, kind: frame.Kind, call_id: int = 0, payload: bytes = b""
    ) -> None:
        self._outbox.put(frame.encode(kind, 0, call_id, payload))

    def _grant(self, call_id: int, size: int) -> None:
        if not self.closed.is_set():
            payload = size.to_bytes(_CREDIT_BYTES, "little")
            self._put(frame.Kind.CREDIT, call_id, payload)

    async def _write(self, scope: anyio.CancelScope) -> None:
        try:
            await self._outbox.write_to(self._stream)
        except (anyio.BrokenResourceError, anyio.ClosedResourceError):
            self._lose("peer closed the connection", scope)

    def _is_used(self) -> bool:
        since_notice_s = anyio.current_time() - self._last_notice_s
        return (
            any(inbox.pings for inbox in self._inboxes.values())
            or self._incoming.any_open()
            or since_notice_s < self.timing.silence_limit_s
        )

    def _mark_used(self) -> None:
        if not self._in_use.is_set():
            self._last_heard_s = anyio.current_time()
            self._in_use.set()

    async def _heartbeat(self, scope: anyio.CancelScope) -> None:
        patience_s = self.timing.heartbeat_interval_s
        if not self._dialled:
            # Two equal timers would both fire; the dialling side goes first.
            patience_s *= ACCEPTED_PATIENCE
        while True:
            if not self._is_used():
                await self._wait_until_used(scope)
            due_s = self._last_heard_s + patience_s
            left_s = due_s - anyio.current_time()
            if left_s > 0:
                await anyio.sleep(left_s)
                continue
            silence_s = anyio.current_time() - self._last_heard_s
            if silence_s > self.timing.silence_limit_s:
                self._lose(f"peer silent for {silence_s:.1f} s", scope)
            self._put(frame.Kind.PING)
            await anyio.sleep(patience_s)

    async def _wait_until_used(self, scope: anyio.CancelScope) -> None:
        self._in_use = anyio.Event()
        limit_s = self.timing.idle_limit_s if self._dialled else float("inf")
        with anyio.move_on_after(limit_s):
            await self._in_use.wait()
            return
        if not self._inboxes:
            self._lose("idle connection closed", scope)

    async def _wait_closed(self, scope: anyio.CancelScope) -> None:
        await self.closed.wait()
        scope.cancel()

    async def _read(self, early: collections.abc.Iterable[frame.Frame]) -> None:
        try:
            for received in early:
                await self._dispatch(received)
            while True:
                data = await self._stream.receive()
                self._last_heard_s = anyio.current_time()
                for received in self._decoder.feed(data):
                    await self._dispatch(received)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self._lose("peer closed the connection")
        except exceptions.ProtocolError as error:
            logger.warning(
                "closing the connection of %s %s: %s",
                self.peer.role,
                self.peer.name,
                error,
            )
            self._lose(str(error))

    async def _dispatch(self, received: frame.Frame) -> None:
        if received.kind is frame.Kind.PING:
            self._put(frame.Kind.PONG)
        elif received.kind is frame.Kind.CALL:
            await self._outbox.wait_for_room()
            self._mark_used()
            self._incoming.start(received)
        elif received.kind is frame.Kind.CANCEL:
            self._incoming.cancel(received.call_id)
        elif received.kind is frame.Kind.CREDIT:
            size = int.from_bytes(received.payload[:_CREDIT_BYTES], "little")
            self._incoming.grant(received.call_id, size)
        elif received.kind is frame.Kind.NOTICE:
            self._incoming.notice(received)
        elif received.kind in (
            frame.Kind.ITEM,
            frame.Kind.END,
            frame.Kind.ERROR,
        ):
            self._answer(received)
        elif received.kind is not frame.Kind.PONG:
            raise exceptions.ProtocolError(f"unexpected {received.kind.name}")

    def _answer(self, received: frame.Frame) -> None:
        inbox = self._inboxes.get(received.call_id)
        if inbox is None:
            return
        message = codec.decode(received.number, received.payload)
        if received.kind is frame.Kind.ITEM:
            inbox.put(message, len(received.payload))
            return
        if received.kind is frame.Kind.END:
            inbox.finish(message)
            return
        if not isinstance(message, messages.CallError):
            raise exceptions.ProtocolError("error frame without an error")
        inbox.fail(
            exceptions.RemoteError(
                message.code, message.message, message.detail
            )
        )

    def _lose(self, why: str, scope: anyio.CancelScope | None = None) -> None:
        self._loss = why
        self.closed.set()
        if scope is not None:
            scope.cancel()

    def _fail_all(self) -> None:
        self.closed.set()
        for inbox in self._inboxes.values():
            sent = self._outbox.was_taken(inbox.position)
            inbox.fail(exceptions.ConnectionLostError(self._loss, sent=sent))
        self._inboxes.clear()
