"""Callee's side of a connection: runs a handler per incoming call."""

from __future__ import annotations

import logging
import typing

import anyio
import anyio.abc
import attrs

from cactusstile.transport import codec
from cactusstile.transport import exceptions
from cactusstile.transport import frame
from cactusstile.transport import messages
from cactusstile.transport import outbox
from cactusstile.transport import stream

if typing.TYPE_CHECKING:
    import collections.abc

    CallHandler = collections.abc.Callable[
        ["Responder", typing.Any], collections.abc.Awaitable[object]
    ]
    NoticeHandler = collections.abc.Callable[[messages.Hello, typing.Any], None]

logger = logging.getLogger(__name__)

MAX_OPEN_CALLS = 16_384


@attrs.frozen
class Handlers:
    """Handlers of a process by message class.

    Attributes:
      calls: Call handlers, which receive a responder and the message and
        return the final answer, or raise `exceptions.RemoteError` to answer
        with an error.
      notices: Handlers of one-way messages, which receive the peer's hello
        message and the message, and must not block.
    """

    calls: collections.abc.Mapping[type, CallHandler] = attrs.field(
        factory=dict
    )
    notices: collections.abc.Mapping[type, NoticeHandler] = attrs.field(
        factory=dict
    )


class Responder:
    """Handler's view of one incoming call.

    Attributes:
      peer: Hello message of the caller.
      pings: Whether the connection pings a silent caller while the call is
        open. A handler that detects a silent caller itself turns this off.
      credit: Bytes that the caller is ready to receive.
      scope: Cancel scope of the handler.
    """

    def __init__(
        self, peer: messages.Hello, call_id: int, out: outbox.Outbox
    ) -> None:
        """Creates a responder that sends frames of `call_id` to `out`."""
        self.peer = peer
        self.pings = True
        self.credit = stream.Credit()
        self.scope = anyio.CancelScope()
        self._call_id = call_id
        self._outbox = out

    async def send(self, item: object, payload: bytes | None = None) -> None:
        """Sends an item; waits until the caller has granted credit.

        Args:
          item: The item.
          payload: Encoded item, if it is already encoded for other callers.
        """
        if payload is None:
            payload = codec.encode(item)
        await self.credit.spend(len(payload))
        await self._outbox.wait_for_room()
        self._put(frame.Kind.ITEM, item, payload)

    def end(self, final: object) -> None:
        """Ends the call with its final answer."""
        self._put(frame.Kind.END, final, codec.encode(final))

    def fail(self, code: str, message: str, detail: str = "") -> None:
        """Ends the call with an error."""
        error = messages.CallError(code, message, detail)
        self._put(frame.Kind.ERROR, error, codec.encode(error))

    def _put(self, kind: frame.Kind, message: object, payload: bytes) -> None:
        number = codec.number_of(type(message))
        self._outbox.put(frame.encode(kind, number, self._call_id, payload))


class IncomingCalls:
    """Open incoming calls of one connection.

    Attributes:
      group: Task group of the connection; set before the first call.
    """

    def __init__(
        self, peer: messages.Hello, handlers: Handlers, out: outbox.Outbox
    ) -> None:
        """Creates an empty table of calls of `peer`."""
        self.group: anyio.abc.TaskGroup | None = None
        self._peer = peer
        self._handlers = handlers
        self._outbox = out
        self._open: dict[int, Responder] = {}

    def has_pinged_calls(self) -> bool:
        """Returns whether any open call relies on pings."""
        return any(responder.pings for responder in self._open.values())

    def start(self, received: frame.Frame) -> None:
        """Starts the handler of a call.

        Raises:
          ProtocolError: If the message is malformed or the call number is in
            use.
        """
        responder = Responder(self._peer, received.call_id, self._outbox)
        if received.call_id in self._open:
            raise exceptions.ProtocolError("call number is in use")
        if len(self._open) >= MAX_OPEN_CALLS:
            responder.fail("overloaded", "too many open calls")
            return
        message = codec.decode(received.number, received.payload)
        handler = self._handlers.calls.get(type(message))
        if handler is None:
            name = type(message).__name__
            responder.fail("unsupported", f"{name} is not served here")
            return
        if self.group is None:
            raise RuntimeError("connection is not running")
        self._open[received.call_id] = responder
        self.group.start_soon(
            self._handle, received.call_id, responder, handler, message
        )

    def cancel(self, call_id: int) -> None:
        """Cancels the handler of a call if it is still running."""
        responder = self._open.get(call_id)
        if responder is not None:
            responder.scope.cancel()

    def grant(self, call_id: int, size: int) -> None:
        """Grants credit to the handler of a call if it is still running."""
        responder = self._open.get(call_id)
        if responder is not None:
            responder.credit.grant(size)

    def notice(self, received: frame.Frame) -> None:
        """Passes a one-way message to its handler."""
        message = codec.decode(received.number, received.payload)
        handler = self._handlers.notices.get(type(message))
        if handler is not None:
            handler(self._peer, message)

    async def _handle(
        self,
        call_id: int,
        responder: Responder,
        handler: CallHandler,
        message: object,
    ) -> None:
        try:
            with responder.scope:
                responder.end(await handler(responder, message))
        except exceptions.RemoteError as error:
            responder.fail(error.code, error.message, error.detail)
        except Exception:
            logger.exception("handler of %s failed", type(message).__name__)
            responder.fail("internal", "the call failed; see the peer's log")
        finally:
            self._open.pop(call_id, None)
