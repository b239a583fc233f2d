"""Connections with concurrent calls in both directions over one stream."""

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
ACCEPTED_INTERVAL_FACTOR = 1.5
_VERIFY_POLL_S = 0.05
_CREDIT_BYTES = 8


@attrs.frozen
class Timing:
    """Heartbeat settings of a connection, in seconds.

    Attributes:
      heartbeat_interval_s: Time without a received frame after which a side
        pings while calls are open or a notice was sent recently. Other traffic
        replaces pings, and an idle connection sends nothing.
      silence_limit_s: Time without a received frame after which the peer of a
        connection in use is considered lost.
      idle_limit_s: Time without use after which the dialling side closes the
        connection.
    """

    heartbeat_interval_s: float = HEARTBEAT_INTERVAL_S
    silence_limit_s: float = SILENCE_LIMIT_S
    idle_limit_s: float = IDLE_LIMIT_S


class ClientStream:
    """Caller's side of an open call; iterates over items, see also `result`."""

    def __init__(self, inbox: stream.Inbox) -> None:
        """Creates a stream that reads from `inbox`."""
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
        """Returns the next item if it has already arrived, else None."""
        return self.inbox.receive_ready()

    async def result(self) -> object:
        """Returns the final message and discards unread items."""
        return await self.inbox.result()


class Connection:
    """Authenticated connection to a peer.

    Attributes:
      peer: Hello message of the peer.
      closed: Set once the connection is unusable.
      timing: Heartbeat settings.
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
        """Takes ownership of a stream after the handshake; see `run`.

        Args:
          byte_stream: TCP stream.
          peer: Hello message of the peer.
          decoder: Decoder of the handshake, which may hold received bytes.
          handlers: Handlers of calls and notices of the peer.
          timing: Heartbeat settings; None for the defaults.
          dialled: Whether this side opened the connection.
        """
        self.peer = peer
        self.closed = anyio.Event()
        self.timing = timing or Timing()
        self._stream = byte_stream
        self._decoder = decoder
        self._outbox = outbox.Outbox(f"{peer.role} {peer.name}")
        self._inboxes: dict[int, stream.Inbox] = {}
        self._incoming = incoming.IncomingCalls(peer, handlers, self._outbox)
        self._next_call_id = 1
        self._last_received_s = anyio.current_time()
        self._last_notice_s = float("-inf")
        self._in_use = anyio.Event()
        self._dialled = dialled
        self._close_reason = "connection closed"

    async def run(self, early: collections.abc.Iterable[frame.Frame]) -> None:
        """Serves the connection until it fails or is closed.

        Args:
          early: Frames that were received together with the handshake.
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
        """Checks that the peer has sent a frame recently or answers a ping.

        Args:
          timeout_s: Maximum age of the last received frame, and maximum time to
            wait for an answer to a ping.

        Raises:
          ConnectionLostError: If the peer does not answer; the connection is
            closed then.
        """
        asked_s = anyio.current_time()
        if asked_s - self._last_received_s < timeout_s:
            return
        self._put(frame.Kind.PING)
        while self._last_received_s < asked_s:
            if anyio.current_time() - asked_s > timeout_s:
                self._close_with("peer does not answer pings")
            if self.closed.is_set():
                raise exceptions.ConnectionLostError(
                    self._close_reason, sent=False
                )
            await anyio.sleep(_VERIFY_POLL_S)

    def notify(self, message: object, *, pings: bool = True) -> bool:
        """Sends a one-way message unless too many bytes are pending.

        Args:
          message: The message.
          pings: Whether to ping a silent peer for `silence_limit_s` afterwards.

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
        """Sends a call and returns its final answer.

        Raises:
          CallTimeoutError: If no answer arrives within `timeout_s` seconds.
          ConnectionLostError: If the connection fails before the answer.
          RemoteError: If the peer answers with an error.
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
        """Opens a call that streams items; leaving the context cancels it.

        Args:
          message: The call.
          pings: Whether to ping a silent peer while the call is open. A caller
            that detects a silent peer itself can avoid the cost of pings.

        Raises:
          ConnectionLostError: If the connection is already closed.
        """
        if self.closed.is_set():
            raise exceptions.ConnectionLostError(self._close_reason, sent=False)
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
        """Returns whether any byte of a call may have been sent."""
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
            self._close_with("peer closed the connection", scope)

    def _is_used(self) -> bool:
        since_notice_s = anyio.current_time() - self._last_notice_s
        return (
            any(inbox.pings for inbox in self._inboxes.values())
            or self._incoming.has_pinged_calls()
            or since_notice_s < self.timing.silence_limit_s
        )

    def _mark_used(self) -> None:
        if not self._in_use.is_set():
            self._last_received_s = anyio.current_time()
            self._in_use.set()

    async def _heartbeat(self, scope: anyio.CancelScope) -> None:
        interval_s = self.timing.heartbeat_interval_s
        if not self._dialled:
            # With equal intervals both sides would ping; a longer interval here
            # lets the dialling side ping first.
            interval_s *= ACCEPTED_INTERVAL_FACTOR
        while True:
            if not self._is_used():
                await self._wait_until_used(scope)
            due_s = self._last_received_s + interval_s
            left_s = due_s - anyio.current_time()
            if left_s > 0:
                await anyio.sleep(left_s)
                continue
            silence_s = anyio.current_time() - self._last_received_s
            if silence_s > self.timing.silence_limit_s:
                self._close_with(f"peer silent for {silence_s:.1f} s", scope)
            self._put(frame.Kind.PING)
            await anyio.sleep(interval_s)

    async def _wait_until_used(self, scope: anyio.CancelScope) -> None:
        self._in_use = anyio.Event()
        limit_s = self.timing.idle_limit_s if self._dialled else float("inf")
        with anyio.move_on_after(limit_s):
            await self._in_use.wait()
            return
        if not self._inboxes:
            self._close_with("idle connection closed", scope)

    async def _wait_closed(self, scope: anyio.CancelScope) -> None:
        await self.closed.wait()
        scope.cancel()

    async def _read(self, early: collections.abc.Iterable[frame.Frame]) -> None:
        try:
            for received in early:
                await self._dispatch(received)
            while True:
                data = await self._stream.receive()
                self._last_received_s = anyio.current_time()
                for received in self._decoder.feed(data):
                    await self._dispatch(received)
        except (
            anyio.EndOfStream,
            anyio.BrokenResourceError,
            anyio.ClosedResourceError,
        ):
            self._close_with("peer closed the connection")
        except exceptions.ProtocolError as error:
            logger.warning(
                "closing the connection to %s %s: %s",
                self.peer.role,
                self.peer.name,
                error,
            )
            self._close_with(str(error))

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
            inbox.put(message, len(received.payload), self._last_received_s)
            return
        if received.kind is frame.Kind.END:
            inbox.finish(message)
            return
        if not isinstance(message, messages.CallError):
            raise exceptions.ProtocolError(
                "error frame does not contain a CallError"
            )
        inbox.fail(
            exceptions.RemoteError(
                message.code, message.message, message.detail
            )
        )

    def _close_with(
        self, reason: str, scope: anyio.CancelScope | None = None
    ) -> None:
        self._close_reason = reason
        self.closed.set()
        if scope is not None:
            scope.cancel()

    def _fail_all(self) -> None:
        self.closed.set()
        for inbox in self._inboxes.values():
            sent = self._outbox.was_taken(inbox.position)
            inbox.fail(
                exceptions.ConnectionLostError(self._close_reason, sent=sent)
            )
        self._inboxes.clear()
